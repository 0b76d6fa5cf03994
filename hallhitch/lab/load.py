"""Open-loop load: requests go when they were meant to go, and their time is counted from then.

A generator that waits for replies sends less while the server stands still, and so hides the delays that cost most.
This one keeps to its schedule and says by how much it could not: a run whose generator was late is no measurement.
"""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import itertools
import multiprocessing
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Literal

import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from msgspec import Struct

from hallhitch.lab.streams import Streams

Connect = Callable[[str, int], Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]]
Shape = Literal["poisson", "constant", "bursts", "ramp", "onoff"]
MOST_US = 600_000_000  # the longest time told apart: ten minutes
LATE_MOST = 5.0  # ms: 99 of 100 requests must leave within that of their time
CONNECTIONS = 2_000  # of a worker; a request past them waits, and its time runs
WAIT = 30.0  # s past the last request after which what is unanswered counts as such
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 99.99)


class TraceLine(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One line of a trace: JSON with these fields, ordered by `at_ms`, which counts from the first."""

    at_ms: float
    klass: str = msgspec.field(name="class")
    customer: str
    plan: str
    units: float = 1.0
    deadline_ms: int = 4000
    body: int = 0  # bytes
    tenant: str = ""  # whose host name is asked; none on the platform


class Mix(Struct, frozen=True):
    """What is asked where no trace says it: classes by share, with their deadline and whether they have a body."""

    classes: dict[str, tuple[float, int, bool]]
    plans: dict[str, float]
    customers: int = 200
    body: int = 4096


class Plan(Struct, frozen=True):
    """A whole run."""

    address: str
    protocol: Literal["http", "resp"]
    lines: list[TraceLine]
    workers: int = 1
    gateways: int = 2


def loopback(address: str) -> tuple[str, int]:
    """Host and port; ValueError for anything but a loopback address: this is no tool against others' servers."""
    host, _, port = address.rpartition(":")
    if not ipaddress.ip_address(host.strip("[]")).is_loopback:
        raise ValueError(f"{address} is no loopback address")
    return host.strip("[]"), int(port)


def times(shape: Shape, rate: float, seconds: float, seed: int) -> list[float]:
    """When requests are meant to go, in ms: `rate` a second on the whole, shaped."""
    draw, end = Streams(seed).of("load"), seconds * 1000
    if shape == "constant":
        return [n * 1000 / rate for n in range(int(rate * seconds))]

    def intensity(at: float) -> float:
        if shape == "ramp":  # from nothing to twice the rate
            return 2 * at / end
        if shape == "onoff":  # a second on, a second off
            return 2.0 if int(at / 1000) % 2 == 0 else 0.0
        if shape == "bursts":  # half of all in a tenth of each two seconds
            return 5.5 if at % 2000 < 200 else 0.5
        return 1.0

    most = {"ramp": 2.0, "onoff": 2.0, "bursts": 5.5}.get(shape, 1.0)
    made, at = [], draw.exponential(1000 / rate / most)
    while at < end:
        if draw.chance(intensity(at) / most):
            made.append(at)
        at += draw.exponential(1000 / rate / most)
    return made


def lines(when: Iterable[float], mix: Mix, seed: int) -> list[TraceLine]:
    """A trace of a mix: who asks what at these times."""
    draw = Streams(seed).of("mix")

    def pick(shares: Iterator[tuple[str, float]]) -> str:
        roll, last = draw.random(), ""
        for name, share in shares:
            roll, last = roll - share, name
            if roll < 0:
                break
        return last

    plan_of = {n: pick(iter(mix.plans.items())) for n in range(mix.customers)}
    made = []
    for at in when:
        klass = pick((name, told[0]) for name, told in mix.classes.items())
        _, deadline, body = mix.classes[klass]
        who = draw.index(mix.customers)
        made.append(TraceLine(at, klass, f"{who + 1:016x}", plan_of[who], 1.0, deadline, mix.body if body else 0))
    return made


def read_trace(text: Iterable[bytes]) -> list[TraceLine]:
    """A recorded trace; ValueError names the line."""
    made: list[TraceLine] = []
    for number, line in enumerate(text, 1):
        try:
            found = msgspec.json.decode(line, type=TraceLine)
        except ValueError as error:
            raise ValueError(f"line {number}: {error}") from error
        if made and found.at_ms < made[-1].at_ms:
            raise ValueError(f"line {number}: goes back in time")
        made.append(found)
    return made


def write_trace(trace: Iterable[TraceLine]) -> Iterator[bytes]:
    """A trace's lines."""
    for line in trace:
        yield msgspec.json.encode(line) + b"\n"


def histogram() -> Any:
    """Times in microseconds, to three digits."""
    return HdrHistogram(1, MOST_US, 3)


@dataclass(slots=True)
class Tally:
    """What came of a run, or of a worker's part of it."""

    times: dict[str, Any] = field(default_factory=lambda: defaultdict(histogram))
    statuses: Counter[str] = field(default_factory=Counter)
    late: Any = field(default_factory=histogram)
    sent: int = 0

    def note(self, line: TraceLine, status: str, took_ms: float) -> None:
        """One request's end, counted from when it was meant to go."""
        value = min(MOST_US, max(1, int(took_ms * 1000)))
        for group in ("all", f"class {line.klass}", f"plan {line.plan}", f"status {status}"):
            self.times[group].record_value(value)
        if line.tenant:
            self.times[f"tenant {line.tenant}"].record_value(value)
        self.statuses[status] += 1

    def packed(self) -> tuple[dict[str, bytes], dict[str, int], bytes, int]:
        """The same, to pass between processes."""
        return (
            {name: told.encode() for name, told in self.times.items()},
            dict(self.statuses),
            self.late.encode(),
            self.sent,
        )

    def add(self, packed: tuple[dict[str, bytes], dict[str, int], bytes, int]) -> None:
        """Take a worker's part in."""
        for name, told in packed[0].items():
            self.times[name].decode_and_add(told)
        self.statuses.update(packed[1])
        self.late.decode_and_add(packed[2])
        self.sent += packed[3]

    @property
    def late_p99(self) -> float:
        """ms by which 99 of 100 requests left after their time, at most."""
        return float(self.late.get_value_at_percentile(99.0)) / 1000 if self.late.get_total_count() else 0.0

    @property
    def valid(self) -> bool:
        """Whether the generator kept to its schedule; otherwise the run measures the generator."""
        return self.late_p99 <= LATE_MOST

    def percentiles(self, group: str = "all") -> dict[float, float]:
        """ms at each percentile."""
        told = self.times[group]
        return {p: told.get_value_at_percentile(p) / 1000 for p in PERCENTILES}


class Http:
    """The platform's protocol."""

    def __init__(self, gateways: int) -> None:
        self._ids, self._gateways = itertools.count(time.monotonic_ns() & 0xFFFFFFFFFFFF), gateways

    def request(self, line: TraceLine) -> bytes:
        """A request's bytes."""
        id = next(self._ids)
        lines_ = [
            f"{'POST' if line.body else 'GET'} /{line.klass}/{line.customer} HTTP/1.1",
            f"Host: {line.tenant or 'service.internal'}",
            f"Req-Id: {id:016x}",
            f"X-Contract: {line.plan}",
            f"Req-Deadline-Ms: {line.deadline_ms}",
            f"X-Metering: units={line.units:g},spread={self._gateways},first=0",
        ]
        if line.body:
            lines_ += [f"Idempotency-Key: k{id:x}", f"Content-Length: {line.body}"]
        return "\r\n".join(lines_).encode() + b"\r\n\r\n" + b"x" * line.body

    async def reply(self, reader: asyncio.StreamReader) -> tuple[str, bool]:
        """The answer's meaning, and whether the connection goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = head.partition(b"content-length:")[2].partition(b"\r\n")[0].strip()
        if length:
            await reader.readexactly(int(length))
        code = int(head[9:12])
        status = "served" if code == 200 else "refused" if code in (429, 503) else f"failed {code}"
        return status, b"connection: close" not in head


class Resp:
    """TAKE of the limit server."""

    def request(self, line: TraceLine) -> bytes:
        """A command's bytes."""
        words = ("TAKE", line.customer, line.klass, line.plan, f"{line.units:g}", str(line.deadline_ms))
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w.encode()) for w in words)

    async def reply(self, reader: asyncio.StreamReader) -> tuple[str, bool]:
        """The answer's meaning."""
        first = (await reader.readuntil(b"\r\n"))[:-2]
        if first != b"*2":
            return f"failed {first.split()[0].decode(errors='replace')}", True
        granted = (await reader.readuntil(b"\r\n"))[:-2]
        await reader.readuntil(b"\r\n")
        return ("served" if granted == b":1" else "refused"), True


