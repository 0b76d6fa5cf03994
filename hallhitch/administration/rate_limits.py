"""Token buckets by key, for callers' rates and their failures. Decisions over values: time comes in."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

from msgspec import Struct


class _Bucket(Struct):
    tokens: float
    updated_at_s: float


class TokenBuckets:
    """Buckets that hold `burst` and fill by `rate` a second; those unused for longest are forgotten past `most`.

    A forgotten bucket is a full one: with more keys than `most` in use at once, limits are looser, never tighter.
    """

    def __init__(self, rate: float, burst: float, most: int = 10_000) -> None:
        self._rate_per_s, self._burst, self._max_keys = rate, burst, most
        self._buckets: OrderedDict[Hashable, _Bucket] = OrderedDict()

    def wait(self, key: Hashable, now: float) -> float:
        """Seconds until there is a token; 0 if there is one now. Takes nothing."""
        bucket = self._buckets.get(key)
        if bucket is None:
            return 0.0
        self._refill(bucket, now)
        return max(0.0, (1.0 - bucket.tokens) / self._rate_per_s)

    def take(self, key: Hashable, now: float) -> float:
        """Take a token: 0, or the seconds until there is one, and then nothing is taken."""
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(self._burst, now)
            while len(self._buckets) > self._max_keys:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(key)
        self._refill(bucket, now)
        if bucket.tokens < 1.0:
            return (1.0 - bucket.tokens) / self._rate_per_s
        bucket.tokens -= 1.0
        return 0.0

    def _refill(self, bucket: _Bucket, now: float) -> None:
        bucket.tokens = min(self._burst, bucket.tokens + max(0.0, now - bucket.updated_at_s) * self._rate_per_s)
        bucket.updated_at_s = max(now, bucket.updated_at_s)
