"""The division of a process's file descriptors among their uses; it only computes numbers.

Invariants:
- Clients never use up the descriptors of operators, of the counter or of connections to servers.
- The sum of all shares never exceeds the number of descriptors that the process may open.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MIN_DESCRIPTORS: Final = 128  # of a process; with fewer, a share would be empty
OWN_DESCRIPTORS: Final = 32  # for the counter, discovery, listeners and the process itself
OPERATOR_DESCRIPTORS: Final = 24
SPARE_DESCRIPTORS: Final = 32  # for connections above the clients' share, whose requests are only rejected
SMALL_PROCESS_PARTS: Final = 8  # each of the three shares above is at most this fraction (1/8) of all
UPSTREAM_PARTS: Final = 4  # connections to servers get this fraction (1/4)


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """The number of descriptors for each use."""

    upstream: int
    clients: int
    spare: int
    operators: int


def divide_descriptors(descriptors: int, has_operators: bool) -> DescriptorBudget:
    """Divide the descriptors of a process; `has_operators` says whether it serves an operator address."""
    part = descriptors // SMALL_PROCESS_PARTS
    own = min(OWN_DESCRIPTORS, part)
    spare = min(SPARE_DESCRIPTORS, part)
    operators = min(OPERATOR_DESCRIPTORS, part) if has_operators else 0
    upstream = (descriptors - own) // UPSTREAM_PARTS
    clients = descriptors - own - spare - operators - upstream
    return DescriptorBudget(upstream, clients, spare, operators)
