"""One client connection: requests are handled one at a time, in the order in which they arrive.

Invariants:
- At most one request is being handled (`is_busy`); replies are written in the order of the requests.
- Reading is paused while more than MAX_QUEUED_REQUESTS are queued, and while parts of a streamed body are unconsumed.
- After the last reply, received bytes are ignored and the connection lingers, so that a client that is still sending
  can read the reply before its connection is reset (RFC 9112, section 9.6).
- A client that closes the connection or half-closes it (shuts down its sending side) counts as disconnected: no more
  work is done for it, except that a non-idempotent request that was already sent runs to its end. The gateway cannot
  distinguish the two cases, and a client that waits for its reply does neither.
- A connection is in at most one of `idle_since`, `reading_since` and `lingering_since` of its listener's timers.

Points in time are monotonic milliseconds.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Final, Protocol, cast

from hallhitch.net.flow import Broken, Flow
from hallhitch.net.http import Malformed, Message
from hallhitch.planes.data.context import DataPlaneContext
from hallhitch.planes.data.http_messages import Reply, encode_reply_head, local_reply
from hallhitch.planes.data.http_readers import UNRESERVED_BODY_MAX_BYTES, BodyMemory, ClientReader
from hallhitch.planes.data.request_handler import RequestHandler
from hallhitch.planes.data.transports import DISCONNECTED, JOINED_WRITE_MAX_BYTES, configure_socket
from hallhitch.planes.values import RequestLimits

# Pipelined requests that are read ahead on one connection; TCP flow control slows down a client that sends more.
MAX_QUEUED_REQUESTS: Final = 8
# Longer than for backends: client links may be slow or lose packets.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 10_000
CONTINUE_HEAD: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(slots=True)
class ClientTimers:
    """When each connection entered a state that has a time-out; the dicts are ordered by that time."""

    idle_since: dict[ClientConnection, float] = field(default_factory=dict)
    reading_since: dict[ClientConnection, float] = field(default_factory=dict)  # a partial request was received
    write_blocked_since: dict[ClientConnection, float] = field(default_factory=dict)  # the transport's buffer is full
    lingering_since: dict[ClientConnection, float] = field(default_factory=dict)  # the last reply was written

    def remove(self, connection: ClientConnection) -> None:
        """Remove all timers of a closed connection."""
        for since in (self.idle_since, self.reading_since, self.write_blocked_since, self.lingering_since):
            since.pop(connection, None)


class ClientConnectionOwner(Protocol):
    """The part of the listener that its connections use."""

    context: DataPlaneContext
    body_memory: BodyMemory
    timers: ClientTimers
    keep_alive_line: bytes

    def admit(self, connection: ClientConnection) -> bool:
        """Add a new connection if there is room; return whether it was added."""

    def start_request(self, connection: ClientConnection, request: Message, received_at: float) -> None:
        """Start a task that runs `handle_request`."""

    def on_request_failed(self, error: Exception) -> None:
        """Report an unexpected exception that ended a request."""

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client."""

    __slots__ = (
        "__weakref__",
        "_body_flow",
        "_context",
        "_handler",
        "_is_finished",
        "_is_reading_paused",
        "_listener",
        "_message_began_at",
        "_queue",
        "_reader",
        "_rejection_status",
        "_reserved_bytes",
        "_timers",
        "_transport",
        "_write_resumed",
        "is_busy",
        "is_disconnected",
    )

    def __init__(self, listener: ClientConnectionOwner) -> None:
        self._listener = listener
        self._context = listener.context
        self._timers = listener.timers
        self._transport: asyncio.Transport = DISCONNECTED
        self._reader = ClientReader(self._get_limits, self._reserve_memory)
        self.is_disconnected = False  # whether the client closed or half-closed the connection
        self.is_busy = False  # whether a request is being handled
        self._handler: RequestHandler | None = None  # of the request that is being handled
        self._queue: deque[tuple[Message, float]] = deque()  # requests, each with the arrival time of its first byte
        self._rejection_status = 0  # status that rejects bytes which are not an acceptable request; 0 = none
        self._is_finished = False  # whether the last reply was written or the connection is closed
        self._reserved_bytes = 0  # for the bodies of the request and the reply
        self._is_reading_paused = False
        self._write_resumed: asyncio.Future[None] | None = None  # set while the transport's buffer is full
        self._message_began_at = 0.0  # when the first byte of the current request arrived
        self._body_flow: Flow | None = None  # the request body that is being received as a stream

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, unless the listener rejects the connection."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports do not subclass asyncio's
        if not self._listener.admit(self):
            self._transport.abort()
            return
        configure_socket(self._transport, UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, queue the complete requests and start the next one if none is being handled."""
        if self._rejection_status or self._is_finished or self.is_disconnected:
            return  # no further request is handled on this connection
        now = self._context.clock()
        if not self._reader.partial:
            self._message_began_at = now
        try:
            requests = self._reader.feed(data)
        except Malformed as error:
            requests, self._rejection_status = self._reader.take_completed(), error.status
        for request in requests:
            self._queue.append((request, self._message_began_at))
            self._message_began_at = now
            if request.flow is not None:
                self._body_flow = request.flow
                request.flow.on_taken = self._resume_reading
        self._limit_reading()
        if not self.is_busy:
            self._start_next_or_wait(now)

    def eof_received(self) -> bool:
        """Treat the client as disconnected; return True to keep the transport open while a request is handled."""
        self._mark_disconnected()
        return self.is_busy and not self._is_finished

    def connection_lost(self, error: Exception | None) -> None:
        """Release everything that the closed connection holds."""
        self._mark_disconnected()
        self._is_finished = True
        self._listener.on_connection_closed(self)
        self._release_memory()
        self._reader.close()
        self._queue.clear()
        self.resume_writing()

    def _mark_disconnected(self) -> None:
        """Mark the client as disconnected, and stop the work for it."""
        if self.is_disconnected:
            return
        self.is_disconnected = True
        self._queue.clear()
        self._reader.fail()
        if self.is_busy and not self._is_finished:
            self._context.count("client_gone")
        if self._handler is not None:
            self._handler.on_client_disconnected()

    def pause_writing(self) -> None:
        """Start the write time-out: the transport's buffer is full."""
        if self._write_resumed is None:
            self._write_resumed = asyncio.get_running_loop().create_future()
            self._timers.write_blocked_since[self] = self._context.clock()

    def resume_writing(self) -> None:
        """Stop the write time-out and wake the writer: the transport's buffer has room again."""
        self._timers.write_blocked_since.pop(self, None)
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        self._write_resumed = None

    # Called by the listener.

    def on_read_timeout(self) -> None:
        """Reject a request that was not received completely within the time-out."""
        if self.is_busy or self._queue:
            self.abort()
        else:
            self._rejection_status = 408
            self._start_next_or_wait(self._context.clock())

    def on_draining(self) -> None:
        """Tell the request that is being handled that the gateway drains."""
        if self._handler is not None:
            self._handler.on_draining()

    def abort(self) -> None:
        """Close the connection immediately, discarding unsent bytes."""
        self._transport.abort()

    def close(self) -> None:
        """Close the connection after all buffered bytes are sent."""
        self._transport.close()

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether the transport still buffers bytes that were written."""
        return self._transport.get_write_buffer_size() > 0

    @property
    def is_reading_head(self) -> bool:
        """Whether a request's head was received only in part."""
        return self._reader.partial and self._reader.message_in_progress is None

    # Request handling.

    def _start_next_or_wait(self, now: float) -> None:
        """Start the next queued request; if there is none, wait for one or close the connection."""
        timers = self._timers
        timers.idle_since.pop(self, None)
        reading_since = timers.reading_since.pop(self, now)
        if self._is_finished:
            return
        if self._queue:
            self._start_next_request()
        elif self._rejection_status:
            self._write_reply(local_reply(self._rejection_status, None, must_close=True), b"GET", "1.1", True)
        elif self.is_disconnected:
            self.close()
        elif self._reader.partial:
            timers.reading_since[self] = reading_since if self.is_reading_head else now
            if self._reader.expects_continue:
                self._reader.expects_continue = False
                self._transport.write(CONTINUE_HEAD)
        else:
            timers.idle_since[self] = now

    def _start_next_request(self) -> None:
        request, received_at = self._queue.popleft()
        self.is_busy = True
        if self._is_reading_paused and self._body_flow is None and len(self._queue) <= MAX_QUEUED_REQUESTS // 2:
            self._resume_reading()
        self._listener.start_request(self, request, received_at)

    async def handle_request(self, request: Message, received_at: float) -> None:
        """Handle one request and write its reply."""
        context = self._context
        try:
            self._handler = RequestHandler(context, request, received_at, self)
            reply = await self._handler.run()
        except Exception as error:  # noqa: BLE001  task boundary: log the error and keep serving
            self._listener.on_request_failed(error)
            reply = local_reply(502, request)
        context.count(f"status_{reply.status}")
        closes_connection = self._must_close_after(request, reply)
        if request.flow is not None:
            request.flow.abandon()
        if len(reply.body) > UNRESERVED_BODY_MAX_BYTES:
            # The body is already in memory, so it is accounted for until the client has received it.
            self._listener.body_memory.reserve_unconditionally(len(reply.body))
            self._reserved_bytes += len(reply.body)
        self._write_reply(reply, request.method, request.version, closes_connection)
        if reply.body_flow is not None:
            await self._write_body_flow(reply, reply.body_flow, request, closes_connection)
        while self._write_resumed is not None:
            await self._write_resumed
        self._release_memory()
        self.is_busy, self._handler = False, None
        self._start_next_or_wait(context.clock())

    def _must_close_after(self, request: Message, reply: Reply) -> bool:
        """Return whether this reply is the last one on the connection."""
        has_unread_body = request.flow is not None and not request.flow.ended
        is_draining = self._context.is_draining and not self._queue
        return reply.must_close or not request.keep_alive or self.is_disconnected or has_unread_body or is_draining

    # Replies.

    def _write_reply(self, reply: Reply, method: bytes, version: str, closes_connection: bool) -> None:
        """Write a reply; of a streamed reply, write only the head."""
        transport = self._transport
        if transport.is_closing() or self._is_finished:
            if reply.body_flow is not None:
                reply.body_flow.abandon()
            return
        # HTTP/1.0 has no chunked coding: a streamed body of unknown length is delimited by closing the connection.
        is_framed_by_close = version == "1.0" and reply.body_flow is not None and reply.content_length is None
        closes_connection = closes_connection or is_framed_by_close
        head = encode_reply_head(reply, method, version, closes_connection, self._listener.keep_alive_line)
        has_no_body = reply.has_no_body(method)
        if has_no_body or not reply.body:
            transport.write(head)
        elif len(reply.body) <= JOINED_WRITE_MAX_BYTES:
            transport.write(head + reply.body)
        else:
            transport.write(head)
            transport.write(reply.body)
        if closes_connection and (reply.body_flow is None or has_no_body):
            self._finish()

    async def _write_body_flow(self, reply: Reply, flow: Flow, request: Message, closes_connection: bool) -> None:
        """Write the streamed body of a reply, unless the reply is sent without a body."""
        if reply.has_no_body(request.method):
            flow.abandon()
            return
        await self._stream_body(flow, reply.content_length is None and request.version == "1.1")
        if closes_connection:
            self._finish()

    async def _stream_body(self, flow: Flow, chunked: bool) -> None:
        """Forward a body as fast as the client reads it; if it is truncated, abort so that it never looks complete."""
        try:
            async for data in flow.encode_message(b"", chunked):
                if self._is_finished or self._transport.is_closing():
                    return flow.abandon()
                self._transport.write(data)
                while self._write_resumed is not None:
                    await self._write_resumed
        except Broken:
            if not self.is_disconnected:
                self._context.count("truncated_responses")
            self.abort()

    def _finish(self) -> None:
        """Half-close the connection after its last reply; it lingers until the client closes its side."""
        if self._is_finished or self._transport.is_closing():
            return None
        self._is_finished = True
        self._queue.clear()
        if self.is_disconnected:
            return self._transport.close()
        if self._is_reading_paused:
            self._resume_reading()
        self._timers.lingering_since[self] = self._context.clock()
        if self._transport.can_write_eof():
            self._transport.write_eof()
            return None
        return None

    # Flow control and memory.

    def _limit_reading(self) -> None:
        """Pause reading if parts of a streamed body are unconsumed or too many requests are queued."""
        if self._body_flow is not None:
            if self._body_flow.ended or self._body_flow.broken:
                self._body_flow = None
            elif self._body_flow.has_pieces:
                self._pause_reading()
        if len(self._queue) > MAX_QUEUED_REQUESTS:
            self._pause_reading()

    def _pause_reading(self) -> None:
        if not self._is_reading_paused and not self._transport.is_closing():
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _get_limits(self) -> RequestLimits:
        return self._context.limits

    def _reserve_memory(self, size: int) -> bool:
        if self._listener.body_memory.reserve(size):
            self._reserved_bytes += size
            return True
        return False

    def _release_memory(self) -> None:
        if self._reserved_bytes:
            self._listener.body_memory.release(self._reserved_bytes)
            self._reserved_bytes = 0
