"""Hops: attempts carried to servers, an actor and a pool of connections for each."""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from hallhitch.core.actor import Actor
from hallhitch.core.deadlines import Deadline, Deadlines, Scheduler
from hallhitch.core.invariants import COUNTS
from hallhitch.core.ports import Attempt
from hallhitch.decision import api
from hallhitch.net.flow import Broken, Flow
from hallhitch.net.http import AnswerReader, Malformed, Message, origin_of
from hallhitch.net.sockets import alive, connect, cut, pause

REST = 2.0  # ms that a connection stays silent before it is used again: what came too much shows in that time
IDLE_SHARE = 0.4  # of the servers' keep-alive: connections idle for longer are dropped here first
SAMPLE = 0.05  # weight of one attempt in the share that breaks on new connections
IDLE_SAMPLE = 0.12  # and on idle ones: two in a row are enough to leave those alone, as a new one costs far less
BROKEN = 0.15  # share of attempts, above that on new connections, that breaks where idle ones are not used
STANDS = 100.0  # ms for which the longest idle time found stands, where nothing breaks
FORGET = 30_000.0  # ms in which half of a learned share is forgotten, so that it is tried again
BUFFER = 16_384
BULK = 32_768  # bytes of a long answer read at once
EARLY = 100.0  # ms after which the body of an answer of unknown length is passed on as it comes
PASS_MOST = 10_000.0  # ms without a byte after which a long answer under way is given up

Place = tuple[tuple[str, int], float]  # where a server listens, and when it started


class Routes(Protocol):
    """What hops ask of the route table."""

    def up(self, server: str) -> bool: ...

    def where(self, server: str) -> Place | None: ...


class Told(Protocol):
    """Where an attempt's end is reported."""

    def on_attempt_ended(self, a: Attempt, outcome: str, payload: object = None) -> bool: ...

    def on_streaming_started(self, a: Attempt) -> None: ...


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to a server; it carries one attempt at a time."""

    sock: socket.socket
    to: Place
    reader: AnswerReader = field(default_factory=lambda: AnswerReader(long=True))
    idle_since: float = 0.0


@dataclass(slots=True, eq=False)
class Job:
    """An attempt under way: over as soon as its end has been reported."""

    attempt: Attempt
    connection: Connection | None = None
    idle: float | None = None  # how long its connection stood idle before; None for a new one
    written: bool = False
    slow: bool = False  # its answer began, and then nothing more came
    passed: bool = False  # its long answer was passed on as it came
    over: bool = False
    task: asyncio.Task[None] | None = None
    limit: Deadline | None = None


class Idleness:
    """How many attempts break by how long their connection stood idle before.

    Servers, or what is between, may drop idle connections far sooner than they say, and tell nobody: the next
    request on one ends as a reset, and may have run for all that is known here.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._new = 0.0  # the share on connections that were not idle at all
        self._shares: dict[int, tuple[float, float]] = {}  # share and when learned, by the order of the time
        self._most, self._until = math.inf, -math.inf  # the last answer, and how long it stands

    def learn(self, idle: float | None, broke: bool) -> None:
        """Note how an attempt ended; `idle` is None for a new connection."""
        if idle is None:
            self._new += SAMPLE * (broke - self._new)
            return
        order = int(idle).bit_length()
        if broke:
            share = self._share(order)
            self._shares[order] = share + IDLE_SAMPLE * (1 - share), self._clock()
            self._until = -math.inf
        else:  # what was idle for less is in order too
            for less in [known for known in self._shares if known <= order]:
                self._shares[less] = self._share(less) * (1 - IDLE_SAMPLE), self._clock()

    def told(self) -> list[tuple[int, float, float]]:
        """What was learned, for a next process: the order of an idle time, its share and when that held (ms)."""
        return [(order, share, when) for order, (share, when) in self._shares.items()]

    def take(self, rows: Iterable[tuple[int, float, float]]) -> None:
        """Go on from what another process learned."""
        self._shares = {order: (share, when) for order, share, when in rows}
        self._until = -math.inf

    def _share(self, order: int) -> float:
        share, when = self._shares.get(order, (0.0, 0.0))
        return float(share * 0.5 ** ((self._clock() - when) / FORGET))

    def most(self) -> float:
        """How long a connection may stand idle and be used; told anew after each break, and every STANDS ms."""
        now = self._clock()
        if now >= self._until:
            orders = (order for order in sorted(self._shares) if self._share(order) > self._new + BROKEN)
            order = next(orders, None)
            self._most = math.inf if order is None else float(1 << order >> 1)
            self._until = now + STANDS
        return self._most


