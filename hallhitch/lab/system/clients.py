"""Clients by region: they ask the directory, keep connections, send with ids, deadlines and keys, and try again.

What a client does after each answer is a plain function (`after`); the rest is I/O. Clients record every try.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from hallhitch.lab.http_wire import Reader, Writer, read_message
from hallhitch.lab.streams import Stream
from hallhitch.lab.system.backend import digest
from hallhitch.lab.system.owners import Address
from hallhitch.lab.system.paths import CLIENTS, Paths, region_of
from hallhitch.lab.system.records import Records, Try
from hallhitch.messages.addressing import split_address
from hallhitch.node.clock import now
from hallhitch.node.durations import parse_duration_ms

FINAL = (400, 401, 404, 413, 431)
PROMISES = (408, 421, 429, 503)
TRIES = 4
COMES_UP = 1000.0  # ms for a new connection, and for one directory
ASKED = 3  # directories
ADDRESSES = 64
IDLE = 4000.0  # ms after which a kept connection is given up where its gateway names no time
UNREAD = 1000.0  # ms after which a repeatable try is abandoned at a gateway that does not read


@dataclass(frozen=True, slots=True)
class Want:
    """What a client wants: one request, its aim and its deadline (ms)."""

    name: str  # of the kind of request
    method: str
    host: str
    path: str
    key: str = ""
    body: bytes = b""
    repeatable: bool = True
    aim: float = 500.0
    deadline: float = 2000.0


@dataclass(slots=True)
class Outcome:
    """What came of it."""

    want: Want
    region: str
    at: float
    ended: float = 0.0
    status: int = 0  # the last one; 0 = no answer
    tries: int = 0
    refused: int = 0  # tries that were refused with a promise

    @property
    def served(self) -> bool:
        """Whether a success came within the deadline."""
        return 200 <= self.status < 300


def after(want: Want, status: int, unread: bool, retry_after: float, left: float, pause: float) -> float | None:
    """How long (ms) a client waits before it tries again; None = it does not.

    status: 0 where the connection closed or nothing came; unread: the gateway surely has not read the request.
    """
    if 200 <= status < 300 or status in FINAL or left <= 0:
        return None
    if not (want.repeatable or status in PROMISES or status == 0 and unread):
        return None
    wait = min(retry_after, left / 3) if retry_after else pause
    return wait if wait < left else None


@dataclass(slots=True)
class _Kept:
    """A kept connection."""

    address: str
    reader: Reader
    writer: Writer
    until: float  # steady ms at which it is not used any more


@dataclass(slots=True)
class _Answer:
    status: int = 0
    unread: bool = False
    retry_after: float = 0.0


@dataclass(slots=True)
class Place:
    """What all clients of a world know of it. `names`: of a gateway's machine, by its frontend address."""

    records: Records
    paths: Paths
    directories: Mapping[str, Sequence[Address]]  # by region: nearest first
    names: Mapping[str, str]
    ttl_most: float
    reads: Callable[[str], bool] = lambda address: True  # whether the process there reads what comes
    ids: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    seen: Counter[str] = field(default_factory=Counter)


