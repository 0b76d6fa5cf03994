"""The ingress: clients' connections, from the first byte of a request to the last of its answer."""

from __future__ import annotations

import asyncio
import math
import re
import socket
import time
from collections import deque
from collections.abc import Callable
from functools import lru_cache

from hallhitch.core.deadlines import Deadlines
from hallhitch.core.invariants import COUNTS, invariant
from hallhitch.core.module import Core
from hallhitch.decision import api
from hallhitch.net.acceptor import BUFFER, FIRST_MOST, Acceptor, Peer, Sent
from hallhitch.net.flow import Flow
from hallhitch.net.http import Malformed, Message, RequestReader, answer, head, path_of

QUEUE_MOST = 8  # requests read ahead on one connection; more are left unread
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
CUSTOMER_MOST = 1 << 33
REQ_ID = re.compile(rb"[0-9a-fA-F]{16}")
KEY = re.compile(rb"[!-~]{1,128}")
ONCE = frozenset(
    (b"host", b"req-id", b"x-contract", b"x-metering", b"req-deadline-ms", b"idempotency-key", b"req-retry")
)
REFUSALS = (429, 503)
DEADLINE_MOST = 600_000
# ms from SIGTERM to SIGKILL: the longest deadline, counted as the first at least, and the second, less some of our own
KILL_LEAST, KILL_AFTER = 3000.0, 700.0 - 300.0
SLOWEST = 16.0  # bytes a ms at which a body that is kept whole has to come, after the time for a head
WHOLE_MOST = 1 << 20  # bytes of a long body that is kept whole, where there is room
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PAUSE, PAUSES = 100.0, 4  # ms before more is read after an error, doubled for each further one so often


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
def metering(value: bytes, most_units: float, gateways: int) -> tuple[float, float]:
    """Units and spread of an X-Metering header; a customer's requests bring the same one again and again."""
    parts = [part.strip().partition(b"=") for part in value.split(b",") if part.strip()]
    fields = {name: number for name, _, number in parts}
    if len(fields) < len(parts):
        raise Unacceptable(400, "X-Metering names a field twice")
    units = whole(fields.get(b"units", b"1"), "X-Metering units")
    spread = whole(fields.get(b"spread", b"1"), "X-Metering spread")
    first = whole(fields.get(b"first", b"0"), "X-Metering first")
    if not 1 <= units <= max(1.0, most_units):
        raise Unacceptable(400, "X-Metering units are out of range")
    if not 1 <= spread <= gateways or first >= gateways:
        raise Unacceptable(400, "X-Metering names gateways that there are not")
    return float(units), float(spread)


