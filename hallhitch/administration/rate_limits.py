"""Token buckets by key, which limit the request rates of callers and the rate of failed authentications.

The module reads no clock; callers pass the time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

from msgspec import Struct


class _Bucket(Struct):
    tokens: float
    updated_at_s: float


class TokenBuckets:
    """Token buckets that hold at most `burst` tokens and are refilled at `rate_per_s`.

    Beyond `max_keys` buckets, the least recently used one is evicted. A key whose bucket was evicted starts again with
    a full one, so with more than `max_keys` keys in use the limits become looser, never tighter.
    """

    def __init__(self, rate_per_s: float, burst: float, max_keys: int = 10_000) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._max_keys = max_keys
        self._buckets: OrderedDict[Hashable, _Bucket] = OrderedDict()

    def seconds_until_token(self, key: Hashable, now_s: float) -> float:
        """Return the seconds until a token is available, 0 if there is one now; take no token."""
        bucket = self._buckets.get(key)
        if bucket is None:
            return 0.0
        self._refill(bucket, now_s)
        return max(0.0, (1.0 - bucket.tokens) / self._rate_per_s)

    def take(self, key: Hashable, now_s: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
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
