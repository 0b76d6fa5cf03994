"""Foundations of every process of the system: settings, steady clock, logs, errors, a small HTTP server."""
