"""Passive outlier detection: the health of one backend, learned from this gateway's own requests. No health checks.

A backend is ejected after consecutive failures, for a time that doubles with each failed half-open attempt, as in
Envoy's outlier detection and the circuit-breaker pattern. Invariants: an endpoint that succeeds after its failures
began is HEALTHY again at once; an ejection ends by itself. Ejection is advice: with every endpoint ejected the load
balancer selects in panic mode. Times are steady ms.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

from hallhitch.planes.data.interfaces import Outcome

CONSECUTIVE_FAILURES: Final = 2  # that eject a backend; a single one may be a closed idle connection, or chance
CORRELATED_FAILURE_MS: Final = 40.0  # failures this close together have one cause and count once
BASE_EJECTION_MS: Final = 400.0  # the first ejection, doubled with each failed half-open attempt
MAX_EJECTION_MS: Final = 5000.0
FAILURE_MEMORY_MS: Final = 3000.0  # after which a failure that nobody has followed up says little
BASE_OVERLOAD_BACKOFF_MS: Final = 20.0  # a queue has room again after part of one response's time
MAX_OVERLOAD_BACKOFF_MS: Final = 320.0
MISDIRECTED_EJECTION_MS: Final = 10_000.0  # another backend has the address: the endpoint list will drop this one
RESTART_SUSPECTED_AFTER_MS: Final = 500.0  # a backend that recovers from a longer outage may have been restarted


class UnansweredSends:
    """The first few sends to a backend, or to a whole zone, since it last responded."""

    __slots__ = ("_max_sends", "sent_at_ms")

    def __init__(self, max_sends: int) -> None:
        self.sent_at_ms: list[float] = []  # the oldest first
        self._max_sends = max_sends

    def record_send(self, now: float) -> None:
        """Record one request sent."""
        if len(self.sent_at_ms) < self._max_sends:
            self.sent_at_ms.append(now)

    def forget(self, sent_at_ms: float) -> None:
        """Forget one send: its response is not waited for any longer."""
        if sent_at_ms in self.sent_at_ms:
            self.sent_at_ms.remove(sent_at_ms)

    def clear(self) -> None:
        """Forget all sends: something came back, or nothing is in flight."""
        self.sent_at_ms.clear()


class HealthState(Enum):
    """What may be sent to a backend."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"  # its last attempt failed: others are preferred
    HALF_OPEN = "half_open"  # its ejection is over: one attempt at a time
    EJECTED = "ejected"


class EndpointHealth:
    """Failures, ejections and half-open attempts of one backend."""

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
        self.is_misdirected = False  # another backend answered at its address
        self.has_half_open_attempt = False  # one is in flight
        self._consecutive_failures = 0
        self._first_failure_ms = 0.0  # of these
        self._ejection_ms = 0.0  # length of the current ejection, 0 = none
        self._overload_backoff_ms = 0.0

    def state(self, now: float) -> HealthState:
        """Return what may be sent to the backend now."""
        if not self._consecutive_failures:
            return HealthState.HEALTHY
        if now < self.ejected_until_ms:
            return HealthState.EJECTED
        if self._ejection_ms:
            is_recent = now < self.ejected_until_ms + FAILURE_MEMORY_MS
            return HealthState.HALF_OPEN if is_recent or self.is_misdirected else HealthState.SUSPECT
        return HealthState.SUSPECT if now < self.last_failure_ms + FAILURE_MEMORY_MS else HealthState.HEALTHY

    def record_success(self, now: float, sent_at_ms: float) -> float:
        """Record a complete response; returns how long the outage it ends had lasted (ms), 0 if there was none."""
        had_ejection = bool(self._ejection_ms)
        outage_ms = now - self._first_failure_ms if self._consecutive_failures and had_ejection else 0.0
        self._overload_backoff_ms = 0.0
        self.overloaded_until_ms = 0.0
        # A response to what was sent before the outage says nothing of the present.
        if sent_at_ms < self._first_failure_ms and had_ejection:
            return 0.0
        self._consecutive_failures = 0
        self._ejection_ms = 0.0
        self.ejected_until_ms = 0.0
        self.is_misdirected = False
        return outage_ms

    def record_failure(self, now: float, outcome: Outcome, jitter: float) -> None:
        """Record a failed attempt; `jitter`, about 1, spreads the half-open attempts of many gateways."""
        if outcome is Outcome.MISDIRECTED:
            self._eject_misdirected(now)
            return
        if self._is_already_counted(now, outcome):
            return
        if not self._consecutive_failures:
            self._first_failure_ms = now
        self.last_failure_ms = now
        # A port that refuses connections is down: there is no chance in it.
        self._consecutive_failures += CONSECUTIVE_FAILURES if outcome is Outcome.UNREACHABLE else 1
        if self._consecutive_failures >= CONSECUTIVE_FAILURES:
            self._ejection_ms = min(self._ejection_ms * 2.0, MAX_EJECTION_MS) if self._ejection_ms else BASE_EJECTION_MS
            self.ejected_until_ms = now + self._ejection_ms * jitter

    def record_overload(self, now: float, jitter: float) -> None:
        """Record that the backend declined a request because it is full."""
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
        """Return whether a failure adds nothing: the cause of the last one, or the backend is ejected already."""
        if self._consecutive_failures and now - self.last_failure_ms < CORRELATED_FAILURE_MS and not self._ejection_ms:
            # A crash ends all connections at once. Not to be reachable at all is more than that.
            return outcome is not Outcome.UNREACHABLE
        return bool(self._ejection_ms) and now < self.ejected_until_ms
