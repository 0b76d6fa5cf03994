"""Wall clock that never goes back.

An expired credential must not become valid again because the clock of the machine was set back.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

import structlog

LOGGED_BACKWARD_STEP_MS: Final = 1_000  # time synchronisation makes smaller steps as a matter of routine
log = structlog.get_logger()


class WallClock:
    """Unix time in whole milliseconds; it stands still while the machine's clock is behind the latest returned time."""

    def __init__(self, min_ms: int = 0, read_wall_clock: Callable[[], float] = time.time) -> None:
        self._last_ms = min_ms
        self._read_wall_clock = read_wall_clock
        self._is_step_logged = False

    def now_ms(self) -> int:
        """Return the current time, or the latest time returned before if that is later."""
        wall_ms = int(self._read_wall_clock() * 1000)
        if wall_ms >= self._last_ms:
            self._last_ms = wall_ms
            self._is_step_logged = False
        elif self._last_ms - wall_ms > LOGGED_BACKWARD_STEP_MS and not self._is_step_logged:
            self._is_step_logged = True
            log.warning(
                "the clock went back; the service's time stands still until the clock has caught up",
                ms=self._last_ms - wall_ms,
            )
        return self._last_ms
