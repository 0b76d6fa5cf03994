"""Deterministic simulation of the control plane: the real programs on simulated links, disks and clocks.

Only tests and benchmarks use this package. A `schedule.Schedule` determines a run completely: its faults are drawn from
a seed, and virtual time advances from event to event. `invariants` then checks the recorded history of operations and
observations, as Jepsen and FoundationDB's simulation testing do. All decisions of the system are made by the production
code, never by this package.
"""
