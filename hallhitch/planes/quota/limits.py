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
HELD = 0.55
USED = 0.97  # of the bound: what is left is for what nobody thought of
EVEN = 0.6  # of a reserve is passed evenly: what a process that has just started may use
LEAST = 3.0  # units that a reserve's window has room for, or it is made longer: a limit is cut to whole units
BRIEF = 250.0  # ms: no shorter window for a reserve
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
        """The tenant's own window (ms) and its limit: burst over rate seconds long, and its share of the holder's part.

        So a tenant that presses is passed evenly, not all at once and then nothing. The limit has room for a random
        stream's waves on top, and never lies over the holder's whole part.
        """
        length, held = self._own(rate, burst), self.held(rate, burst)
        share = held * length / self.window
        return length, min(share + 2 * math.sqrt(share) + 2, held)

    def whole(self, rate: float, burst: float) -> tuple[float, float, float]:
        """What a tenant is given of all parts together: its own window (ms), the limit in it, and in the rule's window.

        The design's default, one window of burst over rate seconds with the burst as its limit, with room for a
        random stream's waves; over the rule's window what its rate and burst come to.
        """
        length, most = self._own(rate, burst), rate * self.window / 1000 + burst
        limit = max(burst, rate * length / 1000)
        return length, min(limit + 2 * math.sqrt(limit) + 2, most), most

    def _own(self, rate: float, burst: float) -> float:
        return min(max(burst / rate * 1000, SHORTEST), self.window)

    def reserve(self, rate: float, burst: float, gateways: float) -> tuple[float, float, float]:
        """One gateway's reserve where there are at most so many: a window (ms), its limit, and a limit in the rule's.

        The first window is a whole part of the rule's, so that no more fits into that than EVEN of the gateway's part;
        it is as short as something still fits into it: a process that starts waits out one of them. The rest is for
        the rule's whole window, to be used at once where a holder has died.
        """
        part = (1 - HELD) * USED * self.bound(rate, burst) / gateways
        pieces = max(1, min(int(self.window / BRIEF), int(EVEN * part / LEAST)))
        even = math.floor(EVEN * part / pieces)
        return self.window / pieces, even, part - even * pieces
