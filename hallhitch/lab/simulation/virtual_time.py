"""An event loop in virtual time: instead of blocking, it advances its clock to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class SimulationDeadlock(RuntimeError):  # noqa: N818  the name describes the event
    """All tasks are waiting, no timer is set, and no input can arrive."""

    def __init__(self, at_s: float) -> None:
        super().__init__(f"deadlock at virtual second {at_s:.3f}: all tasks are waiting and no timer is set")
        self.at_s = at_s


class _ClockAdvancingSelector(selectors.DefaultSelector):
    """Advances the clock by the time for which the loop would have blocked."""

    def __init__(self, now_s: float) -> None:
        super().__init__()
        self.now_s = now_s

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise SimulationDeadlock(self.now_s)
            self.now_s += max(timeout, 0.0)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that never blocks. Its virtual clock starts at `start_s`."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._clock_selector = _ClockAdvancingSelector(start_s)
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock_selector.now_s

    def now(self) -> float:
        """Return the virtual time in ms, the unit of `hallhitch.node.clock.now`."""
        return self._clock_selector.now_s * 1000

    def suspend(self, seconds: float) -> None:
        """Advance the clock without running any task, as if the process had been suspended."""
        self._clock_selector.now_s += seconds


def close_loop(loop: VirtualLoop) -> None:
    """Cancel the remaining tasks of the loop and close it."""
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
