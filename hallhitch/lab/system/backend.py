"""Stand-in backends: many lives in one event loop, each at a loopback address of its own.

A life records what came and what it began to work on before it answers anything. Whatever goes wrong is switched on
from outside (`tricks`, the fleet's `shares`); nothing here knows how the system works.
"""

from __future__ import annotations

import asyncio
import zlib
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from hallhitch.lab.system.paths import BACKENDS
from hallhitch.lab.system.records import Arrival
from hallhitch.net.http import Malformed, Message, RequestReader
from hallhitch.node.clock import now

if TYPE_CHECKING:
    from hallhitch.lab.system.fleet import Fleet

NOT_RUN = b"Hallhitch-Not-Executed: 1\r\n"
TRICKS = ("broken", "doubled", "late", "lost", "garbled", "silent")
LATE = 30.0  # ms after an answer at which its extra copy comes
FALLS = 3.0  # times what it bears, within a second: a cold backend falls over
COLD_SLOW = 2.0  # times the work of a warm one


def digest(body: bytes) -> int:
    """What records keep of a body."""
    return zlib.crc32(body)


@dataclass(frozen=True, slots=True)
class Kind:
    """The backends of one service."""

    service: str
    slots: int = 3
    queue: int = 3
    work: float = 40.0  # ms of a request, on the mean
    connections: int = 100
    cold_time: float = 3000.0
    cold_rate: float = 12.0  # requests a second
    full_resets: bool = False
    health_path: str = "/health"
    idle: float = 15_000.0  # ms after which an idle connection is closed
    crowded: float = 0.0  # share by which work grows as its slots fill


class Backend:
    """One life of a backend."""

    def __init__(
        self, fleet: Fleet, instance: str, kind: Kind, address: tuple[str, int], place: tuple[str, str], cold: bool
    ) -> None:
        self.fleet, self.instance, self.kind, self.address = fleet, instance, kind, address
        self.zone, self.region = place
        self.born = now()
        self.cold_until = self.born + kind.cold_time if cold else self.born
        self.history: list[tuple[float, str]] = [(self.born, "ready")]  # from when on the list's keeper knows it so
        self.draining = self.ended = False
        self.well = True
        self.tricks: deque[str] = deque()  # what becomes of the next runs
        self.busy = 0
        self.queue: deque[asyncio.Future[None]] = deque()
        self.open: set[_Connection] = set()
        self._recent: deque[float] = deque()
        self._server: asyncio.Server | None = None

    @property
    def cold(self) -> bool:
        """Whether it is cold now."""
        return now() < self.cold_until

    async def listen(self) -> None:
        """Take connections."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), *self.address, reuse_address=True, backlog=256
        )

    def end(self) -> None:
        """Its process is gone: addresses refuse, connections break."""
        self.ended = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.open):
            connection.abort()

    def state(self, at: float) -> str:
        """What the list's keeper holds of it at a moment; "" = not known yet."""
        return next((state for since, state in reversed(self.history) if since <= at), "")

    def overrun(self, at: float) -> bool:
        """A request came: whether that is more than a cold one stands."""
        if not self.cold or not self.kind.cold_rate:
            return False
        self._recent.append(at)
        while self._recent[0] < at - 1000:
            self._recent.popleft()
        return len(self._recent) > FALLS * self.kind.cold_rate + self.kind.slots

    async def slot(self) -> bool:
        """Wait for one; False = full."""
        if self.busy < self.kind.slots:
            self.busy += 1
            return True
        if len(self.queue) >= self.kind.queue:
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.queue.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.leave()
            elif turn in self.queue:
                self.queue.remove(turn)
            raise
        return True

    def leave(self) -> None:
        """A slot is free."""
        while self.queue:
            turn = self.queue.popleft()
            if not turn.done():
                return turn.set_result(None)  # it takes the slot over
        self.busy -= 1


