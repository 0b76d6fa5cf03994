"""How long a connection to a backend may be idle and still be reused, learned for each service.

No socket, no clock. Times are steady ms, durations ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

DEFAULT_MAX_IDLE_MS: Final = 4000.0  # where the backend sends no keep-alive time: below the usual 5 s of servers
KEEP_ALIVE_SHARE: Final = 0.7  # of the backend's keep-alive time: the rest is for the way and for its own timer
UNSAFE_MAX_IDLE_MS: Final = 1000.0  # for a request that must not be written to a connection that may be dead
MIN_IDLE_MS: Final = 250.0  # a reset after less says nothing about idle connections
LEARNED_LIMIT_TTL_MS: Final = 30_000.0  # how long a limit learned from a reset holds
CLOSE_CORRELATION_MS: Final = 10_000.0  # two backends that close idle connections within this time show a limit
CLOSE_MARGIN_FACTOR: Final = 1.4  # `on_reset` halves the time: this leaves 0.7 of the shorter one


@dataclass(frozen=True, slots=True)
class _IdleClose:
    at_ms: float
    instance: str
    idle_ms: float


class IdleReuse:
    """The idle time that one service's backends have been seen to tolerate."""

    def __init__(self) -> None:
        self._learned_limit_ms = DEFAULT_MAX_IDLE_MS
        self._learned_until_ms = 0.0
        self._last_close: _IdleClose | None = None

    def max_idle_ms(self, now: float, keep_alive_ms: float, is_unsafe: bool) -> float:
        """Return the idle time up to which a connection is reused.

        `keep_alive_ms` is what its backend announced, 0 where it announced none; `is_unsafe` is for a request that
        must not run twice.
        """
        limit_ms = keep_alive_ms * KEEP_ALIVE_SHARE if keep_alive_ms else DEFAULT_MAX_IDLE_MS
        if now < self._learned_until_ms:
            limit_ms = min(limit_ms, self._learned_limit_ms)
        if not is_unsafe:
            return limit_ms
        return min(limit_ms, max(UNSAFE_MAX_IDLE_MS, keep_alive_ms * KEEP_ALIVE_SHARE / 2))

    def on_reset(self, now: float, idle_ms: float) -> None:
        """Learn from a connection that broke when a request was written to it after so much idle time."""
        if idle_ms < MIN_IDLE_MS:
            return
        known_limit_ms = self._learned_limit_ms if now < self._learned_until_ms else DEFAULT_MAX_IDLE_MS
        self._learned_limit_ms = max(MIN_IDLE_MS, min(known_limit_ms, idle_ms / 2))
        self._learned_until_ms = now + LEARNED_LIMIT_TTL_MS

    def on_closed(self, now: float, instance: str, idle_ms: float) -> None:
        """Learn from a backend that closed an idle connection; one alone may have ended, two share a limit."""
        if idle_ms < MIN_IDLE_MS:
            return
        previous = self._last_close
        self._last_close = _IdleClose(now, instance, idle_ms)
        if previous is None or previous.instance == instance:
            return
        if now - previous.at_ms < CLOSE_CORRELATION_MS:
            self.on_reset(now, CLOSE_MARGIN_FACTOR * min(idle_ms, previous.idle_ms))
