"""Rows of the platform's instance list that cannot be read whole: drawn values of another form in drawn rows.

What is drawn depends only on the seed, the instance and the second, so that all pages and callers see the same. The
state of a row is never changed: a backend that is listed as draining has to be obeyed.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from xxhash import xxh64_intdigest

PERIOD_MS: Final = 1000.0  # for which a row stays as it was drawn
RATIO_STEPS: Final = 1000
ODD_VALUES: Final[tuple[tuple[str, object], ...]] = (
    ("slotCount", "4"),
    ("slotCount", -1),
    ("slotCount", 2**70),
    ("coldRemaining", "soon"),
    ("coldRemaining", 5),
    ("address", None),
    ("address", "nowhere"),
    ("zone", 5),
    ("targetService", ["shelf"]),
    ("instanceId", 7),
)


class UnreadableRows:
    """Changes this share of the rows that it is shown."""

    def __init__(self, seed: int, ratio: float) -> None:
        self._seed = seed
        self._ratio = ratio

    def change(self, moment_ms: float, instance: str, columns: Sequence[str], row: list[object]) -> list[object]:
        """Return the row as the list shows it at a moment."""
        drawn = xxh64_intdigest(f"{self._seed} {instance} {moment_ms // PERIOD_MS:.0f}".encode())
        if drawn % RATIO_STEPS >= self._ratio * RATIO_STEPS:
            return row
        choice = drawn // RATIO_STEPS % (len(ODD_VALUES) + 1)
        if choice == len(ODD_VALUES):
            return [*row, "a value without a column"]
        name, value = ODD_VALUES[choice]
        return [value if column == name else cell for column, cell in zip(columns, row, strict=True)]
