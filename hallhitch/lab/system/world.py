"""The whole world: backends, the platform, the operator, clients, and the system's processes between them.

It opens everything, waits for what must become true, and ends what it started. It judges nothing: `records` is read by
the rules afterwards.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from hallhitch.lab.http_wire import read_message
from hallhitch.lab.streams import Streams
from hallhitch.lab.system.clients import Client, Place
from hallhitch.lab.system.fleet import Fleet
from hallhitch.lab.system.operator import Operator
from hallhitch.lab.system.owners import Address, Owners
from hallhitch.lab.system.paths import Paths
from hallhitch.lab.system.platform import Platform, State
from hallhitch.lab.system.records import Records, Span
from hallhitch.lab.system.relay import End, Relays
from hallhitch.lab.system.rig import BACKEND, CONTROL, DIRECTORY, FRONT, INTERNAL, LIST, PORTS, READY, Machine, Rig
from hallhitch.lab.system.shape import Shape, configuration
from hallhitch.messages.addressing import split_address
from hallhitch.node.clock import now

FIRST_PORT, LAST_PORT = 12_000, 31_000
LOOK = 0.05  # s between looks at what is awaited
GUARD = 60.0  # s after which a wait was in vain
FIRST_BACKEND = 150  # last part of its host


def reserve() -> tuple[int, socket.socket]:
    """The first port of a block for one world, held by a socket for as long as the world is there."""
    count = (LAST_PORT - FIRST_PORT) // PORTS
    for step in range(count):
        base = FIRST_PORT + (os.getpid() * 7 + step) % count * PORTS
        held = socket.socket()
        try:
            held.bind(("127.0.0.1", base))
            return base, held
        except OSError:
            held.close()
    raise OSError("no free block of ports")


class World:
    """One world. Use it with `async with`; `folder` keeps settings, logs and disks (a temporary one if None).

    `linked`: relays stand between the system's processes, so that those links too are late and can be cut.
    """

    def __init__(self, shape: Shape, folder: Path | None = None, linked: bool = False) -> None:
        self.shape, self.records = shape, Records()
        self._temporary = tempfile.TemporaryDirectory() if folder is None else None
        self.folder = Path(self._temporary.name) if self._temporary is not None else folder or Path()
        self.base, self._held = reserve()
        listing = ("127.0.0.1", self.base + LIST)
        self.rig = Rig(shape, self.base, self.folder, listing, self.records, linked)
        machines = self.rig.machines.values()
        self._numbers = {m.name: m.number for m in machines}
        self.paths = Paths(shape.between, shape.within, self._numbers, seed=shape.seed)
        regions = {shape.region(number): number for number in range(1, shape.regions + 1)}
        self._region_of = {m.name: regions[m.region] for m in machines}
        self.fleet = Fleet(
            self.records,
            self.paths,
            self.base + BACKEND,
            lag=shape.list_lag * 0.6,
            seed=shape.seed,
            owner=Owners(self.rig.pids).of,
            regions=self._region_of,
            size=shape.size,
        )
        self.relays = Relays(
            self.paths, [End(m.number, m.name, m.host) for m in machines] if linked else [], self.base + INTERNAL
        )
        self.platform = Platform(self.fleet, listing, shape.list_rate)
        streams = Streams(shape.seed)
        self._linked = linked
        self._operator_streams = (streams.of(f"operator {number}") for number in itertools.count(1))
        self.operator = Operator(
            self.records, lambda: self._controls(self.rig.serving("control_plane")), streams.of("operator")
        )
        gateways = {f"{m.host}:{self.base + FRONT}": m for m in self.rig.of("gateway")}
        self.place = Place(
            self.records,
            self.paths,
            {region: self._directories(region) for region in regions},
            {address: m.name for address, m in gateways.items()},
            shape.ttl_most,
            reads=lambda address: address not in gateways or not gateways[address].stopped,
        )
        self.clients = [
            Client(
                self.place,
                shape.region(region),
                shape.zone(region, zone),
                region,
                streams.of(f"client {region} {zone} {kind}"),
                keeps=kind != 1,
                holds=3.0 if kind == 2 else 1.0,
            )
            for region, zone in shape.places()
            for kind in range(3)
        ]
        self.ready_at: dict[str, bool] = {}
        self._started = 0
        self._list_away: float | None = None  # since when
        self._tasks: set[asyncio.Task[None]] = set()

    def _directories(self, region: str) -> list[Address]:
        """Who answers where to go, those of this region first."""
        near = sorted(self.rig.serving("directory"), key=lambda machine: machine.region != region)
        return [(machine.host, self.base + DIRECTORY) for machine in near]

    def _controls(self, machines: Sequence[Machine]) -> list[Address]:
        return [(machine.host, self.base + CONTROL) for machine in machines]

    def operator_at(self, machines: Sequence[Machine]) -> Operator:
        """Another operator, who knows of these coordinators alone."""
        return Operator(self.records, lambda: self._controls(machines), next(self._operator_streams))

    async def __aenter__(self) -> World:
        try:
            await self.open()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self.clients:
            client.close()
        await self.rig.end()
        self.fleet.end()
        self.platform.close()
        self.relays.close()
        self._held.close()
        if self._temporary is not None:
            self._temporary.cleanup()

    async def open(self) -> None:
        """Backends and the platform first, then the system's processes."""
        places = self.shape.places()
        for kind, count in self.shape.backends:
            for number in range(count):
                await self.backend(kind.service, *places[number % len(places)])
        await self.platform.start()
        await self.relays.start()
        await self.rig.start_all()

    async def backend(self, service: str, region: int, zone: int, cold: bool = False) -> None:
        """One more backend of a service in a zone."""
        kind = next(kind for kind, _ in self.shape.backends if kind.service == service)
        self._started += 1
        high, low = divmod(FIRST_BACKEND + self._started, 250)
        await self.fleet.start(
            f"{service}-{self._started}",
            kind,
            f"127.{region}.{10 * high + zone}.{low + 1}",
            (self.shape.zone(region, zone), self.shape.region(region)),
            cold,
        )

    async def succeed(self, old: Machine) -> Machine:
        """Start a new, empty machine that is to take another one's place."""
        new = self.rig.successor(old)
        self._numbers[new.name], self._region_of[new.name] = new.number, self._region_of[old.name]
        if self._linked:
            await self.relays.add(End(new.number, new.name, new.host))
        await self.rig.start(new)
        self.rig.trouble(new, "new", now(), now())
        return new

    # What is awaited.

    async def configured(self, version: int = 1) -> None:
        """The operator's first configuration is taken, and all gateways are ready.

        Raises RuntimeError where a process ends by itself meanwhile, TimeoutError where it does not come about.
        """
        taken = asyncio.ensure_future(self._configured(version))
        fell = asyncio.ensure_future(self.rig.fell.wait())
        try:
            await asyncio.wait((taken, fell), return_when=asyncio.FIRST_COMPLETED)
            if fell.done():
                raise RuntimeError("; ".join(self.rig.fallen()))
            await taken
        finally:
            taken.cancel()
            fell.cancel()

    async def _configured(self, version: int) -> None:
        order = await self.operator.replace(configuration(self.shape, version), GUARD * 1000)
        if order.acked is None:
            raise TimeoutError(f"no configuration was taken: status {order.status}; logs are in {self.folder}")
        await self.ready()

    async def ready(self) -> None:
        """All gateways that run say that they are ready."""
        await self.until(self._all_ready, "gateways are ready")

    async def _all_ready(self) -> bool:
        running = [m for m in self.rig.of("gateway") if m.lives and not m.stopped]
        return all(await asyncio.gather(*(self.is_ready(machine) for machine in running)))

    async def serving(self) -> None:
        """Every gateway serves every tenant: what a start leaves to be waited out is over."""
        wants = [
            self.shape.paths[0].want(number, self.shape.keys(tenant)[0])
            for number, tenant in enumerate(self.shape.tenants)
        ]
        todo = {(address, number) for address in self.place.names for number in range(len(wants))}

        async def one(address: str, number: int) -> None:
            if await self.clients[0].probe(address, wants[number]) == 200:
                todo.discard((address, number))

        async def all_serve() -> bool:
            await asyncio.gather(*(one(*each) for each in list(todo)))
            return not todo

        await self.until(all_serve, "every gateway serves every tenant", step=0.3)

    async def is_ready(self, machine: Machine) -> bool:
        """What a gateway's readiness address says."""
        with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
            async with asyncio.timeout(1.0):
                return (await get((machine.host, self.base + READY), "/hallhitch/readiness"))[0] == 200
        return False

    async def until(
        self, holds: Callable[[], Awaitable[bool]], what: str, guard: float = GUARD, step: float = LOOK
    ) -> None:
        """Look until something holds; TimeoutError says what never did, and where the logs are."""
        try:
            async with asyncio.timeout(guard):
                while not await holds():
                    await asyncio.sleep(step)
        except TimeoutError:
            raise TimeoutError(f"waited in vain until {what}; logs are in {self.folder}") from None

    # While it runs.

    async def cut(self, whom: Sequence[Machine], to: Sequence[Machine | str], seconds: float) -> None:
        """Nothing passes between these and those (`to` empty: everybody) for so long."""
        at = now()
        number = self.paths.begin("cut", [m.name for m in whom], [m if isinstance(m, str) else m.name for m in to])
        await asyncio.sleep(seconds)
        self.paths.over(number)
        for machine in {m.name: m for m in (*whom, *to) if isinstance(m, Machine)}.values():
            self.rig.trouble(machine, "cut", at, now())

    def platform_state(self, state: State) -> None:
        """The platform's list changes its ways; where it does not answer, that is trouble of the list's."""
        if self._list_away is not None:
            self.records.troubles.append(Span(self._list_away, now(), "platform", self.platform.state))
        self.platform.state = state
        self._list_away = None if state == "up" else now()

    def spawn(self, what: Awaitable[None]) -> None:
        """Have something go on until it or the world ends."""
        task = asyncio.ensure_future(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def watch_readiness(self) -> None:
        """The platform's own checks: each gateway once a second."""
        while True:
            for machine in self.rig.of("gateway"):
                self.ready_at[machine.name] = await self.is_ready(machine)
            await asyncio.sleep(1.0)


async def get(address: Address | str, target: str) -> tuple[int, bytes]:
    """One GET on a connection of its own: status and body."""
    host, port = split_address(address) if isinstance(address, str) else address
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n".encode())
        first, _, body = await read_message(reader)
        return int(first.split()[1]), body
    finally:
        writer.close()
