"""An event loop over real sockets of one process whose time advances only when there is nothing to read or write."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any, Final

# Real time that loopback may take to deliver what one socket has written to another.
DELIVERY_GRACE_S: Final = 0.003
START_S: Final = 1000.0


class _AdvancingSelector(selectors.DefaultSelector):
    """Advances the clock to the next timer in place of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.time_s = START_S

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the sockets that are ready; when there are none, let the time-out pass in virtual time."""
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(DELIVERY_GRACE_S)
        if not ready:
            self.time_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Virtual time: on a machine of any speed, no timer runs before bytes that are on their way are read."""

    def __init__(self) -> None:
        self._advancing_selector = _AdvancingSelector()
        super().__init__(self._advancing_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._advancing_selector.time_s

    def clock(self) -> float:
        """Return the virtual time as `hallhitch.node.clock.now` does: steady milliseconds."""
        return self.time() * 1000
