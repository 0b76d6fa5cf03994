"""Interfaces between the parts of the data plane: request handler, load balancer and quota counter.

The request handler owns sockets and timers and drives one state machine a request: it asks `next_action`, carries the
action out and reports how each attempt ended. A load-balancing policy knows no socket and no clock: every call brings
the time. Times are steady milliseconds, durations milliseconds.
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

    OK = "ok"  # a complete, authenticated response below 500
    SERVER_ERROR = "server_error"  # a complete response of 500 or more that does not say that the request never ran
    DECLINED = "declined"  # the backend says that it did not run the request (queue full, too late, 429)
    MISDIRECTED = "misdirected"  # 421: another backend has the address; the request did not run
    UNREACHABLE = "unreachable"  # no connection, or nothing was written to it: the request never ran
    CONNECTION_LOST = "connection_lost"  # the connection ended after the request was written: it may have run
    INVALID_RESPONSE = "invalid_response"  # truncated, of another request, not authenticated, no HTTP: it may have run
    TIMED_OUT = "timed_out"  # no response within its time: the request may have run, and may still be running
    ABANDONED = "abandoned"  # closed by this gateway, as its client had left or broke its body off: it may have run
    CANCELLED = "cancelled"  # withdrawn before anything was written: the request never ran

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


@dataclass(slots=True)
class RequestInfo:
    """What a load-balancing policy needs to know of one admitted request."""

    route: Route
    service: str  # chosen by the route's weights
    allowed_regions: frozenset[str]  # regions it may be served in; empty = any
    priority: int  # 0 is the highest
    arrived_at_ms: float  # when it was read completely
    deadline_ms: float  # when its client or its route gives up


@dataclass(frozen=True, slots=True)
class Forward:
    """Send the request to this backend; without a response after the delay ask `next_action` again."""

    backend: Backend
    hedge_delay_ms: float


@dataclass(frozen=True, slots=True)
class Enqueue:
    """No endpoint has capacity now: ask again after this time, or when one of the request's attempts ends."""

    recheck_after_ms: float


@dataclass(frozen=True, slots=True)
class Reject:
    """The request has certainly not run and will not: 503 with Retry-After."""

    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Fail:
    """The request may have run, or its deadline has passed: 502 or 504."""

    status: int


Action = Forward | Enqueue | Reject | Fail


class LoadBalancingPolicy(Protocol[RequestStateT]):
    """Select backends for requests, decide on retries and hedges, and shed load.

    `RequestStateT` is what the policy keeps for one request; its caller passes it back unread.
    """

    def set_backends(self, now: float, entries: Sequence[Backend]) -> None:
        """Replace the list of all backends, draining ones included."""

    def set_gateways(self, now: float, entries: Sequence[Gateway]) -> None:
        """Replace the list of all live gateways; this one counts whether it is listed or not."""

    def set_config(self, now: float, config: ClusterConfig) -> None:
        """Replace the cluster configuration."""

    def begin_request(self, now: float, request: RequestInfo) -> RequestStateT:
        """Start the state of an admitted request."""

    def next_action(self, now: float, state: RequestStateT) -> Action:
        """Decide what to do now: first, after each attempt's end, and when a hedge delay or a wait is over."""

    def on_attempt_ended(
        self, now: float, state: RequestStateT, backend: Backend, outcome: Outcome, latency_ms: float
    ) -> None:
        """Record how an attempt ended, `latency_ms` after it was written (or begun, where nothing was written).

        TIMED_OUT is reported once the hedge delay is over, and the real end later if there is one: the attempt holds
        capacity at the endpoint until then.
        """

    def finish_request(self, now: float, state: RequestStateT) -> None:
        """End the request: its client has the response, or is gone. Attempts in flight are still reported."""


class QuotaCounter(Protocol):
    """One add-and-read a request on the tenant's quota window."""

    async def admit(self, tenant: Tenant, timeout_ms: float) -> QuotaDecision:
        """Add one unit and read the count within the time-out; a failure is a decision too, and never admits."""

    def refund(self, decision: QuotaDecision) -> None:
        """Return the unit of a request that certainly never ran, if its lease still exists."""
