"""Coordinators in one process: a loop whose clock jumps to the next timer, links without sockets, disks in memory."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from pathlib import Path
from typing import Any, TypeVar

from hallhitch.lab.simulation.virtual_time import VirtualLoop, close
from hallhitch.messages.system_pb2 import ClusterState, Envelope
from hallhitch.node.errors import RequestTimeout
from hallhitch.node.settings import NodeSettings, RuleBounds
from hallhitch.planes.control.operator_api import OperatorApi
from hallhitch.planes.control.plane import ControlPlane

T = TypeVar("T")
GRACE = RuleBounds().grace_period_ms
LEASE = 1050.0  # ms for which votes on leases by former members count
ZONES = {"viti-a": "viti", "viti-b": "viti"}


def play(
    scene: Callable[[Fleet], Coroutine[Any, Any, T]],
    seed: int = 1,
    *,
    fleet_type: type[Fleet] | None = None,
    **how: Any,
) -> T:
    """Run a scene in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(scene((fleet_type or Fleet)(loop, seed, **how)))
    finally:
        asyncio.set_event_loop(None)
        close(loop)


class Memory:
    """A disk in memory; what was not synced goes missing with the power."""

    def __init__(self) -> None:
        self.files: dict[str, Mapping[bytes, bytes]] = {}
        self.kept: dict[str, Mapping[bytes, bytes]] = {}  # as after a loss of power
        self._synced: dict[str, Mapping[bytes, bytes]] = {}
        self.refuses = False

    def names(self) -> list[str]:
        """All files."""
        return sorted(self.files)

    def write(self, base: str, records: Mapping[bytes, bytes]) -> None:
        """A new database; nothing of it is synced."""
        if self.refuses:
            raise OSError("no room")
        self.files[f"{base}.dat"] = self.files[f"{base}.dir"] = dict(records)

    def read(self, base: str) -> dict[bytes, bytes]:
        """All records."""
        return dict(self.files[f"{base}.dir"])

    def sync(self, name: str) -> None:
        """One file."""
        if self.refuses:
            raise OSError("no room")
        self._synced[name] = self.files[name]

    def sync_folder(self) -> None:
        """The names."""
        if self.refuses:
            raise OSError("no room")
        self.kept = {name: self._synced[name] for name in self.files if name in self._synced}

    def remove(self, name: str) -> None:
        """One file less."""
        self.files.pop(name, None)

    def power_lost(self) -> None:
        """Only what was synced is there."""
        self.files = dict(self.kept)


class Machine:
    """One coordinator with its disk, over its incarnations."""

    def __init__(self, fleet: Fleet, address: str) -> None:
        self.fleet, self.address = fleet, address
        self.disk, self.slow = Memory(), 2.0  # ms for a write
        self.plane: ControlPlane | None = None
        self.operator: OperatorApi | None = None
        self.told: list[ClusterState] = []

    async def start(self, first: bool = False, seeds: tuple[str, ...] = ()) -> None:
        """A new incarnation on what the disk holds."""
        node = self.fleet.node(self.address, first, seeds)
        self.told = []
        plane = ControlPlane(
            node,
            _Wire(self.fleet, self),
            lambda value: self.told.append(value),
            disk=self.disk,
            run=self._run,
            clock=self.fleet.clock,
            rng=random.Random(self.fleet.rng.random()),
            lease_ms=LEASE,
        )
        self.plane, self.operator = plane, OperatorApi(node, plane, self.fleet.clock)
        await plane.start()

    async def _run(self, call: Callable[[], None]) -> None:
        """The disk's thread: of an incarnation that has ended nothing is written any more."""
        plane = self.plane
        await asyncio.sleep(self.slow / 1000)
        if self.plane is not plane:
            await asyncio.shield(self.fleet.never)
        call()

    async def kill(self) -> None:
        """The process is gone; its files stay."""
        plane, self.plane, self.operator = self.plane, None, None
        if plane is not None:
            await plane.stop()

    async def leave(self) -> None:
        """SIGTERM: the seat is handed on, then the process ends."""
        plane = self.plane
        assert plane is not None
        await plane.leave(GRACE / 2)
        if self.plane is plane:
            await self.kill()

    async def wipe(self) -> None:
        """The machine and its disk are gone."""
        await self.kill()
        self.disk = Memory()

    async def lose_power(self) -> None:
        """What was not synced is gone with the process."""
        await self.kill()
        self.disk.power_lost()


