"""Discovery of backends from the platform's endpoint list and of gateways by heartbeats; the directory for clients."""
