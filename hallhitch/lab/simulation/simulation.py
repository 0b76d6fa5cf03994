"""The whole control plane in virtual time: coordinators as in service, gateways that follow, operators, faults.

Each process has a loop of its own (see `process_loop`); links and HTTP run over simulated TCP (see `network`); data
folders are simulated disks. Everything follows from the schedule.
"""

from __future__ import annotations

import functools
import json
import random
import zlib
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from hallhitch.lab.simulation import fault_injection
from hallhitch.lab.simulation.disk import DiskThread, SimulatedDisk
from hallhitch.lab.simulation.faults import EVERYBODY, Schedule
from hallhitch.lab.simulation.history import History, Seat, Sight, Span, Violation
from hallhitch.lab.simulation.network import Network
from hallhitch.lab.simulation.node_settings import coordinator_settings
from hallhitch.lab.simulation.operator_workload import Operator, Versions
from hallhitch.lab.simulation.process_loop import ProcessLoop
from hallhitch.messages.peer_links import PeerLinks
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node import clock as node_clock
from hallhitch.node.settings import NodeSettings, RuleBounds
from hallhitch.planes.distribution.gateway_sync import GatewaySync
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.values import Gateway
from hallhitch.programs.coordinator import CoordinatorProgram
from hallhitch.programs.runtime import Runtime

INTERNAL_PORT, OPERATORS_PORT = 7000, 9000
OPERATORS = ("one", "viti-a"), ("two", "viti-b")  # each with the zone that it evacuates
READ_STEP = 0.2  # s between looks whether the last reads are done
CLUSTER = "simulated"
WITHIN = 0.3  # s in which all machines start at first
SEED_LAG = 3.0  # s that the operators' list lags
CALM = 11.0  # s after the last trouble until all must agree; longer than any bound
STEPS_MOST = 2_000_000  # steps of a run that surely goes round in circles


class Follower:
    """A gateway without its data plane: what it knows of the configuration, and from whom."""

    def __init__(self, node: NodeSettings, runtime: Runtime) -> None:
        incarnation = runtime.random.getrandbits(62) + 1
        self._node, self._incarnation = node, incarnation
        self._links = runtime.connect(node.cluster_name, node.internal_address, incarnation, self._handle)
        self.hub = StateHub(incarnation, runtime.clock)
        self._sync = GatewaySync(self._links, self.hub, self._own, node.seed_addresses, runtime.clock, node.bounds)

    def _own(self) -> Gateway:
        n = self._node
        return Gateway(
            n.name, n.internal_address, self._incarnation, n.machine_class, n.zone, n.region, f"{n.ip_address}:80", True
        )

    def _handle(self, envelope: Envelope) -> Envelope | Awaitable[Envelope]:
        if envelope.HasField("state_request"):
            return self.hub.respond(envelope.state_request)
        return Envelope(error="a gateway does not answer that")

    async def start(self) -> None:
        """Follow."""
        await self._links.serve(self._node.internal_address)
        self._sync.start()


