"""Checks of invariants, raised in debug builds and counted under -O, and counters of rare events."""

from __future__ import annotations

from collections import Counter

COUNTS: Counter[str] = Counter()  # by event; logged when the process stops


def invariant(holds: bool, name: str) -> bool:
    """Assert an invariant; under -O count a violation and return whether it holds."""
    if not holds:
        COUNTS[f"broken:{name}"] += 1
        assert holds, name
    return holds
