"""Replacement of a gateway's process by another one that runs beside it for a while.

`sibling_locks` detects the other process, `sibling_monitor` tells this process's parts of it, `state_transfer` hands
over what was learned from traffic.
"""