class Machine:
    """One machine with its disk, over the lives of its process."""

    def __init__(self, world: World, host: str, core: bool) -> None:
        self.world, self.host, self.core = world, host, core
        self.disk = SimulatedDisk(random.Random(f"{world.schedule.seed} disk {host}"))
        self.loop: ProcessLoop | None = None
        self.program: Any = None
        self.lives = 0
        self.removed = False
        self._thread: DiskThread | None = None

    def start(self, first: bool = False) -> None:
        """A new life of its process."""
        if self.loop is not None or self.removed:
            return
        world = self.world
        world.network.down.discard(self.host)
        self.lives += 1
        loop = self.loop = ProcessLoop(lambda: world.network.now, world.network, self.host)
        rng = random.Random(f"{world.schedule.seed} {self.host} {self.lives}")
        thread = self._thread = DiskThread(self.disk)
        runtime = Runtime(loop_clock(loop), rng, connect, self.disk if self.core else None, thread.run)

        async def main() -> None:
            node = world.node(self.host, self.core, first)
            self.program = CoordinatorProgram(node, runtime) if self.core else Follower(node, runtime)
            self._watch(self.program._hub if self.core else self.program.hub)
            await self.program.start()

        loop.begin(main())

    @property
    def life(self) -> str:
        """The name of this life of its process."""
        return f"{self.host}#{self.lives}"

    def _watch(self, hub: StateHub) -> None:
        """Note each newer state that this process knows."""
        world, born, process = self.world, self.world.network.now, self.life
        sights = world.history.coordinators if self.core else world.history.gateways
        last = [0]

        def look() -> None:
            config = hub.config
            if config.serial == last[0]:
                return
            last[0] = config.serial
            if self.core:
                world.note_seats(self.program)
            content = json.loads(zlib.decompress(config.config))["mark"] if config.config else ""
            zones = frozenset(config.evacuated_zones)
            sights.append(Sight(process, world.network.now, born, config.serial, config.config_version, content, zones))

        hub.on_change.append(look)
        if not self.core:
            world.history.lives[process] = Span(born, float("inf"))

    def end(self, power: bool = False) -> None:
        """The process is gone; with `power` the machine as well."""
        if power:
            self.world.network.down.add(self.host)
        loop, self.loop, self.program = self.loop, None, None
        life = self.world.history.lives.get(self.life)
        if life is not None and loop is not None:
            self.world.history.lives[self.life] = Span(life.begin, self.world.network.now)
        if loop is not None:
            if self._thread is not None:
                self._thread.interrupt()
            self.world.network.process_ended(loop, power)
            self.world.failures += [f"{self.host}: {failure}" for failure in loop.failures]
            loop.end()
        if power:
            self.disk.lose_power()

    def leave(self) -> None:
        """SIGTERM; SIGKILL after the grace period."""
        loop, program = self.loop, self.program
        if loop is None or program is None:
            return self.end()
        grace = self.world.network.now + RuleBounds().grace_period_ms / 1000

        async def leave() -> None:
            await program.shut_down()
            self.world.network.at(self.world.network.now, lambda: self._gone(loop))

        loop.begin(leave())
        self.world.network.at(grace, lambda: self._gone(loop))

    def _gone(self, loop: ProcessLoop) -> None:
        if self.loop is loop:
            self.end()
            if self.removed:
                self.world.network.down.add(self.host)

    def wipe(self) -> None:
        """The disk is empty when it comes back."""
        self.disk = SimulatedDisk(random.Random(f"{self.world.schedule.seed} disk {self.host} {self.lives}"))


def loop_clock(loop: ProcessLoop) -> Callable[[], float]:
    """Steady ms of a process."""
    return lambda: loop.time() * 1000


def connect(cluster: str, address: str, incarnation: int, handler: Any) -> PeerLinks:
    """The links of service."""
    return PeerLinks(cluster, handler, address, incarnation)


