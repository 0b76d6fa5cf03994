"""An event loop in virtual time: its clock jumps to the next timer, so that nothing is waited for."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class _Skipping(selectors.DefaultSelector):
    """Waits for nothing: the clock is put forward instead."""

    def __init__(self, at: float) -> None:
        super().__init__()
        self.at = at

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("everything waits for something that never comes")
            self.at += max(timeout, 0.0)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """One loop for all parts of a test; `at` is the virtual second at which it begins."""

    def __init__(self, at: float = 0.0) -> None:
        self.skip = _Skipping(at)
        super().__init__(self.skip)

    def time(self) -> float:
        """Virtual seconds."""
        return self.skip.at

    def now(self) -> float:
        """Steady ms, as hallhitch.node.clock.now."""
        return self.skip.at * 1000


def close(loop: VirtualLoop) -> None:
    """End what still runs there."""
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
