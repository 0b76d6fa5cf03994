"""Token buckets by key, for callers' request rates and failed authentications. No clock: time comes in."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

from msgspec import Struct


class _Bucket(Struct):
    tokens: float
    updated_at_s: float


class TokenBuckets:
    """Buckets of at most `burst` tokens that fill by `rate_per_s`; past `max_keys` the least recently used go.

    An evicted bucket is a full one: with more than `max_keys` in use at once, limits are looser, never tighter.
    """

    def __init__(self, rate_per_s: float, burst: float, max_keys: int = 10_000) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._max_keys = max_keys
        self._buckets: OrderedDict[Hashable, _Bucket] = OrderedDict()

    def wait(self, key: Hashable, now_s: float) -> float:
        """Return the seconds until there is a token, 0 if there is one now; nothing is taken."""
        bucket = self._buckets.get(key)
        if bucket is None:
            return 0.0
        self._refill(bucket, now_s)
        return max(0.0, (1.0 - bucket.tokens) / self._rate_per_s)

    def take(self, key: Hashable, now_s: float) -> float:
        """Take a token and return 0; without one, take nothing and return the seconds until there is one."""
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _Bucket(self._burst, now_s)
            while len(self._buckets) > self._max_keys:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(key)
        self._refill(bucket, now_s)
        if bucket.tokens < 1.0:
            return (1.0 - bucket.tokens) / self._rate_per_s
        bucket.tokens -= 1.0
        return 0.0

    def _refill(self, bucket: _Bucket, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - bucket.updated_at_s)
        bucket.tokens = min(self._burst, bucket.tokens + elapsed_s * self._rate_per_s)
        bucket.updated_at_s = max(now_s, bucket.updated_at_s)
