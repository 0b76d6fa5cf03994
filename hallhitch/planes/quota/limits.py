"""The arithmetic of the quota rule: how many units the holder and the local reserves may admit. Stateless.

In every sliding window W all gateways together may admit (rate * W + burst) * (1 + overshoot) + slack requests of a
tenant. The holder of the tenant's bucket may admit HOLDER_SHARE of that, and the local reserves of all gateways the
rest. Invariant: the holder's limit plus the limits of all reserves never exceed USABLE_SHARE of the rule's limit.

Units are requests; durations are ms.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import Final, NamedTuple

BUCKET_COUNT: Final = 128
# The holder's share of the rule's limit; the reserves have the rest. A tenant at its usual rate stays below this share,
# so the reserves are still unused when a holder dies; a tenant at its limit uses both.
HOLDER_SHARE: Final = 0.55
# The share of the rule's limit that is used. The remainder covers effects that this arithmetic leaves out, such as
# clocks that differ.
USABLE_SHARE: Final = 0.97
# The share of a reserve that is admitted at a steady rate. A process that has just started may use only this share.
STEADY_RESERVE_SHARE: Final = 0.8
# A reserve's short window is long enough to admit this many units, because limits are rounded down to integers.
MIN_RESERVE_UNITS: Final = 3.0
# Units that a tenant with a large enough burst may use at once, regardless of its rate.
SMALL_BURST_UNITS: Final = 30.0
# Minimum number of units that the holder's short window admits. With fewer, the random fluctuation of a steady request
# stream would be rejected.
MIN_HOLDER_WINDOW_UNITS: Final = 20.0
# A new process waits for one short window of its reserve, so that window is short, but longer than a network delay.
MIN_RESERVE_WINDOW_MS: Final = 250.0
# In a shorter window the delay of two hops between regions would decide which requests are admitted.
MIN_HOLDER_WINDOW_MS: Final = 500.0


def bucket_of(tenant: str) -> int:
    """Return the bucket of a tenant's name; it is the same in every process and every release.

    >>> bucket_of("huka270") == bucket_of("huka270") < BUCKET_COUNT
    True
    """
    return zlib.crc32(tenant.encode()) % BUCKET_COUNT


class RateLimit(NamedTuple):
    """A tenant's configured limit."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class WindowLimit:
    """The units that may be admitted in any sliding window of length `window_ms`."""

    window_ms: float
    units: float


@dataclass(frozen=True, slots=True)
class TenantLimits:
    """The limits of one tenant for the holder and the reserves together: in a short window and in the rule's window."""

    short: WindowLimit
    full_units: float


@dataclass(frozen=True, slots=True)
class ReserveLimits:
    """The limits of one reserve: a steady rate (in a short window), and a burst (in the rule's window)."""

    steady: WindowLimit
    burst_units: float


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """The parameters of the rule; `slack` is a number of requests."""

    window_ms: float
    overshoot_ratio: float
    slack: float

    def total_limit(self, limit: RateLimit) -> float:
        """Return how many units all gateways together may admit in any sliding window.

        >>> QuotaRule(5000.0, 0.1, 20.0).total_limit(RateLimit(100.0, 100.0))
        680.0
        """
        return round(self._configured_units(limit) * (1 + self.overshoot_ratio) + self.slack, 6)

    def holder_limit(self, limit: RateLimit, max_gateways: int = 0) -> float:
        """Return how many units the holder may admit in any sliding window; `max_gateways` 0 = not known.

        The holder also gets the reserves' share if there are so many gateways that one reserve would be almost empty.
        """
        has_reserves = max_gateways == 0 or self._reserve_limit(limit, max_gateways) >= MIN_RESERVE_UNITS
        share = HOLDER_SHARE if has_reserves else 1.0
        return share * USABLE_SHARE * self.total_limit(limit)

    def holder_short_window(self, limit: RateLimit, max_gateways: int = 0) -> WindowLimit:
        """Return the limit of a shorter window for the holder: its share of the holder's limit plus a margin.

        With it a tenant over its limit is admitted at a steady rate rather than in one burst per window, and a new
        holder without a usage report waits for little more than the short window. The margin is the square root of the
        share and covers the fluctuation of a random stream. A larger margin would use up the holder's limit sooner, and
        the reserves absorb fluctuation too.
        """
        holder_limit = self.holder_limit(limit, max_gateways)
        max_windows = min(int(self.window_ms / MIN_HOLDER_WINDOW_MS), int(holder_limit / MIN_HOLDER_WINDOW_UNITS))
        windows = max(1, max_windows)
        share = holder_limit / windows
        return WindowLimit(self.window_ms / windows, min(share + math.sqrt(share), holder_limit))

    def tenant_limits(self, limit: RateLimit, max_gateways: int = 0) -> TenantLimits:
        """Return the limits of a tenant for the holder and the reserves together.

        The short window is as long as the holder's. It admits the units of the configured rate plus, for the
        fluctuation of a random stream, twice their square root and two units; or a small burst if that is more. A
        longer window would admit its units all at once, which is more than the holder and the reserves have capacity
        for at that time.
        """
        window_ms = self.holder_short_window(limit, max_gateways).window_ms
        full_units = self._configured_units(limit)
        share = limit.rate_per_s * window_ms / 1000
        short_units = max(share + 2 * math.sqrt(share) + 2, min(limit.burst, SMALL_BURST_UNITS))
        return TenantLimits(WindowLimit(window_ms, min(short_units, full_units)), full_units)

    def reserve_limits(self, limit: RateLimit, gateways: float) -> ReserveLimits:
        """Return the limits of one gateway's reserve if there are at most `gateways` gateways.

        The short window divides the rule's window without remainder, so that the rule's window admits no more than
        STEADY_RESERVE_SHARE of the reserve. It is as short as MIN_RESERVE_UNITS allows, because a process that starts
        waits for its end. The rest of the reserve may be used in one burst, for example when a holder has died.
        """
        reserve_limit = self._reserve_limit(limit, gateways)
        if reserve_limit < MIN_RESERVE_UNITS:
            return ReserveLimits(WindowLimit(self.window_ms, 0), 0.0)
        steady_limit = STEADY_RESERVE_SHARE * reserve_limit
        windows = max(1, min(int(self.window_ms / MIN_RESERVE_WINDOW_MS), int(steady_limit / MIN_RESERVE_UNITS)))
        steady_units = math.floor(steady_limit / windows)
        return ReserveLimits(
            WindowLimit(self.window_ms / windows, steady_units), reserve_limit - steady_units * windows
        )

    def _configured_units(self, limit: RateLimit) -> float:
        return limit.rate_per_s * self.window_ms / 1000 + limit.burst

    def _reserve_limit(self, limit: RateLimit, gateways: float) -> float:
        return (1 - HOLDER_SHARE) * USABLE_SHARE * self.total_limit(limit) / gateways
