"""How much of a tenant's bound each part may pass. Owns the arithmetic of the QUOTA rule; keeps no state.

In every sliding window W all gateways together may pass B = (rate * W + burst) * (1 + over) + slack. The holder of
the tenant's bucket passes HELD of it, the reserves of all gateways together the rest. These two must never overlap.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass

BUCKETS = 128
# The holder's part of the bound; the rest is the reserves'. A tenant at its usual rate stays below it, so the reserves
# are whole when a holder dies; one at its limit uses both.
HELD = 0.65
USED = 0.97  # of the bound: what is left is for what nobody thought of
SHORTEST = 500.0  # ms: below it two hops between regions would decide who passes


def bucket_of(tenant: str) -> int:
    """The bucket of a tenant's name: the same in every process and every version.

    >>> bucket_of("huka270") == bucket_of("huka270") < BUCKETS
    True
    """
    return zlib.crc32(tenant.encode()) % BUCKETS


@dataclass(frozen=True, slots=True)
class Quota:
    """The rule's figures: `window` in ms, `over` a share, `slack` in requests."""

    window: float
    over: float
    slack: float

    def bound(self, rate: float, burst: float) -> float:
        """What all gateways together may pass in any sliding window.

        >>> Quota(5000.0, 0.1, 20.0).bound(100.0, 100.0)
        680.0
        """
        return round((rate * self.window / 1000 + burst) * (1 + self.over) + self.slack, 6)

    def held(self, rate: float, burst: float) -> float:
        """What the holder may pass in any sliding window."""
        return HELD * USED * self.bound(rate, burst)

    def short(self, rate: float, burst: float) -> tuple[float, float]:
        """The tenant's own window (ms) and its limit: burst over rate seconds long, with the burst as limit.

        The limit has room for a random stream's waves on top, and never lies over the holder's whole part.
        A window lengthened to SHORTEST carries what the rate gives in it.
        """
        length = min(max(burst / rate * 1000, SHORTEST), self.window)
        limit = max(burst, rate * length / 1000)
        return length, min(limit + 2 * math.sqrt(limit) + 2, self.held(rate, burst))

    def reserve(self, rate: float, burst: float, gateways: int) -> float:
        """What one gateway may pass on its own in any sliding window, where `gateways` have been seen."""
        return (1 - HELD) * USED * self.bound(rate, burst) / (gateways * 1.25 + 1)
