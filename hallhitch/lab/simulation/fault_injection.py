"""Injection of faults into a simulation: the actions of each kind of fault at its start and at its end."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final, NamedTuple

from hallhitch.lab.simulation.faults import Fault, FaultKind, PartitionDirection, PartitionScope
from hallhitch.lab.simulation.network import Partition
from hallhitch.lab.simulation.operation_history import Interval

if TYPE_CHECKING:
    from hallhitch.lab.simulation.machine import SimulatedCoordinator, SimulatedMachine
    from hallhitch.lab.simulation.simulation import Simulation

REPLACEMENT_HOST_PREFIX: Final = "10.0.2."
DISK_SLOWDOWN: Final = 30.0  # a job takes 60 ms: far longer than a link's delay, shorter than the time-out of a call
EXTRA_LINK_DELAY_S: Final = 0.4  # each way: a call and its response take nearly as long as the operators' time-out


class FaultActions(NamedTuple):
    """The actions to run when a fault starts and when it ends."""

    start: Callable[[], None]
    end: Callable[[], None]


ActionFactory = Callable[["Simulation", Fault], FaultActions]


def inject(simulation: Simulation, fault: Fault) -> None:
    """Schedule the start and the end of a fault."""
    actions = _ACTION_FACTORIES[fault.kind](simulation, fault)
    simulation.network.call_at(fault.starts_at_s, actions.start)
    simulation.network.call_at(fault.ends_at_s, actions.end)


def _create_partition(simulation: Simulation, machine: SimulatedMachine, fault: Fault) -> Partition:
    """Return the partition that blocks the links of the machine which the fault covers."""

    def is_opposite(host: str) -> bool:
        peer = simulation.machines.get(host)
        if peer is None or host == machine.host:
            return False
        match fault.scope:
            case PartitionScope.COORDINATORS:
                return peer.is_coordinator
            case PartitionScope.SEEDS:
                return host in simulation.seed_hosts
            case PartitionScope.GATEWAYS:
                return not peer.is_coordinator
        return True

    def is_blocked(source: str, target: str) -> bool:
        if source == machine.host and fault.direction is not PartitionDirection.INBOUND:
            return is_opposite(target)
        if target == machine.host and fault.direction is not PartitionDirection.OUTBOUND:
            return is_opposite(source)
        return False

    return is_blocked


def _partition_coordinator(simulation: Simulation, fault: Fault) -> FaultActions:
    partitions: list[Partition] = []

    def start() -> None:
        partitions.append(_create_partition(simulation, simulation.coordinator_slots[fault.slot], fault))
        simulation.network.add_partition(partitions[0])

    return FaultActions(start, lambda: simulation.network.heal_partition(partitions[0]))


def _pause_coordinator(simulation: Simulation, fault: Fault) -> FaultActions:
    def set_paused(is_paused: bool) -> None:
        simulation.coordinator_slots[fault.slot].set_paused(is_paused)

    return FaultActions(lambda: set_paused(True), lambda: set_paused(False))


def _pause_gateway(simulation: Simulation, fault: Fault) -> FaultActions:
    gateway = simulation.gateways[fault.slot]
    pauses = simulation.history.gateway_pauses.setdefault(gateway.host, [])
    pauses.append(Interval(fault.starts_at_s, fault.ends_at_s))
    return FaultActions(lambda: gateway.set_paused(True), lambda: gateway.set_paused(False))


def _restart_one(*, loses_power: bool, loses_disk: bool) -> ActionFactory:
    def create_actions(simulation: Simulation, fault: Fault) -> FaultActions:
        def start() -> None:
            machine = simulation.coordinator_slots[fault.slot]
            machine.end(loses_power)
            if loses_disk:
                machine.wipe()

        return FaultActions(start, lambda: simulation.coordinator_slots[fault.slot].start())

    return create_actions


def _restart_all(*, loses_power: bool) -> ActionFactory:
    def create_actions(simulation: Simulation, fault: Fault) -> FaultActions:
        def start() -> None:
            for machine in simulation.coordinator_slots:
                machine.end(loses_power)

        def end() -> None:
            for machine in simulation.coordinator_slots:
                machine.start()

        return FaultActions(start, end)

    return create_actions


def _start_replacement(simulation: Simulation, fault: Fault) -> None:
    """Start a new machine in the slot and record it in the operators' list."""
    replacement = simulation.add_coordinator(f"{REPLACEMENT_HOST_PREFIX}{len(simulation.machines)}")
    simulation.coordinator_slots[fault.slot] = replacement
    simulation.record_coordinator_list()
    replacement.start()


def _replace_planned(simulation: Simulation, fault: Fault) -> FaultActions:
    replaced: list[SimulatedCoordinator] = []

    def start() -> None:
        replaced.append(simulation.coordinator_slots[fault.slot])
        _start_replacement(simulation, fault)

    def end() -> None:
        replaced[0].is_removed = True
        replaced[0].terminate()

    return FaultActions(start, end)


def _replace_unplanned(simulation: Simulation, fault: Fault) -> FaultActions:
    def start() -> None:
        machine = simulation.coordinator_slots[fault.slot]
        machine.is_removed = True
        machine.end(loses_power=True)

    return FaultActions(start, lambda: _start_replacement(simulation, fault))


def _slow_down_disk(simulation: Simulation, fault: Fault) -> FaultActions:
    def set_slowdown(slowdown: float) -> None:
        simulation.coordinator_slots[fault.slot].disk.slowdown = slowdown

    return FaultActions(lambda: set_slowdown(DISK_SLOWDOWN), lambda: set_slowdown(1.0))


def _fill_disk(simulation: Simulation, fault: Fault) -> FaultActions:
    def set_full(is_full: bool) -> None:
        simulation.coordinator_slots[fault.slot].disk.is_full = is_full

    return FaultActions(lambda: set_full(True), lambda: set_full(False))


def _slow_down_links(simulation: Simulation, fault: Fault) -> FaultActions:
    hosts: list[str] = []

    def start() -> None:
        hosts.append(simulation.coordinator_slots[fault.slot].host)
        simulation.network.extra_delay_s[hosts[0]] = EXTRA_LINK_DELAY_S

    def end() -> None:
        simulation.network.extra_delay_s.pop(hosts[0], None)

    return FaultActions(start, end)


def _restart_gateway(simulation: Simulation, fault: Fault) -> FaultActions:
    gateway = simulation.gateways[fault.slot]
    return FaultActions(gateway.end, gateway.start)


_ACTION_FACTORIES: Final[dict[FaultKind, ActionFactory]] = {
    FaultKind.PARTITION: _partition_coordinator,
    FaultKind.PAUSE: _pause_coordinator,
    FaultKind.KILL: _restart_one(loses_power=False, loses_disk=False),
    FaultKind.POWER_LOSS: _restart_one(loses_power=True, loses_disk=False),
    FaultKind.DISK_LOSS: _restart_one(loses_power=True, loses_disk=True),
    FaultKind.PLANNED_REPLACEMENT: _replace_planned,
    FaultKind.UNPLANNED_REPLACEMENT: _replace_unplanned,
    FaultKind.SLOW_DISK: _slow_down_disk,
    FaultKind.FULL_DISK: _fill_disk,
    FaultKind.SLOW_LINKS: _slow_down_links,
    FaultKind.ALL_KILLED: _restart_all(loses_power=False),
    FaultKind.ALL_POWER_LOSS: _restart_all(loses_power=True),
    FaultKind.GATEWAY_RESTART: _restart_gateway,
    FaultKind.GATEWAY_PAUSE: _pause_gateway,
}
