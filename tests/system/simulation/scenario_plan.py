"""Builder for scenarios: schedules operations, faults and membership changes at given virtual times, in seconds."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from functools import partial
from typing import Final

from hallhitch.lab.simulation.machine import SimulatedCoordinator, SimulatedMachine
from hallhitch.lab.simulation.network import Partition
from hallhitch.lab.simulation.operation_history import Operation, OperationKind, Violation
from hallhitch.lab.simulation.operator_client import (
    RESPONSE_TIMEOUT_S,
    encode_config,
    record_response,
    send_attempt,
)
from hallhitch.lab.simulation.schedule import Schedule
from hallhitch.lab.simulation.simulation import INTERNAL_PORT, OPERATOR_PORT, Simulation
from hallhitch.node.errors import PeerCallError
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.membership import Membership

MEMBERSHIP_CHANGE_TIMEOUT_MS: Final = 800.0
EXTRA_TIMEOUT_S_PER_ROUTE: Final = 0.001  # a large configuration takes longer to process
Scenario = Callable[["ScenarioPlan"], float]  # schedules the events and returns when the last of them ends


class ScenarioPlan:
    """Schedules the events of a scenario in a simulation. `at_s` is the virtual time of an event."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self._partitions: dict[tuple[str, str], Partition] = {}
        self._client_count = 0

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Run an action at a virtual time."""
        self.simulation.network.call_at(at_s, action)

    def invoke(
        self,
        at_s: float,
        machine: SimulatedMachine,
        kind: OperationKind,
        version: int = -1,
        zone: str = "",
        routes: int = 1,
    ) -> Operation:
        """Send a single attempt of an operation from a new client."""
        self._client_count += 1
        loop = self.simulation.add_external_process(f"caller-{self._client_count}")
        content = f"content-{version}" if version >= 0 else ""
        operation = Operation(loop.host, kind, at_s, version, content, zone, is_single_attempt=True)
        self.simulation.history.operations.append(operation)
        body = encode_config(version, content, routes) if version >= 0 else b""
        timeout_s = RESPONSE_TIMEOUT_S + EXTRA_TIMEOUT_S_PER_ROUTE * routes

        async def send() -> None:
            response = await send_attempt(loop, machine.host, OPERATOR_PORT, operation, body, timeout_s)
            if response.status == 200 or 400 <= response.status < 500:
                record_response(operation, response, loop.time())

        self.at(at_s, lambda: loop.spawn(send()))
        return operation

    def start_spare(self, at_s: float) -> SimulatedCoordinator:
        """Add a coordinator machine and start it."""
        machine = self.simulation.add_coordinator(f"10.0.3.{len(self.simulation.machines)}")
        self.at(at_s, machine.start)
        return machine

    def change_members(
        self, at_s: float, proposer: SimulatedCoordinator, members: Iterable[SimulatedCoordinator]
    ) -> None:
        """Make a coordinator propose a membership change."""
        addresses = [f"{machine.host}:{INTERNAL_PORT}" for machine in members]

        async def propose_change() -> None:
            assert proposer.program is not None
            control = proposer.program._control
            with suppress(PeerCallError):
                await control.propose(
                    state_transitions.reconfigure_members(addresses, Membership.from_state(control.committed_state)),
                    MEMBERSHIP_CHANGE_TIMEOUT_MS,
                )

        self.at(at_s, lambda: proposer.loop.spawn(propose_change()) if proposer.loop is not None else None)

    def set_disk_slowdown(self, at_s: float, machine: SimulatedMachine, slowdown: float) -> None:
        """Multiply the duration of the jobs of a disk by a factor."""
        self.at(at_s, lambda: setattr(machine.disk, "slowdown", slowdown))

    def set_disk_full(self, at_s: float, machine: SimulatedMachine, is_full: bool) -> None:
        """Make all writes to a disk fail, or succeed again."""
        self.at(at_s, lambda: setattr(machine.disk, "is_full", is_full))

    def pause(self, at_s: float, machine: SimulatedMachine) -> None:
        """Pause the process of a machine."""
        self.at(at_s, lambda: machine.set_paused(True))

    def resume(self, at_s: float, machine: SimulatedMachine) -> None:
        """Resume the process of a machine."""
        self.at(at_s, lambda: machine.set_paused(False))

    def remove(self, at_s: float, machine: SimulatedCoordinator) -> None:
        """Remove a machine for good with a graceful shutdown."""
        self.at(at_s, lambda: setattr(machine, "is_removed", True))
        self.at(at_s, machine.terminate)

    def block(self, at_s: float, sources: Iterable[SimulatedMachine], targets: Iterable[SimulatedMachine]) -> None:
        """Block all links from the sources to the targets."""
        for source in sources:
            for target in targets:
                if source is not target:
                    self.at(at_s, partial(self._block, source.host, target.host))

    def partition(
        self, at_s: float, group: Iterable[SimulatedMachine], other_group: Iterable[SimulatedMachine]
    ) -> None:
        """Block all links between two groups of machines in both directions."""
        group, other_group = list(group), list(other_group)
        self.block(at_s, group, other_group)
        self.block(at_s, other_group, group)

    def heal(self, at_s: float, group: Iterable[SimulatedMachine], other_group: Iterable[SimulatedMachine]) -> None:
        """Unblock all links between two groups of machines in both directions."""
        group, other_group = list(group), list(other_group)
        for source, target in [(a, b) for a in group for b in other_group] + [
            (b, a) for a in group for b in other_group
        ]:
            self.at(at_s, partial(self._heal, source.host, target.host))

    def _block(self, source: str, target: str) -> None:
        if (source, target) not in self._partitions:
            partition = self._partitions[source, target] = lambda sender, receiver: (
                (sender, receiver) == (source, target)
            )
            self.simulation.network.add_partition(partition)

    def _heal(self, source: str, target: str) -> None:
        partition = self._partitions.pop((source, target), None)
        if partition is not None:
            self.simulation.network.heal_partition(partition)


def run_scenario(scenario: Scenario, initial_coordinators: int = 3, gateways: int = 1) -> list[Violation]:
    """Bootstrap a system, run the scenario on it, and return the violated invariants."""
    tolerated_losses = (initial_coordinators - 1) // 2
    schedule = Schedule(1, tolerated_losses, initial_coordinators, gateways, (), duration_s=0.0, link_delay_ms=1.0)
    return Simulation(schedule).run(lambda simulation: scenario(ScenarioPlan(simulation)))
