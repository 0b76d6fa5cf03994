"""The route table: discovery's list of servers, watched all the time, for the decision module and the transports."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Callable
from typing import Final

import structlog

from hallhitch.core.actor import Actor
from hallhitch.core.deadlines import Deadlines, Scheduler
from hallhitch.core.invariants import COUNTS
from hallhitch.decision import api
from hallhitch.decision.settings import WireError
from hallhitch.net.http import AnswerReader, Message
from hallhitch.net.route_updates import RouteUpdate, parse_update
from hallhitch.net.sockets import connect, shut_down
from hallhitch.net.timeouts import DeadlineTimeout, sleep_ms
from hallhitch.net.watch_backoff import WatchBackoff

WATCH_HOLD_MS: Final = 1000.0  # that discovery holds a watch: a dead connection is detected after it
FIRST_WATCH_HOLD_MS: Final = 1.0  # what is known at the start may be old: discovery is to answer at once
WATCH_GRACE_MS: Final = 5000.0  # past the hold, for a crowded discovery that answers its watches in turn
CONNECT_TIMEOUT_MS: Final = 500.0
READ_BUFFER_BYTES: Final = 65_536
WHOLE_LIST: Final = -1  # in place of a sequence number
log = structlog.get_logger()


class RouteTable(Actor[RouteUpdate]):
    """The list as last received; `on_update` gets every update of it."""

    def __init__(
        self,
        scheduler: Scheduler,
        deadlines: Deadlines,
        zones: list[str],
        on_update: Callable[[api.ServerList], object],
        backoff: WatchBackoff,
    ) -> None:
        super().__init__("route table", scheduler)
        self._deadlines = deadlines
        self._zones = zones
        self._on_update = on_update
        self._backoff = backoff
        self._sequence = 0
        self._watch: asyncio.Task[None] | None = None
        self._was_updated = asyncio.Event()
        self.entries: dict[str, api.ServerEntry] = {}
        self._addresses: dict[str, tuple[str, int]] = {}

    def handle(self, message: RouteUpdate) -> None:
        """Apply an update."""
        self._sequence = message.sequence
        if message.server_list.mode != "changes":
            self.entries, self._addresses = {}, {}
        for entry in message.server_list.entries:
            self.entries[entry.server] = entry
            self._addresses[entry.server] = message.addresses[entry.server]
            if entry.state == "gone":
                del self.entries[entry.server], self._addresses[entry.server]
        self._on_update(message.server_list)

    def is_up(self, server: str) -> bool:
        """Return whether a server is listed and accepts new work."""
        entry = self.entries.get(server)
        return entry is not None and entry.state == "up"

    def location_of(self, server: str) -> tuple[tuple[str, int], float] | None:
        """Return a server's address and when it started, None if it is not listed."""
        entry = self.entries.get(server)
        return None if entry is None else (self._addresses[server], entry.started)

    def watch(self, address: tuple[str, int]) -> None:
        """Follow discovery at this address from now on, and nowhere else."""
        is_moved = self._watch is not None
        self.close()
        # Sequence numbers are each discovery's own: at another address the whole list comes first.
        self._watch = asyncio.get_running_loop().create_task(self._follow(address, is_moved))

    async def wait_until_updated(self, timeout_ms: float) -> None:
        """Wait until discovery has answered for the first time, `timeout_ms` at most."""
        with contextlib.suppress(TimeoutError):
            async with DeadlineTimeout(self._deadlines, timeout_ms):
                await self._was_updated.wait()

    def set_zones(self, zones: list[str]) -> None:
        """Read updates by these zones from now on."""
        self._zones = zones

    def close(self) -> None:
        """Stop following discovery."""
        if self._watch is not None:
            self._watch.cancel()

    async def _follow(self, address: tuple[str, int], is_moved: bool) -> None:
        """Watch for updates until cancelled; after a move, for the whole list first."""
        sequence = WHOLE_LIST if is_moved else self._sequence
        await sleep_ms(self._deadlines, self._backoff.first_delay_ms(is_moved))
        while True:
            try:
                sock = await connect(address, self._deadlines, CONNECT_TIMEOUT_MS)
            except OSError:  # also a time-out: discovery has done no work for it
                await sleep_ms(self._deadlines, self._backoff.retry_delay_ms(is_reached=False))
                continue
            reader = AnswerReader()
            try:
                while True:
                    hold_ms = WATCH_HOLD_MS if self._was_updated.is_set() else FIRST_WATCH_HOLD_MS
                    sequence = await self._ask(sock, reader, address, sequence, hold_ms)
                    self._backoff.reset()
                    self._was_updated.set()
            except Exception as error:  # noqa: BLE001  outermost edge of the task: whatever discovery sends, it goes on
                COUNTS["watch_failed"] += 1
                log.warning("watch failed", error=f"{type(error).__name__}: {error}")
            finally:
                shut_down(sock)
                sock.close()
                reader.close()
            await sleep_ms(self._deadlines, self._backoff.retry_delay_ms(is_reached=True))

    async def _ask(
        self, sock: socket.socket, reader: AnswerReader, address: tuple[str, int], sequence: int, hold_ms: float
    ) -> int:
        """Ask for what is newer than `sequence`; return the sequence number of the answer.

        Raises:
            OSError: the connection broke, or was closed by discovery.
            WireError: the answer cannot be used.
        """
        loop = asyncio.get_running_loop()
        query = f"?from={sequence}&hold_ms={hold_ms:.0f}" if sequence >= 0 else ""
        head = f"GET /catalog/members{query} HTTP/1.1\r\nHost: {address[0]}\r\n\r\n"
        await loop.sock_sendall(sock, head.encode())
        buffer = bytearray(READ_BUFFER_BYTES)
        async with DeadlineTimeout(self._deadlines, WATCH_HOLD_MS + WATCH_GRACE_MS):
            while True:
                size = await loop.sock_recv_into(sock, buffer)
                if not size:
                    raise ConnectionError("discovery closed the watch")
                for answer in reader.feed(memoryview(buffer)[:size]):
                    return self._apply(answer)

    def _apply(self, answer: Message) -> int:
        if answer.status != 200:
            raise WireError(f"discovery answered {answer.status}")
        update = parse_update(json.loads(answer.body), self._zones)
        if update.server_list.entries or update.server_list.mode == "full":
            self.post(update)
        if not answer.keep:
            raise ConnectionError("discovery ended the connection")
        return update.sequence