class Worker:
    """One process's part of the schedule."""

    def __init__(
        self,
        plan: Plan,
        begin: float,
        clock: Callable[[], float] = time.monotonic,
        connect: Connect = asyncio.open_connection,
    ) -> None:
        self._plan, self._begin, self.tally, self._clock, self._connect = plan, begin, Tally(), clock, connect
        self._wire = Http(plan.gateways) if plan.protocol == "http" else Resp()
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._room = asyncio.Semaphore(CONNECTIONS)

    async def run(self, mine: list[TraceLine]) -> Tally:
        """Send all at their times; then wait for what is out."""
        tasks: set[asyncio.Task[None]] = set()
        for line in mine:
            due = self._begin + line.at_ms / 1000
            wait = due - self._clock()
            if wait > 0:
                await asyncio.sleep(wait)
            task = asyncio.create_task(self._one(line, due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            _, open_ = await asyncio.wait(tasks, timeout=WAIT)
            for task in open_:
                task.cancel()
            await asyncio.gather(*open_, return_exceptions=True)
        for _, writer in self._idle:
            writer.close()
        return self.tally

    async def _one(self, line: TraceLine, due: float) -> None:
        tally, status = self.tally, "unanswered"
        tally.sent += 1
        # Its own lateness is what the loop and the pacing cost, not how long a connection takes to come up.
        tally.late.record_value(min(MOST_US, max(1, int((self._clock() - due) * 1_000_000))))
        try:
            async with self._room:
                for again in (True, False):
                    kept = again and bool(self._idle)  # the second time on a new one
                    reader, writer = self._idle.pop() if kept else await self._connect(*loopback(self._plan.address))
                    try:
                        writer.write(self._wire.request(line))
                        status, keep = await self._wire.reply(reader)
                    except (asyncio.IncompleteReadError, ConnectionError) as error:
                        writer.close()
                        if kept and not getattr(error, "partial", b""):
                            continue  # a kept connection that the server had closed: not read there
                        raise
                    if keep:
                        self._idle.append((reader, writer))
                    else:
                        writer.close()
                    break
        except (OSError, EOFError):
            status = "failed connection"
        except asyncio.CancelledError:
            tally.note(line, status, (self._clock() - due) * 1000)
            raise
        tally.note(line, status, (self._clock() - due) * 1000)


def _work(plan: Plan, number: int, begin: float, pipe: Any) -> None:
    import uvloop

    async def run() -> Tally:
        return await Worker(plan, begin).run(plan.lines[number :: plan.workers])

    pipe.send(uvloop.run(run()).packed())


def run(plan: Plan, tick: Callable[[float], None] = lambda share: None) -> Tally:
    """Run a plan in processes of its own; `tick` hears how much of its time has passed."""
    loopback(plan.address)
    context = multiprocessing.get_context("spawn")
    begin = time.monotonic() + 0.8 + 0.05 * plan.workers  # once all workers are there; the clock is the machine's
    running = []
    for number in range(plan.workers):
        ours, theirs = context.Pipe()
        process = context.Process(target=_work, args=(plan, number, begin, theirs), daemon=True)
        process.start()
        running.append((ours, process))
    whole, last = Tally(), plan.lines[-1].at_ms / 1000 if plan.lines else 0.0
    for pipe, process in running:
        while not pipe.poll(0.2):
            tick(min(1.0, max(0.0, (time.monotonic() - begin) / max(last, 0.001))))
            if not process.is_alive() and not pipe.poll():
                raise RuntimeError("a worker ended without a word")
        with contextlib.suppress(EOFError):
            whole.add(pipe.recv())
        process.join()
    return whole
