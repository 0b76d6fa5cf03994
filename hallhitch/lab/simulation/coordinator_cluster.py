"""The control planes of several coordinators on one event loop in virtual time.

Links carry encoded envelopes without sockets, data directories are in memory, and the loop advances its clock to the
next timer instead of blocking. For whole processes over simulated TCP see `simulation`. Times are virtual milliseconds
unless the name says otherwise.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final, TypeVar

from hallhitch.lab.simulation.in_memory_storage import InMemoryStorage
from hallhitch.lab.simulation.node_settings import coordinator_settings
from hallhitch.lab.simulation.virtual_time import VirtualLoop, close_loop
from hallhitch.messages.system_pb2 import ClusterState, Envelope
from hallhitch.node.errors import RequestTimeout
from hallhitch.node.settings import NodeSettings, RuleBounds
from hallhitch.planes.control.operator_api import OperatorApi
from hallhitch.planes.control.plane import ControlPlane, ReplicaEnvironment

T = TypeVar("T")
GRACE_PERIOD_MS: Final = RuleBounds().grace_period_ms
FORMER_LEASE_MS: Final = 1050.0  # former members' votes on leases count for this time: a lease of 1 s and its margin
INITIAL_DISK_WRITE_MS: Final = 2.0


class CoordinatorMachine:
    """One coordinator and its disk, which outlive the restarts of its process."""

    def __init__(self, cluster: CoordinatorCluster, address: str) -> None:
        self.cluster = cluster
        self.address = address
        self.disk = InMemoryStorage()
        self.write_duration_ms = INITIAL_DISK_WRITE_MS
        self.plane: ControlPlane | None = None
        self.operator: OperatorApi | None = None
        self.links: _SimulatedLinks | None = None  # of the newest incarnation
        self.committed_states: list[ClusterState] = []  # that the newest incarnation was notified of

    async def start(self, is_first_start: bool = False, seed_addresses: tuple[str, ...] = ()) -> None:
        """Start a new incarnation with the state that is on the disk."""
        node = self.cluster.node_settings(self.address, is_first_start, seed_addresses)
        self.committed_states = []
        self.links = _SimulatedLinks(self.cluster, self)
        plane = ControlPlane(
            node,
            self.links,
            lambda state: self.committed_states.append(state),
            ReplicaEnvironment(
                storage=self.disk,
                run_blocking=self._run_on_disk,
                clock=self.cluster.clock,
                rng=random.Random(self.cluster.rng.random()),
            ),
            lease_ms=FORMER_LEASE_MS,
        )
        self.plane = plane
        self.operator = OperatorApi(node, plane, self.cluster.clock)
        await plane.start()

    async def kill(self) -> None:
        """Kill the process and keep its files."""
        plane = self.plane
        self.plane = self.operator = None
        if plane is not None:
            await plane.stop()

    async def terminate(self) -> None:
        """Leave the membership, as on SIGTERM, then end the process."""
        plane = self.plane
        assert plane is not None
        await plane.leave(GRACE_PERIOD_MS / 2)
        if self.plane is plane:
            await self.kill()

    async def wipe(self) -> None:
        """Kill the process and replace the disk with an empty one."""
        await self.kill()
        self.disk = InMemoryStorage()

    async def lose_power(self) -> None:
        """Kill the process and lose unsynced files."""
        await self.kill()
        self.disk.lose_power()

    async def _run_on_disk(self, call: Callable[[], None]) -> None:
        """Run a blocking call after the delay of the disk, unless its incarnation has ended by then."""
        plane = self.plane
        await asyncio.sleep(self.write_duration_ms / 1000)
        if self.plane is not plane:
            await asyncio.shield(self.cluster.never_done)
        call()


class _SimulatedLinks:
    """Sends the calls of one incarnation of a machine to its peers."""

    def __init__(self, cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
        self._cluster = cluster
        self._machine = machine

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Call a peer and wait up to `timeout_ms`.

        Raises:
            RequestTimeout: No response came in time, or no process runs at the address.
        """
        cluster, own_address = self._cluster, self._machine.address
        encoded = envelope.SerializeToString()
        request = Envelope.FromString(encoded)
        cluster.call_count += 1
        cluster.request_bytes += len(encoded)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await cluster.traverse_link(own_address, address, len(encoded))
                peer = cluster.machines.get(address)
                if peer is None or peer.plane is None:
                    raise RequestTimeout("connect", address, "no process runs at the address")
                response = peer.plane.handle(request)
                if isinstance(response, Awaitable):
                    response = await response
                assert response is not None
                encoded = response.SerializeToString()
                await cluster.traverse_link(address, own_address, len(encoded))
                if self._machine.links is not self:
                    await asyncio.shield(cluster.never_done)
                return Envelope.FromString(encoded)
        except TimeoutError:
            raise RequestTimeout("call", address, "no response in time") from None


