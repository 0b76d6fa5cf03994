"""Detection of partitions: whether this gateway's view is complete, partial or contains only itself."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

# A partition is suspected when more than this fraction of the gateways is missing; single failures stay below it.
PARTITION_RATIO: Final = 0.25
# A partition has healed when at most this fraction is still missing: members become visible again one by one.
HEALED_RATIO: Final = 0.05


class ViewStatus(StrEnum):
    """Completeness of the view; the value is the `view` field of the JSON report and of log lines."""

    COMPLETE = "whole"
    PARTIAL = "part"  # many members failed recently, or this gateway is partitioned from them
    ALONE = "alone"  # no other gateway is visible


class PartitionDetector:
    """Determines the status from counts, with hysteresis between a suspected and a healed partition."""

    def __init__(self) -> None:
        self.status: ViewStatus | None = None  # None until the owner first sets it

    def evaluate(self, missing_count: int, present_count: int, has_counts: bool) -> ViewStatus:
        """Return the status for these counts; `has_counts` tells whether another gateway has ever been counted."""
        if present_count <= 1:
            return ViewStatus.ALONE if missing_count or not has_counts else ViewStatus.COMPLETE
        is_partitioned = self.status not in (None, ViewStatus.COMPLETE)
        max_missing = (HEALED_RATIO if is_partitioned else PARTITION_RATIO) * (missing_count + present_count)
        return ViewStatus.PARTIAL if missing_count > max_missing else ViewStatus.COMPLETE
