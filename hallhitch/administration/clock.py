"""Wall time that never goes back: an expired credential must not live again because a clock was set."""

from __future__ import annotations

import time
from collections.abc import Callable

import structlog

LOGGED_BACKWARD_STEP_MS = 1_000  # ms back that are worth a line in the log; less is the usual correction
log = structlog.get_logger()


class WallClock:
    """Unix time in whole milliseconds; it stands still while the machine's clock is behind what it said."""

    def __init__(self, floor: int = 0, wall: Callable[[], float] = time.time) -> None:
        self._last_ms, self._wall, self._is_step_logged = floor, wall, False

    def now_ms(self) -> int:
        """The time, or the latest that was ever told if that is later."""
        wall = int(self._wall() * 1000)
        if wall >= self._last_ms:
            self._last_ms, self._is_step_logged = wall, False
        elif self._last_ms - wall > LOGGED_BACKWARD_STEP_MS and not self._is_step_logged:
            self._is_step_logged = True
            log.warning("the clock went back; time stands still until it has caught up", ms=self._last_ms - wall)
        return self._last_ms
