"""Relays between the system's own processes: each link of two is delayed, stalled or cut by itself.

One listener for each caller and each other machine, at the caller's image of that machine (`relayed_program`). Bytes
pass unread and in order; what a cut holds back arrives when it ends, unless its sender has gone meanwhile.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from hallhitch.lab.emulator.network_paths import NetworkPaths, region_of
from hallhitch.lab.emulator.relayed_program import CONNECTED, MAX_CALLERS, REFUSED, image_of, parse_image
from hallhitch.lab.http_messages import Reader, Writer
from hallhitch.node.clock import now

CHUNK_BYTES: Final = 65_536
MAX_CHUNKS_IN_FLIGHT: Final = 256  # in one direction: a sender beyond that waits
ACCEPT_BACKLOG: Final = 256


@dataclass(frozen=True, slots=True)
class RelayEndpoint:
    """One machine, as relays know it."""

    number: int
    name: str
    host: str


@dataclass(frozen=True, slots=True)
class _Link:
    """One direction of a relayed connection."""

    sender: str
    receiver: str
    delay_ms: float


class LinkRelays:
    """All relays of an emulator, at one port."""

    def __init__(self, network: NetworkPaths, endpoints: Sequence[RelayEndpoint], port: int) -> None:
        self.connections: set[Writer] = set()  # both ends of each
        self._network = network
        self._port = port
        self._by_number = {endpoint.number: endpoint for endpoint in endpoints}
        self._by_host = {endpoint.host: endpoint for endpoint in endpoints}
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen."""
        for caller in self._by_number.values():
            others = [endpoint for endpoint in self._by_number.values() if endpoint is not caller]
            await self._listen([image_of(endpoint.host, caller.number) for endpoint in others])

    async def add(self, endpoint: RelayEndpoint) -> None:
        """Add a machine, to and from all that ever were: the relay to one that is gone refuses as its port does.

        Raises:
            ValueError: There are more machines than images can tell apart.
        """
        if endpoint.number > MAX_CALLERS:
            raise ValueError(f"{endpoint.name}: {MAX_CALLERS} machines at most may have relays")
        others = list(self._by_number.values())
        self._by_number[endpoint.number] = self._by_host[endpoint.host] = endpoint
        await self._listen(
            [
                *(image_of(endpoint.host, other.number) for other in others),
                *(image_of(other.host, endpoint.number) for other in others),
            ]
        )

    async def _listen(self, hosts: Sequence[str]) -> None:
        if hosts:
            server = await asyncio.start_server(self._relay, hosts, self._port, backlog=ACCEPT_BACKLOG)
            self._servers.append(server)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        for server in self._servers:
            server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _relay(self, reader: Reader, writer: Writer) -> None:
        """Relay one connection until either side ends it."""
        caller_number, host = parse_image(writer.get_extra_info("sockname")[0])
        caller, callee = self._by_number[caller_number], self._by_host[host]
        delay_ms = self._network.delay_ms(region_of(caller.host), region_of(callee.host))
        outbound = _Link(caller.name, callee.name, delay_ms)
        inbound = _Link(callee.name, caller.name, delay_ms)
        self.connections.add(writer)
        callee_writer: Writer | None = None
        try:
            await self._traverse(outbound)
            try:
                callee_reader, callee_writer = await asyncio.open_connection(callee.host, self._port)
            except OSError:
                await self._traverse(inbound)
                return await self._report_outcome(writer, REFUSED)
            self.connections.add(callee_writer)
            await self._traverse(inbound)
            await self._report_outcome(writer, CONNECTED)
            pumps = [
                asyncio.ensure_future(self._pump(reader, callee_writer, outbound)),
                asyncio.ensure_future(self._pump(callee_reader, writer, inbound)),
            ]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for end in (writer, callee_writer):
                if end is not None:
                    self.connections.discard(end)
                    end.close()

    async def _traverse(self, link: _Link) -> None:
        await self._network.wait_for_link(link.sender, link.receiver, now() + link.delay_ms)

    @staticmethod
    async def _report_outcome(writer: Writer, outcome: bytes) -> None:
        """Send what became of a connection; its caller may have given it up while the link was cut."""
        if writer.is_closing():
            raise ConnectionResetError("the caller has gone")
        writer.write(outcome)
        await writer.drain()

    async def _pump(self, reader: Reader, writer: Writer, link: _Link) -> None:
        """Forward what comes one way until it ends; the end is delayed as bytes are."""
        in_flight: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_CHUNKS_IN_FLIGHT)  # (due, bytes)

        async def read_chunks() -> None:
            has_ended = False
            while not has_ended:
                data = b""
                with contextlib.suppress(OSError):
                    data = await reader.read(CHUNK_BYTES)
                has_ended = not data
                await in_flight.put((now() + link.delay_ms, data))

        reading = asyncio.ensure_future(read_chunks())
        try:
            while True:
                due_ms, data = await in_flight.get()
                await self._network.wait_for_link(link.sender, link.receiver, due_ms)
                if not data:
                    return
                writer.write(data)
                with contextlib.suppress(OSError):
                    await writer.drain()
        finally:
            reading.cancel()
