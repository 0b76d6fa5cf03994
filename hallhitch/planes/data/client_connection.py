"""One client connection: requests are read in order, and each is answered before the next one is started.

Invariants:
- At most one request is being handled (`is_busy`); replies are written in the order of the requests.
- Reading is paused while more than MAX_QUEUED_REQUESTS wait, and while a streamed body waits to be taken.
- After the last reply nothing more is read, and the connection lingers, so that a client that still sends sees the
  reply before a reset (RFC 9112, section 9.6).
- A client that closes its connection, or only its sending side, has left: nothing more is done for it, but for an
  unsafe request that was sent. The two cannot be told apart, and a client that waits for its reply does neither.
- A connection is in at most one of `idle_since`, `reading_since` and `lingering_since` of its listener's timers.

Times are steady milliseconds.
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

# Pipelined requests of one connection that are read ahead; a client that sends more is slowed down by TCP.
MAX_QUEUED_REQUESTS: Final = 8
# Longer than for backends: clients come over links that are slow or lose packets.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 10_000
CONTINUE_HEAD: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(slots=True)
class ClientTimers:
    """Since when connections are in a state that has a time-out; a dict's order is that of the moments."""

    idle_since: dict[ClientConnection, float] = field(default_factory=dict)
    reading_since: dict[ClientConnection, float] = field(default_factory=dict)  # part of a request has come
    write_blocked_since: dict[ClientConnection, float] = field(default_factory=dict)  # the client reads nothing
    lingering_since: dict[ClientConnection, float] = field(default_factory=dict)  # its last reply is written

    def forget(self, connection: ClientConnection) -> None:
        """Stop the timers of a connection that has ended."""
        for since in (self.idle_since, self.reading_since, self.write_blocked_since, self.lingering_since):
            since.pop(connection, None)


