"""Quota plane: leases on tenant buckets, request counts by tenant, and local reserves for when no holder responds.

A coordinator runs `lease_coordinator.py`. A gateway runs `plane.py`, whose `counter` admits or rejects its requests.
"""
