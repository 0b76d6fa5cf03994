"""Benchmarks of the gateway, the control plane and the lab, each a program of its own."""
