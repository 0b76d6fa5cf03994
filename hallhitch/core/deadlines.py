"""One clock, and one heap of all deadlines. Times are Unix time in ms."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from math import ceil
from typing import Any, Final, Protocol

import structlog

from hallhitch.core.invariants import COUNTS

log = structlog.get_logger()
Deadline = list[Any]  # when, a sequence number, and the callback: None once it was cancelled or has run
MAX_CANCELLED: Final = 256  # cancelled deadlines that may stay in the heap, or as many as are live


class Scheduler(Protocol):
    """The part of an event loop that the core uses."""

    def call_soon(self, callback: Callable[..., Any], /, *args: Any) -> Any:
        """Call back in the next turn."""

    def call_later(self, delay: float, callback: Callable[..., Any], /, *args: Any) -> Any:
        """Call back after a delay in seconds."""


class Clock:
    """Unix time in ms at the start plus monotonic time: it never steps back."""

    def __init__(self) -> None:
        self._base_ms = time.time() * 1000 - time.monotonic() * 1000

    def __call__(self) -> float:
        """Return the present moment in ms."""
        return self._base_ms + time.monotonic() * 1000


class Deadlines:
    """All deadlines of the program, run at each turn of the decision module and when the earliest is due.

    Nearly every deadline is cancelled before it is due. Cancelling only clears the callback; the heap is rebuilt once
    cancelled entries outnumber the live ones, which bounds it to twice what is live.
    """

    def __init__(self, clock: Callable[[], float], scheduler: Scheduler) -> None:
        self.clock = clock
        self._scheduler = scheduler
        self._heap: list[Deadline] = []
        self._cancelled = 0
        self._sequence = count()
        self._armed: tuple[float, Any] | None = None  # when the loop's timer is due, and its handle

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def call_after(self, delay: float, callback: Callable[[], None]) -> Deadline:
        """Call back once, `delay` ms from now."""
        return self.call_at(self.clock() + delay, callback)

    def call_at(self, when: float, callback: Callable[[], None]) -> Deadline:
        """Call back once, at or after `when`."""
        deadline: Deadline = [when, next(self._sequence), callback]
        heappush(self._heap, deadline)
        if self._armed is None or when < self._armed[0]:
            self._arm(when)
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a deadline; None and one that has run are ignored."""
        if deadline is not None and deadline[2] is not None:
            deadline[2] = None
            self._cancelled += 1
            if self._cancelled > MAX_CANCELLED and self._cancelled * 2 > len(self._heap):
                # In place, as run_due may be iterating over it.
                self._heap[:] = [entry for entry in self._heap if entry[2] is not None]
                heapify(self._heap)
                self._cancelled = 0

    def run_due(self) -> None:
        """Run the callbacks that are due."""
        now = self.clock()
        while self._heap and self._heap[0][0] <= now:
            deadline = heappop(self._heap)
            callback, deadline[2] = deadline[2], None
            if callback is None:
                self._cancelled -= 1
                continue
            try:
                callback()
            except Exception as error:  # noqa: BLE001  the failure of one callback must not stop the others
                COUNTS["deadline_failed"] += 1
                log.error("actor failed", actor="deadlines", exc_info=error)  # noqa: TRY400

    def _arm(self, when: float) -> None:
        """Set the loop's timer; where the earliest deadline is cancelled later, the timer finds nothing due."""
        if self._armed is not None:
            self._armed[1].cancel()
        # The loop's timers round to whole milliseconds, also down: woken too early, the program would wake again.
        delay_s = max(0, ceil(when - self.clock())) / 1000
        self._armed = when, self._scheduler.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._armed = None
        self.run_due()
        while self._heap and self._heap[0][2] is None:
            heappop(self._heap)
            self._cancelled -= 1
        if self._heap:
            self._arm(self._heap[0][0])
