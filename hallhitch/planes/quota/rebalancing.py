"""Selects held buckets to hand over, so that each gateway eventually holds the buckets for which it ranks first."""

from __future__ import annotations

from typing import Final

from hallhitch.planes.quota.bucket_placement import BucketPlacement
from hallhitch.planes.quota.held_lease import HeldLeases
from hallhitch.planes.quota.lease import BucketUsage

# A bucket is handed over to the first gateway of its ranking once that gateway has been first, and this one the holder,
# for this long. So a gateway that leaves and returns does not move buckets each time.
REBALANCE_AFTER_MS: Final = 4000.0
# A fifth of the buckets, so that the buckets of a gateway that joins move within a few claims while the other buckets
# are still counted.
MAX_HANDED_OVER_PER_CLAIM: Final = 24
# How long the other gateway has to acquire a bucket before this one acquires it again.
HANDED_OVER_RETRY_MS: Final = 2000.0


def buckets_to_hand_over(
    now: float, held: HeldLeases, placement: BucketPlacement, usage: BucketUsage, window_ms: float
) -> list[int]:
    """Return the buckets to release now: those that another gateway should hold and whose windows are empty."""
    chosen: list[int] = []
    for bucket, lease in held.items():
        if len(chosen) >= MAX_HANDED_OVER_PER_CLAIM:
            break
        preferred_elsewhere_since = placement.preferred_elsewhere_since(bucket)
        if now - max(preferred_elsewhere_since, lease.acquired_at) < REBALANCE_AFTER_MS:
            continue
        is_earlier_usage_in_window = held.has_ended_within(now, bucket, window_ms)
        if not is_earlier_usage_in_window and not usage.is_in_use(bucket, now):
            chosen.append(bucket)
    return chosen