class _Connection(asyncio.Protocol):
    """One connection: a single request at a time."""

    def __init__(self, backend: Backend) -> None:
        self.backend, self.fleet, self.kind = backend, backend.fleet, backend.kind
        self._reader, self._waiting = RequestReader(), deque[Message]()
        self._task: asyncio.Task[None] | None = None
        self._idle: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._sender, self._delay = "", 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        held = len(self.backend.open)
        if held >= self.kind.connections or self.backend.ended:
            return self._transport.abort()
        self.backend.open.add(self)
        self.fleet.opened += 1
        self._rest()

    def _rest(self) -> None:
        self._idle = asyncio.get_running_loop().call_later(self.kind.idle / 1000, self._close)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """It breaks."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.backend.open.discard(self)
        if self._idle is not None:
            self._idle.cancel()
        if self._task is not None:
            self._task.cancel()
        self._reader.close()

    def data_received(self, data: bytes) -> None:
        try:
            self._waiting += self._reader.feed(data)
        except Malformed:
            self._write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return self._close()
        if self._waiting and self._task is None:
            if self._idle is not None:
                self._idle.cancel()
            if not self._sender and self._transport is not None:
                told = self._transport.get_extra_info
                self._sender, self._delay = self.fleet.caller(told("peername"), told("sockname"), self.backend)
            self._task = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self) -> None:
        while self._waiting:
            message = self._waiting.popleft()
            await self.fleet.paths.pass_on(self._sender, BACKENDS, now() + self._delay)
            head = {name.decode("latin-1"): value.decode("latin-1") for name, value in message.headers.items()}
            path = message.target.decode("latin-1")
            if path == self.kind.health_path and message.method == b"GET" and "hallhitch-request-id" not in head:
                await self._health()
            else:
                await self._request(message, head, path)
        self._task = None
        self._rest()

    async def _health(self) -> None:
        backend = self.backend
        self.fleet.probes += 1
        if not await backend.slot():
            return await self._answer(503, NOT_RUN)
        backend.leave()
        cold = max(0.0, backend.cold_until - now())
        told = f"Hallhitch-Instance-Id: {backend.instance}\r\nHallhitch-Cold-Remaining: {cold:.0f}ms\r\n".encode()
        await self._answer(200 if backend.well and not backend.draining else 503, told)

    async def _request(self, message: Message, head: dict[str, str], path: str) -> None:
        backend, at = self.backend, now()
        arrival = Arrival(
            next(self.fleet.records.numbers),
            head.get("hallhitch-request-id", ""),
            at,
            backend.instance,
            self.kind.service,
            backend.zone,
            backend.region,
            self._sender,
            message.method.decode(),
            path,
            head.get("hallhitch-tenant-name", ""),
            head.get("authorization", ""),
            digest(message.body),
        )
        self.fleet.records.arrivals.append(arrival)
        if not arrival.id:
            return await self._turn(arrival, 400)
        if head.get("hallhitch-expected-instance", backend.instance) != backend.instance:
            return await self._turn(arrival, 421)
        if backend.overrun(at):
            return self.fleet.crash(backend)
        left = head.get("hallhitch-deadline-remaining", "")
        ends = at + (float(left) if left.replace(".", "", 1).isdigit() else 60_000.0)
        if not await backend.slot():
            if self.kind.full_resets:
                return self.abort()
            return await self._turn(arrival, 503)
        try:
            if now() >= ends:
                return await self._turn(arrival, 503)
            arrival.begun = now()
            await self._work(arrival, ends)
        finally:
            backend.leave()

    async def _turn(self, arrival: Arrival, status: int) -> None:
        """Turn it away: it has not run."""
        arrival.status = status
        await self._answer(status, NOT_RUN, id=arrival.id)

    async def _work(self, arrival: Arrival, ends: float) -> None:
        backend = self.backend
        work = self.fleet.work(self.kind) * (COLD_SLOW if backend.cold else 1.0)
        work *= 1 + self.kind.crowded * backend.busy / self.kind.slots
        await asyncio.sleep(max(0.0, min(work, ends - now())) / 1000)
        if now() >= ends:
            arrival.status = 504
            return await self._answer(504, id=arrival.id)
        size = self.fleet.size(arrival.path)
        text = f"{backend.instance} {arrival.id} ".encode()
        body = (text * (size // len(text) + 1))[:size]
        arrival.status, arrival.answer = 200, digest(body)
        arrival.seal = f"{backend.instance}.{arrival.number:x}.{arrival.answer:08x}"
        trick = backend.tricks.popleft() if backend.tricks else self.fleet.trick()
        arrival.broke = trick in ("broken", "lost", "garbled", "silent")
        seal = f"Hallhitch-Response-Seal: {arrival.seal}\r\n".encode()
        if trick == "silent":
            await asyncio.get_running_loop().create_future()  # until the connection closes
        elif trick == "lost":
            await self.fleet.paths.pass_on(BACKENDS, self._sender, now() + self._delay)
            self.abort()
        elif trick == "garbled":
            await self.fleet.paths.pass_on(BACKENDS, self._sender, now() + self._delay)
            self._write(b"\x00\x01 these are no answer \r\n\r\n")
            self._close()
        elif trick == "broken":
            whole = self._bytes(200, seal, body, arrival.id)
            await self.fleet.paths.pass_on(BACKENDS, self._sender, now() + self._delay)
            self._write(whole[: len(whole) - len(body) // 2 - 1])
            self._close()
        else:
            await self._answer(200, seal, body, arrival.id)
            if trick == "doubled":
                self._write(self._bytes(200, seal, body, arrival.id))
            elif trick == "late":
                asyncio.get_running_loop().call_later(
                    LATE / 1000, self._write, self._bytes(200, seal, body, arrival.id)
                )

    async def _answer(self, status: int, extra: bytes = b"", body: bytes = b"", id: str = "") -> None:
        text = self._bytes(status, extra, body, id)
        await self.fleet.paths.pass_on(BACKENDS, self._sender, now() + self._delay)
        self._write(text)
        if self.backend.draining:
            self._close()

    def _bytes(self, status: int, extra: bytes, body: bytes, id: str) -> bytes:
        told = f"Hallhitch-Request-Id: {id}\r\n" if id else ""
        keep = "Connection: close" if self.backend.draining else f"Keep-Alive: timeout={self.kind.idle / 1000:.0f}"
        head = f"HTTP/1.1 {status} X\r\n{told}{keep}\r\nContent-Length: {len(body)}\r\n"
        return head.encode() + extra + b"\r\n" + body

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
