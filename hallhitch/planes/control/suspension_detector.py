"""Detection of suspensions: periods in which this process did not run because the process or its machine was frozen.

After a suspension, the process finds old messages in its sockets and would take the silence of others for their fault.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

TICK_INTERVAL_MS: Final = 200.0  # well below SUSPENDED_AFTER_MS: a busy event loop is not taken for a suspension
# Time without a tick that counts as a suspension. It is also how long a suspension counts as recent: callers give up
# within about a second, so what they sent before the suspension has been read or abandoned by then.
SUSPENDED_AFTER_MS: Final = 1000.0


class SuspensionDetector:
    """Runs a periodic tick on the event loop; a tick that is too late shows that the process was suspended."""

    def __init__(self, clock: Callable[[], float], on_resume: Callable[[float], None]) -> None:
        """Create a detector that calls `on_resume` with the time (ms) at which it found that a suspension had ended."""
        self._clock, self._on_resume = clock, on_resume
        self._last_tick_ms = clock()
        self._resumed_at_ms = float("-inf")

    @property
    def was_suspended(self) -> bool:
        """Whether the process was suspended until a moment ago; also true before the next tick has run."""
        now_ms = self._clock()
        return now_ms - self._last_tick_ms > SUSPENDED_AFTER_MS or now_ms - self._resumed_at_ms < SUSPENDED_AFTER_MS

    def start(self, now_ms: float) -> None:
        """Start measuring from this time, so that what came before does not count as a suspension."""
        self._last_tick_ms = now_ms

    async def run(self) -> None:
        """Run the tick; never returns by itself."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)
            now_ms = self._clock()
            if now_ms - self._last_tick_ms > SUSPENDED_AFTER_MS:
                self._resumed_at_ms = now_ms
                self._on_resume(now_ms)
            self._last_tick_ms = now_ms
