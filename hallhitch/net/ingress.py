"""The ingress: clients' connections, from the first byte of a request to the last of its answer."""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque

import structlog

from hallhitch import api
from hallhitch.core.actor import Actor
from hallhitch.core.deadlines import Deadlines, Entry, Scheduler
from hallhitch.core.invariants import COUNTS, invariant
from hallhitch.core.module import Core
from hallhitch.net.http import Malformed, Message, RequestReader, answer
from hallhitch.net.sockets import cut, pause, tune

BUFFER = 8192
MARGIN = 5.0  # ms kept back of a client's patience: its clock began at its send, and the answer must arrive
QUEUE_MOST = 8  # requests read ahead on one connection
SPARE = 32  # connections past the budget that are still accepted, to be answered 503
WRITE_MOST = 10_000.0  # ms for a client to take an answer
LINGER = 1000.0  # ms to go on reading after an answer that ends a connection, so that it arrives
ACCEPT_AFTER_TERM = 500.0  # ms to go on accepting after SIGTERM
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
log = structlog.get_logger()


class Unacceptable(Exception):
    """A request that names nothing known; the text says what."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


def whole(value: bytes | None, field: str) -> int:
    """A whole number from a header."""
    if value is None or not value.isdigit() or len(value) > 9:
        raise Unacceptable(400, f"{field} is missing or no whole number")
    return int(value)


class Client(Actor[bytes]):
    """One client's connection; its mailbox holds answers to write."""

    def __init__(self, ingress: Ingress, sock: socket.socket, scheduler: Scheduler, spare: bool) -> None:
        super().__init__("client", scheduler)
        self._ingress, self._sock, self._spare = ingress, sock, spare
        self._reader = RequestReader()
        self._waiting: deque[Message] = deque()
        self._exchange = 0
        self._busy: Message | None = None  # the request that is owed an answer
        self._ending = self._ended = False
        self._limit: Entry | None = None
        self._writer: asyncio.Task[None] | None = None

    @property
    def idle(self) -> bool:
        """Whether nothing is owed and nothing half read."""
        return self._busy is None and not self._waiting and not self._reader.partial

    async def run(self) -> None:
        """Read until the client leaves or the connection is ended here."""
        loop, buffer = asyncio.get_running_loop(), bytearray(BUFFER)
        view = memoryview(buffer)
        try:
            while True:
                size = await loop.sock_recv_into(self._sock, buffer)
                if not size:
                    break
                if self._ending:
                    continue  # lingering: what still comes is not read
                try:
                    self._waiting.extend(self._reader.feed(view[:size]))
                except Malformed as error:
                    COUNTS["malformed"] += 1
                    self._ending = True
                    if self._busy is None:
                        self.post(answer(error.status, close=True))
                    continue
                if len(self._waiting) > QUEUE_MOST:
                    break
                self._next()
        except (OSError, asyncio.CancelledError):
            pass
        except Exception as error:
            self.crashed(error)
        finally:
            self._gone()

    def _gone(self) -> None:
        self._ended = True
        self._ingress.deadlines.drop(self._limit)
        if self._writer is not None:
            self._writer.cancel()
        if self._exchange and self._busy is not None:
            self._ingress.core.leave(self._exchange)
        cut(self._sock)
        self._sock.close()
        self._ingress.left(self)

    def _next(self) -> None:
        """Begin with the next request, if none is open."""
        if self._busy is not None or not self._waiting:
            return
        request = self._busy = self._waiting.popleft()
        self._exchange = 0
        self._ingress.used(self)
        path = request.target.partition(b"?")[0]
        if path == b"/_health":
            self._give(200, b"ok")
        elif self._spare:
            self.refused(1000.0, status=503)
        else:
            try:
                self._exchange = self._ingress.begin(request, path, self)
            except Unacceptable as error:
                self._give(error.status, error.text.encode())

    # The one final answer.

    def served(self, payload: object) -> None:
        """Pass a server's answer on."""
        assert isinstance(payload, Message)
        kind = payload.headers.get(b"content-type")
        self._give(200, payload.body, b"Content-Type: %s\r\n" % kind if kind else b"")

    def refused(self, advice: float, status: int = 429) -> None:
        """Tell the client to come back later."""
        self._give(status, headers=b"Retry-After: %.3f\r\n" % (advice / 1000))

    def failed(self) -> None:
        """Tell the client that nothing is known."""
        self._give(502)

    def _give(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        if self._ended or not invariant(self._busy is not None, "an answer for an open request"):
            return
        assert self._busy is not None
        close = self._ending or self._spare or not self._busy.keep
        close = close or self._ingress.closing and not self._waiting
        self._ending = close
        self.post(answer(status, body, headers=headers, close=close))

    def receive(self, message: bytes) -> None:
        """Write an answer."""
        if self._ended:
            return
        self._limit = self._ingress.deadlines.after(WRITE_MOST, self.end)
        self._writer = asyncio.get_running_loop().create_task(self._write(message))

    async def _write(self, data: bytes) -> None:
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, data)
        except OSError:
            return self.end()
        self._ingress.deadlines.drop(self._limit)
        self._busy, self._exchange, self._writer = None, 0, None
        if self._ending:
            self._sock.shutdown(socket.SHUT_WR)
            self._limit = self._ingress.deadlines.after(LINGER, self.end)
        else:
            self._ingress.rests(self)
            self._next()

    def end(self) -> None:
        """End the connection; the reader then cleans up."""
        cut(self._sock)


