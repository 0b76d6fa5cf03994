"""Decides by rendezvous hashing which gateway should hold which bucket, from one gateway's view of the cluster.

Every gateway computes the same ranking of all gateways for each bucket. The first gateway of the ranking should hold
the bucket; if it does not acquire it, the next ones do. The safety of leases does not depend on this module: a wrong
view of the cluster costs time, not correctness.

Rendezvous (highest random weight) hashing: Thaler and Ravishankar, 1998. Times are ms of this process's steady clock.
"""

from __future__ import annotations

import hashlib
import math
import struct
from collections.abc import Iterable, Mapping
from typing import Final

from hallhitch.planes.quota.limits import BUCKET_COUNT

# How long this gateway waits for each higher-ranked gateway to acquire a free bucket. It is longer than a claim
# interval, so that the other gateway has sent a claim by then.
ACQUIRE_STAGGER_MS: Final = 350.0
# No bucket is acquired for this long after the first view of the gateways, because that view is still incomplete.
VIEW_SETTLING_MS: Final = 300.0
# Delay after a rejected attempt. It is one claim interval, because the next claim releases the attempt's votes, plus
# a stagger for each rank, so that the gateways do not split the votes again.
REJECTED_RETRY_MS: Final = 300.0
RETRY_STAGGER_MS: Final = 100.0
UNRANKED_RETRY_MS: Final = 500.0  # if this gateway is in no ranking; the same delay as after a timed-out attempt

HELD_ELSEWHERE: Final = math.inf  # stored instead of the time since which a bucket has been free


def rank_gateways(gateways: Iterable[str]) -> list[list[str]]:
    """Return, for each bucket, the gateways in order of preference as its holder.

    >>> len(rank_gateways(["10.0.0.1:7000", "10.0.0.2:7000"])), sorted(rank_gateways(["a", "b"])[0])
    (128, ['a', 'b'])
    """
    scores = {
        gateway: struct.unpack(f">{BUCKET_COUNT}I", hashlib.shake_128(gateway.encode()).digest(4 * BUCKET_COUNT))
        for gateway in set(gateways)
    }
    return [
        [gateway for _, gateway in sorted((-score[bucket], gateway) for gateway, score in scores.items())]
        for bucket in range(BUCKET_COUNT)
    ]


class BucketPlacement:
    """One gateway's view of each bucket: its ranking and last holder, when it became free and when to try again."""

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._gateways: frozenset[str] = frozenset()
        self._settled_at = math.inf
        self._ranking: list[list[str]] = [[] for _ in range(BUCKET_COUNT)]
        self._preferred_since = [0.0] * BUCKET_COUNT  # when the first gateway of the ranking became the first
        self._free_since = [0.0] * BUCKET_COUNT
        self._last_holder = [""] * BUCKET_COUNT
        self._retry_at = [0.0] * BUCKET_COUNT

    def set_gateways(self, now: float, gateways: Iterable[str]) -> None:
        """Set the live gateways that may hold buckets, including this one if it may hold any."""
        names = frozenset(gateways)
        if names == self._gateways:
            return
        if not self._gateways:
            self._settled_at = now + VIEW_SETTLING_MS
        self._gateways = names
        for bucket, ranking in enumerate(rank_gateways(names)):
            if ranking[:1] != self._ranking[bucket][:1]:
                self._preferred_since[bucket] = now
            self._ranking[bucket] = ranking

    def set_holders(self, now: float, holders: Mapping[int, str]) -> None:
        """Set the holders of buckets as the coordinators report them."""
        for bucket in range(BUCKET_COUNT):
            holder = holders.get(bucket, self._own_address)
            if holder != self._own_address:
                self._free_since[bucket] = HELD_ELSEWHERE
                self._last_holder[bucket] = holder
            elif self._free_since[bucket] == HELD_ELSEWHERE:
                self._free_since[bucket] = now

    def mark_free(self, now: float, bucket: int) -> None:
        """Record that this gateway no longer holds a bucket."""
        self._free_since[bucket] = now

    def defer(self, bucket: int, until: float) -> None:
        """Prevent the acquisition of a bucket before a point in time."""
        self._retry_at[bucket] = until

    def can_acquire(self, now: float) -> bool:
        """Return whether this gateway may hold buckets and its view of the gateways has settled."""
        return now >= self._settled_at and self._own_address in self._gateways

    def is_own_turn(self, now: float, bucket: int) -> bool:
        """Return whether a bucket has been free long enough for this gateway to acquire it.

        `can_acquire` must be true.
        """
        free_since = self._free_since[bucket]
        if free_since == HELD_ELSEWHERE or now < self._retry_at[bucket]:
            return False
        return now - max(free_since, self._settled_at) >= ACQUIRE_STAGGER_MS * self._rank(bucket)

    def retry_delay_ms(self, bucket: int) -> float:
        """Return how long to wait after a rejected attempt; a gateway that ranks lower for the bucket waits longer."""
        ranking = self._ranking[bucket]
        if self._own_address not in ranking:
            return UNRANKED_RETRY_MS
        return REJECTED_RETRY_MS + RETRY_STAGGER_MS * ranking.index(self._own_address)

    def preferred_elsewhere_since(self, bucket: int) -> float:
        """Return when another gateway became the first for a bucket; infinity if no other gateway is first."""
        ranking = self._ranking[bucket]
        if not ranking or ranking[0] == self._own_address:
            return math.inf
        return self._preferred_since[bucket]

    def _rank(self, bucket: int) -> int:
        """Return how many gateways should try to acquire the bucket before this one.

        The last holder is not counted: it has most likely died, even if the view does not show that yet.
        """
        ranking, last_holder = self._ranking[bucket], self._last_holder[bucket]
        position = ranking.index(self._own_address)
        return position - (last_holder in ranking[:position])
