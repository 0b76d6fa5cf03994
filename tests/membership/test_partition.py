"""Status of the view as determined by the counts of missing and present gateways."""

from __future__ import annotations

import pytest

from hallhitch.membership.partition import PartitionDetector, ViewStatus


@pytest.mark.parametrize(
    ("missing", "present", "has_counts", "status"),
    [
        (0, 1, False, ViewStatus.ALONE),
        (0, 1, True, ViewStatus.COMPLETE),  # the others have left
        (3, 1, True, ViewStatus.ALONE),
        (0, 4, True, ViewStatus.COMPLETE),
        (1, 3, True, ViewStatus.COMPLETE),  # a quarter is not yet a partition
        (2, 4, True, ViewStatus.PARTIAL),
    ],
)
def test_status_follows_the_counts(missing: int, present: int, has_counts: bool, status: ViewStatus) -> None:
    assert PartitionDetector().evaluate(missing, present, has_counts) is status


@pytest.mark.parametrize(("missing", "status"), [(10, ViewStatus.PARTIAL), (5, ViewStatus.COMPLETE)])
def test_suspected_partition_heals_when_a_twentieth_is_missing(missing: int, status: ViewStatus) -> None:
    detector = PartitionDetector()
    detector.status = ViewStatus.PARTIAL
    assert detector.evaluate(missing, 100 - missing, True) is status
