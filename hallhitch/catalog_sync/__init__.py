"""Gateways that follow the catalogue: the way to the control plane, and what they keep on disk."""
