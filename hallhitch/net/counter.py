"""The counter client: pipelined calls over few connections, answers in call order, each within its time."""

from __future__ import annotations

import asyncio
import math
import re
import socket
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from hallhitch.core.actor import Actor
from hallhitch.core.deadlines import Deadline, Deadlines, Scheduler
from hallhitch.core.invariants import COUNTS
from hallhitch.net.http import AnswerReader, Malformed, Message
from hallhitch.net.sockets import connect, cut

LANES = 2  # connections; a name always takes the same one, so that its answers come in call order
IDLE_MOST = 3000.0  # ms after which an idle connection is not used again; the counter closes at 10 s or less
SILENT_MOST = 300.0  # ms without a byte while calls wait for an answer: the connection is replaced
DEAF_SHARE = 0.8  # of the time-out, without a byte while another connection has answers: the same
BEGUN_MOST = 25.0  # ms for an answer that has begun to come whole: it is written in one piece, or spoilt
PIPE_MOST = 256  # calls written and unanswered on one connection, those given up included
NUMBER = re.compile(rb"\s*[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d{1,3})?\s*")

Counted = Callable[[int, str, float, float], None]


class CounterCodec(Protocol):
    """Writes calls and reads answers; one codec serves one connection."""

    @property
    def partial(self) -> bool: ...

    def call(self, name: int, units: float, lifetime: float) -> bytes: ...

    def feed(self, data: memoryview) -> Iterator[tuple[str, float]]: ...


def total_of(text: bytes) -> float:
    """A total; what Python alone takes for a number (nan, inf, 1_0) is none."""
    if not NUMBER.fullmatch(text) or not math.isfinite(total := float(text)):
        raise Malformed(400)
    return total


class HttpCounterCodec:
    """The platform's counter."""

    def __init__(self, host: str) -> None:
        self._host, self._reader = host.encode(), AnswerReader()

    @property
    def partial(self) -> bool:
        """Whether an answer has begun and not ended."""
        return self._reader.partial

    def call(self, name: int, units: float, lifetime: float) -> bytes:
        """One call as bytes."""
        return b"POST /tally/%d?n=%s&keep_ms=%d HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n" % (
            name,
            f"{units:.7g}".encode(),
            max(1, round(lifetime)),
            self._host,
        )

    def feed(self, data: memoryview) -> Iterator[tuple[str, float]]:
        """The answers that have come whole, as outcome and total, up to the first that cannot be read."""
        spoilt = None
        try:
            answers = self._reader.feed(data)
        except Malformed as error:
            answers, spoilt = self._reader.completed(), error
        yield from map(self._outcome, answers)
        if spoilt is not None:
            raise spoilt

    def _outcome(self, answer: Message) -> tuple[str, float]:
        if answer.status in (503, 400, 404):
            return "full", 0.0  # nothing added
        if answer.status != 200:
            raise Malformed(400)
        return "ok", total_of(answer.body)


@dataclass(slots=True, eq=False)
class Call:
    """One call; `told` once the core has had its answer."""

    name: int
    units: float
    lifetime: float
    begun: float
    lane: Lane
    written: bool = False
    told: bool = False
    limit: Deadline | None = None


