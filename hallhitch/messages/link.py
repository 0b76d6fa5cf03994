"""Envelopes over TCP: one kept connection a peer, calls answered in any order, each within its own time.

A call is written to one connection at most once, and nothing is sent again from here: a caller is told what is known
(NotSent, Silent, Refused) and `calls.CALLS` says what may follow.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

from hallhitch.messages.addressing import (
    CallOrder,
    Identity,
    Senders,
    address_answer,
    address_call,
    reject_answer,
    reject_call,
)
from hallhitch.messages.connection import UNHEARD, Connection, Shared
from hallhitch.messages.frames import Outgoing, Rejection
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.clock import now
from hallhitch.node.errors import RequestNotSent, RequestRejected, RequestTimeout
from hallhitch.node.logs import ComponentLogger, RateLimitedLog

# Ms of unanswered calls without a byte after which the next call tries a new connection: a way that is merely slow
# (1.5 s and more each way over a full link) must not lose what is on it, a dead one is found as soon as by the kernel.
DEAF = float(UNHEARD)
Handler = Callable[[Envelope], "Envelope | Awaitable[Envelope]"]


def cluster_number(name: str) -> int:
    """The number that frames of this cluster carry."""
    return int.from_bytes(hashlib.sha256(b"hallhitch 1 " + name.encode()).digest()[:8], "big") >> 1


def split(address: str) -> tuple[str, int]:
    """Host and port of "host:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class _Call:
    """One call under way on one connection."""

    __slots__ = ("answer", "outgoing")

    def __init__(self) -> None:
        self.answer: asyncio.Future[Envelope] = asyncio.get_running_loop().create_future()
        self.outgoing: Outgoing | None = None

    def has_answer(self) -> bool:
        """Whether the answer is there, perhaps in the moment in which its time ended."""
        return self.answer.done() and not self.answer.cancelled() and self.answer.exception() is None

    def unanswered(self, address: str, reason: str) -> RequestNotSent | RequestTimeout:
        """What is known of it if no answer comes."""
        if self.outgoing is not None and self.outgoing.handed_over:
            return RequestTimeout("call", address, reason)
        return RequestNotSent("call", address, reason)


class _Caller(Connection):
    """A connection of ours to a peer, with the calls that wait on it."""

    def __init__(self, shared: Shared, address: str, ended: Callable[[_Caller], None]) -> None:
        super().__init__(shared)
        self.peer = Identity(address)
        self._waiting: dict[int, _Call] = {}
        self._ended = ended
        self._unanswered_since: float | None = None  # when the first call since the last byte was written

    def take(self, envelope: Envelope, in_pieces: bool) -> None:
        reason = reject_answer(envelope, self.shared.own, self.peer)
        if reason is not None:
            return self.end(reason)
        if not self.peer.incarnation:
            self.peer = Identity(self.peer.address, envelope.sender_incarnation)
        self._unanswered_since = None
        call = self._waiting.pop(envelope.call_id, None)
        if call is None:
            return self.reject(Rejection.NOBODY_WAITS)
        if not call.answer.done():
            call.answer.set_result(envelope)

    def begin(self, number: int, envelope: Envelope) -> _Call:
        """Write a call; its future has the answer, or what is known once the connection has ended."""
        if not self.usable():
            raise RequestNotSent("call", self.peer.address, "the connection has ended")
        call = self._waiting[number] = _Call()
        envelope.call_id = number
        address_call(envelope, self.shared.own, self.peer)
        call.outgoing = self.send(envelope)
        if self._unanswered_since is None:
            self._unanswered_since = self.shared.clock()
        return call

    def give_up(self, number: int, call: _Call) -> None:
        """Nobody waits for it any more."""
        if self._waiting.pop(number, None) is not None and call.outgoing is not None:
            self.take_back(call.outgoing)

    def is_deaf(self) -> bool:
        """Whether nothing came on it for so long, though something was asked, that the next call tries afresh."""
        since = self._unanswered_since
        return since is not None and self.shared.clock() - max(since, self.heard) >= DEAF

    def connection_lost(self, error: Exception | None) -> None:
        self._ended(self)
        for call in self._waiting.values():
            if not call.answer.done():
                call.answer.set_exception(call.unanswered(self.peer.address, "the connection ended"))
        self._waiting.clear()


