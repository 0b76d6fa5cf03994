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
EVEN = 0.8  # of a reserve is passed evenly: what a process that has just started may use
LEAST = 3.0  # units that a reserve's window has room for, or it is made longer: a limit is cut to whole units
SMALL = 30.0  # units that may come at once, whatever the rate
FEW = 20.0  # units that the holder's shorter window has room for at least: fewer would refuse what chance brings
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

    def held(self, rate: float, burst: float, fleet: int = 0) -> float:
        """What the holder may pass in any sliding window, where so many gateways are noted (0 = not noted).

        All of it, where a reserve of one among so many would be next to nothing.
        """
        part = HELD if fleet == 0 or self._part(rate, burst, fleet) >= LEAST else 1.0
        return part * USED * self.bound(rate, burst)

    def short(self, rate: float, burst: float, fleet: int = 0) -> tuple[float, float]:
        """A shorter window (ms) for the holder, and its limit: its share of the holder's part.

        So a tenant that presses is passed evenly, not all at once and then nothing, and a new holder that knows
        nothing waits out little more than that: the more room it has for a random stream's waves on top, the sooner
        all of the holder's part may have been used up before. Waves are what reserves are for, too.
        """
        held = self.held(rate, burst, fleet)
        pieces = max(1, min(int(self.window / SHORTEST), int(held / FEW)))
        share = held / pieces
        return self.window / pieces, min(share + math.sqrt(share), held)

    def whole(self, rate: float, burst: float, fleet: int = 0) -> tuple[float, float, float]:
        """What a tenant is given of all parts together: a window (ms), the limit in it, and in the rule's window.

        The design's window is burst over rate seconds long, with the burst as its limit. A shorter one has its share
        of that, and room for a random stream's waves and for small bursts: in a longer one than the holder's own all
        that is passed would come at once, more than holder and reserves have room for just then. Over the rule's
        window a tenant has what its rate and burst come to.
        """
        length, most = self.short(rate, burst, fleet)[0], rate * self.window / 1000 + burst
        share = rate * length / 1000
        return length, min(max(share + 2 * math.sqrt(share) + 2, min(burst, SMALL)), most), most

    def _part(self, rate: float, burst: float, gateways: float) -> float:
        return (1 - HELD) * USED * self.bound(rate, burst) / gateways

    def reserve(self, rate: float, burst: float, gateways: float) -> tuple[float, float, float]:
        """One gateway's reserve where there are at most so many: a window (ms), its limit, and a limit in the rule's.

        The first window is a whole part of the rule's, so that no more fits into that than EVEN of the gateway's part;
        it is as short as something still fits into it: a process that starts waits out one of them. The rest is for
        the rule's whole window, to be used at once where a holder has died.
        """
        part = self._part(rate, burst, gateways)
        if part < LEAST:
            return self.window, 0, 0.0
        pieces = max(1, min(int(self.window / BRIEF), int(EVEN * part / LEAST)))
        even = math.floor(EVEN * part / pieces)
        return self.window / pieces, even, part - even * pieces