class Ingress:
    """Accepts clients within the budget of descriptors and turns their requests into exchanges."""

    def __init__(
        self, listener: socket.socket, core: Core, settings: api.Settings, deadlines: Deadlines,
        scheduler: Scheduler, most: int,
    ) -> None:
        self._listener, self.core, self.deadlines, self._scheduler = listener, core, deadlines, scheduler
        self._most = most
        self._classes = {c.name.encode(): n for n, c in enumerate(settings.classes)}
        self._writes = [c.effect != api.SAFE for c in settings.classes]
        self._plans = {p.name.encode(): n for n, p in enumerate(settings.plans)}
        self._clients: dict[Client, asyncio.Task[None]] = {}
        self._idle: dict[Client, None] = {}  # longest idle first
        self.closing = False
        self._closed = asyncio.Event()

    # Requests.

    def begin(self, request: Message, path: bytes, client: Client) -> int:
        """Open an exchange for a request."""
        head = request.headers
        parts = path.split(b"/")
        if len(parts) < 3 or parts[0]:
            raise Unacceptable(404, "the path is no /class/customer")
        klass = self._classes.get(parts[1])
        if klass is None:
            raise Unacceptable(404, "the path names no known class")
        if not CUSTOMER.fullmatch(parts[-1]):
            raise Unacceptable(404, "the path names no customer")
        plan = self._plans.get(head.get(b"x-contract", b""))
        if plan is None:
            raise Unacceptable(400, "X-Contract names no known plan")
        if not head.get(b"req-id"):
            raise Unacceptable(400, "Req-Id is missing")
        patience = whole(head.get(b"req-deadline-ms"), "Req-Deadline-Ms")
        metering = dict(p.strip().partition(b"=")[::2] for p in head.get(b"x-metering", b"").split(b","))
        units = whole(metering.get(b"units", b"1"), "X-Metering units")
        spread = whole(metering.get(b"spread", b"1"), "X-Metering spread")
        if not patience or not units or not spread:
            raise Unacceptable(400, "a deadline, units and a spread are at least 1")
        # One spelling of a customer on every gateway: the names of its windows are hashed from it.
        customer = parts[-1].lower().decode()
        return self.core.begin(
            customer, plan, klass, max(1.0, patience - MARGIN), client, request,
            units=float(units), spread=float(spread), write=self._writes[klass],
            repeat=head.get(b"req-retry") == b"1")

    # Connections.

    async def accept(self) -> None:
        """Accept clients for as long as the listener is open."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self._listener)
            except asyncio.CancelledError:
                return
            except OSError as error:
                COUNTS["accept_failed"] += 1
                log.warning("accept failed", error=str(error))
                await pause(self.deadlines, 10.0)
                continue
            self.admit(sock)

    def admit(self, sock: socket.socket) -> None:
        """Take in a connection; at the limit the longest idle one goes first."""
        if len(self._clients) >= self._most and self._idle:
            COUNTS["ingress_idle_shed"] += 1
            next(iter(self._idle)).end()
        if len(self._clients) >= self._most + SPARE:
            COUNTS["ingress_full"] += 1
            sock.close()
            return
        client = Client(self, tune(sock), self._scheduler, len(self._clients) >= self._most + 1)
        self._clients[client] = asyncio.get_running_loop().create_task(client.run())
        self._idle[client] = None

    def used(self, client: Client) -> None:
        """A client's connection has a request."""
        self._idle.pop(client, None)

    def rests(self, client: Client) -> None:
        """A client's connection has none any more."""
        if client in self._clients:
            self._idle[client] = None

    def left(self, client: Client) -> None:
        """A client's connection has ended."""
        self._clients.pop(client, None)
        self._idle.pop(client, None)
        if self.closing and not self._clients:
            self._closed.set()

    # The end.

    def close(self) -> None:
        """Begin to end: go on accepting for a while, then finish what is open."""
        if not self.closing:
            self.closing = True
            self.deadlines.after(ACCEPT_AFTER_TERM, self._stop)

    def _stop(self) -> None:
        while True:  # what the machine accepted meanwhile has been taken too
            try:
                self.admit(self._listener.accept()[0])
            except OSError:
                break
        cut(self._listener)
        self._listener.close()
        if not self._clients:
            self._closed.set()
        self._end_idle()

    def _end_idle(self) -> None:
        for client in [c for c in self._clients if c.idle]:
            client.end()
        if self._clients:
            self.deadlines.after(50.0, self._end_idle)

    async def closed(self) -> None:
        """Wait until the last client has its answer."""
        await self._closed.wait()


