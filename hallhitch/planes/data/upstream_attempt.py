"""One attempt of a request at one backend, and the ways in which it can end.

Every attempt is in one of these states. The outcome with which it ends says whether the request may have run:

    state      entered by                  event                                         outcome           may have run
    ---------  --------------------------  --------------------------------------------  ----------------  ------------
    queued     ConnectionPools.send        backend removed or draining, deadline over    CANCELLED         no
                                           withdrawn, by its owner or for want of a      CANCELLED         no
                                           connection
                                           a new connection failed                       UNREACHABLE       no
    written    BackendConnection.carry     response below 500, complete                  OK                yes
                                           response of 500 and more, 408 or 429          SERVER_ERROR      yes
                                           error with Hallhitch-Not-Executed             DECLINED          no
                                           421                                           MISDIRECTED       no
                                           response truncated, not sealed, or no HTTP    INVALID_RESPONSE  yes
                                           connection closed before any response         CONNECTION_LOST   yes
                                           no response until well after the deadline     TIMED_OUT         yes
                                           abandoned by its owner, or its body broken    ABANDONED         yes
    streaming  head of a long response     body complete                                 that of its head  by outcome
                                           body truncated, or bytes behind it            INVALID_RESPONSE  yes
                                           connection closed by this gateway             CONNECTION_LOST   yes
                                           no byte for a time, well after the deadline   TIMED_OUT         yes
                                           abandoned by its owner                        ABANDONED         yes
    ended      any of the above            ignored                                       -                 -

`Outcome.may_have_run` is the last column. The request handler reports TIMED_OUT to the load balancer earlier, when the
hedge delay is over; that is no end of the attempt, which stays in its state.

Invariants:
- `AttemptOwner.on_attempt_ended` is called exactly once for each attempt.
- `written_at` is set if and only if `BackendConnection.carry` took the attempt. It is set before the first byte is
  written: an attempt that has it set may have reached the backend.
- An attempt that was written is not withdrawn. While its client is there, a late response is read and dropped, and the
  connection stays usable. Once the client has left, the attempt of an idempotent request is abandoned: closing the
  connection is how a backend is told to stop. That of an unsafe request goes on, as its effect is wanted all the same.

Times are steady milliseconds, durations milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from hallhitch.net.flow import Flow
from hallhitch.net.http import Message
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.values import Backend


class AttemptOwner(Protocol):
    """The request handler, as far as attempts need it."""

    def on_streaming_response(self, response: Message, body: Flow) -> None:
        """Take over a long response whose head is there; the attempt ends with the response's body."""

    def on_attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome, response: Message | None) -> None:
        """Record the end of an attempt, with its complete response unless that was streamed or there is none."""


class AttemptCarrier(Protocol):
    """The connection that carries an attempt, as far as the attempt needs it."""

    def abandon(self) -> None:
        """Close the connection, which tells the backend to stop, and end the attempt as ABANDONED."""


@dataclass(slots=True, eq=False)
class UpstreamRequest:
    """What all attempts of one request send."""

    method: bytes
    request_id: bytes | None
    head_prefix: bytes  # the head without what differs from one attempt to the next
    body: bytes
    body_flow: Flow | None  # the body where it is streamed; it can be sent once only
    is_unsafe: bool  # whether running it twice would do harm
    deadline_ms: float


class UpstreamAttempt:
    """One request on its way to one backend."""

    __slots__ = (
        "_carrier",
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
        """Start in state queued; without a response its owner may send another attempt after the hedge delay."""
        self.owner = owner
        self.request = request
        self.backend = backend
        self.started_at = started_at
        self.hedge_at = started_at + hedge_delay_ms
        self.written_at: float | None = None  # None: no byte of it was written
        self.latency_ms = 0.0  # from its writing to its response, or to the head of a streamed one; 0: unknown
        self.is_overdue = False  # whether `hedge_at` has passed without a response
        self.is_ended = False
        self._carrier: AttemptCarrier | None = None

    def on_carried(self, now: float, carrier: AttemptCarrier) -> None:
        """Enter state written: a connection has taken the attempt."""
        self.written_at, self._carrier = now, carrier

    def abandon(self) -> None:
        """End an attempt that was written as ABANDONED; without effect on any other."""
        if self._carrier is not None:
            self._carrier.abandon()

    def end(self, now: float, outcome: Outcome, response: Message | None = None) -> None:
        """Report its end to its owner, unless it has ended already."""
        if not self.is_ended:
            self.is_ended = True
            self._carrier = None
            since = self.written_at if self.written_at is not None else self.started_at
            self.latency_ms = self.latency_ms or now - since
            self.owner.on_attempt_ended(self, outcome, response)
