"""How a process divides its file descriptors, by numbers alone.

Invariants:
- Operators, the counter and connections to servers never lose their descriptors to clients.
- All shares together are no more than the process may open.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MIN_DESCRIPTORS: Final = 128  # of a process: with fewer, a share would be empty
OWN_DESCRIPTORS: Final = 32  # for the counter, discovery, listeners and the process itself
OPERATOR_DESCRIPTORS: Final = 24
SPARE_DESCRIPTORS: Final = 32  # for connections past the clients' share, which are only answered with a rejection
SMALL_PROCESS_PARTS: Final = 8  # each of the three above is at most one of so many parts of all descriptors
UPSTREAM_PARTS: Final = 4  # connections to servers get one of so many parts


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Descriptors by their use."""

    upstream: int
    clients: int
    spare: int
    operators: int


def divide_descriptors(descriptors: int, has_operators: bool) -> DescriptorBudget:
    """Divide the descriptors of a process; `has_operators` says whether it has an address for operators."""
    part = descriptors // SMALL_PROCESS_PARTS
    own = min(OWN_DESCRIPTORS, part)
    spare = min(SPARE_DESCRIPTORS, part)
    operators = min(OPERATOR_DESCRIPTORS, part) if has_operators else 0
    upstream = (descriptors - own) // UPSTREAM_PARTS
    clients = descriptors - own - spare - operators - upstream
    return DescriptorBudget(upstream, clients, spare, operators)