class Hop(Actor[Job]):
    """One server: its mailbox holds attempts to begin."""

    def __init__(self, hops: Hops, server: str, scheduler: Scheduler) -> None:
        super().__init__(f"hop {server}", scheduler)
        self._hops, self.server = hops, server
        self.idle: deque[Connection] = deque()  # newest last

    def handle(self, message: Job) -> None:
        """Begin an attempt."""
        if not message.over:
            message.task = asyncio.get_running_loop().create_task(self._carry(message))

    def on_message_failed(self, message: Job) -> None:
        """An attempt that could not even begin never ran."""
        self._hops.end(message, "unreachable")

    async def _carry(self, job: Job) -> None:
        """Run one attempt to its end; whatever goes wrong is an outcome."""
        try:
            outcome, answer = await self._attempt(job)
        except asyncio.CancelledError:
            outcome, answer = "cancelled", None  # reported already by whoever cancelled
        except Malformed:
            # It has run, and the server goes on: another answer of it may be as good as any. Told as a reset,
            # it would be set aside, and all others with it where all spoil alike.
            COUNTS["answer_spoilt"] += 1
            outcome, answer = "error", None
        except Exception as error:
            if not isinstance(error, OSError):
                self.record_failure(error)
            outcome, answer = "reset" if job.written else "unreachable", None
        if job.written and outcome != "cancelled":
            self._hops.idleness.learn(job.idle, outcome == "reset")
        connection, job.connection = job.connection, None
        keep = answer is not None and answer.keep and (job.passed or not job.over)
        if connection is not None and not (keep and self._keep(connection)):
            self._hops.close(connection)
        self._hops.end(job, outcome, answer)

    async def _attempt(self, job: Job) -> tuple[str, Message | None]:
        a, loop = job.attempt, asyncio.get_running_loop()
        job.connection = connection = await self._reuse() or await self._open()
        if connection.idle_since:
            job.idle = self._hops.deadlines.clock() - connection.idle_since
        # The connecting took time: all that the decision rested on is looked at once more.
        left = a.ends_at - self._hops.deadlines.clock()
        if not a.is_wanted or left < 1 or not self._hops.routes.up(self.server):
            return "void", None
        request = a.payload
        assert isinstance(request, Message)
        upload = None
        if request.flow is None:
            await loop.sock_sendall(connection.sock, self._head(request, left) + request.body)
            self._written(job)
        else:
            upload = loop.create_task(self._upload(job, connection, request, left))
        try:
            outcome, answer = await self._hear(job, connection)
        finally:
            if upload is not None:
                upload.cancel()
        if answer is not None and not job.written:
            answer.keep = False
        return outcome, answer

    def _written(self, job: Job) -> None:
        job.written = True
        self._hops.wrote()

    async def _upload(self, job: Job, connection: Connection, request: Message, left: float) -> None:
        """Send a long request on as it comes; its time at the server begins with its last byte."""
        loop, flow = asyncio.get_running_loop(), request.flow
        assert flow is not None
        self._hops.told.on_streaming_started(job.attempt)
        try:
            async for data in flow.written(self._head(request, left), chunked=request.length is None):
                await loop.sock_sendall(connection.sock, data)
        except (OSError, Broken):
            return cut(connection.sock)
        job.attempt.sent_at = self._hops.deadlines.clock()
        self._written(job)

    async def _hear(self, job: Job, connection: Connection) -> tuple[str, Message | None]:
        """The answer, or its head where its long body was passed on as it came."""
        loop, buffer, reader = asyncio.get_running_loop(), bytearray(BUFFER), connection.reader
        view = memoryview(buffer)
        limit, begun = None, 0.0
        try:
            while True:
                size = await loop.sock_recv_into(connection.sock, buffer)
                if not size:
                    if job.slow:
                        raise Malformed(400)
                    answer = next((a for a in reader.end() if a.status >= 200), None)
                    if answer is not None:
                        return outcome_of(answer), answer
                    return "reset" if job.written else "unreachable", None
                answer = read_answer(reader, view[:size])
                if answer is None and reader.begun is not None and reader.size and reader.begun.length is None:
                    # How long it is shows at its end alone: what takes its time to come is not kept back.
                    begun = begun or self._hops.deadlines.clock()
                    if self._hops.deadlines.clock() - begun > EARLY:
                        reader.pass_on()
                        answer = read_answer(reader, view[:0])
                if answer is not None and answer.flow is not None:
                    if outcome_of(answer) != "ok":
                        return outcome_of(answer), None  # nobody is served an error: the rest is not read
                    if answer.flow.broken:
                        raise Malformed(400)
                    self._hops.deadlines.cancel(limit)
                    await self._pass(job, connection, answer, answer.flow)
                    return "ok", answer
                if answer is not None:
                    return outcome_of(answer), answer
                # What has begun to come goes on coming, or never ends; a slow network is no reason yet.
                self._hops.deadlines.cancel(limit)
                limit = self._hops.deadlines.call_after(self._hops.connect_timeout, lambda: slow(job))
        finally:
            self._hops.deadlines.cancel(limit)

    async def _pass(self, job: Job, connection: Connection, answer: Message, flow: Flow) -> None:
        """Pass a long answer on: the attempt has ended well, the rest comes as fast as the client takes it."""
        loop, buffer, taken = asyncio.get_running_loop(), bytearray(BULK), asyncio.Event()
        view = memoryview(buffer)

        def room() -> None:
            taken.set()
            if flow.abandoned and not flow.ended:
                cut(connection.sock)

        flow.taken = room
        job.passed = True
        self._hops.passing += 1
        try:
            if not self._hops.end(job, "ok", answer):
                flow.abandon()
            while not flow.ended and not flow.broken and not flow.abandoned:
                while flow.waits:
                    taken.clear()
                    await taken.wait()
                limit = self._hops.deadlines.call_after(PASS_MOST, lambda: cut(connection.sock))
                try:
                    size = await loop.sock_recv_into(connection.sock, buffer)
                finally:
                    self._hops.deadlines.cancel(limit)
                if not size:
                    connection.reader.end()
                    break
                if connection.reader.feed(view[:size]) or flow.ended and connection.reader.partial:
                    answer.keep = False  # more than belongs to it
        except (OSError, Malformed):
            answer.keep = False
        finally:
            self._hops.passing -= 1
            flow.fail()
            answer.keep = answer.keep and flow.ended and not flow.abandoned

    def _head(self, request: Message, left: float) -> bytes:
        """The head of the request as it goes to the server."""
        lines = [b"%s %s HTTP/1.1\r\nHost: service.internal" % (request.method, origin_of(request.target))]
        for name in (b"req-id", b"idempotency-key", b"content-type"):
            if name in request.headers:
                lines.append(name.title() + b": " + request.headers[name])
        lines.append(b"Req-Deadline-Ms: %d" % left)
        if request.flow is not None:
            lines.append(
                b"Transfer-Encoding: chunked" if request.length is None else b"Content-Length: %d" % request.length
            )
        elif request.body or request.method not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    # Connections.

    async def _reuse(self) -> Connection | None:
        place, clock = self._hops.routes.where(self.server), self._hops.deadlines.clock
        most = self._hops.idleness.most()
        while self.idle:
            connection = self.idle.pop()
            try:
                idle = clock() - connection.idle_since
                if idle < REST and connection.to == place:
                    await pause(self._hops.deadlines, REST - idle)
                if idle <= most and connection.to == place and alive(connection.sock):
                    return connection
            except BaseException:
                self._hops.close(connection)
                raise
            self._hops.close(connection)
        return None

    async def _open(self) -> Connection:
        if not self._hops.room():
            raise OSError("no descriptor left for a hop")
        self._hops.connections += 1
        try:
            place = self._hops.routes.where(self.server)
            if place is None:
                raise OSError("the server is not listed any more")
            sock = await connect(place[0], self._hops.deadlines, self._hops.connect_timeout)
            return Connection(sock, place)
        finally:
            self._hops.connections -= 1
            COUNTS["hop_connects"] += 1

    def _keep(self, connection: Connection) -> bool:
        if not self._hops.routes.up(self.server):
            return False  # whether it is still open and silent is looked at where it is used again
        connection.idle_since = self._hops.deadlines.clock()
        self.idle.append(connection)
        return True


