"""TCP relays between the system's own processes, so that each link can be delayed, stalled or cut separately.

There is one listener for each pair of a caller and a callee; `relayed_program` defines its address. Bytes are forwarded
uninterpreted and in order. Bytes that a cut holds back arrive when it ends, unless the sender has closed the connection
by then.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from hallhitch.lab.emulator.network_paths import NetworkPaths, region_of
from hallhitch.lab.emulator.relayed_program import CONNECTED, MAX_CALLERS, REFUSED, parse_relay_host, relay_host
from hallhitch.lab.http_messages import Reader, Writer
from hallhitch.node.clock import now

CHUNK_BYTES: Final = 65_536
MAX_CHUNKS_IN_FLIGHT: Final = 256  # per direction; the relay stops reading at this limit
ACCEPT_BACKLOG: Final = 256


@dataclass(frozen=True, slots=True)
class RelayEndpoint:
    """One machine as the relays identify it."""

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
    """All relays of an emulator, which share one port."""

    def __init__(self, network: NetworkPaths, endpoints: Sequence[RelayEndpoint], port: int) -> None:
        self.connections: set[Writer] = set()  # to the caller and to the callee of each relayed connection
        self._network = network
        self._port = port
        self._by_number = {endpoint.number: endpoint for endpoint in endpoints}
        self._by_host = {endpoint.host: endpoint for endpoint in endpoints}
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen for each pair of the initial machines."""
        for caller in self._by_number.values():
            others = [endpoint for endpoint in self._by_number.values() if endpoint is not caller]
            await self._listen([relay_host(endpoint.host, caller.number) for endpoint in others])

    async def add(self, endpoint: RelayEndpoint) -> None:
        """Add relays between a new machine and all earlier ones, including removed ones, which refuse connections.

        Raises:
            ValueError: The machine's number does not fit into a relay's address.
        """
        if endpoint.number > MAX_CALLERS:
            raise ValueError(f"{endpoint.name}: at most {MAX_CALLERS} machines can have relays")
        others = list(self._by_number.values())
        self._by_number[endpoint.number] = self._by_host[endpoint.host] = endpoint
        await self._listen(
            [
                *(relay_host(endpoint.host, other.number) for other in others),
                *(relay_host(other.host, endpoint.number) for other in others),
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
        """Relay one connection until either side closes it."""
        caller_number, host = parse_relay_host(writer.get_extra_info("sockname")[0])
        caller, callee = self._by_number[caller_number], self._by_host[host]
        delay_ms = self._network.delay_ms(region_of(caller.host), region_of(callee.host))
        outbound = _Link(caller.name, callee.name, delay_ms)
        inbound = _Link(callee.name, caller.name, delay_ms)
        self.connections.add(writer)
        callee_writer: Writer | None = None
        try:
            await self._wait_for_link(outbound)
            try:
                callee_reader, callee_writer = await asyncio.open_connection(callee.host, self._port)
            except OSError:
                await self._wait_for_link(inbound)
                return await self._report_outcome(writer, REFUSED)
            self.connections.add(callee_writer)
            await self._wait_for_link(inbound)
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

    async def _wait_for_link(self, link: _Link) -> None:
        await self._network.wait_for_link(link.sender, link.receiver, now() + link.delay_ms)

    @staticmethod
    async def _report_outcome(writer: Writer, outcome: bytes) -> None:
        """Tell the caller whether the callee accepted; the caller may have closed while the link was cut."""
        if writer.is_closing():
            raise ConnectionResetError("the caller closed the connection")
        writer.write(outcome)
        await writer.drain()

    async def _pump(self, reader: Reader, writer: Writer, link: _Link) -> None:
        """Forward one direction until its end of stream, which is delayed like the bytes before it."""
        in_flight: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            MAX_CHUNKS_IN_FLIGHT
        )  # (due time in ms, bytes); no bytes mean end of stream

        async def read_chunks() -> None:
            is_at_end = False
            while not is_at_end:
                data = b""
                with contextlib.suppress(OSError):
                    data = await reader.read(CHUNK_BYTES)
                is_at_end = not data
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
