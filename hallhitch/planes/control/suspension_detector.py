"""Detection of suspensions: times in which this process did not run, as its machine or the process was frozen.

After a suspension the process finds old messages in its sockets and takes the silence of others for a fault of theirs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

TICK_INTERVAL_MS: Final = 200.0  # well below SUSPENDED_AFTER_MS, so that a busy loop is not taken for a suspension
# Without a tick. Also how long a suspension counts as recent: callers give up within about a second, so what they sent
# before it has been read or abandoned by then.
SUSPENDED_AFTER_MS: Final = 1000.0


class SuspensionDetector:
    """Ticks on the event loop; a tick that comes too late shows that the process was suspended."""

    def __init__(self, clock: Callable[[], float], on_resume: Callable[[float], None]) -> None:
        """Create a detector; `on_resume` gets the moment (ms) at which a suspension was found to have ended."""
        self._clock, self._on_resume = clock, on_resume
        self._last_tick_ms = clock()
        self._resumed_at_ms = float("-inf")

    @property
    def was_suspended(self) -> bool:
        """Whether the process was suspended until a moment ago; true before the next tick has run, too."""
        now_ms = self._clock()
        return now_ms - self._last_tick_ms > SUSPENDED_AFTER_MS or now_ms - self._resumed_at_ms < SUSPENDED_AFTER_MS

    def start(self, now_ms: float) -> None:
        """Count from this moment on."""
        self._last_tick_ms = now_ms

    async def run(self) -> None:
        """Tick; never ends by itself."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)
            now_ms = self._clock()
            if now_ms - self._last_tick_ms > SUSPENDED_AFTER_MS:
                self._resumed_at_ms = now_ms
                self._on_resume(now_ms)
            self._last_tick_ms = now_ms
