"""Gateways that follow the catalogue: what they keep on disk, and later the way to the control plane and the front."""
