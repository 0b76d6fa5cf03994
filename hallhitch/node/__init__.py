"""Foundations shared by all processes of the system: settings, monotonic clock, logs, errors, HTTP server, metrics."""
