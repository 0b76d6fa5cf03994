"""When a gateway acquires a bucket and when it hands a bucket over, depending on the rendezvous ranking."""

from __future__ import annotations

from typing import Final

import pytest

from hallhitch.planes.quota.bucket_placement import (
    ACQUIRE_STAGGER_MS,
    VIEW_SETTLING_MS,
    BucketPlacement,
    rank_gateways,
)
from hallhitch.planes.quota.held_lease import HeldLease, HeldLeases
from hallhitch.planes.quota.lease import NO_USAGE, UsageReport
from hallhitch.planes.quota.rebalancing import (
    MAX_HANDED_OVER_PER_CLAIM,
    REBALANCE_AFTER_MS,
    buckets_to_hand_over,
)
from hallhitch.planes.values import LeaseMembership

GATEWAYS: Final = ("x", "y", "z")
START: Final = 100_000.0
SETTLED: Final = START + VIEW_SETTLING_MS
WINDOW_MS: Final = 5000.0


class BusyBuckets:
    """Reports only the given buckets as in use."""

    def __init__(self, *buckets: int) -> None:
        self._buckets = buckets

    def is_in_use(self, bucket: int, now: float) -> bool:
        return bucket in self._buckets

    def usage_report(self, bucket: int, now: float) -> UsageReport:
        return NO_USAGE


def make_placement(own_address: str = "x") -> BucketPlacement:
    """Return the view of a gateway that learned of all gateways at START."""
    placement = BucketPlacement(own_address)
    placement.set_gateways(START, GATEWAYS)
    return placement


def bucket_with_rank(own_address: str, rank: int) -> int:
    """Return a bucket in whose ranking the gateway has the index `rank`."""
    return next(bucket for bucket, ranking in enumerate(rank_gateways(GATEWAYS)) if ranking[rank] == own_address)


def held_since(acquired_at: float, buckets: range) -> HeldLeases:
    """Return leases on these buckets that expire long after the test."""
    held, membership = HeldLeases(), LeaseMembership(1, ("a",))
    for bucket in buckets:
        held.add(bucket, HeldLease(1, {"a": acquired_at + 1e6}, acquired_at), membership)
    return held


def test_ranking_without_one_gateway_keeps_the_order_of_the_others() -> None:
    without_z = rank_gateways(["y", "x"])
    assert [[name for name in ranking if name != "z"] for ranking in rank_gateways(GATEWAYS)] == without_z


def test_nothing_is_acquired_before_the_view_has_settled_or_by_a_gateway_outside_it() -> None:
    placement = make_placement()
    assert not placement.can_acquire(SETTLED - 1) and placement.can_acquire(SETTLED)
    assert not make_placement("unlisted").can_acquire(SETTLED)


@pytest.mark.parametrize("rank", [0, 1, 2])
def test_free_bucket_is_acquired_in_the_order_of_its_ranking(rank: int) -> None:
    placement, bucket = make_placement(), bucket_with_rank("x", rank)
    acquire_at = SETTLED + rank * ACQUIRE_STAGGER_MS
    assert placement.is_own_turn(acquire_at, bucket)
    assert rank == 0 or not placement.is_own_turn(acquire_at - 1, bucket)


def test_bucket_held_elsewhere_is_not_acquired_and_its_last_holder_causes_no_delay() -> None:
    placement, bucket = make_placement(), bucket_with_rank("x", 1)
    first = rank_gateways(GATEWAYS)[bucket][0]
    placement.set_holders(SETTLED, {bucket: first})
    assert not placement.is_own_turn(SETTLED + 10_000, bucket)
    placement.set_holders(SETTLED + 10_000, {})
    assert placement.is_own_turn(SETTLED + 10_000, bucket)


def test_deferred_bucket_is_acquired_from_the_given_moment_on() -> None:
    placement, bucket = make_placement(), bucket_with_rank("x", 0)
    placement.defer(bucket, SETTLED + 500)
    assert not placement.is_own_turn(SETTLED + 499, bucket) and placement.is_own_turn(SETTLED + 500, bucket)


def test_unused_buckets_of_other_gateways_are_handed_over_after_a_while() -> None:
    placement = make_placement()
    preferred_elsewhere = [bucket for bucket, ranking in enumerate(rank_gateways(GATEWAYS)) if ranking[0] != "x"]
    busy = preferred_elsewhere[0]
    held = held_since(START, range(128))
    due = START + REBALANCE_AFTER_MS
    assert buckets_to_hand_over(due - 1, held, placement, BusyBuckets(busy), WINDOW_MS) == []
    handed_over = buckets_to_hand_over(due, held, placement, BusyBuckets(busy), WINDOW_MS)
    assert handed_over == preferred_elsewhere[1 : 1 + MAX_HANDED_OVER_PER_CLAIM]


def test_bucket_whose_last_lease_ended_within_the_window_is_not_handed_over() -> None:
    placement, bucket = make_placement(), bucket_with_rank("x", 1)
    held = held_since(START - 1000, range(bucket, bucket + 1))
    held.remove(START, bucket)
    held.add(bucket, HeldLease(2, {"a": START + 1e6}, START), LeaseMembership(1, ("a",)))
    assert buckets_to_hand_over(START + WINDOW_MS - 1, held, placement, BusyBuckets(), WINDOW_MS) == []
    assert buckets_to_hand_over(START + WINDOW_MS, held, placement, BusyBuckets(), WINDOW_MS) == [bucket]
