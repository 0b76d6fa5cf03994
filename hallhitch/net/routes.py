"""The route table: the list of servers, kept current by watching discovery, for the decision module and upstreams."""

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
from hallhitch.net.http import Message, ResponseReader
from hallhitch.net.route_updates import RouteUpdate, parse_update
from hallhitch.net.sockets import connect, shut_down
from hallhitch.net.timeouts import DeadlineTimeout, sleep_ms
from hallhitch.net.watch_backoff import WatchBackoff

WATCH_HOLD_MS: Final = 1000.0  # how long discovery holds a watch open; bounds the detection of a dead connection
FIRST_WATCH_HOLD_MS: Final = 1.0  # at the start the list may be old, so that discovery is to answer at once
WATCH_GRACE_MS: Final = 5000.0  # on top of the hold, for a busy discovery that answers its watches in turn
CONNECT_TIMEOUT_MS: Final = 500.0
READ_BUFFER_BYTES: Final = 65_536
WHOLE_LIST: Final = -1  # sequence number that requests the whole list
log = structlog.get_logger()


class RouteTable(Actor[RouteUpdate]):
    """The server list as last received; `on_update` is called with every update."""

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
        self._watch_task: asyncio.Task[None] | None = None
        self._first_response = asyncio.Event()
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
        """Return the address of a server and when it started, or None if it is not listed."""
        entry = self.entries.get(server)
        return None if entry is None else (self._addresses[server], entry.started)

    def watch(self, address: tuple[str, int]) -> None:
        """Watch discovery at this address from now on; an earlier watch is cancelled."""
        has_moved = self._watch_task is not None
        self.close()
        # Each discovery numbers its updates itself, so that a watch of another one has to start with the whole list.
        self._watch_task = asyncio.get_running_loop().create_task(self._watch_until_cancelled(address, has_moved))

    async def wait_until_updated(self, timeout_ms: float) -> None:
        """Wait for the first answer of discovery, `timeout_ms` at most."""
        with contextlib.suppress(TimeoutError):
            async with DeadlineTimeout(self._deadlines, timeout_ms):
                await self._first_response.wait()

    def set_zones(self, zones: list[str]) -> None:
        """Use these zone names to read further updates."""
        self._zones = zones

    def close(self) -> None:
        """Stop watching discovery."""
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def _watch_until_cancelled(self, address: tuple[str, int], has_moved: bool) -> None:
        """Watch for updates until cancelled; after a move, request the whole list first."""
        sequence = WHOLE_LIST if has_moved else self._sequence
        await sleep_ms(self._deadlines, self._backoff.first_delay_ms(has_moved))
        while True:
            try:
                sock = await connect(address, self._deadlines, CONNECT_TIMEOUT_MS)
            except OSError:  # includes time-outs: discovery was not reached and did no work
                await sleep_ms(self._deadlines, self._backoff.retry_delay_ms(is_reached=False))
                continue
            reader = ResponseReader()
            try:
                while True:
                    hold_ms = WATCH_HOLD_MS if self._first_response.is_set() else FIRST_WATCH_HOLD_MS
                    sequence = await self._request_updates(sock, reader, address, sequence, hold_ms)
                    self._backoff.reset()
                    self._first_response.set()
            except Exception as error:  # noqa: BLE001  top level of the task: it survives whatever discovery sends
                COUNTS["watch_failed"] += 1
                log.warning("discovery watch failed", error=f"{type(error).__name__}: {error}")
            finally:
                shut_down(sock)
                sock.close()
                reader.close()
            await sleep_ms(self._deadlines, self._backoff.retry_delay_ms(is_reached=True))

    async def _request_updates(
        self, sock: socket.socket, reader: ResponseReader, address: tuple[str, int], sequence: int, hold_ms: float
    ) -> int:
        """Request and apply the updates after `sequence`; return the sequence number of the response.

        Raises:
            OSError: the connection broke, or discovery closed it.
            WireError: the response is not valid.
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
                    raise ConnectionError("discovery closed the connection during a watch")
                for response in reader.feed(memoryview(buffer)[:size]):
                    return self._apply_response(response)

    def _apply_response(self, response: Message) -> int:
        if response.status != 200:
            raise WireError(f"discovery responded with status {response.status}")
        update = parse_update(json.loads(response.body), self._zones)
        if update.server_list.entries or update.server_list.mode == "full":
            self.post(update)
        if not response.keep_alive:
            raise ConnectionError("discovery closed the connection after its response")
        return update.sequence
