"""Clients' connections: requests are read whole and in order, each answered before the next is begun.

It owns the listener, the clients' time-outs and the descriptors they may use. It never looks at where a request goes.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import cast

from hallhitch.net.flow import Broken, Flow
from hallhitch.net.http import Malformed, Message
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.planes.data.http_messages import KEPT, ClientReader, Reply, Room, bodiless, own_reply, reply_head
from hallhitch.planes.data.request_handler import Context, RequestHandler

AHEAD = 8  # requests of one connection that are read before they are begun
LINGER = 1000.0  # ms that a connection whose last answer has left waits for its client to close
REST_AFTER_LEAVE = 1000.0  # ms of rest after which a connection is closed once the listener is
TOGETHER = 64 * 1024  # bytes of a body that are worth copying behind their head
UNHEARD = 10_000  # ms without an acknowledgement by the client's machine after which its connection is given up
BACKLOG = 4096


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    __slots__ = (
        "front",
        "transport",
        "reader",
        "left",
        "queue",
        "busy",
        "_refusal",
        "_ended",
        "_held",
        "_stopped",
        "_drained",
        "_begun",
        "_flow",
        "__weakref__",
    )

    def __init__(self, front: HttpListener) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.reader = ClientReader(front.context.limits, self._hold)
        self.left = False  # whether the client went away
        self.queue: deque[tuple[Message, float]] = deque()
        self.busy = False  # whether a request is being answered
        self._refusal = 0  # the status for what came and cannot be accepted
        self._ended = False  # whether the last answer went out
        self._held = 0  # bytes of bodies that room was made for
        self._stopped = False  # whether reading is paused
        self._drained: asyncio.Future[None] | None = None  # set while the client takes nothing more
        self._begun = 0.0  # when the message that is coming began
        self._flow: Flow | None = None  # the request's body in passing

    # Called by the loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's own is none by inheritance
        self.transport = transport
        if not self.front.admit(self):
            transport.abort()
            return
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNHEARD)

    def data_received(self, data: bytes) -> None:
        if self._refusal or self._ended or self.left:
            return  # nothing more is read; the connection lingers so that its last answer arrives
        now = self.front.context.clock()
        if not self.reader.partial:
            self._begun = now
        try:
            messages = self.reader.feed(data)
        except Malformed as error:
            messages, self._refusal = self.reader.completed(), error.status
        for message in messages:
            self.queue.append((message, self._begun))
            self._begun = now
            if message.flow is not None:
                self._flow = message.flow
                message.flow.taken = self._room_again
        if self._flow is not None:
            if self._flow.ended or self._flow.broken:
                self._flow = None
            elif self._flow.waits:
                self._pause()
        if len(self.queue) > AHEAD:
            self._pause()
        if not self.busy:
            self._advance(now)

    def eof_received(self) -> bool:
        # A client that closes cannot be told from one that only sends no more: what is out is answered all the same.
        self.left = True
        return self.busy and not self._ended

    def connection_lost(self, error: Exception | None) -> None:
        self.left = self._ended = True
        self.front.forget(self)
        self._release()
        self.reader.close()
        self.queue.clear()
        self.resume_writing()

    def pause_writing(self) -> None:
        if self._drained is None:
            self._drained = asyncio.get_running_loop().create_future()
            self.front.stuck[self] = self.front.context.clock()

    def resume_writing(self) -> None:
        self.front.stuck.pop(self, None)
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    # Called by the front.

    def time_out(self) -> None:
        """A request that began to come did not come whole in its time."""
        if self.busy or self.queue:
            self.abort()
        else:
            self._refusal = 408
            self._advance(self.front.context.clock())

    def abort(self) -> None:
        """End it at once."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """End it once all is written."""
        if self.transport is not None:
            self.transport.close()

    @property
    def has_unsent(self) -> bool:
        """Whether part of what was written has not left this process yet."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    @property
    def head_is_coming(self) -> bool:
        """Whether a request's head has begun and not ended."""
        return self.reader.partial and self.reader.begun is None

    # Requests, one after the other.

    def _advance(self, now: float) -> None:
        """Begin the next request; what to do where there is none."""
        front = self.front
        front.idle.pop(self, None)
        began = front.reading.pop(self, now)
        if self._ended:
            return
        if self.queue:
            message, read = self.queue.popleft()
            self.busy = True
            if self._stopped and self._flow is None and len(self.queue) <= AHEAD // 2:
                self._room_again()
            front.serve(self, message, read)
        elif self._refusal:
            self._write(own_reply(self._refusal, None, close=True), b"GET", "1.1", True)
        elif self.left:
            self.close()
        elif self.reader.partial:
            front.reading[self] = began if self.head_is_coming else now
            if self.reader.expects:
                self.reader.expects = False
                assert self.transport is not None
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        else:
            front.idle[self] = now

    async def serve(self, message: Message, read: float) -> None:
        """Answer one request."""
        context = self.front.context
        try:
            reply = await RequestHandler(context, message, read, self).run()
        except Exception as error:
            self.front.failed.warning(context.clock(), f"a request failed: {type(error).__name__}: {error}")
            reply = own_reply(502, message)
        context.count(f"status_{reply.status}")
        unread = message.flow is not None and not message.flow.ended
        close = reply.close or not message.keep or self.left or unread or context.leaving and not self.queue
        if message.flow is not None:
            message.flow.abandon()
        if len(reply.body) > KEPT:  # whether or not there is room: it is here, and goes when the client has taken it
            self.front.room.held += len(reply.body)
            self._held += len(reply.body)
        self._write(reply, message.method, message.version, close)
        if reply.flow is not None and not bodiless(reply, message.method):
            await self._pump(reply.flow, reply.length is None and message.version == "1.1")
            if close:
                self._finish()
        elif reply.flow is not None:
            reply.flow.abandon()
        while self._drained is not None:
            await self._drained
        self._release()
        self.busy = False
        self._advance(context.clock())

    def _write(self, reply: Reply, method: bytes, version: str, close: bool) -> None:
        """Write a reply; the body that passes follows its head."""
        transport = self.transport
        if transport is None or transport.is_closing() or self._ended:
            if reply.flow is not None:
                reply.flow.abandon()
            return
        close = close or version == "1.0" and reply.flow is not None and reply.length is None
        head = reply_head(reply, method, version, close, self.front.keep_alive)
        if bodiless(reply, method) or not reply.body:
            transport.write(head)
        elif len(reply.body) <= TOGETHER:
            transport.write(head + reply.body)
        else:
            transport.write(head)
            transport.write(reply.body)
        if close and (reply.flow is None or bodiless(reply, method)):
            self._finish()

    async def _pump(self, flow: Flow, chunked: bool) -> None:
        """Pass a long body on as fast as the client takes it; one that breaks off never looks complete."""
        transport = self.transport
        assert transport is not None
        try:
            async for data in flow.written(b"", chunked):
                if self._ended or transport.is_closing():
                    return flow.abandon()
                transport.write(data)
                while self._drained is not None:
                    await self._drained
        except Broken:
            self.front.context.count("cut_short")
            self.abort()

    def _finish(self) -> None:
        """The last answer is written: the client may still send, and must not see a reset before it has read."""
        if self._ended or self.transport is None or self.transport.is_closing():
            return
        self._ended = True
        self.queue.clear()
        if self.left:
            return self.transport.close()
        if self._stopped:
            self._room_again()
        self.front.lingering[self] = self.front.context.clock()
        if self.transport.can_write_eof():
            self.transport.write_eof()

    # Reading no faster than there is room.

    def _hold(self, more: int) -> bool:
        if self.front.room.take(more):
            self._held += more
            return True
        return False

    def _release(self) -> None:
        self.front.room.held -= self._held
        self._held = 0

    def _pause(self) -> None:
        if not self._stopped and self.transport is not None and not self.transport.is_closing():
            self._stopped = True
            self.transport.pause_reading()

    def _room_again(self) -> None:
        if self._stopped and self.transport is not None and not self.transport.is_closing():
            self._stopped = False
            self.transport.resume_reading()


