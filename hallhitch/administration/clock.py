"""Wall clock that never goes back: an expired credential must not become valid again because a clock was set."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

import structlog

LOGGED_BACKWARD_STEP_MS: Final = 1_000  # a smaller step is the usual correction of a synchronised clock
log = structlog.get_logger()


class WallClock:
    """Unix time in whole milliseconds; it does not advance while the machine's clock is behind the latest reading."""

    def __init__(self, floor_ms: int = 0, wall: Callable[[], float] = time.time) -> None:
        self._last_ms = floor_ms
        self._wall = wall
        self._is_step_logged = False

    def now_ms(self) -> int:
        """Return the time, or the latest time ever returned if that is later."""
        wall_ms = int(self._wall() * 1000)
        if wall_ms >= self._last_ms:
            self._last_ms = wall_ms
            self._is_step_logged = False
        elif self._last_ms - wall_ms > LOGGED_BACKWARD_STEP_MS and not self._is_step_logged:
            self._is_step_logged = True
            log.warning("the clock went back; time stands still until it has caught up", ms=self._last_ms - wall_ms)
        return self._last_ms
