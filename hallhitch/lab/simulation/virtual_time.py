"""An event loop in virtual time: its clock jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class SimulationDeadlock(RuntimeError):  # noqa: N818  named for the event, as callers read it
    """Every task waits, no timer is set, and nothing can arrive."""

    def __init__(self, at_s: float) -> None:
        super().__init__(f"deadlock at virtual second {at_s:.3f}: every task waits and no timer is set")
        self.at_s = at_s


class _ClockAdvancingSelector(selectors.DefaultSelector):
    """Advances the clock by the time for which the loop would block."""

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
    """An event loop that never blocks; virtual time begins at `start_s`."""

    def __init__(self, start_s: float = 0.0) -> None:
        self._clock_selector = _ClockAdvancingSelector(start_s)
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._clock_selector.now_s

    def now(self) -> float:
        """Return steady ms, as `hallhitch.node.clock.now` does."""
        return self._clock_selector.now_s * 1000

    def suspend(self, seconds: float) -> None:
        """Advance the clock without running any task, as if the process had been suspended."""
        self._clock_selector.now_s += seconds


def close_loop(loop: VirtualLoop) -> None:
    """Cancel what still runs on the loop and close it."""
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
