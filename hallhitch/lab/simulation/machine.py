"""Simulated machines: the disk, the restarts of the process, and the replicated states that the process learns."""

from __future__ import annotations

import json
import random
import zlib
from abc import ABC, abstractmethod
from collections.abc import Awaitable
from typing import TYPE_CHECKING, ClassVar, Final

from hallhitch.lab.simulation.operation_history import DrainObservation, Interval, Observation
from hallhitch.lab.simulation.process_loop import ProcessLoop
from hallhitch.lab.simulation.simulated_disk import DiskThread, SimulatedDisk
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.settings import NodeSettings, RuleBounds
from hallhitch.planes.distribution.gateway_sync import GatewaySync
from hallhitch.planes.distribution.ports import SyncContext
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.values import Gateway
from hallhitch.programs.coordinator import CoordinatorProgram
from hallhitch.programs.runtime import Runtime

if TYPE_CHECKING:
    from hallhitch.lab.simulation.simulation import Simulation

GRACE_PERIOD_S: Final = RuleBounds().grace_period_ms / 1000


class GatewayFollower:
    """A gateway without a data plane, which only follows the replicated state."""

    def __init__(self, node: NodeSettings, runtime: Runtime) -> None:
        self._node = node
        self._incarnation = runtime.random.getrandbits(62) + 1
        self._links = runtime.connect(node.cluster_name, node.internal_address, self._incarnation, self._handle)
        self.hub = StateHub(self._incarnation, runtime.clock)
        context = SyncContext(self._links, self.hub, self._describe, runtime.clock, node.bounds)
        self._sync = GatewaySync(context, node.seed_addresses)

    async def start(self) -> None:
        """Start serving peers and following the coordinators."""
        await self._links.serve(self._node.internal_address)
        self._sync.start()

    def _describe(self) -> Gateway:
        node = self._node
        return Gateway(
            node.name,
            node.internal_address,
            self._incarnation,
            node.machine_class,
            node.zone,
            node.region,
            frontend=f"{node.ip_address}:80",
            is_ready=True,
        )

    def _handle(self, envelope: Envelope) -> Envelope | Awaitable[Envelope]:
        if envelope.HasField("state_request"):
            return self.hub.respond(envelope.state_request)
        return Envelope(error="a gateway does not answer that")


class SimulatedMachine(ABC):
    """One machine and its disk, which outlive the restarts of its process."""

    is_coordinator: ClassVar[bool]

    def __init__(self, simulation: Simulation, host: str) -> None:
        self.simulation = simulation
        self.host = host
        self.disk = SimulatedDisk(random.Random(f"{simulation.schedule.seed} disk {host}"))
        self.loop: ProcessLoop | None = None
        self.incarnation = 0  # number of starts of its process
        self.is_removed = False  # removed machines are never started again
        self._disk_thread: DiskThread | None = None

    @property
    def process_name(self) -> str:
        """The name of the current incarnation of its process."""
        return f"{self.host}#{self.incarnation}"

    def start(self, is_first_start: bool = False) -> None:
        """Start the process, unless it is running or the machine was removed."""
        if self.loop is not None or self.is_removed:
            return
        network = self.simulation.network
        network.unpowered_hosts.discard(self.host)
        self.incarnation += 1
        loop = self.loop = ProcessLoop(lambda: network.now_s, network, self.host)
        rng = random.Random(f"{self.simulation.schedule.seed} {self.host} {self.incarnation}")
        thread = self._disk_thread = DiskThread(self.disk)
        loop.spawn(self._run_program(loop, rng, thread, is_first_start))

    @abstractmethod
    async def _run_program(
        self, loop: ProcessLoop, rng: random.Random, thread: DiskThread, is_first_start: bool
    ) -> None:
        """Create and start the program of this incarnation."""

    @abstractmethod
    def _release_program(self) -> None:
        """Release the program of an incarnation that has ended."""

    def _record_observations(self, hub: StateHub, observations: list[Observation]) -> None:
        """Record each newer state that the process learns."""
        network, started_at_s, process = self.simulation.network, self.simulation.network.now_s, self.process_name
        last_serial = 0

        def on_change() -> None:
            nonlocal last_serial
            config = hub.config
            if config.serial == last_serial:
                return
            last_serial = config.serial
            self._on_newer_state()
            observations.append(
                Observation(
                    process,
                    network.now_s,
                    started_at_s,
                    config.serial,
                    config.config_version,
                    content=json.loads(zlib.decompress(config.config))["mark"] if config.config else "",
                    evacuated_zones=frozenset(config.evacuated_zones),
                )
            )

        hub.on_change.append(on_change)

    def _on_newer_state(self) -> None:  # noqa: B027  # optional to override
        """Handle a newer state of the process."""

    def set_paused(self, is_paused: bool) -> None:
        """Pause or resume the process."""
        if self.loop is not None:
            self.loop.is_paused = is_paused

    def end(self, loses_power: bool = False) -> None:
        """Kill the process, and cut the power of the machine if `loses_power` is set."""
        network = self.simulation.network
        if loses_power:
            network.unpowered_hosts.add(self.host)
        loop, self.loop = self.loop, None
        self._release_program()
        if loop is not None:
            if self._disk_thread is not None:
                self._disk_thread.interrupt()
            network.close_process(loop, has_power=not loses_power)
            self.simulation.unhandled_errors += [f"{self.host}: {error}" for error in loop.unhandled_errors]
            loop.terminate()
        if loses_power:
            self.disk.lose_power()

    def wipe(self) -> None:
        """Replace the disk with an empty one."""
        self.disk = SimulatedDisk(random.Random(f"{self.simulation.schedule.seed} disk {self.host} {self.incarnation}"))