class _Server(Connection):
    """A peer's connection to us."""

    def __init__(self, links: Links, shared: Shared) -> None:
        super().__init__(shared)
        self._links = links
        self._sender = Identity()
        self._order: CallOrder | None = None

    def take(self, envelope: Envelope, in_pieces: bool) -> None:
        reason = reject_call(envelope, self.shared.own)
        if reason is None and self._sender.differs("", envelope.sender_incarnation) is not None:
            reason = Rejection.OTHER_SENDER
        if reason is not None:
            return self.end(reason)
        if self._order is None:
            self._sender = Identity("", envelope.sender_incarnation)
            self._order = self._links.senders.order(envelope.sender_incarnation)
        self._order.touched = self.shared.clock()
        if not self._order.accept(envelope.call_id, in_pieces):
            return self.reject(Rejection.REPEATED_CALL)
        self._serve(envelope)

    def _serve(self, envelope: Envelope) -> None:
        result = self._links.handle(envelope)
        if isinstance(result, Envelope):
            self._answer(envelope, result)
        else:
            task = asyncio.ensure_future(self._later(envelope, result))
            self._links.tasks.add(task)
            task.add_done_callback(self._links.tasks.discard)

    async def _later(self, call: Envelope, result: Awaitable[Envelope]) -> None:
        try:
            answer = await result
        except Exception as error:
            answer = self._links.failed(error)
        self._answer(call, answer)

    def _answer(self, call: Envelope, answer: Envelope) -> None:
        address_answer(answer, call, self.shared.own)
        self.send(answer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._links.incoming.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._links.incoming.discard(self)


class Links:
    """All connections between this process and the system's others: one to each peer, as the numbers of one
    incarnation's calls must come to a peer in order (`addressing`, Once). One object an incarnation.
    """

    def __init__(
        self,
        cluster: str,
        handler: Handler | None = None,
        address: str = "",
        incarnation: int = 0,
        clock: Callable[[], float] = now,
    ) -> None:
        self._handler = handler
        self._shared = Shared(cluster_number(cluster), Identity(address, incarnation), clock)
        self.traffic = self._shared.traffic
        self.senders = Senders(clock)
        self.tasks: set[asyncio.Future[None]] = set()
        self.incoming: set[_Server] = set()
        self._failures = RateLimitedLog(ComponentLogger("link"))
        self._callers: dict[str, _Caller] = {}
        self._opening: dict[str, asyncio.Task[_Caller]] = {}
        self._calls = 0
        self._server: asyncio.Server | None = None

    async def serve(self, address: str) -> None:
        """Listen at our internal address."""
        host, port = split(address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Server(self, self._shared), host, port, reuse_address=True, backlog=512
        )

    def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for connection in [*self._callers.values(), *self.incoming]:
            connection.abort()

    def handle(self, envelope: Envelope) -> Envelope | Awaitable[Envelope]:
        """What a peer asked; an error of ours is its answer."""
        if self._handler is None:
            return Envelope(error="nobody answers here")
        try:
            return self._handler(envelope)
        except Exception as error:
            return self.failed(error)

    def failed(self, error: Exception) -> Envelope:
        """The answer to a call at which our handler failed."""
        answer = Envelope(error=f"{type(error).__name__}: {error}")
        self._failures.warning(self._shared.clock(), f"a call failed: {answer.error}")
        return answer

    async def call(self, address: str, envelope: Envelope, wait: float) -> Envelope:
        """Ask a peer and wait for its answer, `wait` ms at most, connecting included.

        Raises NotSent where nothing of it was handed to a connection, Silent where something was and no answer came
        (it may have been done), Refused where the peer would not. Sends nothing twice.
        """
        call: _Call | None = None
        try:
            async with asyncio.timeout(wait / 1000):
                caller = await self._caller(address)
                self._calls += 1
                number = self._calls
                call = caller.begin(number, envelope)
                try:
                    answer = await call.answer
                finally:
                    caller.give_up(number, call)
        except TimeoutError:
            if call is None or not call.has_answer():
                raise self._too_late(address, call, wait) from None
            answer = call.answer.result()
        except OSError as error:
            raise RequestNotSent("connect", address, str(error)) from None
        if answer.error:
            raise RequestRejected("call", address, answer.error)
        return answer

    def _too_late(self, address: str, call: _Call | None, wait: float) -> RequestNotSent | RequestTimeout:
        """What is known of a call whose time is over; a connection that is deaf ends, one that answers others stays."""
        reason = f"no answer in {wait:.0f} ms"
        error = call.unanswered(address, reason) if call is not None else RequestNotSent("connect", address, reason)
        caller = self._callers.get(address)
        if caller is not None and caller.is_deaf():
            caller.abort()
        return error

    async def _caller(self, address: str) -> _Caller:
        caller = self._callers.get(address)
        if caller is not None and caller.usable():
            return caller
        task = self._opening.get(address)
        if task is None:
            task = self._opening[address] = asyncio.ensure_future(self._connect(address))
            task.add_done_callback(lambda done: self._opened(address, done))
        return await asyncio.shield(task)

    def _opened(self, address: str, task: asyncio.Task[_Caller]) -> None:
        self._opening.pop(address, None)
        if not task.cancelled():
            task.exception()  # told to whoever waited

    async def _connect(self, address: str) -> _Caller:
        host, port = split(address)
        async with asyncio.timeout(UNHEARD / 1000):
            _, caller = await asyncio.get_running_loop().create_connection(
                lambda: _Caller(self._shared, address, self._lost), host, port
            )
        if caller.usable():
            self._callers[address] = caller
        return caller

    def _lost(self, caller: _Caller) -> None:
        """A connection of ours has ended."""
        if self._callers.get(caller.peer.address) is caller:
            del self._callers[caller.peer.address]
