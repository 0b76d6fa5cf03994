"""What a gateway passes on its own while no holder answers. Owns its windows and the count of gateways behind them.

All reserves together stay within their part of the bound, whoever is cut off from whom: each gateway divides by as many
gateways as the cluster configuration has noted that there may be, or by the most it has heard of lately, and more,
where that
is more or nothing is noted. A process that has just started waits out a window before it uses what belongs to it, as
its earlier incarnation may have used it.
"""

from __future__ import annotations

from collections import deque

from hallhitch.planes.quota.limits import Quota

MORE = 1.25  # gateways there may be for each one heard of, where nothing is noted
LATELY = 60_000.0  # ms for which a count of gateways is remembered, at least


class LocalReserve:
    """The reserve of one incarnation of one gateway; `started` in steady ms."""

    def __init__(self, quota: Quota, started: float) -> None:
        self._quota, self._started = quota, started
        # Moments, as few as they are: slots would waste room. Those passed evenly, and those at once.
        self._units: dict[str, tuple[deque[tuple[float, int]], deque[tuple[float, int]]]] = {}
        self._number = 0
        self._known = 0  # the most gateways heard of in this span of LATELY, and in the one before
        self._before = 0
        self._turned = started
        self._open = False
        self._noted = 0

    def note(self, gateways: int) -> None:
        """As many gateways as there may be, by the cluster configuration."""
        self._noted = gateways

    def heard(self, now: float, gateways: int, majority: bool) -> None:
        """So many gateways may exist. `majority`: of the coordinators has told; one alone may know few."""
        self._open = self._open or majority and gateways > 0 and now - self._started > self._quota.window
        if now - self._turned > LATELY:
            self._before, self._known, self._turned = self._known, 0, now
        self._known = max(self._known, gateways)

    def take(self, now: float, tenant: str, rate: float, burst: float) -> int | None:
        """One unit: the number of its slot, or None where nothing is left."""
        seen = max(self._known, self._before)
        known = self._noted > 0 and seen <= self._noted
        if not known and not self._open:
            return None
        length, even, rest = self._quota.reserve(rate, burst, self._noted if known else seen * MORE + 1)
        evenly, at_once = self._units.setdefault(tenant, (deque(), deque()))
        for units, window, limit in ((evenly, length, even), (at_once, self._quota.window, rest)):
            while units and now - units[0][0] > window:
                units.popleft()
            if len(units) + 1 <= limit and now - self._started > window:
                self._number += 1
                units.append((now, self._number))
                return self._number
        return None

    def give_back(self, now: float, tenant: str, slot: int) -> None:
        """A unit that never ran."""
        for units in self._units.get(tenant, ()):
            for at, unit in enumerate(units):
                if unit[1] == slot:
                    del units[at]
                    return

    def forget(self, now: float) -> None:
        """Let go of the windows that are empty."""
        for tenant, both in [*self._units.items()]:
            if all(not units or now - units[-1][0] > self._quota.window for units in both):
                del self._units[tenant]
