"""Virtual time: a scheduler that jumps from event to event, and the clock that goes with it."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from typing import Any

EPOCH = 1_000_000.0  # ms: where the clock starts, so that a start "long ago" (0) is before it


class Handle:
    """A scheduled callback."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., Any] | None, args: tuple[Any, ...]) -> None:
        self.callback, self.args = callback, args

    def cancel(self) -> None:
        """Cancel the callback."""
        self.callback = None
        self.args = ()


class VirtualTime:
    """What `core` needs of an event loop (`Scheduler`) and of a clock, without waiting.

    Invariant: callbacks due at one time run in the order in which they were scheduled, so a run depends on nothing but
    its input.
    """

    def __init__(self) -> None:
        self.now = EPOCH
        self._heap: list[tuple[float, int, Handle]] = []
        self._soon: deque[Handle] = deque()
        self._number = 0
        self.steps = 0

    def __call__(self) -> float:
        """Return the present moment in ms."""
        return self.now

    def call_soon(self, callback: Callable[..., Any], /, *args: Any) -> Handle:
        """Schedule a callback at the present time, after those that are due already."""
        handle = Handle(callback, args)
        self._soon.append(handle)
        return handle

    def call_later(self, delay: float, callback: Callable[..., Any], /, *args: Any) -> Handle:
        """Schedule a callback after a delay in seconds."""
        return self.after(delay * 1000, callback, *args)

    def after(self, delay: float, callback: Callable[..., Any], /, *args: Any) -> Handle:
        """Schedule a callback after a delay in milliseconds."""
        return self.at(self.now + max(0.0, delay), callback, *args)

    def at(self, when: float, callback: Callable[..., Any], /, *args: Any) -> Handle:
        """Schedule a callback at a time."""
        handle = Handle(callback, args)
        self._number += 1
        heapq.heappush(self._heap, (when, self._number, handle))
        return handle

    def run(self, until: float) -> None:
        """Run all callbacks that are due until a time, and advance the clock to it."""
        soon, heap = self._soon, self._heap
        while True:
            while soon:
                handle = soon.popleft()
                if handle.callback is not None:
                    self.steps += 1
                    handle.callback(*handle.args)
            if not heap or heap[0][0] > until:
                break
            when, _, handle = heapq.heappop(heap)
            if handle.callback is None:
                continue
            self.now = max(self.now, when)
            self.steps += 1
            handle.callback(*handle.args)
        self.now = max(self.now, until)
