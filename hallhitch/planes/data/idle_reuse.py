"""The idle time up to which a backend connection is reused, learned separately for each service.

It uses neither sockets nor a clock. Points in time are monotonic milliseconds; durations are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

DEFAULT_MAX_IDLE_MS: Final = 4000.0  # if the backend announces no time-out: below the usual server default of 5 s
# Share of the announced keep-alive time; the rest allows for network delay and the backend's timer accuracy.
KEEP_ALIVE_RATIO: Final = 0.7
# Shorter for a non-idempotent request, which must not be written to a connection that the backend may have closed.
NON_IDEMPOTENT_MAX_IDLE_MS: Final = 1000.0
MIN_IDLE_MS: Final = 250.0  # a reset after a shorter time says nothing about the idle time-out
LEARNED_LIMIT_TTL_MS: Final = 30_000.0  # how long a learned limit is used
# If two backends of a service close idle connections within this time, the service probably has an idle time-out.
CLOSE_CORRELATION_WINDOW_MS: Final = 10_000.0
CLOSE_MARGIN_FACTOR: Final = 1.4  # `on_reset` halves the idle time, which leaves 0.7 of the shorter one


@dataclass(frozen=True, slots=True)
class _IdleClose:
    at_ms: float
    instance: str
    idle_ms: float


class IdleReuseLimit:
    """Learns the idle time that the backends of one service tolerate."""

    def __init__(self) -> None:
        self._learned_limit_ms = DEFAULT_MAX_IDLE_MS
        self._learned_until_ms = 0.0
        self._last_close: _IdleClose | None = None

    def max_idle_ms(self, now: float, keep_alive_ms: float, is_non_idempotent: bool) -> float:
        """Return the idle time up to which a connection is reused.

        `keep_alive_ms` is the time that its backend announced, 0 if none; `is_non_idempotent` says that the request
        must not run twice.
        """
        limit_ms = keep_alive_ms * KEEP_ALIVE_RATIO if keep_alive_ms else DEFAULT_MAX_IDLE_MS
        if now < self._learned_until_ms:
            limit_ms = min(limit_ms, self._learned_limit_ms)
        if not is_non_idempotent:
            return limit_ms
        return min(limit_ms, max(NON_IDEMPOTENT_MAX_IDLE_MS, keep_alive_ms * KEEP_ALIVE_RATIO / 2))

    def on_reset(self, now: float, idle_ms: float) -> None:
        """Learn from a connection that was reset when a request was written to it after `idle_ms` of idle time."""
        if idle_ms < MIN_IDLE_MS:
            return
        known_limit_ms = self._learned_limit_ms if now < self._learned_until_ms else DEFAULT_MAX_IDLE_MS
        self._learned_limit_ms = max(MIN_IDLE_MS, min(known_limit_ms, idle_ms / 2))
        self._learned_until_ms = now + LEARNED_LIMIT_TTL_MS

    def on_closed(self, now: float, instance: str, idle_ms: float) -> None:
        """Learn from an idle connection that a backend closed.

        A single backend may have stopped; two backends that close connections indicate an idle time-out.
        """
        if idle_ms < MIN_IDLE_MS:
            return
        previous = self._last_close
        self._last_close = _IdleClose(now, instance, idle_ms)
        if previous is None or previous.instance == instance:
            return
        if now - previous.at_ms < CLOSE_CORRELATION_WINDOW_MS:
            self.on_reset(now, CLOSE_MARGIN_FACTOR * min(idle_ms, previous.idle_ms))
