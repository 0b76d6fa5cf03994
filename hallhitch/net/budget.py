"""How a process divides its descriptors: decided here once, by numbers alone.

Operators, the counter and hops never lose theirs to clients; usual clients hold at most a third of all.
"""

from __future__ import annotations

from dataclasses import dataclass

LEAST = 128  # descriptors that leave some for everybody
KEPT = 32  # for the counter, discovery, listeners and the process itself, where there are many
OPS = 24  # for operators' calls, likewise
SPARE = 32  # connections past the clients' that are still taken, to be turned away in words, likewise
PART = 8  # of a small process's descriptors, as one part, for each of these at most


@dataclass(frozen=True, slots=True)
class Budget:
    """Descriptors by who may hold them; together no more than the process may."""

    hops: int
    clients: int
    spare: int
    ops: int


def budget(sockets: int, ops: bool) -> Budget:
    """Divide so many descriptors; `ops` says whether operators call."""
    part = sockets // PART
    kept, spare, calls = min(KEPT, part), min(SPARE, part), min(OPS, part) if ops else 0
    hops = (sockets - kept) // 4
    return Budget(hops, sockets - kept - spare - calls - hops, spare, calls)
