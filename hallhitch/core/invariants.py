"""Invariant checks, which raise in debug builds and only count under `python -O`, and counters of rare events."""

from __future__ import annotations

from collections import Counter

COUNTS: Counter[str] = Counter()  # by event name; logged when the process stops


def invariant(holds: bool, name: str) -> bool:
    """Count a violation and, unless under `python -O`, raise AssertionError; return whether the invariant holds."""
    if not holds:
        COUNTS[f"broken:{name}"] += 1
        assert holds, name
    return holds