class Lane(Actor[Call]):
    """One connection to the counter and the calls on it, oldest first."""

    def __init__(self, counter: CounterClient, number: int, scheduler: Scheduler) -> None:
        super().__init__(f"counter {number}", scheduler)
        self._client, self._deadlines = counter, counter.deadlines
        self._address, self._codec = counter.address, counter.codec()
        self._calls: deque[Call] = deque()  # answers not come yet, those told 'timeout' included
        self._sock: socket.socket | None = None
        self._heard = 0.0  # when a byte last came, or the oldest call out was written
        self.answered = 0.0  # when an answer last came
        self._begun: Deadline | None = None  # the end of patience with an answer that has begun
        self._task: asyncio.Task[None] | None = None
        self._before: Lane | None = None  # the lane at the old address whose calls end before any here
        self._after: Lane | None = None  # the lane at the new address that has this one's work now

    def take(self, call: Call) -> None:
        """Take a call; it has its answer within the time-out whatever happens."""
        call.limit = self._deadlines.call_after(self._client.timeout, lambda: call.lane._overdue(call))
        if not self.post(call):
            self._tell(call, "unreachable")

    def hand_over(self, to: Lane) -> None:
        """Leave all that is not written yet to a lane at another address; what is written ends first."""
        to._before, self._before, self._after = self._before, None, to
        calls, self._calls = self._calls, deque(call for call in self._calls if call.written)
        if to._before is not None:
            to._before._after = to  # this lane never came to write
        elif any(not call.told for call in self._calls):
            to._before = self
        if to._before is not self:
            self._drop()
        for call in calls:
            if not call.written:
                to.handle(call)

    def handle(self, message: Call) -> None:
        """Write a call, or begin to connect for it."""
        if self._after is not None:
            return self._after.handle(message)
        if message.told:
            return
        message.lane = self
        now = self._deadlines.clock()
        if self._sock is not None and not self._calls and now - self._heard > IDLE_MOST:
            self._drop()
        if len(self._calls) >= PIPE_MOST:
            self._lost()  # a new connection, and all answers still in call order
        if not self._calls:
            self._heard = now
        self._calls.append(message)
        if self._sock is not None:
            self._write([message])
        else:
            self._begin()

    def on_message_failed(self, message: Call) -> None:
        """A call that could not be written never reached the counter."""
        self._lost()

    def _begin(self) -> None:
        """Connect, if there is anything to write and no older call elsewhere goes before it."""
        if self._task is None and self._calls and self._before is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def _write(self, calls: list[Call]) -> None:
        assert self._sock is not None
        data = b"".join(self._codec.call(c.name, c.units, c.lifetime) for c in calls)
        try:
            sent = self._sock.send(data)
        except OSError:
            sent = 0
        for call in calls:
            call.written = sent == len(data) or len(calls) > 1 and sent > 0
        if sent != len(data):  # a full buffer means a counter that reads no more
            self._lost()

    async def _serve(self) -> None:
        """Connect, write what waits, and read answers until the connection ends."""
        loop, buffer = asyncio.get_running_loop(), bytearray(8192)
        view, mine = memoryview(buffer), asyncio.current_task()
        try:
            sock = await connect(self._address, self._deadlines, self._client.timeout)
            self._sock, self._codec, self._heard = sock, self._client.codec(), self._deadlines.clock()
            try:
                self._calls = deque(c for c in self._calls if not c.told)  # else given up unwritten
                if self._calls:
                    self._write(list(self._calls))
                while self._task is mine:
                    size = await loop.sock_recv_into(sock, buffer)
                    if not size:
                        break
                    self._heard = self._deadlines.clock()
                    for outcome, total in self._codec.feed(view[:size]):
                        if not self._calls:
                            raise Malformed(400)  # nobody asked
                        self.answered = self._heard
                        self._tell(self._calls.popleft(), outcome, total)
                    if self._task is not mine:
                        break
                    if not self._codec.partial:
                        self._deadlines.cancel(self._begun)
                        self._begun = None
                    elif self._begun is None:
                        self._begun = self._deadlines.call_after(BEGUN_MOST, self._stuck)
            finally:
                cut(sock)
                sock.close()
        except asyncio.CancelledError:
            pass
        except Malformed:
            COUNTS["counter_spoilt"] += 1
        except Exception as error:
            if not isinstance(error, OSError):
                self.record_failure(error)
        if self._task is mine:
            self._lost()

    def _drop(self) -> None:
        """Let go of the connection; the next call opens another."""
        if self._sock is not None:
            cut(self._sock)
        self._deadlines.cancel(self._begun)
        task, self._task, self._sock, self._begun = self._task, None, None, None
        if task is not None:
            task.cancel()

    def _lost(self) -> None:
        """The connection is gone: every call on it ends, in order."""
        self._drop()
        calls, self._calls = self._calls, deque()
        for call in calls:
            self._tell(call, "timeout" if call.written else "unreachable")

    def _stuck(self) -> None:
        """An answer began and did not end: it would swallow all that come behind it."""
        COUNTS["counter_spoilt"] += 1
        self._lost()

    def _overdue(self, call: Call) -> None:
        if call.told:
            return
        self._tell(call, "timeout" if call.written else "unreachable")
        # Deaf where another connection hears: this one is dead. Where none does, the counter may be slow.
        quiet, since = self._deadlines.clock() - self._heard, max(call.begun, self._heard)
        most = SILENT_MOST if self._client.heard() <= since else self._client.timeout * DEAF_SHARE
        if self._sock is not None and quiet > most:
            COUNTS["counter_replaced"] += 1
            self._lost()

    def _tell(self, call: Call, outcome: str, total: float = 0.0) -> None:
        if call.told:
            COUNTS["counter_late"] += 1
            return
        call.told = True
        self._deadlines.cancel(call.limit)
        self._client.told(call.name, outcome, total, self._deadlines.clock() - call.begun)
        if self._after is not None and self._after._before is self and all(c.told for c in self._calls):
            self._after._before = None
            self._after._begin()
            self._drop()


class CounterClient:
    """The core's port to the counter."""

    def __init__(
        self,
        address: tuple[str, int],
        codec: Callable[[], CounterCodec],
        told: Counted,
        deadlines: Deadlines,
        scheduler: Scheduler,
        timeout: float,
    ) -> None:
        self.address, self.codec, self.told = address, codec, told
        self.deadlines, self.timeout, self._scheduler = deadlines, timeout, scheduler
        self._lanes = [Lane(self, number, scheduler) for number in range(LANES)]

    def add(self, name: int, units: float, lifetime: float) -> None:
        """Add units to a name; the total comes back through `told`."""
        lane = self._lanes[name % LANES]
        lane.take(Call(name, units, lifetime, self.deadlines.clock(), lane))

    def heard(self) -> float:
        """When any connection last brought an answer."""
        return max(lane.answered for lane in self._lanes)

    def retune(self, timeout: float) -> None:
        """Wait so many milliseconds for an answer from now on."""
        self.timeout = timeout

    def move(self, address: tuple[str, int], codec: Callable[[], CounterCodec]) -> None:
        """Call the counter at another address from now on."""
        self.address, self.codec = address, codec
        old, self._lanes = self._lanes, [Lane(self, n, self._scheduler) for n in range(LANES)]
        for lane, new in zip(old, self._lanes, strict=True):
            lane.hand_over(new)
