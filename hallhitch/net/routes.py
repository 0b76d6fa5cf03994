"""The route table: discovery's list, watched all the time, told to the module and to the hops."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import structlog

from hallhitch.core.actor import Actor
from hallhitch.core.addresses import parse_address
from hallhitch.core.deadlines import Deadlines, Scheduler
from hallhitch.core.invariants import COUNTS
from hallhitch.decision import api
from hallhitch.decision.settings import WireError, need, number, word
from hallhitch.net.http import AnswerReader
from hallhitch.net.pacing import Pacing
from hallhitch.net.sockets import Within, connect, cut, pause

HOLD = 1000.0  # ms a watch waits at discovery: a connection that is dead without a word is noticed after that
GRACE = 5000.0  # ms past that at which a silent watch is given up: a crowded discovery takes its watches in turn
CONNECT = 500.0  # ms for a connection to discovery to come up
STATES = {"active": "up", "leaving": "drain", "left": "gone"}
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class News:
    """What discovery told: the module's form, and where each server listens."""

    seq: int
    list: api.ServerList
    dials: dict[str, tuple[str, int]]


def news_of(m: Any, zones: list[str], saved: bool = False) -> News:
    """Read a list or changes of it."""
    entries, dials = [], {}
    for e in need(m, "hosts", list):
        host, site = need(e, "host", str), e.get("site")
        zone = zones.index(site) if site in zones else 0
        try:
            dials[host] = parse_address(need(e, "dial", str))
        except ValueError as error:
            raise WireError(f"field 'dial' {error}") from error
        entries.append(
            api.ServerEntry(
                host,
                word(e, "health", STATES),
                zone,
                int(number(e, "block")),
                number(e, "born_ms"),
                number(e, "share", 1.0),
            )
        )
    mode = "saved" if saved else "full" if m.get("whole") else "changes"
    return News(need(m, "seq", int), api.ServerList(mode, tuple(entries)), dials)


class RouteTable(Actor[News]):
    """Holds the list as last told; `told` passes every change on."""

    def __init__(
        self,
        scheduler: Scheduler,
        deadlines: Deadlines,
        zones: list[str],
        told: Callable[[api.ServerList], object],
        pacing: Pacing,
    ) -> None:
        super().__init__("route table", scheduler)
        self._deadlines, self._zones, self._told = deadlines, zones, told
        self._pacing = pacing
        self.seq = 0
        self._watch: asyncio.Task[None] | None = None
        self._heard = asyncio.Event()
        self.entries: dict[str, api.ServerEntry] = {}
        self.dials: dict[str, tuple[str, int]] = {}

    def handle(self, message: News) -> None:
        """Apply what was told."""
        self.seq = message.seq
        if message.list.mode != "changes":
            self.entries, self.dials = {}, {}
        for entry in message.list.entries:
            self.entries[entry.server] = entry
            self.dials[entry.server] = message.dials[entry.server]
            if entry.state == "gone":
                del self.entries[entry.server], self.dials[entry.server]
        self._told(message.list)

    def up(self, server: str) -> bool:
        """Whether a server is listed and wants new work."""
        entry = self.entries.get(server)
        return entry is not None and entry.state == "up"

    def watch(self, address: tuple[str, int]) -> None:
        """Follow discovery at this address from now on, and nowhere else."""
        moved = self._watch is not None
        self.close()
        # Numbers are each discovery's own: at another address the whole list comes first.
        self._watch = asyncio.get_running_loop().create_task(self._follow(address, moved))

    def where(self, server: str) -> tuple[tuple[str, int], float] | None:
        """Where a server listens and when it started, if it is listed."""
        entry = self.entries.get(server)
        return None if entry is None else (self.dials[server], entry.started)

    async def heard(self, most: float) -> None:
        """Wait until discovery has first answered, for so many milliseconds at most."""
        with contextlib.suppress(TimeoutError):
            async with Within(self._deadlines, most):
                await self._heard.wait()

    def retune(self, zones: list[str]) -> None:
        """Read lists by these zones from now on."""
        self._zones = zones

    def close(self) -> None:
        """Follow nothing any more."""
        if self._watch is not None:
            self._watch.cancel()

    async def _follow(self, address: tuple[str, int], whole: bool) -> None:
        """Ask for what is newer than is known, for ever; for the whole list first, if so told."""
        asked = -1 if whole else self.seq
        await pause(self._deadlines, self._pacing.first(whole))
        while True:
            try:
                sock = await connect(address, self._deadlines, CONNECT)
            except OSError:  # a time-out among them; discovery has done nothing for it
                await pause(self._deadlines, self._pacing.failed(reached=False))
                continue
            reader = AnswerReader()
            try:
                while True:
                    # What is known at the start may be old: discovery is not to hold its word on that back.
                    hold = HOLD if self._heard.is_set() else 1.0
                    asked = await self._ask(sock, reader, address, asked, hold)
                    self._pacing.answered()
                    self._heard.set()
            except Exception as error:  # whatever discovery says, the watch goes on
                COUNTS["watch_failed"] += 1
                log.warning("watch failed", error=f"{type(error).__name__}: {error}")
            finally:
                cut(sock)
                sock.close()
                reader.close()
            await pause(self._deadlines, self._pacing.failed(reached=True))

    async def _ask(self, sock: Any, reader: AnswerReader, address: tuple[str, int], after: int, hold: float) -> int:
        loop = asyncio.get_running_loop()
        query = f"?from={after}&hold_ms={hold:.0f}" if after >= 0 else ""
        head = f"GET /catalog/members{query} HTTP/1.1\r\nHost: {address[0]}\r\n\r\n"
        await loop.sock_sendall(sock, head.encode())
        buffer = bytearray(65536)
        async with Within(self._deadlines, HOLD + GRACE):
            while True:
                size = await loop.sock_recv_into(sock, buffer)
                if not size:
                    raise ConnectionError("discovery closed the watch")
                for m in reader.feed(memoryview(buffer)[:size]):
                    if m.status != 200:
                        raise WireError(f"discovery answered {m.status}")
                    news = news_of(json.loads(m.body), self._zones)
                    if news.list.entries or news.list.mode == "full":
                        self.post(news)
                    if not m.keep:
                        raise ConnectionError("discovery ended the connection")
                    return news.seq
