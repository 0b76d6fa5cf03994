"""The programs of the system: they read the settings, build the planes, run them and shut them down in order."""