class World:
    """All machines, operators and what happens to them."""

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.network = Network(schedule.seed, schedule.delay)
        bounds = RuleBounds()
        self.history = History(
            bounds.config_apply_ms / 1000, bounds.ack_timeout_ms / 1000, bounds.contact_window_ms / 1000
        )
        self.failures: list[str] = []
        self.seeds = tuple(f"10.0.0.{number}" for number in range(1, schedule.founders + 1))[:3]
        self.slots = [Machine(self, f"10.0.0.{n}", True) for n in range(1, schedule.founders + 1)]
        self.gateways = [Machine(self, f"10.0.1.{n}", False) for n in range(1, schedule.gateways + 1)]
        self.machines = {machine.host: machine for machine in [*self.slots, *self.gateways]}
        self._seated = {machine.host for machine in self.slots}
        self._lists: list[tuple[float, list[str]]] = []
        self.note_list()
        self.operators: list[Operator] = []
        self._loops: list[ProcessLoop] = []

    # --- What processes and operators are told.

    def node(self, host: str, core: bool, first: bool) -> NodeSettings:
        """The settings of a machine."""
        hosts = self.seeds if first else self.listed()[: len(self.seeds)]  # the file was written from a list that lags
        seeds = tuple(f"{one}:{INTERNAL_PORT}" for one in hosts)
        plain = coordinator_settings(f"{host}:{INTERNAL_PORT}", first, seeds, self.schedule.losses)
        plain = replace(plain, bounds=replace(plain.bounds, catch_up_ms=self.schedule.catch_up * 1000))
        if core:
            return replace(plain, cluster_name=CLUSTER, listen_addresses={"controlPlane": (host, OPERATORS_PORT)})
        return replace(
            plain, cluster_name=CLUSTER, role="gateway", machine_class="edge", data_directory=None, serves=frozenset()
        )

    def note_list(self) -> None:
        """The core machines have changed."""
        self._lists.append((self.network.now, [machine.host for machine in self.slots]))

    def listed(self) -> list[str]:
        """The core machines as the operators' list has them."""
        return next(
            (hosts for since, hosts in reversed(self._lists) if since <= self.network.now - SEED_LAG), self._lists[0][1]
        )

    def note_seats(self, program: CoordinatorProgram) -> None:
        """A coordinator knows a newer state: who has become a member with it?"""
        for address in program._control.committed_state.members:
            host = address.partition(":")[0]
            if host in self._seated:
                continue
            self._seated.add(host)
            newcomer = self.machines[host].program
            holds = newcomer is not None and not newcomer._control._acceptor.state.is_recovering
            self.history.seats.append(Seat(host, self.network.now, holds))

    def add(self, host: str) -> Machine:
        """One more core machine."""
        self.machines[host] = machine = Machine(self, host, True)
        return machine

    # --- The run.

    def run(self, scene: Callable[[World], float] | None = None) -> list[Violation]:
        """Everything, from the founding to the last read.

        With a scene, it plans what happens in place of the schedule's orders and faults, and tells when it is over.
        """
        with virtual_clock(self.network):
            try:
                self._found()
                calm = (scene or World._plan)(self) + CALM
                self.until(calm)
                self.history.final = calm
                return self._read_back() + self._failed()
            finally:
                for machine in self.machines.values():
                    machine.end()
                for loop in self._loops:
                    loop.end()

    def _found(self) -> None:
        rng = random.Random(f"{self.schedule.seed} start")
        for machine in self.machines.values():
            self.network.at(rng.uniform(0.0, WITHIN), functools.partial(machine.start, True))
        versions = Versions(random.Random(f"{self.schedule.seed} versions"))
        for name, zone in OPERATORS:
            loop = self.outside(f"operator-{name}")
            self.operators.append(
                Operator(name, loop, self.listed, OPERATORS_PORT, self.history, self.schedule, versions, zone)
            )

    def outside(self, host: str) -> ProcessLoop:
        """A process that no fault strikes."""
        loop = ProcessLoop(lambda: self.network.now, self.network, host)
        self._loops.append(loop)
        return loop

    def _plan(self) -> float:
        """The schedule's orders and faults; when the last of it is over."""
        schedule = self.schedule
        for loop, operator in zip(self._loops, self.operators, strict=True):
            loop.begin(operator.work())
        for fault in schedule.faults:
            fault_injection.strike(self, fault)
            over = fault.at + fault.lasts + self.history.contact
            self.history.troubles.append(Span(fault.at, over))
            if fault.kind in EVERYBODY:
                self.history.too_many_lost.append(Span(fault.at, fault.lost_until(schedule.catch_up)))
        return max([schedule.lasts, *(fault.at + fault.lasts for fault in schedule.faults)])

    def _read_back(self) -> list[Violation]:
        """The last reads, then the judgement."""
        for operator, loop in zip(self.operators, self._loops, strict=False):
            loop.begin(operator.read_back())
        ends = self.network.now + self.history.ack + 1.0
        while self._reading() and self.network.now < ends:
            self.until(self.network.now + READ_STEP)
        return self.history.violations()

    def _failed(self) -> list[Violation]:
        """Errors that nobody caught."""
        running = [(machine.host, machine.loop) for machine in self.machines.values() if machine.loop is not None]
        running += [(loop.host, loop) for loop in self._loops]
        failures = self.failures + [f"{host}: {failure}" for host, loop in running for failure in loop.failures]
        return [Violation("failed", failure) for failure in failures]

    def _reading(self) -> bool:
        """Whether the last reads are under way."""
        return sum(call.final_read and call.end is not None for call in self.history.calls) < len(self.operators)

    def until(self, moment: float) -> None:
        """Let things happen up to a virtual second."""
        network = self.network
        for _ in range(STEPS_MOST):
            loops = [machine.loop for machine in self.machines.values() if machine.loop is not None] + self._loops
            at, loop = network.due(), None
            for one in loops:
                due = one.due()
                if due < at:
                    at, loop = due, one
            if at > moment:
                network.now = moment
                return
            network.now = max(network.now, at)
            if loop is None:
                network.step()
            else:
                loop.step()
        raise RuntimeError(f"the run does not end: {self.schedule}")


@contextmanager
def virtual_clock(network: Network) -> Iterator[None]:
    """`hallhitch.node.clock.now` tells virtual time, also to parts that are given no clock."""
    names = vars(node_clock)
    real = names["time"]
    names["time"] = SimpleNamespace(monotonic=lambda: network.now)
    try:
        yield
    finally:
        names["time"] = real


def play(schedule: Schedule) -> list[Violation]:
    """What did not hold in this run."""
    return World(schedule).run()
