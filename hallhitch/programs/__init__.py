"""The programs of the system: each reads its settings, then builds, runs and shuts down its planes."""
