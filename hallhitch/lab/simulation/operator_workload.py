"""Operators as the operators' protocol has them: tries over HTTP, a second of patience, another machine next."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from hallhitch.lab.simulation.faults import Schedule
from hallhitch.lab.simulation.history import Call, History, Order
from hallhitch.lab.simulation.process_loop import ProcessLoop

SILENCE = 1.0  # s without an answer after which an operator goes on to another machine
A_ROUTE = 0.001  # s that it waits longer for each route of a configuration
PAUSE_FIRST, PAUSE_MOST = 0.05, 1.0  # s between tries, growing
OWN_AT_ONCE = 4  # orders of one operator under way; there are two operators
FINAL_AT_ONCE = 409, 400, 412, 413, 422
OVERTAKEN = "superseded"  # what an acknowledgement says of an order that a newer version came before
LOST_MOST = 2  # answers to one call that are lost on their way
THIRD_TRY = 3  # any other 4xx ends an order at this try
REST = 0.7  # s between an operator's orders, usually


class _Exchange(asyncio.Protocol):
    """One HTTP call on a connection of its own."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[tuple[int, bytes]] = asyncio.get_running_loop().create_future()
        self._read = b""

    def data_received(self, data: bytes) -> None:
        self._read += data
        head, found, body = self._read.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        sizes = [int(line.partition(":")[2]) for line in lines[1:] if line.lower().startswith("content-length:")]
        if found and sizes and len(body) >= sizes[0] and not self.answer.done():
            self.answer.set_result((int(lines[0].split()[1]), body[: sizes[0]]))

    def connection_lost(self, error: Exception | None) -> None:
        if not self.answer.done():
            self.answer.set_exception(ConnectionResetError("no answer"))
            self.answer.exception()


def configuration(version: int, mark: str, routes: int = 1) -> bytes:
    """A configuration; `mark` tells one content from another."""
    route = {
        "host": "a.example",
        "routeKind": "idempotent",
        "timeout": "3s",
        "maxAttempts": 1,
        "targetService": "s",
    }
    body = {
        "configVersion": version,
        "mark": mark,
        "services": {"s": {}},
        "limits": {},
        "routes": {f"r-{number}": {**route, "pathPrefix": f"/{number}/"} for number in range(routes)},
    }
    return json.dumps(body).encode()


class Versions:
    """The version numbers that all operators draw from."""

    def __init__(self, rng: random.Random) -> None:
        self._rng, self.newest = rng, 0
        self._contents = 0

    def next(self) -> int:
        """Higher, in uneven steps."""
        self.newest += self._rng.choice((1, 1, 2, 7))
        return self.newest

    def content(self) -> str:
        """A content that nobody sent before."""
        self._contents += 1
        return f"content-{self._contents}"


