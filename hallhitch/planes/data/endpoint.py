"""One backend as a load-balancing target, and the attempts that this gateway has sent there.

Owns the endpoint's count of attempts in flight. Invariant: an attempt holds capacity from `begin` until `release`,
which counts once; a timed-out attempt holds it until its real end or its request's deadline.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import Final

from hallhitch.planes.data.latency import (
    UNRESPONSIVE_ENDPOINT_DEVIATIONS,
    UNRESPONSIVE_ZONE_DEVIATIONS,
    LatencyRatio,
)
from hallhitch.planes.data.outlier_detection import EndpointHealth, UnansweredSends
from hallhitch.planes.values import Backend

UNRANKED: Final = 1 << 20  # above the rank of any gateway


class Locality(IntEnum):
    """Where a backend stands, as seen from this gateway."""

    SAME_ZONE = 0
    SAME_REGION = 1
    REMOTE_REGION = 2


def zone_sends() -> UnansweredSends:
    """Return a new record of the unanswered sends to one zone."""
    return UnansweredSends(len(UNRESPONSIVE_ZONE_DEVIATIONS))


def _endpoint_sends() -> UnansweredSends:
    return UnansweredSends(len(UNRESPONSIVE_ENDPOINT_DEVIATIONS))


@dataclass(slots=True, eq=False)
class Endpoint:
    """One backend instance and what this gateway knows of it and has in flight there."""

    backend: Backend
    slots: int  # of the backend: requests that it works on at a time
    locality: Locality = Locality.REMOTE_REGION
    rank: int = UNRANKED  # how many gateways come before this one in the backend's order
    is_preferred_here: bool = False  # this gateway comes first for it, and it is of the own region
    is_primary: bool = False  # among those that are considered first
    unanswered: UnansweredSends = field(default_factory=_endpoint_sends)
    zone_unanswered: UnansweredSends = field(default_factory=zone_sends)  # shared by all endpoints of the zone
    in_flight: int = 0  # attempts of this gateway that are, or may be, there
    health: EndpointHealth = field(default_factory=EndpointHealth)
    latency_ratio: LatencyRatio = field(default_factory=LatencyRatio)
    timed_out: list[EndpointAttempt] = field(default_factory=list)  # attempts that still hold capacity

    def update(self, backend: Backend) -> None:
        """Take over the current entry of the endpoint list."""
        self.backend = backend
        self.slots = backend.slots

    def place(self, locality: Locality, rank: int) -> None:
        """Set where the backend stands and the rank of this gateway for it."""
        self.locality = locality
        self.rank = rank
        self.is_preferred_here = rank == 0 and locality is not Locality.REMOTE_REGION

    def release_expired(self, now: float) -> None:
        """Release timed-out attempts whose request is past its deadline."""
        for attempt in [a for a in self.timed_out if a.deadline_ms <= now]:
            attempt.release()


@dataclass(slots=True, eq=False)
class EndpointAttempt:
    """One attempt of a request at one endpoint, as the load balancer accounts for it."""

    endpoint: Endpoint
    started_at_ms: float
    deadline_ms: float  # of the request: nothing works on it any longer
    is_half_open: bool = False  # it tests an endpoint whose ejection is over
    hedge_delay_ms: float = 0.0
    retry_spent_at_ms: float | None = None  # what it spent of the retry budget
    is_in_flight: bool = True  # it holds capacity, or is about to
    is_timed_out: bool = False
    may_have_arrived: bool = True
    may_have_run: bool = False

    def begin(self) -> None:
        """Take capacity at the endpoint."""
        endpoint, now = self.endpoint, self.started_at_ms
        if not endpoint.in_flight:
            endpoint.unanswered.clear()
        endpoint.in_flight += 1
        endpoint.unanswered.record_send(now)
        endpoint.zone_unanswered.record_send(now)
        if self.is_half_open:
            endpoint.health.has_half_open_attempt = True

    def time_out(self) -> None:
        """Mark the attempt as timed out; it keeps the capacity that it holds."""
        self.is_timed_out = True
        if self.is_in_flight:
            self.endpoint.timed_out.append(self)

    def release(self) -> None:
        """Free the capacity that the attempt holds; without effect if it holds none."""
        if not self.is_in_flight:
            return
        self.is_in_flight = False
        self.endpoint.in_flight -= 1
        if self.is_half_open:
            self.endpoint.health.has_half_open_attempt = False
        if self in self.endpoint.timed_out:
            self.endpoint.timed_out.remove(self)
