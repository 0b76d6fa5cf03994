"""One connection to a backend: it sends one attempt at a time and reads the response.

It decides which request the received bytes belong to. Invariants:
- At most one attempt is in flight. The next one is written only after the response to the previous one was read
  completely and no bytes followed it.
- Bytes that arrive while no attempt is in flight, or after a response, close the connection, so that they cannot become
  the response to a later request.
- A response with the id of another request is dropped, and the connection is not reused.

Points in time are monotonic milliseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, Protocol, cast

from hallhitch.net.flow import Flow
from hallhitch.net.http import Malformed, Message
from hallhitch.planes.data.http_messages import encode_attempt_head, is_chunked, parse_keep_alive_ms
from hallhitch.planes.data.http_readers import BackendReader, BodyMemory
from hallhitch.planes.data.idle_reuse import IdleReuseLimit
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.data.refused_requests import RefusalObserver, RefusedRequests
from hallhitch.planes.data.request_upload import RequestUpload
from hallhitch.planes.data.response_attribution import Attribution, attribute_response
from hallhitch.planes.data.response_classification import classify_response, is_refusal
from hallhitch.planes.data.transports import DISCONNECTED, JOINED_WRITE_MAX_BYTES, configure_socket
from hallhitch.planes.data.upstream_attempt import UpstreamAttempt
from hallhitch.planes.values import Backend

# A backend's host acknowledges within one round trip, even across regions; 5 s allow for many retransmissions.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 5000
# A backend that has already closed an idle connection resets it when a request arrives: one round trip plus a margin.
STALE_RESET_WINDOW_MS: Final = 250.0


class BackendConnectionOwner(RefusalObserver, Protocol):
    """The part of a connection pool that its connections use."""

    backend: Backend

    @property
    def idle_reuse_limit(self) -> IdleReuseLimit:
        """The idle time up to which connections to the backend are reused."""

    def on_connection_made(self, connection: BackendConnection) -> None:
        """Count a connection as open."""

    def on_connection_free(self, connection: BackendConnection) -> None:
        """Reuse a connection that has no attempt in flight."""

    def on_connection_closed(self, connection: BackendConnection) -> None:
        """Remove a closed connection."""


class BackendConnection(asyncio.Protocol):
    """One connection to one backend."""

    __slots__ = (
        "__weakref__",
        "_clock",
        "_head_outcome",
        "_idle_before_ms",
        "_is_closed",
        "_must_not_be_reused",
        "_pool",
        "_reader",
        "_refused",
        "_transport",
        "_upload",
        "attempt",
        "body_flow",
        "idle_since",
        "keep_alive_ms",
        "received_at",
    )

    def __init__(self, pool: BackendConnectionOwner, clock: Callable[[], float], body_memory: BodyMemory) -> None:
        self._pool = pool
        self._clock = clock
        self._transport: asyncio.Transport = DISCONNECTED
        self._reader = BackendReader(body_memory)
        self.attempt: UpstreamAttempt | None = None  # the attempt in flight
        self.body_flow: Flow | None = None  # the response body that is being streamed
        self.idle_since = 0.0  # when it last became idle; 0 = never
        self.keep_alive_ms = 0.0  # how long the backend keeps it open when idle, as announced; 0 = not announced
        self.received_at = 0.0  # when bytes were last received, or the attempt was sent
        self._head_outcome = Outcome.OK  # of the response that is being streamed
        self._idle_before_ms = 0.0  # how long it was idle before the current attempt
        self._must_not_be_reused = False
        self._refused = RefusedRequests()
        self._is_closed = False
        self._upload: RequestUpload | None = None

    # Called by the pool.

    def is_usable(self) -> bool:
        """Return whether the connection is open, as far as this gateway knows."""
        return not self._is_closed and not self._transport.is_closing()

    def send_attempt(self, attempt: UpstreamAttempt) -> None:
        """Write an attempt and wait for its response."""
        now = self._clock()
        request = attempt.request
        self.attempt = attempt
        attempt.on_sent(now, self)
        self._idle_before_ms = now - self.idle_since if self.idle_since else 0.0
        self.received_at = now
        self._reader.is_head_request = request.method == b"HEAD"
        head = encode_attempt_head(request.head_prefix, request.deadline_ms - now, attempt.backend.instance)
        if request.body_flow is not None:
            self._upload = RequestUpload(
                self._transport, head, request.body_flow, is_chunked(request.head_prefix), self._on_request_truncated
            )
        elif len(request.body) <= JOINED_WRITE_MAX_BYTES:
            self._transport.write(head + request.body)
        else:
            self._transport.write(head)
            self._transport.write(request.body)

    def close(self) -> None:
        """Close the connection; an attempt in flight ends as CONNECTION_LOST."""
        if not self._is_closed and self._transport is not DISCONNECTED:
            self._transport.abort()
            self._end_attempt(Outcome.CONNECTION_LOST)

    def abandon(self) -> None:
        """Close the connection and end its attempt as ABANDONED, because its result is no longer needed."""
        self._transport.abort()
        self._end_attempt(Outcome.ABANDONED)

    def time_out(self) -> None:
        """Close the connection and end its attempt as TIMED_OUT."""
        self._transport.abort()
        self._end_attempt(Outcome.TIMED_OUT)

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report the open connection to the pool."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports do not subclass asyncio's
        self._pool.on_connection_made(self)
        configure_socket(self._transport, UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle the responses in them."""
        if self._is_closed:
            return None
        attempt = self.attempt
        if attempt is None:
            return self._close_on_unsolicited_bytes(data)
        self.received_at = self._clock()
        has_excess_bytes = False
        try:
            responses = self._reader.feed(data)
        except Malformed:
            responses, has_excess_bytes = self._reader.take_completed(), True
        if self.body_flow is not None:
            return self._advance_stream(attempt, self.body_flow, has_excess_bytes or bool(responses))
        for number, response in enumerate(responses, 1):
            if response.status < 200:
                continue  # informational: the final response follows
            if self._handle_response(attempt, response, has_excess_bytes or number < len(responses)):
                return None
        if has_excess_bytes:
            self._close_invalid()
            return None
        return None

    def eof_received(self) -> bool:
        """Return False, so that the transport closes when the backend half-closes the connection."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempt in flight, with its response if that is delimited by the end of the connection."""
        if self._is_closed:
            return None
        attempt = self.attempt
        if attempt is None:
            if self.idle_since and not self._must_not_be_reused:
                now = self._clock()
                self._pool.idle_reuse_limit.on_closed(now, self._pool.backend.instance, now - self.idle_since)
            return self._end_attempt(Outcome.CONNECTION_LOST)
        if error is None and self.body_flow is None:
            for response in self._reader.end():  # a body delimited by the end of the connection
                if response.status >= 200 and self._handle_response(attempt, response, True):
                    return None
        has_partial_response = self.body_flow is not None or self._reader.partial
        self._end_attempt(Outcome.INVALID_RESPONSE if has_partial_response else Outcome.CONNECTION_LOST)
        return None

    def pause_writing(self) -> None:
        """Make the upload wait: the transport's buffer is full."""
        if self._upload is not None:
            self._upload.pause()

    def resume_writing(self) -> None:
        """Resume the upload: the transport's buffer has room again."""
        if self._upload is not None:
            self._upload.resume()

    # Responses.

    def _close_on_unsolicited_bytes(self, data: bytes) -> None:
        """Close the connection, as no request is in flight; count the responses that arrived."""
        self._pool.count("unsolicited_bytes")
        try:
            responses = self._reader.feed(data)
        except Malformed:
            responses = self._reader.take_completed()
        for response in responses:
            self._refused.observe(response, self._pool)
        self.close()

    def _handle_response(self, attempt: UpstreamAttempt, response: Message, has_excess_bytes: bool) -> bool:
        """Handle a complete or streaming response; return False if it was dropped and the attempt goes on."""
        attribution = attribute_response(response, attempt.request.request_id)
        if attribution is Attribution.OTHER_REQUEST:
            self._pool.count("response_to_other_request")
            self._refused.observe(response, self._pool)
            self._drop_response(response)
            return False
        if attribution is Attribution.UNKNOWN and is_refusal(response):
            self._pool.count("refusal_without_id")
            self._drop_response(response)
            return False
        if attribution is Attribution.UNKNOWN:
            self._close_invalid()
            return True
        outcome = classify_response(response)
        if outcome.is_refusal and attempt.request.request_id is not None:
            self._refused.add(attempt.request.request_id)
        if response.flow is None:
            self._complete(attempt, outcome, response, response.keep_alive and not has_excess_bytes)
        elif outcome is Outcome.INVALID_RESPONSE or response.flow.broken:
            self._close_invalid()
        else:
            self._begin_stream(attempt, outcome, response, response.flow)
            self._advance_stream(attempt, response.flow, has_excess_bytes)
        return True

    def _drop_response(self, response: Message) -> None:
        """Drop a response that does not belong to the attempt in flight, whose own response may follow."""
        self._must_not_be_reused = True
        if response.flow is not None:
            response.flow.abandon()

    def _begin_stream(self, attempt: UpstreamAttempt, outcome: Outcome, response: Message, flow: Flow) -> None:
        """Start to stream a response whose body is still arriving."""
        self.body_flow, self._head_outcome = flow, outcome
        attempt.latency_ms = self._clock() - (attempt.written_at or 0.0)
        self._must_not_be_reused = self._must_not_be_reused or not response.keep_alive
        flow.on_taken = self._resume_reading
        if outcome is Outcome.OK:
            attempt.owner.on_streaming_response(response, flow)
        else:
            flow.abandon()  # errors are not streamed: the client gets a reply that this gateway generates

    def _advance_stream(self, attempt: UpstreamAttempt, flow: Flow, has_excess_bytes: bool) -> None:
        """Handle newly received bytes of the streamed body."""
        if flow.ended:
            self.body_flow = None
            self._complete(attempt, self._head_outcome, None, not has_excess_bytes)
        elif flow.broken or has_excess_bytes:
            self._close_invalid()
        elif flow.has_pieces:
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.is_usable():
            self._transport.resume_reading()

    def _complete(
        self, attempt: UpstreamAttempt, outcome: Outcome, response: Message | None, may_keep_connection: bool
    ) -> None:
        """End the attempt after its complete response; return the connection to the pool if it can be reused."""
        if response is not None:
            announced_ms = parse_keep_alive_ms(response.headers.get(b"keep-alive"))
            self.keep_alive_ms = self.keep_alive_ms if announced_ms is None else announced_ms
        is_reusable = may_keep_connection and self._is_clean()
        self.attempt = None
        self._reader.release_memory()
        if is_reusable:
            self._pool.on_connection_free(self)
        else:
            self._tear_down()
        attempt.end(self._clock(), outcome, response)

    def _is_clean(self) -> bool:
        """Return whether no part of the last request or response is left on the connection."""
        is_uploading = self._upload is not None and not self._upload.is_done
        return (
            not self._must_not_be_reused
            and not is_uploading
            and not self._reader.partial
            and self.is_usable()
            and not self._transport.get_write_buffer_size()
        )

    # Closing.

    def _close_invalid(self) -> None:
        """Close the connection because the received bytes are not a complete, valid response."""
        self._transport.abort()
        self._end_attempt(Outcome.INVALID_RESPONSE)

    def _on_request_truncated(self) -> None:
        """Close the connection, so that the backend drops a request whose body its client did not complete."""
        self._end_attempt(Outcome.ABANDONED)

    def _end_attempt(self, outcome: Outcome) -> None:
        """Close the connection and end its attempt, if any, with this outcome."""
        attempt, self.attempt = self.attempt, None
        now = self._clock()
        if attempt is not None and self._was_stale(attempt, outcome, now):
            self._pool.idle_reuse_limit.on_reset(now, self._idle_before_ms)
        self._tear_down()
        if attempt is not None:
            attempt.end(now, outcome)

    def _was_stale(self, attempt: UpstreamAttempt, outcome: Outcome, now: float) -> bool:
        """Return whether the backend had probably closed the connection before the attempt was written."""
        if outcome is not Outcome.CONNECTION_LOST or attempt.written_at is None or self._is_closed:
            return False
        return now - attempt.written_at < STALE_RESET_WINDOW_MS

    def _tear_down(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._transport.abort()
        if self._upload is not None:
            self._upload.cancel()
        self.body_flow = None
        self._reader.release_memory()
        self._reader.close()
        self._pool.on_connection_closed(self)
