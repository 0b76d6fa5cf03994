"""Deterministic simulation of the control plane: the real programs on simulated links, disks and clocks.

Used by tests and benchmarks alone. A run follows from one `schedule.Schedule`: faults are drawn from its seed, virtual
time advances from event to event, and `invariants` judges the history of operations and observations, as Jepsen and
FoundationDB's simulation do. The system's own decisions are made by the code in service, never here.
"""