class HttpListener:
    """All clients of this gateway."""

    def __init__(self, context: Context, address: tuple[str, int], most: int, room: Room) -> None:
        """`most` bounds the connections, `room` the long bodies held whole."""
        self.context, self._address, self._most, self.room = context, address, most, room
        self.clients: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, float] = {}  # at rest, with the moment since; the longest first
        self.reading: dict[ClientConnection, float] = {}  # a request is coming, since
        self.stuck: dict[ClientConnection, float] = {}  # the client takes nothing, since
        self.lingering: dict[ClientConnection, float] = {}  # answered for the last time
        self.tasks: set[asyncio.Task[None]] = set()
        self.failed = RateLimitedLog(ComponentLogger("front"))
        self.keep_alive = b""
        self._server: asyncio.Server | None = None
        self._gone: asyncio.Event = asyncio.Event()
        self._shut = False  # whether the listener is closed

    async def start(self) -> None:
        """Listen; raises OSError."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ClientConnection(self), *self._address, reuse_address=True, backlog=BACKLOG
        )

    @property
    def port(self) -> int:
        """The port that it listens at."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def retune(self) -> None:
        """The configuration has changed: tell clients how long their connections may rest."""
        rest = int(self.context.limits.idle_timeout_ms / 1000) - 1
        self.keep_alive = b"Keep-Alive: timeout=%d\r\n" % rest if rest > 0 else b""

    # Called by the clients.

    def admit(self, client: ClientConnection) -> bool:
        """Whether there is room for one more; the one that rested longest makes room if need be."""
        self.context.count("clients")
        if len(self.clients) >= self._most:
            oldest = next(iter(self.idle or self.lingering), None)
            if oldest is None:
                self.context.count("no_room")
                return False
            oldest.abort()
            self.forget(oldest)
        self.clients.add(client)
        self.idle[client] = self.context.clock()
        return True

    def forget(self, client: ClientConnection) -> None:
        """A connection has ended."""
        self.clients.discard(client)
        for table in (self.idle, self.reading, self.stuck, self.lingering):
            table.pop(client, None)
        if not self.clients:
            self._gone.set()

    def serve(self, client: ClientConnection, message: Message, read: float) -> None:
        """Begin one request."""
        self.context.count("requests")
        task = asyncio.get_running_loop().create_task(client.serve(message, read))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Time.

    def sweep(self, now: float) -> None:
        """Look after all connections; to be called a few times a second."""
        limits = self.context.limits
        rest = min(REST_AFTER_LEAVE, limits.idle_timeout_ms) if self._shut else limits.idle_timeout_ms
        for client, since in list(self.idle.items()):
            if now - since < rest:
                break
            del self.idle[client]
            client.close()
        for client, since in list(self.reading.items()):
            if now - since >= (limits.head_timeout_ms if client.head_is_coming else limits.idle_timeout_ms):
                del self.reading[client]
                client.time_out()
        for client, since in [*self.stuck.items()]:
            if now - since >= limits.idle_timeout_ms:
                client.abort()
        for client, since in list(self.lingering.items()):
            if now - since < LINGER:
                break
            if client.has_unsent:  # over a full link an answer takes longer than that to leave: counted anew after it
                del self.lingering[client]
                self.lingering[client] = now
            else:
                client.abort()

    # Leaving.

    def leave(self) -> None:
        """From now on each answer tells its client to come elsewhere."""
        self.context.leaving = True

    def close_listener(self) -> None:
        """Nobody new is let in; connections at rest end soon."""
        self._shut = True
        if self._server is not None:
            self._server.close()

    async def drained(self, until: float) -> bool:
        """Wait until no connection is open, `until` (steady ms) at most; whether none is."""
        while self.clients and self.context.clock() < until:
            self._gone.clear()
            try:
                await asyncio.wait_for(self._gone.wait(), (until - self.context.clock()) / 1000)
            except TimeoutError:
                break
        return not self.clients

    def close(self) -> None:
        """End everything at once."""
        self.close_listener()
        for client in list(self.clients):
            client.abort()
