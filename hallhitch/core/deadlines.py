"""One clock and one sorted structure for all deadlines."""

from __future__ import annotations

import time
from collections.abc import Callable
from itertools import count
from typing import Any, Protocol

import structlog
from sortedcontainers import SortedList

from hallhitch.core.invariants import COUNTS

log = structlog.get_logger()
Entry = tuple[float, int, Callable[[], None]]


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
    """All deadlines of the program, soonest first; swept at each turn and when the soonest comes due."""

    def __init__(self, clock: Callable[[], float], scheduler: Scheduler) -> None:
        self.clock, self._scheduler = clock, scheduler
        self._due: SortedList[Entry] = SortedList()
        self._number = count()
        self._armed: tuple[float, Any] | None = None

    def after(self, delay: float, act: Callable[[], None]) -> Entry:
        """Call `act` once, so many milliseconds from now."""
        return self.at(self.clock() + delay, act)

    def at(self, when: float, act: Callable[[], None]) -> Entry:
        """Call `act` once, at or after that time."""
        entry = (when, next(self._number), act)
        self._due.add(entry)
        if self._armed is None or when < self._armed[0]:
            self._arm(when)
        return entry

    def drop(self, entry: Entry | None) -> None:
        """Forget a deadline; one that has passed or is unknown is no error."""
        if entry is not None:
            self._due.discard(entry)

    def sweep(self) -> None:
        """Act on all that is due."""
        now = self.clock()
        while self._due and self._due[0][0] <= now:
            act = self._due.pop(0)[2]
            try:
                act()
            except Exception as error:  # one act's failure is no other's
                COUNTS["deadline_failed"] += 1
                log.error("actor failed", actor="deadlines", exc_info=error)

    def _arm(self, when: float) -> None:
        # Set early enough for the soonest; where that one is dropped, the wake finds nothing due.
        if self._armed is not None:
            self._armed[1].cancel()
        delay = max(0.0, when - self.clock()) / 1000
        self._armed = when, self._scheduler.call_later(delay, self._wake)

    def _wake(self) -> None:
        self._armed = None
        self.sweep()
        if self._due:
            self._arm(self._due[0][0])
