"""What must hold: asserted in debug builds, counted under -O. Other counts of note are kept beside it."""

from __future__ import annotations

from collections import Counter

COUNTS: Counter[str] = Counter()


def invariant(holds: bool, name: str) -> bool:
    """Check what must hold; where asserts are off, count the breach and let the caller go on."""
    if not holds:
        COUNTS[f"broken:{name}"] += 1
        assert holds, name
    return holds
