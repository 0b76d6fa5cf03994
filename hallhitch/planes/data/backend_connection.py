"""One connection to a backend: one attempt at a time is written to it and its answer is read.

It owns what the bytes on it belong to: what comes unasked, for another request or behind an answer is no answer.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, cast

from hallhitch.net.flow import Broken, Flow
from hallhitch.net.http import Malformed, Message
from hallhitch.planes.data.http_messages import BackendReader, attempt_head, judge
from hallhitch.planes.data.interfaces import Outcome

if TYPE_CHECKING:
    from hallhitch.planes.data.connection_pools import Attempt, ConnectionPool

UNHEARD = 5000  # ms without an acknowledgement by the backend's machine after which its connection is given up
AT_ONCE = 250.0  # ms within which a connection that was closed at rest shows it
TOGETHER = 64 * 1024  # bytes of a body that are worth copying behind their head


class BackendConnection(asyncio.Protocol):
    """One connection to one backend."""

    __slots__ = (
        "pool",
        "transport",
        "reader",
        "attempt",
        "flow",
        "idle_since",
        "told",
        "heard",
        "_age",
        "_fresh",
        "_verdict",
        "_spoilt",
        "_closed",
        "_upload",
        "_drained",
        "__weakref__",
    )

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.reader = BackendReader(pool.pools.room_for_bodies)
        self.attempt: Attempt | None = None
        self.flow: Flow | None = None  # the body in passing
        self.idle_since = 0.0  # 0 = it never rested
        self.told = 0.0  # ms for which the backend keeps it at rest, as far as it told
        self.heard = 0.0  # when bytes came last
        self._verdict = Outcome.OK  # of the head of the answer in passing
        self._age = 0.0  # for how long it had rested before this attempt
        self._fresh = True  # whether nothing was asked on it before
        self._spoilt = False  # whether it is not to be used again
        self._closed = False
        self._upload: asyncio.Task[None] | None = None
        self._drained: asyncio.Future[None] | None = None

    # Called by the pool.

    def usable(self) -> bool:
        """Whether it is open, as far as this side knows."""
        return not self._closed and self.transport is not None and not self.transport.is_closing()

    def carry(self, attempt: Attempt) -> None:
        """Write an attempt and wait for its answer."""
        assert self.transport is not None
        now = self.pool.pools.clock()
        self.attempt, attempt.connection, attempt.written = attempt, self, now
        self._age = now - self.idle_since if self.idle_since else 0.0
        self.heard = now
        self.reader.bodiless = attempt.method == b"HEAD"
        data = attempt_head(attempt.shared, attempt.ends - now, attempt.backend.instance)
        if attempt.flow is not None:
            self._upload = asyncio.get_running_loop().create_task(self._pass_up(attempt, data, attempt.flow))
        elif len(attempt.body) <= TOGETHER:
            self.transport.write(data + attempt.body)
        else:
            self.transport.write(data)
            self.transport.write(attempt.body)

    def close(self) -> None:
        """Close it, whatever it carries."""
        if not self._closed and self.transport is not None:
            self.transport.abort()
            self._over(Outcome.CONNECTION_LOST)

    def give_up(self) -> None:
        """What it carries never ends."""
        if self.transport is not None:
            self.transport.abort()
        self._over(Outcome.TIMED_OUT)

    # Called by the loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's own is none by inheritance
        self.transport = transport
        self.pool.connections.add(self)
        self.pool.pools.open += 1
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNHEARD)

    def data_received(self, data: bytes) -> None:
        if self._closed:
            return
        if self.attempt is None:
            return self.close()  # nothing was asked: it belongs to no request
        self.heard = self.pool.pools.clock()
        behind = False
        try:
            answers = self.reader.feed(data)
        except Malformed:
            answers, behind = self.reader.completed(), True
        if self.flow is not None:
            return self._passed(self.flow, behind or bool(answers))
        for number, answer in enumerate(answers):
            if answer.status >= 200 and self._take(answer, behind or number + 1 < len(answers)):
                return
        if behind:
            self.close_spoilt()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        if self._closed:
            return
        attempt = self.attempt
        if attempt is None:
            if self.idle_since and not self._spoilt:
                now = self.pool.pools.clock()
                self.pool.trust.on_closed(now, self.pool.backend.instance, now - self.idle_since)
            return self._over(Outcome.CONNECTION_LOST)
        if error is None and self.flow is None:
            for answer in self.reader.end():  # a body that went on to the end of the connection
                if answer.status >= 200 and self._take(answer, True):
                    return
        begun = self.flow is not None or self.reader.partial
        self._over(Outcome.INVALID_RESPONSE if begun else Outcome.CONNECTION_LOST)

    def pause_writing(self) -> None:
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    # What came.

    def _take(self, answer: Message, behind: bool) -> bool:
        """An answer is there, whole or passing; False: it is another request's, and ours is still to come."""
        attempt = self.attempt
        assert attempt is not None
        outcome = judge(answer, attempt.request_id, self._fresh)
        if outcome is None:
            self._spoilt = True
            if answer.flow is not None:
                answer.flow.abandon()
            return False
        if answer.flow is not None:
            if outcome is Outcome.INVALID_RESPONSE or answer.flow.broken:
                self.close_spoilt()
                return True
            self.flow, self._verdict = answer.flow, outcome
            flow = answer.flow
            attempt.lag = self.pool.pools.clock() - (attempt.written or 0.0)
            self._spoilt = self._spoilt or not answer.keep
            flow.taken = self._room_again
            if outcome is Outcome.OK:
                attempt.owner.passing(attempt, answer)
            else:
                flow.abandon()  # nobody is served an error that long
            self._passed(flow, behind)
            return True
        self._done(outcome, answer, answer.keep and not behind)
        return True

    def _passed(self, flow: Flow, behind: bool) -> None:
        """More of the body in passing has come."""
        assert self.transport is not None
        if flow.ended:
            self.flow = None
            self._done(self._verdict, None, not behind)
        elif flow.broken or behind:
            self.close_spoilt()
        elif flow.waits:
            self.transport.pause_reading()

    def _room_again(self) -> None:
        if self.transport is not None and self.usable():
            self.transport.resume_reading()

    def _done(self, outcome: Outcome, answer: Message | None, keep: bool) -> None:
        """The answer is whole: the connection is kept if all on it is clean."""
        attempt = self.attempt
        assert attempt is not None and self.transport is not None
        if answer is not None:
            self._learn(answer)
        uploading = self._upload is not None and not self._upload.done()
        clean = (
            keep
            and not self._spoilt
            and not uploading
            and not self.reader.partial
            and self.usable()
            and not self.transport.get_write_buffer_size()
        )
        self.attempt, self._fresh = None, False
        self.reader.release()
        if clean:
            self.pool.free(self)
        else:
            self._drop()
        attempt.end(self.pool.pools.clock(), outcome, answer)

    def _learn(self, answer: Message) -> None:
        """How long the backend keeps a connection that rests."""
        value = answer.headers.get(b"keep-alive")
        if value is not None:
            for part in value.split(b","):
                name, _, number = part.strip().partition(b"=")
                if name.lower() == b"timeout" and number.isdigit() and len(number) < 7:
                    self.told = 1000.0 * int(number)

    def close_spoilt(self) -> None:
        """What came is no answer, or not all of one."""
        if self.transport is not None:
            self.transport.abort()
        self._over(Outcome.INVALID_RESPONSE)

    def _over(self, outcome: Outcome) -> None:
        """The connection has ended; so has what it carried."""
        attempt, self.attempt = self.attempt, None
        now = self.pool.pools.clock()
        if (
            attempt is not None
            and attempt.written is not None
            and outcome is Outcome.CONNECTION_LOST
            and not self._closed
            and now - attempt.written < AT_ONCE
        ):
            self.pool.trust.on_reset(now, self._age)
        self._drop()
        if attempt is not None:
            attempt.end(now, outcome)

    def _drop(self) -> None:
        if self._closed:
            return
        self._closed = True
        if self.transport is not None:
            self.transport.abort()
        if self._upload is not None:
            self._upload.cancel()
        self.flow = None
        self.reader.release()
        self.reader.close()
        self.pool.gone(self)

    async def _pass_up(self, attempt: Attempt, head: bytes, flow: Flow) -> None:
        """Send a long request on as it comes; one that breaks off ends the connection, so that nothing runs."""
        assert self.transport is not None
        try:
            async for data in flow.written(head, chunked=head_is_chunked(attempt)):
                self.transport.write(data)
                while self._drained is not None:
                    await self._drained
        except Broken:
            self._over(Outcome.CONNECTION_LOST)


def head_is_chunked(attempt: Attempt) -> bool:
    """Whether its body goes in chunks."""
    return b"\r\nTransfer-Encoding: chunked\r\n" in attempt.shared