class SimulatedCoordinator(SimulatedMachine):
    """A machine that runs the production coordinator program."""

    is_coordinator = True
    program: CoordinatorProgram | None = None

    async def _run_program(
        self, loop: ProcessLoop, rng: random.Random, thread: DiskThread, is_first_start: bool
    ) -> None:
        node = self.simulation.coordinator_node_settings(self.host, is_first_start)
        runtime = Runtime(clock=loop.now_ms, random=rng, storage=self.disk, run_blocking=thread.run)
        program = self.program = CoordinatorProgram(node, runtime)
        self._record_observations(program._hub, self.simulation.history.coordinator_observations)
        await program.start()

    def _release_program(self) -> None:
        self.program = None

    def _on_newer_state(self) -> None:
        if self.program is not None:
            self.simulation.record_members(self.program)

    def terminate(self) -> None:
        """Shut the process down gracefully, as on SIGTERM, and kill it after the grace period."""
        loop, program = self.loop, self.program
        if loop is None or program is None:
            return self.end()
        network = self.simulation.network
        deadline_s = network.now_s + GRACE_PERIOD_S

        async def shut_down_and_end() -> None:
            await program.shut_down()
            network.call_at(network.now_s, lambda: self._end_incarnation(loop))

        loop.spawn(shut_down_and_end())
        network.call_at(deadline_s, lambda: self._end_incarnation(loop))
        return None

    def _end_incarnation(self, loop: ProcessLoop) -> None:
        if self.loop is not loop:
            return
        self.end()
        if self.is_removed:
            self.simulation.network.unpowered_hosts.add(self.host)


class SimulatedGateway(SimulatedMachine):
    """A machine that runs a `GatewayFollower`."""

    is_coordinator = False
    program: GatewayFollower | None = None

    async def _run_program(
        self, loop: ProcessLoop, rng: random.Random, thread: DiskThread, is_first_start: bool
    ) -> None:
        node = self.simulation.gateway_node_settings(self.host, is_first_start)
        program = self.program = GatewayFollower(node, Runtime(clock=loop.now_ms, random=rng, run_blocking=thread.run))
        history = self.simulation.history
        self._record_observations(program.hub, history.gateway_observations)
        self._record_drains(program.hub)
        history.gateway_lifetimes[self.process_name] = Interval(self.simulation.network.now_s, float("inf"))
        await program.start()

    def _record_drains(self, hub: StateHub) -> None:
        """Record when the process learns of each drain that the platform has listed."""
        simulation, process = self.simulation, self.process_name
        pending = {drain.instance: drain for drain in simulation.platform.drains}

        def on_change() -> None:
            now_s = simulation.network.now_s
            if not len(hub.backends):
                return
            for drain in list(pending.values()):
                backend = hub.backends.get(drain.instance)
                if drain.listed_at_s > now_s or (backend is not None and not backend.is_draining):
                    continue
                del pending[drain.instance]
                simulation.history.drain_observations.append(
                    DrainObservation(process, drain.instance, drain.listed_at_s, now_s)
                )

        hub.on_change.append(on_change)

    def _release_program(self) -> None:
        self.program = None

    def end(self, loses_power: bool = False) -> None:
        """Kill the process and record the end of its lifetime."""
        lifetimes = self.simulation.history.gateway_lifetimes
        lifetime = lifetimes.get(self.process_name)
        if lifetime is not None and self.loop is not None:
            lifetimes[self.process_name] = Interval(lifetime.begin_s, self.simulation.network.now_s)
        super().end(loses_power)
