"""Interfaces between the parts of the data plane: request handler, load balancer and quota counter.

The request handler owns sockets and timers and drives one state machine per request: it calls `next_action`, performs
the action and reports how each attempt ended. A load-balancing policy uses neither sockets nor a clock: the current
time is an argument of every call. Points in time are monotonic milliseconds; durations are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeVar

from hallhitch.planes.values import Backend, ClusterConfig, Gateway, QuotaDecision, Route, Tenant

RequestStateT = TypeVar("RequestStateT")


class Outcome(Enum):
    """How one attempt ended."""

    OK = "ok"  # a complete, authenticated response with a status below 500
    SERVER_ERROR = "server_error"  # complete, >= 500, 408 or 429, not marked as not executed: it may have run
    DECLINED = "declined"  # the backend states that it did not run the request (queue full, too late, 429)
    MISDIRECTED = "misdirected"  # 421: the address now belongs to another backend; the request did not run
    UNREACHABLE = "unreachable"  # no connection, or nothing was written to it: the request never ran
    CONNECTION_LOST = "connection_lost"  # the connection closed after the request was written: it may have run
    # The response is truncated, belongs to another request, is not authenticated or is not HTTP: it may have run.
    INVALID_RESPONSE = "invalid_response"
    TIMED_OUT = "timed_out"  # no response in time: the request may have run and may still be running
    # This gateway closed the connection because the client disconnected or sent an incomplete body: it may have run.
    ABANDONED = "abandoned"
    CANCELLED = "cancelled"  # cancelled before anything was written: the request never ran

    @property
    def may_have_run(self) -> bool:
        """Return whether the backend may have run the request."""
        return self in (
            Outcome.OK,
            Outcome.SERVER_ERROR,
            Outcome.CONNECTION_LOST,
            Outcome.INVALID_RESPONSE,
            Outcome.TIMED_OUT,
            Outcome.ABANDONED,
        )

    @property
    def is_refusal(self) -> bool:
        """Return whether the backend stated that it did not run the request."""
        return self in (Outcome.DECLINED, Outcome.MISDIRECTED)


@dataclass(slots=True)
class RequestInfo:
    """The properties of one admitted request that a load-balancing policy uses."""

    route: Route
    service: str  # selected according to the route's weights
    allowed_regions: frozenset[str]  # regions that may serve it; empty = any
    priority: int  # 0 is the highest
    arrived_at_ms: float  # when it was admitted
    deadline_ms: float  # the earlier of the client's deadline and the route's time-out


@dataclass(frozen=True, slots=True)
class Forward:
    """Send the request to this backend; call `next_action` again if there is no response after the hedge delay."""

    backend: Backend
    hedge_delay_ms: float


@dataclass(frozen=True, slots=True)
class Enqueue:
    """No endpoint has capacity: call `next_action` again after this time or when an attempt of the request ends."""

    recheck_after_ms: float


@dataclass(frozen=True, slots=True)
class Reject:
    """The request has not run and will not run: reply 503 with Retry-After."""

    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Fail:
    """The request may have run, or its deadline has passed: reply 502 or 504."""

    status: int


Action = Forward | Enqueue | Reject | Fail


class LoadBalancingPolicy(Protocol[RequestStateT]):
    """Select backends for requests, decide on retries and hedges, and shed load.

    `RequestStateT` is the policy's state for one request; it is opaque to the caller.
    """

    def set_backends(self, now: float, entries: Sequence[Backend]) -> None:
        """Replace the list of all backends, draining ones included."""

    def set_gateways(self, now: float, entries: Sequence[Gateway]) -> None:
        """Replace the list of all live gateways; this gateway is counted even if it is not listed."""

    def set_config(self, now: float, config: ClusterConfig) -> None:
        """Replace the cluster configuration."""

    def begin_request(self, now: float, request: RequestInfo) -> RequestStateT:
        """Create the state of an admitted request."""

    def next_action(self, now: float, state: RequestStateT) -> Action:
        """Return the next action; called at first, after each attempt ends, and when a hedge delay or wait is over."""

    def on_attempt_ended(
        self, now: float, state: RequestStateT, backend: Backend, outcome: Outcome, latency_ms: float
    ) -> None:
        """Record how an attempt ended, `latency_ms` after it was written (or started, if nothing was written).

        TIMED_OUT is reported when the hedge delay is over, and the final outcome later, if there is one. Until then the
        attempt still occupies capacity at the endpoint.
        """

    def finish_request(self, now: float, state: RequestStateT) -> None:
        """End the request: the client has its reply or has disconnected. Attempts in flight are still reported."""


class QuotaCounter(Protocol):
    """Counts each request against the quota window of its tenant."""

    async def admit(self, tenant: Tenant, timeout_ms: float) -> QuotaDecision:
        """Add one unit and decide within the time-out; a failure returns a decision that does not admit the request."""

    def refund(self, decision: QuotaDecision) -> None:
        """Refund the unit of a request that never ran, if the lease it was counted on still exists."""
