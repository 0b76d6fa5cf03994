"""The system's programs: they read the settings, build the planes, run them and end in order. They decide nothing."""
