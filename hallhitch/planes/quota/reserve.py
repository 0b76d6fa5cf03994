"""What a gateway passes on its own while no holder answers. Owns its windows and the count of gateways behind them.

All reserves together stay within their part of the bound, whoever is cut off from whom: each gateway divides by as many
gateways as the operator's word has noted that there may be, or by the most it has heard of lately, and more, where that
is more or nothing is noted. A process that has just started waits out one window: its earlier life may have used it.
"""

from __future__ import annotations

from hallhitch.planes.quota.limits import Quota
from hallhitch.planes.quota.window import SLOT, Window

MORE = 1.25  # gateways there may be for each one heard of, where nothing is noted
LATELY = 60_000.0  # ms for which a count of gateways is remembered, at least


class Reserve:
    """The reserve of one life of one gateway; `started` in steady ms."""

    def __init__(self, quota: Quota, started: float) -> None:
        self._quota, self._started = quota, started
        self._windows: dict[str, Window] = {}
        self._known = 0  # the most gateways heard of in this span of LATELY, and in the one before
        self._before = 0
        self._turned = started
        self._open = False
        self._noted = 0

    def note(self, gateways: int) -> None:
        """As many gateways as there may be, by the operator's word."""
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
        known = 0 < self._noted and seen <= self._noted
        if not known and not self._open:
            return None
        length, limit = self._quota.reserve(rate, burst, self._noted if known else seen * MORE + 1)
        if limit < 1 or now - self._started <= length + SLOT:
            return None
        window = self._windows.get(tenant)
        if window is None:
            window = self._windows[tenant] = Window(now, self._quota.window, length)
        window.reshape(now, length)
        if window.short + 1 > limit:
            return None
        return window.add(now, 1)

    def give_back(self, now: float, tenant: str, slot: int) -> None:
        """A unit that never ran."""
        window = self._windows.get(tenant)
        if window is not None:
            window.give_back(now, slot, 1)

    def forget(self, now: float) -> None:
        """Let go of the windows that are empty."""
        for tenant, window in [*self._windows.items()]:
            window.advance(now)
            if window.total <= 0:
                del self._windows[tenant]
