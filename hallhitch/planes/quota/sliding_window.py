"""A sliding count in slots. Owns the counted units of one tenant; a slot that is covered in part counts whole.

So what it counts over a span is never less than what was counted within that span. Moments are steady ms of one
process, and never go back.
"""

from __future__ import annotations

import math

SLOT = 50.0  # ms
NUMBERS = 1 << 14  # slot numbers are told apart within so many: far more than any window has


class SlidingWindow:
    """Units counted within `length` ms, and within the shorter `short` ms."""

    __slots__ = ("_head", "_keep", "_ring", "_short_keep", "short", "total")

    def __init__(self, now: float, length: float, short: float) -> None:
        self._keep = math.ceil(length / SLOT) + 1
        self._short_keep = min(math.ceil(short / SLOT) + 1, self._keep)
        self._ring = [0] * self._keep
        self._head = int(now // SLOT)
        self.total = self.short = 0

    def advance(self, now: float) -> None:
        """Let go of what has left the windows."""
        head = int(now // SLOT)
        if head - self._head >= self._keep:
            self._ring = [0] * self._keep
            self._head, self.total, self.short = head, 0, 0
            return
        ring, keep = self._ring, self._keep
        while self._head < head:
            self._head += 1
            self.short -= ring[(self._head - self._short_keep) % keep]
            at = self._head % keep
            self.total -= ring[at]
            ring[at] = 0

    def reshape(self, now: float, short: float) -> None:
        """The shorter window has another length from now on."""
        self.advance(now)
        self._short_keep = min(math.ceil(short / SLOT) + 1, self._keep)
        self.short = sum(self._ring[(self._head - back) % self._keep] for back in range(self._short_keep))

    def add(self, now: float, units: int) -> int:
        """Count units now; the number of their slot is what `give_back` asks for."""
        self.advance(now)
        self._ring[self._head % self._keep] += units
        self.total += units
        self.short += units
        return self._head % NUMBERS

    def fill(self, moment: float, units: int) -> None:
        """Count units at a past moment, where it still lies in the window; `advance` comes first."""
        back = self._head - int(moment // SLOT)
        if back < 0:
            back = 0
        if back < self._keep:
            self._ring[(self._head - back) % self._keep] += units
            self.total += units
            if back < self._short_keep:
                self.short += units

    def cells(self, now: float, number: int, length: float) -> list[int]:
        """Units in so many spans of `length` ms, newest first, no unit in an older span than its own.

        The last one takes what is older still.
        """
        self.advance(now)
        sums = [0] * number
        for back in range(self._keep):
            units = self._ring[(self._head - back) % self._keep]
            if units:
                end = min((self._head - back + 1) * SLOT, now)
                sums[min(int((now - end) / length), number - 1)] += units
        return sums

    def give_back(self, now: float, number: int, units: int) -> bool:
        """Take units out of the slot they were counted in; False where it is gone or has not so many."""
        self.advance(now)
        back = (self._head - number) % NUMBERS
        at = (self._head - back) % self._keep
        if back >= self._keep or self._ring[at] < units:
            return False
        self._ring[at] -= units
        self.total -= units
        if back < self._short_keep:
            self.short -= units
        return True

    def room_in(self, now: float, units: int, limit: float, short_limit: float) -> float:
        """ms until both windows have room for units, if nothing more is counted; `advance` comes first."""
        return max(
            self._leaves(now, self.total + units - limit, self._keep),
            self._leaves(now, self.short + units - short_limit, self._short_keep),
        )

    def _leaves(self, now: float, much: float, keep: int) -> float:
        """ms until so many units have left the last `keep` slots."""
        if much <= 0:
            return 0.0
        for back in range(keep - 1, -1, -1):
            much -= self._ring[(self._head - back) % self._keep]
            if much <= 0:
                return (self._head - back + keep) * SLOT - now
        return keep * SLOT