class Hops:
    """All hops: the port through which the core sends and cancels."""

    def __init__(
        self,
        routes: Routes,
        told: Told,
        deadlines: Deadlines,
        scheduler: Scheduler,
        settings: api.Settings,
        most: int,
        wrote: Callable[[], None] = lambda: None,
    ) -> None:
        """`wrote` is told of each attempt written whole; `most` bounds the connections."""
        self.wrote = wrote
        self.routes, self.told, self.deadlines, self._scheduler = routes, told, deadlines, scheduler
        self._most, self._half = most, False
        self.retune(settings)
        self.idleness = Idleness(deadlines.clock)
        self.connections = 0  # open ones and those being opened
        self.passing = 0  # long answers that are passed on, each on a connection
        self._hops: dict[str, Hop] = {}
        self._jobs: dict[tuple[int, int], Job] = {}
        self._prune()

    def retune(self, settings: api.Settings) -> None:
        """Keep connections by other settings."""
        self.connect_timeout, self._idle_most = settings.connect_timeout, settings.keepalive * IDLE_SHARE

    def share(self, lives: bool, serves: bool) -> None:
        """Another process of this gateway lives, or not: both keep to half of the connections while it does."""
        self._half = lives

    def start(self, attempt: Attempt) -> None:
        """Begin an attempt."""
        job = Job(attempt)
        self._jobs[attempt.exchange_id, attempt.number] = job
        job.limit = self.deadlines.call_at(attempt.ends_at, lambda: self.stop(job, "timeout"))
        hop = self._hops.get(attempt.server)
        if hop is None:
            hop = self._hops[attempt.server] = Hop(self, attempt.server, self._scheduler)
        if not hop.post(job):
            self.end(job, "unreachable")

    def cancel(self, attempt: Attempt) -> None:
        """Give up an attempt: its connection is closed before anything else is written."""
        job = self._jobs.get((attempt.exchange_id, attempt.number))
        if job is not None:
            self.stop(job, "cancelled")

    def stop(self, job: Job, outcome: str) -> None:
        """End an attempt from this side."""
        if job.connection is not None:
            cut(job.connection.sock)
        self.end(job, outcome)
        if job.task is not None:
            job.task.cancel()

    def end(self, job: Job, outcome: str, answer: Message | None = None) -> bool:
        """Report an attempt's end, once; whether its answer was taken."""
        if job.over:
            return False
        job.over = True
        self.deadlines.cancel(job.limit)
        del self._jobs[job.attempt.exchange_id, job.attempt.number]
        return self.told.on_attempt_ended(job.attempt, outcome, answer)

    def close(self, connection: Connection) -> None:
        """Close one connection."""
        cut(connection.sock)
        connection.sock.close()
        connection.reader.close()

    def room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one makes room if need be."""
        held = self.connections + len(self._jobs) + self.passing + sum(len(h.idle) for h in self._hops.values())
        if held < (self._most // 2 if self._half else self._most):
            return True
        idle = (h for h in self._hops.values() if h.idle)
        oldest = min(idle, key=lambda h: h.idle[0].idle_since, default=None)
        if oldest is not None:
            COUNTS["hop_idle_shed"] += 1
            self.close(oldest.idle.popleft())
        return oldest is not None

    def _prune(self) -> None:
        """Drop connections idle for too long, and all idle ones to servers that want nothing new."""
        old = self.deadlines.clock() - min(self._idle_most, self.idleness.most())
        for server, hop in list(self._hops.items()):
            up = self.routes.up(server)
            place = self.routes.where(server)
            while hop.idle and (not up or hop.idle[0].idle_since < old or hop.idle[0].to != place):
                self.close(hop.idle.popleft())
            if place is None and not any(j.attempt.server == server for j in self._jobs.values()):
                del self._hops[server]
        self.deadlines.call_after(1000.0, self._prune)


def read_answer(reader: AnswerReader, data: memoryview) -> Message | None:
    """The final answer, if it has come whole; what is behind it ends the connection and spoils nothing."""
    behind = False
    try:
        answers = reader.feed(data)
    except Malformed:
        answers, behind = reader.completed(), True
        if all(a.status < 200 for a in answers):
            raise
    final = [a for a in answers if a.status >= 200]
    if not final:
        return None
    final[0].keep = final[0].keep and len(final) == 1 and not behind and not reader.partial
    return final[0]


def slow(job: Job) -> None:
    """An answer began, and nothing more of it comes."""
    job.slow = True
    if job.connection is not None:
        cut(job.connection.sock)


def outcome_of(answer: Message) -> str:
    """The outcome that an answer's status stands for."""
    if answer.status == 200:
        return "ok"
    declined = answer.headers.get(b"srv-declined") == b"1" and b"srv-declined" not in answer.twice
    if answer.status in (503, 504) and declined:
        return "full"
    return "error"
