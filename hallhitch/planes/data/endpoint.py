"""One backend as a load-balancing target, and the attempts that this gateway has sent to it.

Invariant: an attempt counts as in flight at its endpoint from `begin` until the first `release`. After a time-out it
still counts until the backend responds, the connection ends or the request's deadline passes.
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

UNRANKED: Final = 1 << 20  # higher than the rank of any gateway


class Locality(IntEnum):
    """The location of a backend relative to this gateway."""

    SAME_ZONE = 0
    SAME_REGION = 1
    REMOTE_REGION = 2


def new_zone_sends() -> UnansweredSends:
    """Return a new record of the unanswered sends to one zone."""
    return UnansweredSends(len(UNRESPONSIVE_ZONE_DEVIATIONS))


def _new_endpoint_sends() -> UnansweredSends:
    return UnansweredSends(len(UNRESPONSIVE_ENDPOINT_DEVIATIONS))


@dataclass(slots=True, eq=False)
class Endpoint:
    """One backend instance: its placement, its health and this gateway's attempts in flight there."""

    backend: Backend
    slots: int  # requests that the backend processes concurrently
    locality: Locality = Locality.REMOTE_REGION
    rank: int = UNRANKED  # number of gateways before this one in the backend's order of gateways
    is_preferred: bool = False  # the rank is 0 and the backend is in this gateway's region
    is_primary: bool = False  # the endpoint is among those that this gateway considers first
    unanswered_sends: UnansweredSends = field(default_factory=_new_endpoint_sends)
    # Shared by all endpoints of the zone.
    zone_unanswered_sends: UnansweredSends = field(default_factory=new_zone_sends)
    in_flight: int = 0  # attempts of this gateway that the backend is processing or may be processing
    health: EndpointHealth = field(default_factory=EndpointHealth)
    latency_ratio: LatencyRatio = field(default_factory=LatencyRatio)
    timed_out_attempts: list[EndpointAttempt] = field(default_factory=list)  # that still count as in flight

    def update(self, backend: Backend) -> None:
        """Replace the backend by its current entry in the endpoint list."""
        self.backend = backend
        self.slots = backend.slots

    def place(self, locality: Locality, rank: int) -> None:
        """Set the backend's locality and this gateway's rank for it."""
        self.locality = locality
        self.rank = rank
        self.is_preferred = rank == 0 and locality is not Locality.REMOTE_REGION

    def release_expired(self, now: float) -> None:
        """Release the timed-out attempts whose requests are past their deadlines."""
        for attempt in [a for a in self.timed_out_attempts if a.deadline_ms <= now]:
            attempt.release()


@dataclass(slots=True, eq=False)
class EndpointAttempt:
    """One attempt to send a request to an endpoint, as the load balancer tracks it."""

    endpoint: Endpoint
    started_at_ms: float
    deadline_ms: float  # of the request; the backend does not process it any longer
    is_half_open: bool = False  # the attempt tests an endpoint whose ejection is over
    hedge_delay_ms: float = 0.0
    retry_spent_at_ms: float | None = None  # when the attempt spent a retry of the retry budget; None if it did not
    is_in_flight: bool = True  # the attempt counts as in flight, or is about to begin
    is_timed_out: bool = False
    may_have_arrived: bool = True  # the backend may have received a part of the request
    may_have_run: bool = False  # the backend may have run the request

    def begin(self) -> None:
        """Count the attempt as in flight and record it as sent."""
        endpoint, now = self.endpoint, self.started_at_ms
        if not endpoint.in_flight:
            endpoint.unanswered_sends.clear()
        endpoint.in_flight += 1
        endpoint.unanswered_sends.record_send(now)
        endpoint.zone_unanswered_sends.record_send(now)
        if self.is_half_open:
            endpoint.health.has_half_open_attempt = True

    def mark_timed_out(self) -> None:
        """Mark the attempt as timed out; it still counts as in flight."""
        self.is_timed_out = True
        if self.is_in_flight:
            self.endpoint.timed_out_attempts.append(self)

    def release(self) -> None:
        """Stop counting the attempt as in flight; no effect if it has been released before."""
        if not self.is_in_flight:
            return
        self.is_in_flight = False
        self.endpoint.in_flight -= 1
        if self.is_half_open:
            self.endpoint.health.has_half_open_attempt = False
        if self in self.endpoint.timed_out_attempts:
            self.endpoint.timed_out_attempts.remove(self)
