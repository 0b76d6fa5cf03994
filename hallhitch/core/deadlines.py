"""One clock and one sorted structure, a heap, for all deadlines."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from math import ceil
from typing import Any, Protocol

import structlog

from hallhitch.core.invariants import COUNTS

log = structlog.get_logger()
Entry = list[Any]  # when, a number of its own, and what to do: None once it is dropped or done
DROPPED_MOST = 256  # dropped entries that may stay in the heap, or as many as are live


class Scheduler(Protocol):
    """The part of an event loop that the core uses."""

    def call_soon(self, callback: Callable[..., Any], /, *args: Any) -> Any: ...

    def call_later(self, delay: float, callback: Callable[..., Any], /, *args: Any) -> Any: ...


class Clock:
    """Unix milliseconds at the start plus monotonic time: it never steps back."""

    def __init__(self) -> None:
        self._base = time.time() * 1000 - time.monotonic() * 1000

    def __call__(self) -> float:
        return self._base + time.monotonic() * 1000


class Deadlines:
    """All deadlines of the program, soonest first; swept at each turn and when the soonest comes due.

    One heap. Nearly every deadline is dropped before it is due, so a drop only forgets what was to be done; the heap
    is rebuilt once dropped entries outnumber the live ones, which bounds it to twice what is live.
    """

    def __init__(self, clock: Callable[[], float], scheduler: Scheduler) -> None:
        self.clock, self._scheduler = clock, scheduler
        self._due: list[Entry] = []
        self._dropped = 0
        self._number = count()
        self._armed: tuple[float, Any] | None = None

    def __len__(self) -> int:
        return len(self._due) - self._dropped

    def after(self, delay: float, act: Callable[[], None]) -> Entry:
        """Call `act` once, so many milliseconds from now."""
        return self.at(self.clock() + delay, act)

    def at(self, when: float, act: Callable[[], None]) -> Entry:
        """Call `act` once, at or after that time."""
        entry: Entry = [when, next(self._number), act]
        heappush(self._due, entry)
        if self._armed is None or when < self._armed[0]:
            self._arm(when)
        return entry

    def drop(self, entry: Entry | None) -> None:
        """Forget a deadline; one that has passed or is unknown is no error."""
        if entry is not None and entry[2] is not None:
            entry[2] = None
            self._dropped += 1
            if self._dropped > DROPPED_MOST and self._dropped * 2 > len(self._due):
                # In place: a sweep under way goes on with what is left.
                self._due[:] = [one for one in self._due if one[2] is not None]
                heapify(self._due)
                self._dropped = 0

    def sweep(self) -> None:
        """Act on all that is due."""
        now = self.clock()
        while self._due and self._due[0][0] <= now:
            entry = heappop(self._due)
            act, entry[2] = entry[2], None
            if act is None:
                self._dropped -= 1
                continue
            try:
                act()
            except Exception as error:  # one act's failure is no other's
                COUNTS["deadline_failed"] += 1
                log.error("actor failed", actor="deadlines", exc_info=error)

    def _arm(self, when: float) -> None:
        # Set early enough for the soonest; where that one is dropped, the wake finds nothing due.
        if self._armed is not None:
            self._armed[1].cancel()
        # The loop's timers round to whole milliseconds, also down: woken early, the program would only turn in haste.
        delay = max(0, ceil(when - self.clock())) / 1000
        self._armed = when, self._scheduler.call_later(delay, self._wake)

    def _wake(self) -> None:
        self._armed = None
        self.sweep()
        while self._due and self._due[0][2] is None:
            heappop(self._due)
            self._dropped -= 1
        if self._due:
            self._arm(self._due[0][0])