class Operator:
    """One operator. `machines` tells the machines of its list, which lags."""

    def __init__(
        self,
        name: str,
        loop: ProcessLoop,
        machines: Callable[[], list[str]],
        port: int,
        history: History,
        schedule: Schedule,
        versions: Versions,
        zone: str,
    ) -> None:
        self.name, self._loop, self._machines, self._port = name, loop, machines, port
        self._history, self._schedule, self._versions, self._zone = history, schedule, versions, zone
        self._rng = random.Random(f"{schedule.seed} operator {name}")
        self._under_way: set[asyncio.Task[None]] = set()
        self._sent: list[tuple[int, str]] = []

    async def work(self) -> None:
        """Orders until the schedule's end."""
        await self._replace(self._versions.next(), self._versions.content())
        await asyncio.gather(self._configure(), self._evacuate(), self._look())

    async def read_back(self) -> None:
        """The last read."""
        call = self._begin(Order.DESCRIBE)
        call.final_read = True
        await self._carry_out(call, b"", self._loop.time() + self._history.ack)

    def _busy(self) -> bool:
        return self._loop.time() < self._schedule.lasts

    async def _configure(self) -> None:
        while self._busy():
            await asyncio.sleep(self._rng.expovariate(1.0) * REST / self._schedule.orders)
            for _ in range(OWN_AT_ONCE if self._rng.random() < 0.1 else 1):
                if len(self._under_way) < OWN_AT_ONCE:
                    task = asyncio.ensure_future(self._replace(*self._drawn()))
                    self._under_way.add(task)
                    task.add_done_callback(self._under_way.discard)
        if self._under_way:
            await asyncio.wait(self._under_way)

    def _drawn(self) -> tuple[int, str]:
        """Version and content of an order: mostly new; a race for a number; an older one; one sent before."""
        fate = self._rng.random()
        if fate < 0.2:
            return self._versions.newest, self._versions.content()
        if fate < 0.27:
            return max(1, self._versions.newest - self._rng.randint(1, 5)), self._versions.content()
        if fate < 0.35 and self._sent:
            return self._rng.choice(self._sent)
        return self._versions.next(), self._versions.content()

    async def _replace(self, version: int, content: str) -> None:
        self._sent.append((version, content))
        call = self._begin(Order.REPLACE)
        call.version, call.content = version, content
        await self._carry_out(call, configuration(version, content), float("inf"))

    async def _evacuate(self) -> None:
        while self._busy():
            for order in (Order.START, Order.STOP):
                await asyncio.sleep(self._rng.uniform(0.0, 2.0) / self._schedule.orders)
                call = self._begin(order)
                call.zone = self._zone
                await self._carry_out(call, b"", call.begin + self._history.ack)

    async def _look(self) -> None:
        while self._busy():
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            await self._carry_out(self._begin(Order.DESCRIBE), b"", self._loop.time() + SILENCE)

    def _begin(self, order: Order) -> Call:
        call = Call(self.name, order, self._loop.time())
        self._history.calls.append(call)
        return call

    async def _carry_out(self, call: Call, body: bytes, until: float) -> None:
        """Try until there is a clear answer, or its time is over."""
        pause = PAUSE_FIRST
        machines: list[str] = []
        while self._loop.time() < until:
            if not machines:
                machines = self._rng.sample(self._machines(), len(self._machines()))
            status, answer = await self._try(machines.pop(), call, body)
            if self._is_final(status, call.tries):
                return settle(call, status, answer, self._loop.time())
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1.0))
            pause = min(2 * pause, PAUSE_MOST)
        call.given_up = self._loop.time()

    @staticmethod
    def _is_final(status: int, tries: int) -> bool:
        if status == 200 or status in FINAL_AT_ONCE:
            return True
        return 400 <= status < 500 and status not in (408, 429) and tries >= THIRD_TRY

    async def _try(self, host: str, call: Call, body: bytes) -> tuple[int, bytes]:
        """One try; status 0 where no answer came, or where it is lost on its way."""
        status, answer = await attempt(self._loop, host, self._port, call, body)
        if status and call.answers_lost < LOST_MOST and self._rng.random() < self._schedule.answers_lost:
            call.answers_lost += 1
            await asyncio.sleep(self._rng.choice((0.0, SILENCE)))
            return 0, b""
        return status, answer


async def attempt(
    loop: ProcessLoop, host: str, port: int, call: Call, body: bytes, silence: float = SILENCE
) -> tuple[int, bytes]:
    """Send a call to one machine; status 0 where no answer came within the silence (s) that callers bear."""
    target = f"/hallhitch/rpc?call={call.order.value}" + (f"&of={call.zone}" if call.zone else "")
    head = f"POST {target} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n"
    transport: Any = None
    call.tries += 1
    try:
        async with asyncio.timeout(silence):
            transport, exchange = await loop.create_connection(_Exchange, host, port)
            transport.write(head.encode() + body)
            status, answer = await exchange.answer
            return status, answer
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if transport is not None:
            transport.abort()


def settle(call: Call, status: int, answer: bytes, moment: float) -> None:
    """Note the clear answer that a call got."""
    call.status, call.end = status, moment
    if status != 200:
        return
    answered = json.loads(answer)
    if call.order is Order.DESCRIBE:
        call.version, call.content = answered["configVersion"], answered["mark"]
    elif call.order is Order.REPLACE:
        call.in_force, call.overtaken = answered["configVersion"], answered.get("outcome") == OVERTAKEN
