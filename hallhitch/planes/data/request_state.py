"""What the load balancer keeps for one request: its attempts, and whether it is queued."""

from __future__ import annotations

from dataclasses import dataclass, field

from hallhitch.planes.data.endpoint import EndpointAttempt
from hallhitch.planes.data.interfaces import RequestInfo
from hallhitch.planes.data.queued_requests import QueuedRequests


@dataclass(slots=True, eq=False)
class RequestState:
    """One request under way.

    Invariant: a request is queued for at most one service, and for none once it is finished.
    """

    request: RequestInfo
    attempts: list[EndpointAttempt] = field(default_factory=list)
    queued_in: QueuedRequests | None = None
    failure_status: int = 502  # for the client if no attempt succeeds; 504 after a time-out
    is_finished: bool = False  # the client has the response, or is gone

    @property
    def has_in_flight(self) -> bool:
        """Return whether an attempt holds capacity at an endpoint."""
        return any(a.is_in_flight for a in self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Return whether a backend may have run the request, as far as attempts have ended."""
        return any(a.may_have_run for a in self.attempts)

    def latest_attempt(self, instance: str) -> EndpointAttempt | None:
        """Return the last attempt at a backend instance."""
        return next((a for a in reversed(self.attempts) if a.endpoint.backend.instance == instance), None)

    def enter_queue(self, queue: QueuedRequests) -> None:
        """Count the request as queued; without effect if it is."""
        if self.queued_in is not None:
            return
        self.queued_in = queue
        queue.enter(self.request)

    def leave_queue(self) -> None:
        """Count the request as queued no longer; without effect if it is not."""
        if self.queued_in is None:
            return
        self.queued_in.leave(self.request)
        self.queued_in = None
