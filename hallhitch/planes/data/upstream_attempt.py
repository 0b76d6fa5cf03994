"""One attempt of a request at one backend, its states, and the outcomes with which it can end.

Every attempt is in one of these states. The outcome with which it ends says whether the request may have run:

    state      entered by                      event                                        outcome           may run
    ---------  ------------------------------  -------------------------------------------  ----------------  -------
    queued     ConnectionPools.send            backend removed or draining, or deadline     CANCELLED         no
                                               passed
                                               cancelled by its owner, or no connection     CANCELLED         no
                                               available in time
                                               opening a connection failed                  UNREACHABLE       no
    written    BackendConnection.send_attempt  response below 500, complete                 OK                yes
                                               response of 500 or above, 408 or 429         SERVER_ERROR      yes
                                               error with Hallhitch-Not-Executed            DECLINED          no
                                               421                                          MISDIRECTED       no
                                               response truncated, not sealed, or not HTTP  INVALID_RESPONSE  yes
                                               connection closed before any response        CONNECTION_LOST   yes
                                               no response until well after the deadline    TIMED_OUT         yes
                                               abandoned by its owner, or request body      ABANDONED         yes
                                               truncated
    streaming  head of a long response         body complete                                that of its head  by outcome
                                               body truncated, or excess bytes after it     INVALID_RESPONSE  yes
                                               connection closed by this gateway            CONNECTION_LOST   yes
                                               no bytes for a time, well after deadline     TIMED_OUT         yes
                                               abandoned by its owner                       ABANDONED         yes
    ended      any of the above                ignored                                      -                 -

The last column is `Outcome.may_have_run`. The request handler reports TIMED_OUT to the load balancer earlier, when the
hedge delay is over; that does not end the attempt, which stays in its state.

Invariants:
- `AttemptOwner.on_attempt_ended` is called exactly once for each attempt.
- `written_at` is set if and only if `BackendConnection.send_attempt` accepted the attempt. It is set before the first
  byte is written: an attempt for which it is set may have reached the backend.
- A connection carries at most one attempt of a request (`UpstreamRequest.has_used`): all attempts of a request have the
  same id, so on a shared connection a late copy of one response could not be told from the next response.
- An attempt that was written is not cancelled. While the client is connected, a late response is read and dropped, and
  the connection stays usable. After the client has disconnected, an attempt of an idempotent request is abandoned:
  closing the connection tells the backend to stop. An attempt of a non-idempotent request continues, because its effect
  is still wanted.

Points in time are monotonic milliseconds; durations are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from hallhitch.net.flow import Flow
from hallhitch.net.http import Message
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.values import Backend


class AttemptOwner(Protocol):
    """The part of the request handler that attempts use."""

    def on_streaming_response(self, response: Message, body: Flow) -> None:
        """Take over a long response whose head was received; the attempt ends when the body ends."""

    def on_attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome, response: Message | None) -> None:
        """Record the end of an attempt; `response` is None if there is none or if it was streamed."""


class AttemptConnection(Protocol):
    """The part of a backend connection that its attempt uses."""

    def abandon(self) -> None:
        """Close the connection, which tells the backend to stop, and end the attempt as ABANDONED."""


@dataclass(slots=True, eq=False)
class UpstreamRequest:
    """The request data that all attempts of one request send."""

    method: bytes
    request_id: bytes | None
    head_prefix: bytes  # the part of the head that is the same for each attempt
    body: bytes
    body_flow: Flow | None  # the body if it is streamed; it can be sent only once
    is_non_idempotent: bool  # whether it must not run twice
    deadline_ms: float
    used_connections: list[AttemptConnection] = field(default_factory=list)  # that an attempt was written on

    def has_used(self, connection: AttemptConnection) -> bool:
        """Return whether an attempt of this request was written on the connection."""
        return connection in self.used_connections


class UpstreamAttempt:
    """One attempt to have one backend run a request."""

    __slots__ = (
        "_connection",
        "backend",
        "hedge_at",
        "is_ended",
        "is_overdue",
        "latency_ms",
        "owner",
        "request",
        "started_at",
        "written_at",
    )

    def __init__(
        self,
        owner: AttemptOwner,
        request: UpstreamRequest,
        backend: Backend,
        started_at: float,
        hedge_delay_ms: float,
    ) -> None:
        """Create the attempt as queued; if it gets no response within the hedge delay, its owner may start another."""
        self.owner = owner
        self.request = request
        self.backend = backend
        self.started_at = started_at
        self.hedge_at = started_at + hedge_delay_ms
        self.written_at: float | None = None  # None until a connection starts to write it
        self.latency_ms = 0.0  # from the write to the response, or to the head of a streamed response; 0 = unknown
        self.is_overdue = False  # whether `hedge_at` has passed without a response
        self.is_ended = False
        self._connection: AttemptConnection | None = None

    def on_sent(self, now: float, connection: AttemptConnection) -> None:
        """Enter state written: `connection` sends the attempt."""
        self.written_at, self._connection = now, connection
        self.request.used_connections.append(connection)

    def abandon(self) -> None:
        """End the attempt as ABANDONED if it was written and has not ended."""
        if self._connection is not None:
            self._connection.abandon()

    def end(self, now: float, outcome: Outcome, response: Message | None = None) -> None:
        """End the attempt and report it to its owner, unless it has already ended."""
        if not self.is_ended:
            self.is_ended = True
            self._connection = None
            since = self.written_at if self.written_at is not None else self.started_at
            self.latency_ms = self.latency_ms or now - since
            self.owner.on_attempt_ended(self, outcome, response)
