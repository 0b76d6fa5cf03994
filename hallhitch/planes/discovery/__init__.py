"""Discovery: backends by the platform's endpoint list, gateways by their heartbeats, and the directory for clients."""
