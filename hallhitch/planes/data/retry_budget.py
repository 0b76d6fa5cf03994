"""The retry budget of one service at this gateway: its own part of what all gateways may add together.

Owns the counts of one sliding window. Must never let a window's further arrivals pass the part, whatever the others do.
"""

from __future__ import annotations

from collections import deque

RATIO_PART = 0.8  # of the ratio: what others' clocks, and the half of a window in which traffic falls, may cost
SLACK_PART = 0.5  # of the slack: the other half is for gateways that know fewer of the others than there are
SLICE = 250.0  # ms: first sends are counted in slices, the oldest one is left out


class RetryBudget:
    """Counts requests and further arrivals; asked before each further send."""

    def __init__(self, ratio: float, window: float, slack: float, now: float) -> None:
        self._ratio, self._window, self._slack = ratio * RATIO_PART, window, slack * SLACK_PART
        self._born = now
        self._slices: deque[tuple[float, int]] = deque()
        self._firsts = 0
        self._further: deque[float] = deque()

    def first(self, now: float) -> None:
        """A request for the service was admitted."""
        start = now // SLICE * SLICE
        if self._slices and self._slices[-1][0] == start:
            self._slices[-1] = (start, self._slices[-1][1] + 1)
        else:
            self._slices.append((start, 1))
        self._firsts += 1
        self._forget(now)

    def room(self, now: float, gateways: int) -> bool:
        """Whether one more further arrival fits, with so many gateways known."""
        self._forget(now)
        # A fresh process may be the second life of one that has used its slack within this window.
        slack = self._slack / max(gateways, 1) if now - self._born >= self._window else 0.0
        return len(self._further) + 1 <= self._ratio * self._firsts + slack

    def take(self, now: float) -> float:
        """One further send; returns the mark to give it back with."""
        self._further.append(now)
        return now

    def give_back(self, mark: float) -> None:
        """That send never arrived."""
        if mark in self._further:
            self._further.remove(mark)

    def _forget(self, now: float) -> None:
        edge = now - self._window
        while self._slices and self._slices[0][0] < edge:
            self._firsts -= self._slices.popleft()[1]
        while self._further and self._further[0] <= edge:
            self._further.popleft()
