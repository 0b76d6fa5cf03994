"""What stands between the system's own processes: each link of two late, standing still or cut by itself.

One listener for each caller and each other machine, at the caller's image of that machine (`linked.py`). Bytes pass
unread and in order; what a cut holds up arrives when it is healed, unless its sender has gone meanwhile.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence
from dataclasses import dataclass

from hallhitch.lab.http_wire import Reader, Writer
from hallhitch.lab.system.linked import CALLERS, REFUSED, TAKEN, image, real
from hallhitch.lab.system.paths import Paths, region_of
from hallhitch.node.clock import now

CHUNK = 65_536
HELD = 256  # chunks on their way in one direction: a sender beyond that waits


@dataclass(frozen=True, slots=True)
class End:
    """One machine, as relays know it."""

    number: int
    name: str
    host: str


class Relays:
    """All relays of a world, at one port."""

    def __init__(self, paths: Paths, ends: Sequence[End], port: int) -> None:
        self._paths, self._port = paths, port
        self._by_number = {end.number: end for end in ends}
        self._by_host = {end.host: end for end in ends}
        self._servers: list[asyncio.Server] = []
        self.open: set[Writer] = set()  # all ends of connections

    async def start(self) -> None:
        """Listen."""
        for caller in self._by_number.values():
            others = [end for end in self._by_number.values() if end is not caller]
            await self._listen([image(end.host, caller.number) for end in others])

    async def add(self, new: End) -> None:
        """One machine more, to and from all that ever were: the relay to one that is gone refuses as its port does.

        Raises ValueError where no more machines can be told apart.
        """
        if new.number > CALLERS:
            raise ValueError(f"{new.name}: {CALLERS} machines at most may have relays")
        others = list(self._by_number.values())
        self._by_number[new.number] = self._by_host[new.host] = new
        await self._listen(
            [*(image(new.host, other.number) for other in others), *(image(other.host, new.number) for other in others)]
        )

    async def _listen(self, hosts: Sequence[str]) -> None:
        if hosts:
            self._servers.append(await asyncio.start_server(self._connected, hosts, self._port, backlog=256))

    def close(self) -> None:
        """End."""
        for server in self._servers:
            server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def _connected(self, reader: Reader, writer: Writer) -> None:
        caller, host = real(writer.get_extra_info("sockname")[0])
        one, other = self._by_number[caller], self._by_host[host]
        late = self._paths.delay(region_of(one.host), region_of(other.host))
        self.open.add(writer)
        there: Writer | None = None
        try:
            await self._paths.pass_on(one.name, other.name, now() + late)
            try:
                back, there = await asyncio.open_connection(other.host, self._port)
            except OSError:
                await self._paths.pass_on(other.name, one.name, now() + late)
                return await self._tell(writer, REFUSED)
            self.open.add(there)
            await self._paths.pass_on(other.name, one.name, now() + late)
            await self._tell(writer, TAKEN)
            both = [
                asyncio.ensure_future(self._pump(reader, there, one.name, other.name, late)),
                asyncio.ensure_future(self._pump(back, writer, other.name, one.name, late)),
            ]
            try:
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in both:
                    pump.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, there):
                if each is not None:
                    self.open.discard(each)
                    each.close()

    @staticmethod
    async def _tell(writer: Writer, what: bytes) -> None:
        """Say what became of a connection; the caller may have given it up while its link stood still."""
        if writer.is_closing():
            raise ConnectionResetError("the caller has gone")
        writer.write(what)
        await writer.drain()

    async def _pump(self, reader: Reader, writer: Writer, sender: str, receiver: str, late: float) -> None:
        """Pass on what comes one way until it ends; the end passes as late as bytes do."""
        under_way: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(HELD)

        async def take() -> None:
            data = b"?"
            while data:
                data = b""
                with contextlib.suppress(OSError):
                    data = await reader.read(CHUNK)
                await under_way.put((now() + late, data))

        taking = asyncio.ensure_future(take())
        try:
            while True:
                due, data = await under_way.get()
                await self._paths.pass_on(sender, receiver, due)
                if not data:
                    return
                writer.write(data)
                with contextlib.suppress(OSError):
                    await writer.drain()
        finally:
            taking.cancel()
