"""An event loop on real loopback sockets, whose virtual time advances only when no socket is ready."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any, Final

# Real time that loopback may take to deliver bytes from one socket to another.
DELIVERY_GRACE_S: Final = 0.003
START_S: Final = 1000.0


class _AdvancingSelector(selectors.DefaultSelector):
    """Advances the virtual clock to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.time_s = START_S

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the sockets that are ready; if there are none, advance the virtual time by the time-out."""
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(DELIVERY_GRACE_S)
        if not ready:
            self.time_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs on virtual time: on a machine of any speed, bytes in transit are read before any timer runs."""

    def __init__(self) -> None:
        self._advancing_selector = _AdvancingSelector()
        super().__init__(self._advancing_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._advancing_selector.time_s

    def clock(self) -> float:
        """Return the virtual time in monotonic milliseconds, as `hallhitch.node.clock.now` does."""
        return self.time() * 1000