class ClientConnectionOwner(Protocol):
    """The listener, as far as its connections need it."""

    context: DataPlaneContext
    body_memory: BodyMemory
    timers: ClientTimers
    keep_alive_line: bytes

    def admit(self, connection: ClientConnection) -> bool:
        """Return whether there is room for a new connection."""

    def start_request(self, connection: ClientConnection, request: Message, received_at: float) -> None:
        """Start `handle_request` as a task."""

    def on_request_failed(self, error: Exception) -> None:
        """Report a fault of the program that ended a request."""

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client."""

    __slots__ = (
        "__weakref__",
        "_body_flow",
        "_context",
        "_handler",
        "_has_ended",
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
        "is_gone",
    )

    def __init__(self, listener: ClientConnectionOwner) -> None:
        self._listener = listener
        self._context = listener.context
        self._timers = listener.timers
        self._transport: asyncio.Transport = DISCONNECTED
        self._reader = ClientReader(listener.context.limits, self._reserve_memory)
        self.is_gone = False  # whether the client closed the connection, or its sending side
        self.is_busy = False  # whether a request is being handled
        self._handler: RequestHandler | None = None  # of that request
        self._queue: deque[tuple[Message, float]] = deque()  # requests, with the moment when each began to come
        self._rejection_status = 0  # of what came and could not be accepted as a request; 0 = none
        self._has_ended = False  # whether the last reply was written
        self._reserved_bytes = 0  # for bodies of the request and the reply
        self._is_reading_paused = False
        self._write_resumed: asyncio.Future[None] | None = None  # set while the client reads nothing more
        self._message_began_at = 0.0  # the request that is coming
        self._body_flow: Flow | None = None  # the request body that is being streamed

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of a connection that is open."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclasses
        if not self._listener.admit(self):
            self._transport.abort()
            return
        configure_socket(self._transport, UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Take bytes that have arrived."""
        if self._rejection_status or self._has_ended or self.is_gone:
            return  # the connection only lingers until its last reply has arrived
        now = self._context.clock()
        if not self._reader.partial:
            self._message_began_at = now
        try:
            requests = self._reader.feed(data)
        except Malformed as error:
            requests, self._rejection_status = self._reader.completed(), error.status
        for request in requests:
            self._queue.append((request, self._message_began_at))
            self._message_began_at = now
            if request.flow is not None:
                self._body_flow = request.flow
                request.flow.taken = self._resume_reading
        self._limit_reading()
        if not self.is_busy:
            self._advance(now)

    def eof_received(self) -> bool:
        """Note that the peer sends no more; True keeps the transport open."""
        self._note_gone()
        return self.is_busy and not self._has_ended

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is closed."""
        self._note_gone()
        self._has_ended = True
        self._listener.on_connection_closed(self)
        self._release_memory()
        self._reader.close()
        self._queue.clear()
        self.resume_writing()

    def _note_gone(self) -> None:
        """Note that the client has left, and end what is being done for it."""
        if self.is_gone:
            return
        self.is_gone = True
        self._queue.clear()
        self._reader.fail()
        if self.is_busy and not self._has_ended:
            self._context.count("client_gone")
        if self._handler is not None:
            self._handler.on_client_gone()

    def pause_writing(self) -> None:
        """Note that the transport's buffer is full."""
        if self._write_resumed is None:
            self._write_resumed = asyncio.get_running_loop().create_future()
            self._timers.write_blocked_since[self] = self._context.clock()

    def resume_writing(self) -> None:
        """Note that the transport's buffer has room again."""
        self._timers.write_blocked_since.pop(self, None)
        if self._write_resumed is not None and not self._write_resumed.done():
            self._write_resumed.set_result(None)
        self._write_resumed = None

    # Called by the listener.

    def on_read_timeout(self) -> None:
        """Reject a request that did not arrive completely within its time."""
        if self.is_busy or self._queue:
            self.abort()
        else:
            self._rejection_status = 408
            self._advance(self._context.clock())

    def abort(self) -> None:
        """Close it at once."""
        self._transport.abort()

    def close(self) -> None:
        """Close it once everything is sent."""
        self._transport.close()

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether part of what was written has not left this process yet."""
        return self._transport.get_write_buffer_size() > 0

    @property
    def is_reading_head(self) -> bool:
        """Whether part of a request's head has come and its end has not."""
        return self._reader.partial and self._reader.begun is None

    # Requests, one after the other.

    def _advance(self, now: float) -> None:
        """Start the next request; if there is none, wait for it, or close the connection."""
        timers = self._timers
        timers.idle_since.pop(self, None)
        reading_since = timers.reading_since.pop(self, now)
        if self._has_ended:
            return
        if self._queue:
            self._start_next_request()
        elif self._rejection_status:
            self._write_reply(local_reply(self._rejection_status, None, must_close=True), b"GET", "1.1", True)
        elif self.is_gone:
            self.close()
        elif self._reader.partial:
            timers.reading_since[self] = reading_since if self.is_reading_head else now
            if self._reader.expects:
                self._reader.expects = False
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
        except Exception as error:  # noqa: BLE001  an outer edge: logged, and the process goes on
            self._listener.on_request_failed(error)
            reply = local_reply(502, request)
        context.count(f"status_{reply.status}")
        closes_connection = self._must_close_after(request, reply)
        if request.flow is not None:
            request.flow.abandon()
        if len(reply.body) > UNRESERVED_BODY_MAX_BYTES:
            # It is in memory already; it is accounted for until the client has taken it.
            self._listener.body_memory.reserve_unconditionally(len(reply.body))
            self._reserved_bytes += len(reply.body)
        self._write_reply(reply, request.method, request.version, closes_connection)
        if reply.body_flow is not None:
            await self._write_body_flow(reply, reply.body_flow, request, closes_connection)
        while self._write_resumed is not None:
            await self._write_resumed
        self._release_memory()
        self.is_busy, self._handler = False, None
        self._advance(context.clock())

    def _must_close_after(self, request: Message, reply: Reply) -> bool:
        """Whether this reply is the last one on the connection."""
        has_unread_body = request.flow is not None and not request.flow.ended
        is_draining = self._context.is_draining and not self._queue
        return reply.must_close or not request.keep or self.is_gone or has_unread_body or is_draining

    # Replies.

    def _write_reply(self, reply: Reply, method: bytes, version: str, closes_connection: bool) -> None:
        """Write a reply, but for a body that is streamed behind its head."""
        transport = self._transport
        if transport.is_closing() or self._has_ended:
            if reply.body_flow is not None:
                reply.body_flow.abandon()
            return
        # A streamed body without a length ends with the connection where the client does not know chunks.
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
        """Write the streamed body of a reply, unless the reply goes without it."""
        if reply.has_no_body(request.method):
            flow.abandon()
            return
        await self._stream_body(flow, reply.content_length is None and request.version == "1.1")
        if closes_connection:
            self._finish()

    async def _stream_body(self, flow: Flow, chunked: bool) -> None:
        """Forward a body as fast as the client takes it; if it breaks off, abort, so that it never looks complete."""
        try:
            async for data in flow.written(b"", chunked):
                if self._has_ended or self._transport.is_closing():
                    return flow.abandon()
                self._transport.write(data)
                while self._write_resumed is not None:
                    await self._write_resumed
        except Broken:
            if not self.is_gone:
                self._context.count("truncated_responses")
            self.abort()

    def _finish(self) -> None:
        """End the connection after its last reply; until the client closes its side too, it lingers."""
        if self._has_ended or self._transport.is_closing():
            return None
        self._has_ended = True
        self._queue.clear()
        if self.is_gone:
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
        """Pause reading while a streamed body waits to be taken, or enough requests are queued."""
        if self._body_flow is not None:
            if self._body_flow.ended or self._body_flow.broken:
                self._body_flow = None
            elif self._body_flow.waits:
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

    def _reserve_memory(self, size: int) -> bool:
        if self._listener.body_memory.reserve(size):
            self._reserved_bytes += size
            return True
        return False

    def _release_memory(self) -> None:
        if self._reserved_bytes:
            self._listener.body_memory.release(self._reserved_bytes)
            self._reserved_bytes = 0
