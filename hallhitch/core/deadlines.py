"""The clock and the timer heap that the whole process shares. Times are Unix time in ms."""

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
# Time, sequence number and callback; the callback is None once the deadline was cancelled or has run.
Deadline = list[Any]
MAX_CANCELLED: Final = 256  # cancelled entries that the heap may hold even if they outnumber the live ones


class Scheduler(Protocol):
    """The part of an event loop that the core uses."""

    def call_soon(self, callback: Callable[..., Any], /, *args: Any) -> Any:
        """Schedule the callback for the next iteration of the loop."""

    def call_later(self, delay: float, callback: Callable[..., Any], /, *args: Any) -> Any:
        """Schedule the callback after a delay in seconds."""


class Clock:
    """Returns the Unix time at process start plus the monotonic time since then, so that it never goes back."""

    def __init__(self) -> None:
        self._base_ms = time.time() * 1000 - time.monotonic() * 1000

    def __call__(self) -> float:
        """Return the current time in ms."""
        return self._base_ms + time.monotonic() * 1000


class Deadlines:
    """Runs all deadlines of the process: before each batch of the decision module, and when the earliest is due.

    Nearly every deadline is cancelled before it is due. Cancelling only clears the callback; the heap is rebuilt once
    cancelled entries outnumber the live ones, which bounds its size to twice the number of live entries.
    """

    def __init__(self, clock: Callable[[], float], scheduler: Scheduler) -> None:
        self.clock = clock
        self._scheduler = scheduler
        self._heap: list[Deadline] = []
        self._cancelled = 0
        self._sequence = count()
        self._loop_timer: tuple[float, Any] | None = None  # due time and handle of the timer

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def call_after(self, delay: float, callback: Callable[[], None]) -> Deadline:
        """Run the callback once, `delay` ms from now."""
        return self.call_at(self.clock() + delay, callback)

    def call_at(self, when: float, callback: Callable[[], None]) -> Deadline:
        """Run the callback once, at or after `when`."""
        deadline: Deadline = [when, next(self._sequence), callback]
        heappush(self._heap, deadline)
        if self._loop_timer is None or when < self._loop_timer[0]:
            self._set_loop_timer(when)
        return deadline

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a deadline; None and a deadline that has already run are ignored."""
        if deadline is not None and deadline[2] is not None:
            deadline[2] = None
            self._cancelled += 1
            if self._cancelled > MAX_CANCELLED and self._cancelled * 2 > len(self._heap):
                # Replace the content in place: run_due may be iterating over this list.
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
            except Exception as error:  # noqa: BLE001  a failing callback must not stop the others
                COUNTS["deadline_failed"] += 1
                log.error("actor failed", actor="deadlines", exc_info=error)  # noqa: TRY400

    def _set_loop_timer(self, when: float) -> None:
        """Set the loop's timer; if the earliest deadline is cancelled meanwhile, the timer fires and runs nothing."""
        if self._loop_timer is not None:
            self._loop_timer[1].cancel()
        # The loop rounds delays to whole milliseconds, also down: an early wake-up would only set the timer again.
        delay_s = max(0, ceil(when - self.clock())) / 1000
        self._loop_timer = when, self._scheduler.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._loop_timer = None
        self.run_due()
        while self._heap and self._heap[0][2] is None:
            heappop(self._heap)
            self._cancelled -= 1
        if self._heap:
            self._set_loop_timer(self._heap[0][0])
