"""An event loop over real sockets of one process whose time moves on only when nothing is left to read or write."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any

GRACE = 0.003  # s of real time for what loopback has taken and not yet delivered


class _Skipping(selectors.DefaultSelector):
    """Puts the clock forward to the next timer in place of waiting for it."""

    at = 1000.0  # virtual s

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(GRACE)
        if not ready:
            self.at += timeout
        return ready


class SkippingLoop(asyncio.SelectorEventLoop):
    """Virtual time: however slow the machine is, no timer comes before bytes that are on their way."""

    def __init__(self) -> None:
        self._skipping = _Skipping()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Virtual seconds."""
        return self._skipping.at

    def clock(self) -> float:
        """Virtual steady ms, as hallhitch.node.clock.now."""
        return self.time() * 1000
