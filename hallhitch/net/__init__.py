"""The platform front: HTTP to clients, hops, discovery and the counter."""
