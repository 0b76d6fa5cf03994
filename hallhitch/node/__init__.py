"""What every process of the system has: settings, steady clock, logs, errors, a small web server."""