class _Wire:
    """A machine's links."""

    def __init__(self, fleet: Fleet, machine: Machine) -> None:
        self._fleet, self._machine = fleet, machine
        self._incarnation = object()
        machine_incarnation[machine] = self._incarnation

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """One call over ways that may be cut."""
        fleet, own = self._fleet, self._machine.address
        written = envelope.SerializeToString()
        sent = Envelope.FromString(written)
        fleet.calls += 1
        fleet.bytes += len(written)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await fleet.way(own, address, len(written))
                other = fleet.machines.get(address)
                if other is None or other.plane is None:
                    raise RequestTimeout("connect", address, "nobody there")
                answer = other.plane.handle(sent)
                if isinstance(answer, Awaitable):
                    answer = await answer
                assert answer is not None
                written = answer.SerializeToString()
                await fleet.way(address, own, len(written))
                if machine_incarnation.get(self._machine) is not self._incarnation:
                    await asyncio.shield(fleet.never)
                return Envelope.FromString(written)
        except TimeoutError:
            raise RequestTimeout("call", address, "silence") from None


machine_incarnation: dict[Machine, object] = {}


class Fleet:
    """All machines and the ways between them."""

    def __init__(self, loop: VirtualLoop, seed: int, losses: int = 1, founders: int = 3, delay: float = 1.0) -> None:
        self.loop, self.rng, self.losses, self.delay = loop, random.Random(seed), losses, delay
        self.bytes_per_ms = float("inf")  # of each message by itself: messages do not queue behind each other
        self.never: asyncio.Future[None] = loop.create_future()
        self.seeds = tuple(f"10.0.0.{n}:7000" for n in range(1, founders + 1))
        self.machines: dict[str, Machine] = {}
        self.kept: list[asyncio.Future[None]] = []  # tasks of a scene that run until its end
        self.cut: set[frozenset[str]] = set()
        self.messages = 0
        self.strikes: dict[int, Callable[[], Coroutine[Any, Any, None]]] = {}  # what happens at which message
        self.deaf: set[str] = set()  # cut off one way: nothing arrives there, and what they send does
        self.one_way: set[tuple[str, str]] = set()  # cut from the first to the second only
        self.calls = self.bytes = 0
        for address in self.seeds:
            self.add(address)

    def add(self, address: str) -> Machine:
        """One more machine, not started."""
        self.machines[address] = Machine(self, address)
        return self.machines[address]

    def clock(self) -> float:
        """Steady ms."""
        return self.loop.time() * 1000

    async def way(self, one: str, other: str, size: int = 0) -> None:
        """The time a message takes; for ever over a cut."""
        self.messages += 1
        if strike := self.strikes.pop(self.messages, None):
            await strike()
        await asyncio.sleep((self.rng.uniform(0.5, 1.5) * self.delay + size / self.bytes_per_ms) / 1000)
        if frozenset((one, other)) in self.cut or other in self.deaf or (one, other) in self.one_way:
            await asyncio.shield(self.never)

    def isolate(self, *addresses: str) -> None:
        """Cut these off from all others."""
        self.cut |= {frozenset((one, other)) for one in addresses for other in self.machines if other not in addresses}

    async def found(self, *others: str) -> list[Machine]:
        """The first start of the whole system."""
        for address in others:
            self.add(address)
        for machine in self.machines.values():
            await machine.start(first=True)
        return list(self.machines.values())

    def node(self, address: str, first: bool, seeds: tuple[str, ...] = ()) -> NodeSettings:
        """The settings of one machine."""
        return settings(address, first, seeds or self.seeds, self.losses)


def settings(
    address: str, first: bool, seeds: tuple[str, ...], losses: int, data: Path = Path("/nowhere")
) -> NodeSettings:
    """The settings of one coordinator."""
    host, port = address.split(":")
    return NodeSettings(
        name=host,
        role="coordinator",
        machine_class="core",
        serves=frozenset({"control_plane"}),
        ip_address=host,
        zone="viti-a",
        region="viti",
        internal_port_range=(int(port), int(port) + 15),
        seed_nodes=tuple((one.split(":")[0], 9000) for one in seeds),
        is_first_start=first,
        region_by_zone=ZONES,
        listen_addresses={},
        bounds=RuleBounds(),
        tolerated_machine_losses=losses,
        memory_mb=256,
        max_open_files=1024,
        data_directory=data,
        cloud_api_address=None,
        cloud_api_rate_per_s=1.0,
        endpoint_list_lag_ms=1000.0,
        cluster_name="",
    )