class Terms:
    """Settings, with what a request's head names found by name."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {c.name.encode(): (n, c) for n, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): n for n, p in enumerate(settings.plans)}

    def named(self, path: bytes) -> tuple[int, api.RequestClass] | None:
        """The class that a path names, with its number; None where there is none of that name."""
        parts = path.split(b"/", 2)
        return self.classes.get(parts[1]) if len(parts) == 3 and not parts[0] else None


class Client(Peer):
    """One client's connection, and the answer port of the exchange that is open on it."""

    def __init__(self, ingress: Ingress, sock: socket.socket, spare: bool) -> None:
        super().__init__(ingress, sock, ingress.deadlines, ingress.scheduler)
        self._ingress, self._spare = ingress, spare
        self._reader = RequestReader(long=True, hold=self._hold)
        self._held = 0  # bytes held of long bodies, of what the ingress has room for
        self._flow: Flow | None = None  # the body of the request that is sent on while it comes
        self._read = 0.0  # when something last came, or was last asked for
        self._piped = False  # whether the client asks before it has its answer
        self._coming: Message | None = None  # the request whose body is coming
        self.waited = 0.0  # ms for which what was last read had surely waited, or may have
        self._body = 0.0  # when the body that is coming began
        self._waiting: deque[tuple[Message, Terms]] = deque()
        self._exchange, self._open_id = 0, b""
        self._errors, self._slow = 0, False  # errors told here; whether the last one has it left unread
        self._broken = 0  # the status that ends the connection, once nothing more can be read
        self._busy: Message | None = None  # the request that is owed an answer
        self._klass = ""  # its class, where it names one that is known
        self._outcome = ""  # how it ended, once its answer is on its way

    @property
    def owes(self) -> bool:
        """Whether an answer is owed."""
        return self._busy is not None or bool(self._waiting)

    @property
    def partial(self) -> bool:
        """Whether a request is half read."""
        return self._reader.partial

    @property
    def full(self) -> bool:
        """Whether so much waits that no more is read, or errors slow the client down."""
        if self.ending:
            return False
        flow = self._coming.flow if self._coming is not None else None  # a long body waits for its server
        if len(self._waiting) >= QUEUE_MOST or self._slow or flow is not None and flow.waits:
            return True
        # Where connections are to end, who asks ahead is read no more: only what was read is answered, as who never
        # stops would never leave.
        return self._piped and self.owes and self._coming is None and self._ingress.leaving

    @property
    def bulky(self) -> bool:
        """Whether a long body is coming."""
        return self._coming is not None and self._reader.size > BUFFER

    @property
    def unread(self) -> bool:
        """Whether a long body is still coming."""
        return self._coming is not None and not self._broken

    def late(self, now: float) -> bool:
        """Whether what is half read has taken too long: a head by its time, a body by its progress."""
        if self.full:
            self._read = now  # it is not the client that is waited for
        if self._coming is None:
            return super().late(now)
        if now - self._read > FIRST_MOST:
            return True
        return self._flow is None and now - self._body > FIRST_MOST + self._reader.size / SLOWEST

    def _hold(self, size: int) -> bool:
        """Room for so many bytes more of a long body that is kept whole."""
        if self._reader.size > WHOLE_MOST or self._ingress.held + size > self._ingress.held_most:
            return False
        self._held += size
        self._ingress.held += size
        return True

    def _release(self) -> None:
        self._ingress.held -= self._held
        self._held = 0

    def overdue(self) -> None:
        """Say that the request took too long to come."""
        if not self._broken:
            self._broken = 408
            self._reader.fail()
            if self._flow is not None and self._exchange:  # its own request, which never comes whole
                self._ingress.core.on_client_gone(self._exchange)
                return self._give(408, close=True)
            self._next()

    def take(self, data: memoryview) -> None:
        """Read requests; what cannot be read is answered and ends the connection."""
        if self._broken:
            return
        terms, self._read = self._ingress.terms, self.heard
        self.waited = self._read - self.waits_since if self.waits_since else self._ingress.lag()
        self.waits_since = 0.0
        try:
            self._waiting.extend((request, terms) for request in self._reader.feed(data))
        except Malformed as error:
            COUNTS["malformed"] += 1
            self._broken = error.status  # told in its turn, behind the answers to what came whole
            self._waiting.extend((request, terms) for request in self._reader.completed())
        before, self._coming = self._coming, self._reader.begun
        if self._coming is not None and self._coming is not before:
            self._body = self._read
        if self._flow is not None and self._flow.ended:
            self._whole()
        if self._reader.expects and not self.owes and not self._broken:
            self._reader.expects = False
            self.now(CONTINUE)
        self._next()
        self._piped = self._piped or self._busy is not None and bool(self._waiting)

    def _whole(self) -> None:
        """The long request that is being sent on has come whole: its time begins."""
        self._flow = None
        self._ingress.passing.discard(self)
        if self._exchange:
            self._ingress.core.on_request_complete(self._exchange)

    def left(self) -> None:
        """The client has gone: nothing more is owed."""
        self._ingress.open_ids.discard(self._open_id)
        self._reader.close()
        self._release()
        if self.broke:
            self._outcome = "failed"
        if self._exchange:
            self._ingress.core.on_client_gone(self._exchange)
        self._over()

    def _next(self) -> None:
        """Begin with the next request, if none is open."""
        if self._busy is not None or self._slow:
            return
        if not self._waiting:
            if self._broken:
                self.ending = True
                self.post(answer(self._broken, close=True))
            return
        request, terms = self._waiting.popleft()
        self._busy = request
        self._ingress.used(self)
        path = path_of(request.target)
        if path == b"/_health":
            welcome = self._ingress.welcome()
            return self._give(200 if welcome else 503, b"ok" if welcome else b"draining")
        named = terms.named(path)
        if named is not None:
            self._klass = named[1].name
            self._ingress.in_flight += 1
        if self._spare:
            self.on_rejected(1000.0, status=503)
        else:
            try:
                self._exchange = self._ingress.begin(request, path, self, terms, named)
                self.accepted, self._open_id = True, request.headers[b"req-id"]
                if request.flow is not None:
                    request.flow.taken = self.proceed
                    if request.flow.ended:
                        self._ingress.core.on_request_complete(self._exchange)
                    else:
                        self._flow = request.flow
                        self._ingress.passing.add(self)
            except Unacceptable as error:
                self._slow_down()
                self._give(error.status, error.text.encode())

    def _slow_down(self) -> None:
        """Leave a client that sends what cannot be accepted unread for a while: floods must cost little."""
        COUNTS["unacceptable"] += 1
        self._slow = True
        self._ingress.deadlines.call_after(PAUSE * 2 ** min(self._errors, PAUSES), self._go_on)
        self._errors += 1

    def _go_on(self) -> None:
        self._slow = False
        if not self.ended:
            self._next()
            self.proceed()

    # The one final answer.

    def on_served(self, payload: object) -> None:
        """Pass a server's answer on, as it comes if it is long."""
        assert isinstance(payload, Message)
        kind = payload.headers.get(b"content-type")
        self._give(200, payload.body, b"Content-Type: %s\r\n" % kind if kind else b"", passes=payload)

    def on_rejected(self, advice: float, status: int = 429) -> None:
        """Tell the client to come back later."""
        self._give(status, headers=b"Retry-After: %.3f\r\n" % max(0.001, advice / 1000))

    def on_failed(self) -> None:
        """Tell the client that nothing is known."""
        self._give(502)

    def _give(
        self,
        status: int,
        body: bytes = b"",
        headers: bytes = b"",
        close: bool = False,
        passes: Message | None = None,
    ) -> None:
        busy, flow = self._busy, passes.flow if passes is not None else None
        if self.ended or not invariant(busy is not None, "an answer for an open request") or busy is None:
            if flow is not None:
                flow.abandon()
            return
        # A long request that has not come whole is not waited for.
        close = close or self.ending or self._spare or not busy.keep or busy.flow is not None and not busy.flow.ended
        if busy.flow is not None:
            busy.flow.abandon()
        if self._flow is not None:
            self._flow = None
            self._ingress.passing.discard(self)
        self._release()
        close = close or self._ingress.leaving and not self._waiting and not self._broken
        self.ending, self._exchange = close, 0
        self._outcome = "served" if status == 200 else "refused" if status in REFUSALS else "failed"
        self._ingress.open_ids.discard(self._open_id)
        self._open_id = b""
        if flow is None or passes is None:
            first = head(status, len(body), headers=headers, close=close, version=busy.version)
            self.post(first if busy.method == b"HEAD" else first + body)
            return
        chunked = passes.length is None and busy.version != "1.0"
        self.ending = close = close or passes.length is None and not chunked  # else its end could not be told
        first = head(status, passes.length, headers=headers, close=close, version=busy.version)
        if not self.post(Sent(first, flow, chunked)):
            flow.abandon()
            self.end()

    def _over(self) -> None:
        """A request has ended: told under its class, unless its client left before it had an answer."""
        if self._klass:
            self._ingress.in_flight -= 1
            if self._outcome:
                self._ingress.tally(self._klass, self._outcome)
        self._klass = self._outcome = ""

    def wrote(self, count: int) -> None:
        """The answer has left: the next request may begin."""
        self._over()
        self._busy = None
        if self.ending:
            self._waiting.clear()
        else:
            self._ingress.rests(self)
            self._next()
            self.proceed()


