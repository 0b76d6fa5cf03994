"""Passive outlier detection: derives the health of a backend from this gateway's own requests, without health checks.

A backend is ejected after consecutive failures, for a time that doubles with each failed half-open attempt, as in
Envoy's outlier detection and the circuit-breaker pattern. If every endpoint is ejected, the load balancer selects one
in panic mode. Times are milliseconds of the monotonic clock.

Invariants:
- A successful response to a request that was sent after the failures began makes the endpoint HEALTHY at once.
- Every ejection ends after a limited time.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

from hallhitch.planes.data.interfaces import Outcome

CONSECUTIVE_FAILURES: Final = 2  # before ejection; a single failure may be a closed idle connection, or chance
CORRELATED_FAILURE_MS: Final = 40.0  # failures within this time have one cause and count once
BASE_EJECTION_MS: Final = 400.0  # the first ejection; doubled with each failed half-open attempt
MAX_EJECTION_MS: Final = 5000.0
FAILURE_MEMORY_MS: Final = 3000.0  # after this time without another attempt, a failure says little about the backend
BASE_OVERLOAD_BACKOFF_MS: Final = 20.0  # a full queue has room again after a fraction of one response time
MAX_OVERLOAD_BACKOFF_MS: Final = 320.0
MISDIRECTED_EJECTION_MS: Final = 10_000.0  # another backend has the address; the endpoint list will drop this one
RESTART_SUSPECTED_AFTER_MS: Final = 500.0  # a backend that recovers from a longer outage may have been restarted


class UnansweredSends:
    """The first few sends to a backend, or to a whole zone, since it last responded."""

    __slots__ = ("_max_sends", "sent_at_ms")

    def __init__(self, max_sends: int) -> None:
        self.sent_at_ms: list[float] = []  # oldest first
        self._max_sends = max_sends

    def record_send(self, now: float) -> None:
        """Record the send of one request; no effect if the maximum number is recorded already."""
        if len(self.sent_at_ms) < self._max_sends:
            self.sent_at_ms.append(now)

    def forget(self, sent_at_ms: float) -> None:
        """Remove one send, whose response is no longer awaited."""
        if sent_at_ms in self.sent_at_ms:
            self.sent_at_ms.remove(sent_at_ms)

    def clear(self) -> None:
        """Remove all sends, after a response or when nothing is in flight."""
        self.sent_at_ms.clear()


class HealthState(Enum):
    """The health of a backend, which determines what requests may be sent to it."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"  # the last attempt failed: other backends are preferred
    HALF_OPEN = "half_open"  # the ejection is over: one attempt at a time
    EJECTED = "ejected"  # nothing is sent, except in panic mode


class EndpointHealth:
    """The failures, ejections and half-open attempts of one backend."""

    __slots__ = (
        "_consecutive_failures",
        "_ejection_ms",
        "_first_failure_ms",
        "_overload_backoff_ms",
        "ejected_until_ms",
        "has_half_open_attempt",
        "is_misdirected",
        "last_failure_ms",
        "overloaded_until_ms",
    )

    def __init__(self) -> None:
        self.last_failure_ms = float("-inf")
        self.ejected_until_ms = 0.0
        self.overloaded_until_ms = 0.0
        self.is_misdirected = False  # another backend responds at its address
        self.has_half_open_attempt = False  # a half-open attempt is in flight
        self._consecutive_failures = 0
        self._first_failure_ms = 0.0  # time of the first of the consecutive failures
        self._ejection_ms = 0.0  # duration of the latest ejection since the last success; 0 = none
        self._overload_backoff_ms = 0.0

    def state(self, now: float) -> HealthState:
        """Return the health of the backend now."""
        if not self._consecutive_failures:
            return HealthState.HEALTHY
        if now < self.ejected_until_ms:
            return HealthState.EJECTED
        if self._ejection_ms:
            is_recent = now < self.ejected_until_ms + FAILURE_MEMORY_MS
            return HealthState.HALF_OPEN if is_recent or self.is_misdirected else HealthState.SUSPECT
        return HealthState.SUSPECT if now < self.last_failure_ms + FAILURE_MEMORY_MS else HealthState.HEALTHY

    def record_success(self, now: float, sent_at_ms: float) -> float:
        """Record a complete response and return the duration (ms) of the outage that it ends; 0 if there was none."""
        was_ejected = bool(self._ejection_ms)
        outage_ms = now - self._first_failure_ms if self._consecutive_failures and was_ejected else 0.0
        self._overload_backoff_ms = 0.0
        self.overloaded_until_ms = 0.0
        # The response to a request sent before the outage does not show that the backend has recovered.
        if sent_at_ms < self._first_failure_ms and was_ejected:
            return 0.0
        self._consecutive_failures = 0
        self._ejection_ms = 0.0
        self.ejected_until_ms = 0.0
        self.is_misdirected = False
        return outage_ms

    def record_failure(self, now: float, outcome: Outcome, jitter: float) -> None:
        """Record a failed attempt; `jitter`, a factor around 1, spreads the half-open attempts of several gateways."""
        if outcome is Outcome.MISDIRECTED:
            self._eject_misdirected(now)
            return
        if self._is_already_counted(now, outcome):
            return
        if not self._consecutive_failures:
            self._first_failure_ms = now
        self.last_failure_ms = now
        # An unreachable backend is down, not failing by chance, so one such failure is enough for ejection.
        self._consecutive_failures += CONSECUTIVE_FAILURES if outcome is Outcome.UNREACHABLE else 1
        if self._consecutive_failures >= CONSECUTIVE_FAILURES:
            self._ejection_ms = min(self._ejection_ms * 2.0, MAX_EJECTION_MS) if self._ejection_ms else BASE_EJECTION_MS
            self.ejected_until_ms = now + self._ejection_ms * jitter

    def record_overload(self, now: float, jitter: float) -> None:
        """Record that the backend declined a request because it is overloaded, and start or extend its backoff."""
        if now < self.overloaded_until_ms:
            return
        if self._overload_backoff_ms:
            self._overload_backoff_ms = min(self._overload_backoff_ms * 2.0, MAX_OVERLOAD_BACKOFF_MS)
        else:
            self._overload_backoff_ms = BASE_OVERLOAD_BACKOFF_MS
        self.overloaded_until_ms = now + self._overload_backoff_ms * jitter

    def _eject_misdirected(self, now: float) -> None:
        self.is_misdirected = True
        self._consecutive_failures = CONSECUTIVE_FAILURES
        self._ejection_ms = MAX_EJECTION_MS
        self.ejected_until_ms = now + MISDIRECTED_EJECTION_MS

    def _is_already_counted(self, now: float, outcome: Outcome) -> bool:
        """Return whether a failure has the same cause as the last one, or the backend is ejected already."""
        if self._consecutive_failures and now - self.last_failure_ms < CORRELATED_FAILURE_MS and not self._ejection_ms:
            # A crash ends all connections at once. That the backend is unreachable is new information.
            return outcome is not Outcome.UNREACHABLE
        return bool(self._ejection_ms) and now < self.ejected_until_ms
