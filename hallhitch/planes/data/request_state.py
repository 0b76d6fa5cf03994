"""The load balancer's state for one request: its attempts, and whether it is queued."""

from __future__ import annotations

from dataclasses import dataclass, field

from hallhitch.planes.data.endpoint import EndpointAttempt
from hallhitch.planes.data.interfaces import RequestInfo
from hallhitch.planes.data.queued_requests import QueuedRequests


@dataclass(slots=True, eq=False)
class RequestState:
    """The state of one request, from `begin_request` until its last attempt has ended.

    Invariant: a request is queued for at most one service, and for none once it is finished.
    """

    request: RequestInfo
    attempts: list[EndpointAttempt] = field(default_factory=list)
    queued_in: QueuedRequests | None = None
    failure_status: int = 502  # status for the client if no attempt succeeds; 504 after a time-out
    is_finished: bool = False  # the client has its reply or has disconnected

    @property
    def has_in_flight(self) -> bool:
        """Whether an attempt occupies capacity at an endpoint."""
        return any(a.is_in_flight for a in self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether a backend may have run the request, according to the attempts that have ended."""
        return any(a.may_have_run for a in self.attempts)

    def latest_attempt(self, instance: str) -> EndpointAttempt | None:
        """Return the latest attempt at a backend instance; None if there is none."""
        return next((a for a in reversed(self.attempts) if a.endpoint.backend.instance == instance), None)

    def enter_queue(self, queue: QueuedRequests) -> None:
        """Count the request as queued, unless it already is."""
        if self.queued_in is not None:
            return
        self.queued_in = queue
        queue.add(self.request)

    def leave_queue(self) -> None:
        """Stop counting the request as queued, if it is."""
        if self.queued_in is None:
            return
        self.queued_in.remove(self.request)
        self.queued_in = None
