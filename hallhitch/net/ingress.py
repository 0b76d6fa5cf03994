"""The ingress: clients' connections, from the first byte of a request to the last of its answer."""

from __future__ import annotations

import re
import socket
from collections import deque
from functools import lru_cache

from hallhitch import api
from hallhitch.core.deadlines import Deadlines, Scheduler
from hallhitch.core.invariants import COUNTS, invariant
from hallhitch.core.module import Core
from hallhitch.net.acceptor import Acceptor, Peer
from hallhitch.net.http import Malformed, Message, RequestReader, answer

QUEUE_MOST = 8  # requests read ahead on one connection
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")


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


@lru_cache(4096)
def metering(value: bytes) -> tuple[float, float]:
    """Units and spread of an X-Metering header; a customer's requests bring the same one again and again."""
    fields = dict(part.strip().partition(b"=")[::2] for part in value.split(b","))
    return (float(whole(fields.get(b"units", b"1"), "X-Metering units")),
            float(whole(fields.get(b"spread", b"1"), "X-Metering spread")))


class Client(Peer):
    """One client's connection, and the answer port of the exchange that is open on it."""

    def __init__(self, ingress: Ingress, sock: socket.socket, spare: bool) -> None:
        super().__init__(ingress, sock, ingress.deadlines, ingress.scheduler)
        self._ingress, self._spare = ingress, spare
        self._reader = RequestReader()
        self._waiting: deque[Message] = deque()
        self._exchange = 0
        self._broken = 0  # the status that ends the connection, once nothing more can be read
        self._busy: Message | None = None  # the request that is owed an answer

    @property
    def owes(self) -> bool:
        """Whether an answer is owed."""
        return self._busy is not None or bool(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether nothing is owed and nothing half read."""
        return not self.owes and not self._reader.partial

    def take(self, data: memoryview) -> None:
        """Read requests; what cannot be read is answered and ends the connection."""
        if self._broken:
            return
        try:
            self._waiting.extend(self._reader.feed(data))
        except Malformed as error:
            COUNTS["malformed"] += 1
            self._broken = error.status  # told in its turn, behind the answers to what came whole
            self._waiting.extend(self._reader.completed())
        if len(self._waiting) > QUEUE_MOST:
            self.end()
        self._next()

    def left(self) -> None:
        """The client has gone: nothing more is owed."""
        if self._exchange:
            self._ingress.core.leave(self._exchange)

    def _next(self) -> None:
        """Begin with the next request, if none is open."""
        if self._busy is not None:
            return
        if not self._waiting:
            if self._broken:
                self.ending = True
                self.post(answer(self._broken, close=True))
            return
        request = self._busy = self._waiting.popleft()
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
        self._give(status, headers=b"Retry-After: %.3f\r\n" % max(0.001, advice / 1000))

    def failed(self) -> None:
        """Tell the client that nothing is known."""
        self._give(502)

    def _give(self, status: int, body: bytes = b"", headers: bytes = b"") -> None:
        busy = self._busy
        if self.ended or not invariant(busy is not None, "an answer for an open request") or busy is None:
            return
        close = self.ending or self._spare or not busy.keep
        close = close or self._ingress.closing and not self._waiting and not self._broken
        self.ending, self._exchange = close, 0
        self.post(answer(status, body, headers=headers, close=close))

    def wrote(self, count: int) -> None:
        """The answer has left: the next request may begin."""
        self._busy = None
        if self.ending:
            self._waiting.clear()
        else:
            self._ingress.rests(self)
            self._next()


class Ingress(Acceptor):
    """Turns clients' requests into exchanges."""

    def __init__(
        self, listener: socket.socket, core: Core, settings: api.Settings, deadlines: Deadlines,
        scheduler: Scheduler, most: int,
    ) -> None:
        super().__init__(listener, deadlines, scheduler, most)
        self.core = core
        self._classes = {c.name.encode(): n for n, c in enumerate(settings.classes)}
        self._writes = [c.effect != api.SAFE for c in settings.classes]
        self._plans = {p.name.encode(): n for n, p in enumerate(settings.plans)}

    def peer(self, sock: socket.socket, spare: bool) -> Peer:
        """A new connection's actor."""
        return Client(self, sock, spare)

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
        deadline = whole(head.get(b"req-deadline-ms"), "Req-Deadline-Ms")
        units, spread = metering(head.get(b"x-metering", b""))
        if not deadline or not units or not spread:
            raise Unacceptable(400, "a deadline, units and a spread are at least 1")
        return self.core.begin(
            parts[-1].decode(), plan, klass, float(deadline), client, request,
            units=units, spread=spread, write=self._writes[klass],
            repeat=head.get(b"req-retry") == b"1")
