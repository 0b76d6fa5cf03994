"""Injection of faults into a simulation: what each kind of fault does when it starts and when it ends."""

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
DISK_SLOWDOWN: Final = 30.0  # a job takes 60 ms: far above a link's delay, below the time-out of a call
EXTRA_LINK_DELAY_S: Final = 0.4  # each way: a call and its response take nearly the operators' time-out


class Actions(NamedTuple):
    """What happens when a fault starts, and when it ends."""

    start: Callable[[], None]
    end: Callable[[], None]


Plan = Callable[["Simulation", Fault], Actions]


def inject(simulation: Simulation, fault: Fault) -> None:
    """Schedule the start and the end of a fault."""
    actions = _PLANS[fault.kind](simulation, fault)
    simulation.network.call_at(fault.starts_at_s, actions.start)
    simulation.network.call_at(fault.ends_at_s, actions.end)


def _partition_of(simulation: Simulation, machine: SimulatedMachine, fault: Fault) -> Partition:
    """Return which links of the machine are blocked."""

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


def _partition(simulation: Simulation, fault: Fault) -> Actions:
    partitions: list[Partition] = []

    def start() -> None:
        partitions.append(_partition_of(simulation, simulation.coordinator_slots[fault.slot], fault))
        simulation.network.add_partition(partitions[0])

    return Actions(start, lambda: simulation.network.heal_partition(partitions[0]))


def _pause_coordinator(simulation: Simulation, fault: Fault) -> Actions:
    def set_paused(is_paused: bool) -> None:
        simulation.coordinator_slots[fault.slot].set_paused(is_paused)

    return Actions(lambda: set_paused(True), lambda: set_paused(False))


def _pause_gateway(simulation: Simulation, fault: Fault) -> Actions:
    gateway = simulation.gateways[fault.slot]
    pauses = simulation.history.gateway_pauses.setdefault(gateway.host, [])
    pauses.append(Interval(fault.starts_at_s, fault.ends_at_s))
    return Actions(lambda: gateway.set_paused(True), lambda: gateway.set_paused(False))


def _end_and_restart(*, loses_power: bool, loses_disk: bool) -> Plan:
    def plan(simulation: Simulation, fault: Fault) -> Actions:
        def start() -> None:
            machine = simulation.coordinator_slots[fault.slot]
            machine.end(loses_power)
            if loses_disk:
                machine.wipe()

        return Actions(start, lambda: simulation.coordinator_slots[fault.slot].start())

    return plan


def _end_and_restart_all(*, loses_power: bool) -> Plan:
    def plan(simulation: Simulation, fault: Fault) -> Actions:
        def start() -> None:
            for machine in simulation.coordinator_slots:
                machine.end(loses_power)

        def end() -> None:
            for machine in simulation.coordinator_slots:
                machine.start()

        return Actions(start, end)

    return plan


def _start_successor(simulation: Simulation, fault: Fault) -> None:
    """Put a new machine into the slot; the operators' list follows."""
    successor = simulation.add_coordinator(f"{REPLACEMENT_HOST_PREFIX}{len(simulation.machines)}")
    simulation.coordinator_slots[fault.slot] = successor
    simulation.record_coordinator_list()
    successor.start()


def _planned_replacement(simulation: Simulation, fault: Fault) -> Actions:
    replaced: list[SimulatedCoordinator] = []

    def start() -> None:
        replaced.append(simulation.coordinator_slots[fault.slot])
        _start_successor(simulation, fault)

    def end() -> None:
        replaced[0].is_removed = True
        replaced[0].terminate()

    return Actions(start, end)


def _unplanned_replacement(simulation: Simulation, fault: Fault) -> Actions:
    def start() -> None:
        machine = simulation.coordinator_slots[fault.slot]
        machine.is_removed = True
        machine.end(loses_power=True)

    return Actions(start, lambda: _start_successor(simulation, fault))


def _slow_disk(simulation: Simulation, fault: Fault) -> Actions:
    def set_slowdown(slowdown: float) -> None:
        simulation.coordinator_slots[fault.slot].disk.slowdown = slowdown

    return Actions(lambda: set_slowdown(DISK_SLOWDOWN), lambda: set_slowdown(1.0))


def _full_disk(simulation: Simulation, fault: Fault) -> Actions:
    def set_full(is_full: bool) -> None:
        simulation.coordinator_slots[fault.slot].disk.is_full = is_full

    return Actions(lambda: set_full(True), lambda: set_full(False))


def _slow_links(simulation: Simulation, fault: Fault) -> Actions:
    hosts: list[str] = []

    def start() -> None:
        hosts.append(simulation.coordinator_slots[fault.slot].host)
        simulation.network.extra_delay_s[hosts[0]] = EXTRA_LINK_DELAY_S

    def end() -> None:
        simulation.network.extra_delay_s.pop(hosts[0], None)

    return Actions(start, end)


def _restart_gateway(simulation: Simulation, fault: Fault) -> Actions:
    gateway = simulation.gateways[fault.slot]
    return Actions(gateway.end, gateway.start)


_PLANS: Final[dict[FaultKind, Plan]] = {
    FaultKind.PARTITION: _partition,
    FaultKind.PAUSE: _pause_coordinator,
    FaultKind.KILL: _end_and_restart(loses_power=False, loses_disk=False),
    FaultKind.POWER_LOSS: _end_and_restart(loses_power=True, loses_disk=False),
    FaultKind.DISK_LOSS: _end_and_restart(loses_power=True, loses_disk=True),
    FaultKind.PLANNED_REPLACEMENT: _planned_replacement,
    FaultKind.UNPLANNED_REPLACEMENT: _unplanned_replacement,
    FaultKind.SLOW_DISK: _slow_disk,
    FaultKind.FULL_DISK: _full_disk,
    FaultKind.SLOW_LINKS: _slow_links,
    FaultKind.ALL_KILLED: _end_and_restart_all(loses_power=False),
    FaultKind.ALL_POWER_LOSS: _end_and_restart_all(loses_power=True),
    FaultKind.GATEWAY_RESTART: _restart_gateway,
    FaultKind.GATEWAY_PAUSE: _pause_gateway,
}
