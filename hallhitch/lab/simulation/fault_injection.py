"""How a fault is brought about in the world."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from hallhitch.lab.simulation.faults import Direction, Fault, Kind, Scope
from hallhitch.lab.simulation.history import Span
from hallhitch.lab.simulation.network import Blocks

if TYPE_CHECKING:
    from hallhitch.lab.simulation.simulation import Machine, World

NEW_HOSTS = "10.0.2."  # machines that come later
PLANNED_GAP = 1.0  # s at least between the start of a new machine and the SIGTERM of the one it stands for
SLOW_DISK = 30.0  # times slower
SLOW_LINK = 0.4  # s more on each way


def strike(world: World, fault: Fault) -> None:
    """Put a fault and its end among the events."""
    begin, end = _ACTS[fault.kind](world, fault)
    world.network.at(fault.at, begin)
    world.network.at(fault.at + fault.lasts, end)


Acts = tuple[Callable[[], None], Callable[[], None]]


def blocks(world: World, machine: Machine, fault: Fault) -> Blocks:
    """What a cut keeps from passing."""

    def other_side(host: str) -> bool:
        other = world.machines.get(host)
        if other is None or host == machine.host:
            return False
        match fault.scope:
            case Scope.CORES:
                return other.core
            case Scope.SEEDS:
                return host in world.seeds
            case Scope.GATEWAYS:
                return not other.core
        return True

    def blocked(source: str, target: str) -> bool:
        if source == machine.host and fault.direction is not Direction.TO_IT:
            return other_side(target)
        if target == machine.host and fault.direction is not Direction.FROM_IT:
            return other_side(source)
        return False

    return blocked


def _cut(world: World, fault: Fault) -> Acts:
    cuts: list[Blocks] = []

    def begin() -> None:
        cuts.append(blocks(world, world.slots[fault.slot], fault))
        world.network.cut(cuts[0])

    return begin, lambda: world.network.join(cuts[0])


def _freeze(world: World, fault: Fault) -> Acts:
    machines = world.gateways if fault.kind is Kind.GATEWAY_FREEZE else world.slots

    def frozen(value: bool) -> None:
        loop = machines[fault.slot].loop
        if loop is not None:
            loop.frozen = value

    if fault.kind is Kind.GATEWAY_FREEZE:
        spans = world.history.standstills.setdefault(machines[fault.slot].host, [])
        spans.append(Span(fault.at, fault.at + fault.lasts))
    return lambda: frozen(True), lambda: frozen(False)


def _ended(power: bool, wiped: bool) -> Callable[[World, Fault], Acts]:
    def acts(world: World, fault: Fault) -> Acts:
        def begin() -> None:
            machine = world.slots[fault.slot]
            machine.end(power)
            if wiped:
                machine.wipe()

        return begin, lambda: world.slots[fault.slot].start()

    return acts


def _everybody(power: bool) -> Callable[[World, Fault], Acts]:
    def acts(world: World, fault: Fault) -> Acts:
        def begin() -> None:
            for machine in world.slots:
                machine.end(power)

        def end() -> None:
            for machine in world.slots:
                machine.start()

        return begin, end

    return acts


def _successor(world: World, fault: Fault) -> Machine:
    """A new machine in the slot; the operators' list follows."""
    new = world.add(f"{NEW_HOSTS}{len(world.machines)}")
    world.slots[fault.slot] = new
    world.note_list()
    new.start()
    return new


def _exchange_planned(world: World, fault: Fault) -> Acts:
    old: list[Machine] = []

    def begin() -> None:
        old.append(world.slots[fault.slot])
        _successor(world, fault)

    def end() -> None:
        old[0].removed = True
        old[0].leave()

    return begin, end


def _exchange_lost(world: World, fault: Fault) -> Acts:
    def begin() -> None:
        machine = world.slots[fault.slot]
        machine.removed = True
        machine.end(power=True)

    def end() -> None:
        _successor(world, fault)

    return begin, end


def _disk(full: bool) -> Callable[[World, Fault], Acts]:
    def acts(world: World, fault: Fault) -> Acts:
        def set_to(trouble: bool) -> None:
            disk = world.slots[fault.slot].disk
            disk.refuses = full and trouble
            disk.slow = SLOW_DISK if trouble and not full else 1.0

        return lambda: set_to(True), lambda: set_to(False)

    return acts


def _link_slow(world: World, fault: Fault) -> Acts:
    hosts: list[str] = []

    def begin() -> None:
        hosts.append(world.slots[fault.slot].host)
        world.network.slow[hosts[0]] = SLOW_LINK

    def end() -> None:
        world.network.slow.pop(hosts[0], None)

    return begin, end


def _gateway_restart(world: World, fault: Fault) -> Acts:
    return lambda: world.gateways[fault.slot].end(), lambda: world.gateways[fault.slot].start()


_ACTS: dict[Kind, Callable[[World, Fault], Acts]] = {
    Kind.CUT: _cut,
    Kind.FREEZE: _freeze,
    Kind.KILL: _ended(power=False, wiped=False),
    Kind.POWER: _ended(power=True, wiped=False),
    Kind.WIPE: _ended(power=True, wiped=True),
    Kind.EXCHANGE_PLANNED: _exchange_planned,
    Kind.EXCHANGE_LOST: _exchange_lost,
    Kind.DISK_SLOW: _disk(full=False),
    Kind.DISK_FULL: _disk(full=True),
    Kind.LINK_SLOW: _link_slow,
    Kind.ALL_KILLED: _everybody(power=False),
    Kind.ALL_POWER: _everybody(power=True),
    Kind.GATEWAY_RESTART: _gateway_restart,
    Kind.GATEWAY_FREEZE: _freeze,
}
