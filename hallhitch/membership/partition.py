"""Detection of partitions: whether this gateway's view is complete, partial, or of itself alone."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

# Part of the counted gateways that is missing when a partition is suspected: single failures stay below it.
PARTITION_RATIO: Final = 0.25
# Part that may still be missing when a partition has healed: views heal member by member.
HEALED_RATIO: Final = 0.05


class ViewStatus(StrEnum):
    """Completeness of the view; the value is shown as `view` in JSON and logs."""

    COMPLETE = "whole"
    PARTIAL = "part"  # many members failed not long ago, or this gateway is partitioned from them
    ALONE = "alone"  # no other gateway is seen


class PartitionDetector:
    """Determines the status from counts, with hysteresis between suspicion and healing."""

    def __init__(self) -> None:
        self.status: ViewStatus | None = None  # None until it is set first

    def evaluate(self, missing_count: int, present_count: int, has_counts: bool) -> ViewStatus:
        """Return the status for these counts; `has_counts` says whether another gateway was ever counted."""
        if present_count <= 1:
            return ViewStatus.ALONE if missing_count or not has_counts else ViewStatus.COMPLETE
        is_partitioned = self.status not in (None, ViewStatus.COMPLETE)
        limit = (HEALED_RATIO if is_partitioned else PARTITION_RATIO) * (missing_count + present_count)
        return ViewStatus.PARTIAL if missing_count > limit else ViewStatus.COMPLETE
