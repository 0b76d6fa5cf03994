"""The arithmetic of the quota rule: how many units each part of the system may admit. Keeps no state.

In every sliding window W all gateways together may admit (rate * W + burst) * (1 + overshoot) + slack requests of a
tenant. The holder of the tenant's bucket has HOLDER_SHARE of that, the local reserves of all gateways have the rest.
Invariant: the holder's limit and the sum of all reserves' limits never exceed USABLE_SHARE of the rule's limit.

Units are requests; durations are ms.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import Final, NamedTuple

BUCKET_COUNT: Final = 128
# The holder's share of the rule's limit; the rest is the reserves'. A tenant at its usual rate stays below it, so the
# reserves are unused when a holder dies; one at its limit uses both.
HOLDER_SHARE: Final = 0.55
# Of the rule's limit. The remainder covers what this arithmetic leaves out, such as clocks that differ.
USABLE_SHARE: Final = 0.97
# Of a reserve. So much is admitted evenly, which is all that a process that has just started may use.
EVEN_RESERVE_SHARE: Final = 0.8
# A reserve's short window is made so long that it admits this many units, as limits are rounded down to integers.
MIN_RESERVE_UNITS: Final = 3.0
# Units that a tenant with a large enough burst may use at once, whatever its rate.
SMALL_BURST_UNITS: Final = 30.0
# Units that the holder's short window admits at least: fewer would reject the random fluctuation of an even stream.
MIN_HOLDER_WINDOW_UNITS: Final = 20.0
# A new process waits out one short window of its reserve, so that window is short, but longer than a network delay.
MIN_RESERVE_WINDOW_MS: Final = 250.0
# In a shorter window the delay of two hops between regions would decide who is admitted.
MIN_HOLDER_WINDOW_MS: Final = 500.0


def bucket_of(tenant: str) -> int:
    """Return the bucket of a tenant's name, which is the same in every process and every version.

    >>> bucket_of("huka270") == bucket_of("huka270") < BUCKET_COUNT
    True
    """
    return zlib.crc32(tenant.encode()) % BUCKET_COUNT


class RateLimit(NamedTuple):
    """A tenant's limit as configured."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class WindowLimit:
    """The units that may be admitted in any sliding window of a length."""

    window_ms: float
    units: float


@dataclass(frozen=True, slots=True)
class TenantLimits:
    """What holder and reserves together may admit of a tenant: in a short window, and in the rule's window."""

    short: WindowLimit
    full_units: float


@dataclass(frozen=True, slots=True)
class ReserveLimits:
    """What one reserve may admit: evenly, in a short window, and at once, in the rule's window."""

    even: WindowLimit
    at_once_units: float


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """The figures of the rule; `slack` in requests."""

    window_ms: float
    overshoot_ratio: float
    slack: float

    def total_limit(self, limit: RateLimit) -> float:
        """Return what all gateways together may admit in any sliding window.

        >>> QuotaRule(5000.0, 0.1, 20.0).total_limit(RateLimit(100.0, 100.0))
        680.0
        """
        return round(self._configured_units(limit) * (1 + self.overshoot_ratio) + self.slack, 6)

    def holder_limit(self, limit: RateLimit, max_gateways: int = 0) -> float:
        """Return what the holder may admit in any sliding window; `max_gateways` 0 = not known.

        It has the reserves' share too where one reserve among so many gateways would have next to nothing.
        """
        has_reserves = max_gateways == 0 or self._reserve_limit(limit, max_gateways) >= MIN_RESERVE_UNITS
        share = HOLDER_SHARE if has_reserves else 1.0
        return share * USABLE_SHARE * self.total_limit(limit)

    def holder_short_window(self, limit: RateLimit, max_gateways: int = 0) -> WindowLimit:
        """Return a shorter window for the holder, with its share of the holder's limit.

        A tenant over its limit is then admitted evenly rather than in one burst a window, and a new holder without a
        usage report waits for little more than the short window. On top of the share comes its square root, for the
        fluctuation of a random stream. More would let the holder's limit be used up sooner, and the reserves absorb
        fluctuation too.
        """
        holder_limit = self.holder_limit(limit, max_gateways)
        max_windows = min(int(self.window_ms / MIN_HOLDER_WINDOW_MS), int(holder_limit / MIN_HOLDER_WINDOW_UNITS))
        windows = max(1, max_windows)
        share = holder_limit / windows
        return WindowLimit(self.window_ms / windows, min(share + math.sqrt(share), holder_limit))

    def tenant_limits(self, limit: RateLimit, max_gateways: int = 0) -> TenantLimits:
        """Return what holder and reserves together may admit of a tenant.

        The short window is as long as the holder's. It admits the configured rate and, for the fluctuation of a random
        stream, twice the square root of that and two units; or a small burst where that is more. A longer window would
        admit its units all at once, more than holder and reserves have capacity for at that time.
        """
        window_ms = self.holder_short_window(limit, max_gateways).window_ms
        full_units = self._configured_units(limit)
        share = limit.rate_per_s * window_ms / 1000
        wanted = max(share + 2 * math.sqrt(share) + 2, min(limit.burst, SMALL_BURST_UNITS))
        return TenantLimits(WindowLimit(window_ms, min(wanted, full_units)), full_units)

    def reserve_limits(self, limit: RateLimit, gateways: float) -> ReserveLimits:
        """Return one gateway's reserve where there are at most so many gateways.

        The short window divides the rule's window without remainder, so that the latter admits no more than
        EVEN_RESERVE_SHARE of the reserve. It is as short as MIN_RESERVE_UNITS allow, as a process that starts waits it
        out. The rest of the reserve may be used at once, where a holder has died.
        """
        reserve_limit = self._reserve_limit(limit, gateways)
        if reserve_limit < MIN_RESERVE_UNITS:
            return ReserveLimits(WindowLimit(self.window_ms, 0), 0.0)
        even_limit = EVEN_RESERVE_SHARE * reserve_limit
        windows = max(1, min(int(self.window_ms / MIN_RESERVE_WINDOW_MS), int(even_limit / MIN_RESERVE_UNITS)))
        even_units = math.floor(even_limit / windows)
        return ReserveLimits(WindowLimit(self.window_ms / windows, even_units), reserve_limit - even_units * windows)

    def _configured_units(self, limit: RateLimit) -> float:
        return limit.rate_per_s * self.window_ms / 1000 + limit.burst

    def _reserve_limit(self, limit: RateLimit, gateways: float) -> float:
        return (1 - HOLDER_SHARE) * USABLE_SHARE * self.total_limit(limit) / gateways
