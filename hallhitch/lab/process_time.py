"""Clock and scheduler of one simulated process, which can be suspended (SIGSTOP) and can die.

Invariants: a dead process runs no callback. A suspended process runs none either: callbacks that fall due meanwhile are
queued, and run in order when the process is resumed.
"""

from __future__ import annotations

from collections.abc import Callable

from hallhitch.lab.virtual import Handle, VirtualTime


class ProcessTime:
    """Schedules the callbacks of one simulated process on the virtual time of the run."""

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self.is_alive = True
        self._suspended: list[tuple[Callable[..., object], tuple[object, ...]]] | None = None  # None while running

    def __call__(self) -> float:
        """Return the current time in ms."""
        return self._time.now

    def call_soon(self, callback: Callable[..., object], /, *args: object) -> Handle:
        """Schedule a callback at the current time."""
        return self._time.call_soon(self._run_due, callback, args)

    def call_later(self, delay_s: float, callback: Callable[..., object], /, *args: object) -> Handle:
        """Schedule a callback after a delay in seconds."""
        return self._time.after(delay_s * 1000, self._run_due, callback, args)

    def after(self, delay_ms: float, callback: Callable[..., object], /, *args: object) -> Handle:
        """Schedule a callback after a delay in milliseconds."""
        return self.call_later(delay_ms / 1000, callback, *args)

    def suspend(self) -> None:
        """Suspend the process: queue its callbacks from now on."""
        if self._suspended is None:
            self._suspended = []

    def resume(self) -> None:
        """Resume the process: run the queued callbacks in order, at the current time."""
        queued, self._suspended = self._suspended or [], None
        for callback, args in queued:
            self.run(callback, *args)

    def run(self, callback: Callable[..., object], /, *args: object) -> None:
        """Run a callback now, or on resumption if the process is suspended; never if it is dead."""
        if self._suspended is not None:
            self._suspended.append((callback, args))
        elif self.is_alive:
            callback(*args)

    def _run_due(self, callback: Callable[..., object], args: tuple[object, ...]) -> None:
        self.run(callback, *args)