class CoordinatorCluster:
    """All machines and the links between them."""

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int,
        tolerated_losses: int = 1,
        initial_members: int = 3,
        link_delay_ms: float = 1.0,
    ) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.tolerated_losses = tolerated_losses
        self.link_delay_ms = link_delay_ms
        self.bytes_per_ms = float("inf")  # applied to each message separately: messages do not queue behind each other
        self.never_done: asyncio.Future[None] = loop.create_future()
        self.seeds = tuple(f"10.0.0.{number}:7000" for number in range(1, initial_members + 1))
        self.machines: dict[str, CoordinatorMachine] = {}
        self.background_tasks: list[asyncio.Future[None]] = []  # tasks that run until the end of a scenario
        self.partitions: set[frozenset[str]] = set()  # pairs of addresses that cannot reach each other
        self.inbound_blocked: set[str] = set()  # messages to these addresses are lost, messages from them arrive
        self.blocked_links: set[tuple[str, str]] = set()  # (source, target): messages in this direction are lost
        self.message_faults: dict[int, Callable[[], Coroutine[Any, Any, None]]] = {}  # injected, by message number
        self.message_count = self.call_count = self.request_bytes = 0
        for address in self.seeds:
            self.add_machine(address)

    def add_machine(self, address: str) -> CoordinatorMachine:
        """Add a machine without starting it."""
        self.machines[address] = CoordinatorMachine(self, address)
        return self.machines[address]

    def clock(self) -> float:
        """Return the virtual time in ms."""
        return self.loop.time() * 1000

    async def traverse_link(self, source: str, target: str, size_bytes: int = 0) -> None:
        """Wait for the transmission time of a message. Never returns if the link is blocked."""
        self.message_count += 1
        if inject_fault := self.message_faults.pop(self.message_count, None):
            await inject_fault()
        delay_ms = self.rng.uniform(0.5, 1.5) * self.link_delay_ms + size_bytes / self.bytes_per_ms
        await asyncio.sleep(delay_ms / 1000)
        if self._is_blocked(source, target):
            await asyncio.shield(self.never_done)

    def _is_blocked(self, source: str, target: str) -> bool:
        return (
            frozenset((source, target)) in self.partitions
            or target in self.inbound_blocked
            or (source, target) in self.blocked_links
        )

    def isolate(self, *addresses: str) -> None:
        """Partition these addresses from all others."""
        self.partitions |= {
            frozenset((address, peer)) for address in addresses for peer in self.machines if peer not in addresses
        }

    async def bootstrap(self, *additional_addresses: str) -> list[CoordinatorMachine]:
        """Add machines at these addresses, and start all machines for the first time."""
        for address in additional_addresses:
            self.add_machine(address)
        for machine in self.machines.values():
            await machine.start(is_first_start=True)
        return list(self.machines.values())

    def node_settings(self, address: str, is_first_start: bool, seed_addresses: tuple[str, ...] = ()) -> NodeSettings:
        """Return the settings of one machine. The seed addresses default to those of the initial members."""
        return coordinator_settings(address, is_first_start, seed_addresses or self.seeds, self.tolerated_losses)


def run_scenario(
    scenario: Callable[[CoordinatorCluster], Coroutine[Any, Any, T]],
    seed: int = 1,
    *,
    cluster_type: type[CoordinatorCluster] = CoordinatorCluster,
    tolerated_losses: int = 1,
    initial_members: int = 3,
    link_delay_ms: float = 1.0,
) -> T:
    """Run a scenario in virtual time and return its result."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        cluster = cluster_type(loop, seed, tolerated_losses, initial_members, link_delay_ms)
        return loop.run_until_complete(scenario(cluster))
    finally:
        asyncio.set_event_loop(None)
        close_loop(loop)