class Client:
    """Clients of one zone that share the directory's answer and kept connections."""

    def __init__(
        self, place: Place, region: str, zone: str, number: int, stream: Stream, keeps: bool = True, holds: float = 1.0
    ) -> None:
        self._place, self.region, self.zone, self._number = place, region, zone, number
        self._stream, self._keeps, self._holds = stream, keeps, holds
        self.addresses: list[str] = []
        self._failed: set[str] = set()
        self._valid = 0.0  # until when the directory's answer holds
        self._idle: list[_Kept] = []
        self._asking = asyncio.Lock()

    def close(self) -> None:
        """Let all connections go."""
        for kept in self._idle:
            kept.writer.close()
        self._idle.clear()

    # The directory.

    async def resolve(self, name: str) -> list[str]:
        """Where to go, as known or asked anew."""
        async with self._asking:
            if now() >= self._valid:
                for address in list(self._place.directories[self.region])[:ASKED]:
                    with contextlib.suppress(OSError, EOFError, ValueError, TimeoutError, KeyError):
                        async with asyncio.timeout(COMES_UP / 1000):
                            addresses, ttl = await self._ask_directory(address, name)
                        self._take(addresses, ttl)
                        break
                else:
                    self._place.seen["directory failed"] += 1
        return self.addresses

    async def _ask_directory(self, address: Address, name: str) -> tuple[list[str], float]:
        reader, writer = await asyncio.open_connection(*address)
        try:
            late = self._place.paths.delay(self._number, region_of(address[0])) / 1000
            await asyncio.sleep(2 * late)
            writer.write(
                f"GET /hallhitch/resolve?name={name}&region={self.region}&zone={self.zone} HTTP/1.1\r\n"
                f"Host: {address[0]}:{address[1]}\r\n\r\n".encode()
            )
            first, _, body = await read_message(reader)
            if first.split()[1] != "200":
                raise ValueError(first)
            told = json.loads(body)
            return list(told["addresses"])[:ADDRESSES], min(self._place.ttl_most, parse_duration_ms(told["ttl"]))
        finally:
            writer.close()

    def _take(self, addresses: list[str], ttl: float) -> None:
        self.addresses, self._failed = addresses, set()
        self._valid = now() + ttl * self._holds
        for kept in [each for each in self._idle if each.address not in addresses]:
            self._idle.remove(kept)
            kept.writer.close()

    # One request.

    async def ask(self, want: Want) -> Outcome:
        """All tries of one request, until it is answered for good or its time is over."""
        outcome = Outcome(want, self.region, now())
        ends, pause = outcome.at + want.deadline, 20.0
        while outcome.tries < TRIES and now() < ends:
            answer = await self._try(want, ends, outcome.tries == 0)
            outcome.tries += 1
            outcome.status = answer.status
            outcome.refused += answer.status in PROMISES
            wait = after(want, answer.status, answer.unread, answer.retry_after, ends - now(), pause)
            if wait is None:
                break
            pause *= 2
            await asyncio.sleep(wait / 1000)
        outcome.ended = now()
        return outcome

    async def _try(self, want: Want, ends: float, may_keep: bool) -> _Answer:
        kept = self._kept() if may_keep and self._keeps else None
        if kept is None:
            addresses = await self.resolve(want.host)
            usable = [a for a in addresses if a not in self._failed] or addresses
            if not usable:
                await asyncio.sleep(0.05)
                return _Answer(unread=True)
            kept = await self._open(usable[self._stream.index(len(usable))])
            if kept is None:
                return _Answer(unread=True)
        return await self.send(kept, want, ends)

    def _kept(self) -> _Kept | None:
        while self._idle:
            kept = self._idle.pop()
            if now() < kept.until and not kept.reader.at_eof() and not kept.writer.is_closing():
                return kept
            kept.writer.close()
        return None

    async def _open(self, address: str) -> _Kept | None:
        host, port = split_address(address)
        try:
            async with asyncio.timeout(COMES_UP / 1000):
                await self._way(address, True, 0.0)
                reader, writer = await asyncio.open_connection(host, port)
                await asyncio.sleep(2 * self._late(address) / 1000)  # its opening's round trip
        except (OSError, TimeoutError):
            self._failed.add(address)
            return None
        return _Kept(address, reader, writer, 0.0)

    def _late(self, address: str) -> float:
        return self._place.paths.delay(self._number, region_of(address))

    async def _way(self, address: str, out: bool, late: float) -> None:
        ends = (CLIENTS, self._place.names.get(address, ""))
        await self._place.paths.pass_on(*(ends if out else ends[::-1]), now() + late)

    async def send(self, kept: _Kept, want: Want, ends: float, probe: bool = False) -> _Answer:
        """One try on a connection, recorded."""
        p, at = self._place, now()
        id = f"{next(p.ids):016x}"
        noted = Try(
            id,
            at,
            self.region,
            self.zone,
            p.names.get(kept.address, ""),
            want.method,
            want.host,
            want.path,
            want.key,
            digest(want.body),
            ends - at,
            probe,
        )
        p.records.tries.append(noted)
        lines = [
            f"{want.method} {want.path} HTTP/1.1",
            f"Host: {want.host}",
            f"Hallhitch-Request-Id: {id}",
            f"Hallhitch-Deadline-Remaining: {max(1, ends - at):.0f}",
        ]
        if want.key:
            lines.append(f"Authorization: Token {want.key}")
        if want.body:
            lines.append(f"Content-Length: {len(want.body)}")
        text = "\r\n".join(lines).encode() + b"\r\n\r\n" + want.body
        # A gateway that stands still reads nothing: repeatable tries are abandoned there in time.
        patience = ends - at
        if want.repeatable and not p.reads(kept.address):
            patience = min(patience, UNREAD, patience / 3)
        try:
            async with asyncio.timeout(max(0.001, patience / 1000)):
                await self._way(kept.address, True, self._late(kept.address))
                kept.writer.write(text)
                first, headers, body = await read_message(kept.reader)
                await self._way(kept.address, False, self._late(kept.address))
        except (OSError, EOFError, ValueError, TimeoutError, asyncio.LimitOverrunError):
            kept.writer.transport.abort()
            self._failed.add(kept.address)
            noted.ended = now()
            return _Answer()
        noted.ended, noted.whole = now(), True
        noted.status, noted.answer = int(first.split()[1]), digest(body)
        noted.seal = headers.get("hallhitch-response-seal", "")
        noted.echo = headers.get("hallhitch-request-id", "")
        self._keep(kept, headers)
        retry = headers.get("retry-after", "")
        return _Answer(noted.status, False, float(retry) * 1000 if retry.replace(".", "", 1).isdigit() else 0.0)

    def _keep(self, kept: _Kept, headers: Mapping[str, str]) -> None:
        told = dict(part.strip().partition("=")[::2] for part in headers.get("keep-alive", "").split(","))
        rests = float(told["timeout"]) * 1000 if told.get("timeout", "").isdigit() else IDLE
        if (
            not self._keeps
            or headers.get("connection", "").lower() == "close"
            or (self.addresses and kept.address not in self.addresses)
        ):
            kept.writer.close()
        else:
            kept.until = now() + min(rests, IDLE)
            self._idle.append(kept)

    async def probe(self, address: str, want: Want) -> int:
        """One request sent to this gateway directly; its status, 0 = none."""
        kept = await self._open(address)
        if kept is None:
            return 0
        return (await self.send(kept, want, now() + want.deadline, probe=True)).status
