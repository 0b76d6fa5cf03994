"""The platform front of a gateway: HTTP to clients, servers, discovery and the quota counter."""