class Ingress(Acceptor):
    """Turns clients' requests into exchanges."""

    def __init__(
        self,
        core: Core,
        settings: api.Settings,
        deadlines: Deadlines,
        scheduler: asyncio.AbstractEventLoop,
        most: int,
        spare: int,
        shared: bool = False,
        held_most: int = 0,
        welcome: Callable[[], bool] = lambda: True,
        tally: Callable[[str, str], None] = lambda klass, outcome: None,
    ) -> None:
        """`welcome` says whether health is told yes; `tally` is told each request's class and outcome at its end."""
        super().__init__(deadlines, scheduler, most, spare, shared)
        self.core, self.terms, self.welcome, self.tally = core, Terms(settings), welcome, tally
        self._until = math.inf
        self.held, self.held_most = 0, held_most  # bytes held of long bodies that are kept whole, and their bound
        self.in_flight = 0  # requests of known classes that have no whole answer yet
        self.open_ids: set[bytes] = set()  # Req-Ids of the exchanges that are open

    def retune(self, settings: api.Settings) -> None:
        """Read requests by other settings from now on; what was read before keeps its own."""
        self.terms = Terms(settings)

    def peer(self, sock: socket.socket, spare: bool) -> Peer:
        """A new connection's actor."""
        return Client(self, sock, spare)

    def close(self) -> None:
        """Begin to end."""
        longest = max(kind.deadline for kind in self.terms.settings.classes)
        self._until = min(self._until, self.deadlines.clock() + max(KILL_LEAST, longest) + KILL_AFTER)
        super().close()

    def lag(self) -> float:
        """The ms since this turn of the loop began: what is read in it had come by then."""
        return max(0.0, (time.monotonic() - self.scheduler.time()) * 1000)

    def _last(self) -> float:
        """The ms left for any request: a process that is to end is killed in time, answered or not."""
        return max(1.0, self._until - self.deadlines.clock())

    def begin(
        self,
        request: Message,
        path: bytes,
        client: Client,
        terms: Terms,
        named: tuple[int, api.RequestClass] | None,
    ) -> int:
        """Open an exchange for a request; nothing is counted or learned of one that is not acceptable."""
        head = request.headers
        if not ONCE.isdisjoint(request.twice):
            raise Unacceptable(400, "a header came twice")
        if head.get(b"expect", b"100-continue").lower() != b"100-continue":
            raise Unacceptable(417, "the expectation is not supported")
        parts = path.split(b"/")
        if len(parts) < 3 or parts[0]:
            raise Unacceptable(404, "the path is no /class/customer")
        if named is None:
            raise Unacceptable(404, "the path names no known class")
        if not CUSTOMER.fullmatch(parts[-1]) or int(parts[-1], 16) >= CUSTOMER_MOST:
            raise Unacceptable(404, "the path names no customer")
        klass, kind = named
        if request.method != (b"GET" if kind.effect == api.SAFE else b"POST"):
            raise Unacceptable(405, "the class has another method")
        if (request.body or request.flow) and kind.effect == api.SAFE:
            raise Unacceptable(400, "the class has no body")
        if kind.effect == api.KEYED and not KEY.fullmatch(head.get(b"idempotency-key", b"")):
            raise Unacceptable(400, "Idempotency-Key is missing or malformed")
        plan = terms.plans.get(head.get(b"x-contract", b""))
        if plan is None:
            raise Unacceptable(400, "X-Contract names no known plan")
        name = head.get(b"req-id", b"")
        if not REQ_ID.fullmatch(name):
            raise Unacceptable(400, "Req-Id is missing or malformed")
        if name in self.open_ids:
            raise Unacceptable(409, "Req-Id is that of an open request")
        deadline = whole(head.get(b"req-deadline-ms"), "Req-Deadline-Ms")
        if not 1 <= deadline <= DEADLINE_MOST:
            raise Unacceptable(400, "Req-Deadline-Ms is out of range")
        units, spread = metering(head.get(b"x-metering", b""), terms.settings.most_units, terms.settings.gateways)
        self.open_ids.add(name)
        # Nobody waits for longer than the settings say of the class.
        return self.core.begin(
            parts[-1].decode(),
            plan,
            klass,
            min(float(deadline), kind.deadline, self._last()),
            client,
            request,
            units=units,
            spread=spread,
            write=kind.effect != api.SAFE,
            repeat=head.get(b"req-retry") == b"1",
            kind=kind,
            coming=request.flow is not None,
            waited=client.waited,
        )
