"""Quota plane: leases on buckets of tenants, counts of the tenants' requests, and reserves for when no holder responds.

A coordinator runs `lease_coordinator.py`; a gateway runs `plane.py`, whose `counter` decides on its requests.
"""
