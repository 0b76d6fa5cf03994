"""Runs that are planned message by message, each for one mechanism whose absence chance alone would seldom show."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import suppress
from functools import partial

from hallhitch.lab.simulation.faults import Schedule
from hallhitch.lab.simulation.history import Call, Order, Violation
from hallhitch.lab.simulation.network import Blocks
from hallhitch.lab.simulation.operator_workload import A_ROUTE, SILENCE, attempt, configuration, settle
from hallhitch.lab.simulation.simulation import INTERNAL_PORT, OPERATORS_PORT, Machine, World
from hallhitch.node.errors import PeerCallError
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.membership import Membership

PATIENCE = 800.0  # ms for a change of members
Act = Callable[[], None]
Scene = Callable[["Stage"], float]  # plans what happens, and tells the virtual second at which it is over


class Stage:
    """What a scene does, at which virtual second."""

    def __init__(self, world: World) -> None:
        self.world = world
        self._cuts: dict[tuple[str, str], Blocks] = {}
        self._callers = 0

    def at(self, moment: float, act: Act) -> None:
        """Do something then."""
        self.world.network.at(moment, act)

    def order(
        self, moment: float, machine: Machine, order: Order, version: int = -1, zone: str = "", routes: int = 1
    ) -> Call:
        """One try of one order then, by a caller of its own; a big configuration is waited for longer."""
        self._callers += 1
        loop = self.world.outside(f"caller-{self._callers}")
        call = Call(loop.host, order, moment, version, f"content-{version}" if version >= 0 else "", zone, once=True)
        self.world.history.calls.append(call)
        body = configuration(version, call.content, routes) if version >= 0 else b""

        async def send() -> None:
            status, answer = await attempt(loop, machine.host, OPERATORS_PORT, call, body, SILENCE + A_ROUTE * routes)
            if status == 200 or 400 <= status < 500:
                settle(call, status, answer, loop.time())

        self.at(moment, lambda: loop.begin(send()))
        return call

    def spare(self, moment: float) -> Machine:
        """One more core machine, started then."""
        machine = self.world.add(f"10.0.3.{len(self.world.machines)}")
        self.at(moment, machine.start)
        return machine

    def exchange(self, moment: float, proposer: Machine, members: Iterable[Machine]) -> None:
        """A coordinator puts a change of members to the register then."""
        addresses = [f"{machine.host}:{INTERNAL_PORT}" for machine in members]

        async def change() -> None:
            control = proposer.program._control
            with suppress(PeerCallError):
                await control.propose(
                    state_transitions.reconfigure_members(addresses, Membership.from_state(control.committed_state)),
                    PATIENCE,
                )

        self.at(moment, lambda: proposer.loop.begin(change()) if proposer.loop is not None else None)

    def slow_disk(self, moment: float, machine: Machine, times: float) -> None:
        """Its disk takes so many times as long."""
        self.at(moment, lambda: setattr(machine.disk, "slow", times))

    def freeze(self, moment: float, machine: Machine, frozen: bool) -> None:
        """Its process stands still from then on, or goes on."""

        def act() -> None:
            if machine.loop is not None:
                machine.loop.frozen = frozen

        self.at(moment, act)

    def cut(self, moment: float, sources: Iterable[Machine], targets: Iterable[Machine]) -> None:
        """Nothing gets from these to those from then on."""
        for source in sources:
            for target in targets:
                if source is not target:
                    self.at(moment, partial(self._cut, source.host, target.host))

    def part(self, moment: float, some: Iterable[Machine], others: Iterable[Machine]) -> None:
        """Nothing gets from these to those, nor back."""
        some, others = list(some), list(others)
        self.cut(moment, some, others)
        self.cut(moment, others, some)

    def join(self, moment: float, some: Iterable[Machine], others: Iterable[Machine]) -> None:
        """All ways between these and those are open again."""
        some, others = list(some), list(others)
        for source, target in [(a, b) for a in some for b in others] + [(b, a) for a in some for b in others]:
            self.at(moment, partial(self._join, source.host, target.host))

    def _cut(self, source: str, target: str) -> None:
        if (source, target) not in self._cuts:
            blocks = self._cuts[source, target] = lambda one, other: (one, other) == (source, target)
            self.world.network.cut(blocks)

    def _join(self, source: str, target: str) -> None:
        blocks = self._cuts.pop((source, target), None)
        if blocks is not None:
            self.world.network.join(blocks)


def perform(scene: Scene, founders: int = 3, gateways: int = 1) -> list[Violation]:
    """Found a system, play the scene on it, and judge what was seen."""
    schedule = Schedule(1, (founders - 1) // 2, founders, gateways, (), lasts=0.0, delay=1.0)
    world = World(schedule)
    return world.run(lambda founded: scene(Stage(founded)))


def vote_of_a_forgotten_incarnation(stage: Stage) -> float:
    """Five replicas. `a` accepts version 2 from `d`, loses its disk and reads the others back, none of whom has met
    version 2. `b` and `c` and `a` agree on something newer. Only then `e` accepts version 2 from `d`: with the
    forgotten vote of `a` it would be a majority.
    """
    a, b, c, d, e = stage.world.slots
    stage.order(3.0, b, Order.REPLACE, version=1)
    stage.part(4.9, [d], [b, c])
    stage.slow_disk(4.9, e, 30.0)  # its promise comes late enough for the cut before the accept
    stage.order(5.0, d, Order.REPLACE, version=2, routes=2000)
    stage.cut(5.03, [d], [e])

    def lose_disk() -> None:
        a.end()
        a.wipe()

    stage.at(5.12, lose_disk)
    stage.part(5.13, [d], [a])
    stage.at(5.14, a.start)
    stage.part(5.4, [e], [a, b, c])
    for moment in (5.45, 6.4, 7.0):  # the first may meet the ballot of `d` and only learn of it
        stage.order(moment, c, Order.START, zone="viti-a")
    stage.slow_disk(7.2, e, 1.0)
    stage.join(7.25, [d], [e])
    stage.join(9.0, [d, e], [a, b, c])
    return 11.0


def new_gateway_beside_a_cut_off_coordinator(stage: Stage) -> float:
    """`a` has been cut off from `b` and `c` for long, and is all that a gateway that starts can reach."""
    a, b, c = stage.world.slots
    stage.part(5.0, [a], [b, c])
    _new_gateway_with(stage, a, 12.0)
    return 18.0


def new_gateway_beside_a_coordinator_that_hears_nothing(stage: Stage) -> float:
    """The same, but what `a` sends still reaches the others."""
    a, b, c = stage.world.slots
    stage.cut(5.0, [b, c], [a])
    _new_gateway_with(stage, a, 12.0)
    return 18.0


def new_gateway_beside_a_coordinator_that_wakes(stage: Stage) -> float:
    """`a` stood still for 20 s; a gateway's call waits when it wakes, and is answered before any timer is looked at."""
    a = stage.world.slots[0]
    stage.freeze(5.0, a, True)
    _new_gateway_with(stage, a, 24.9)
    stage.freeze(25.0, a, False)
    return 31.0


def _new_gateway_with(stage: Stage, reached: Machine, moment: float) -> None:
    """Version 2 is acknowledged without `reached`; later a gateway starts that reaches nobody else until 4 s after."""
    others = [machine for machine in stage.world.slots if machine is not reached]
    gateway = stage.world.gateways[0]
    stage.order(3.0, others[0], Order.REPLACE, version=1)
    stage.order(6.0, others[0], Order.REPLACE, version=2)
    stage.part(moment, [gateway], others)
    stage.at(moment, gateway.end)
    stage.at(moment + 0.01, gateway.start)
    stage.join(moment + 4.0, [gateway], others)
    stage.join(moment + 5.0, [reached], others)


def half_made_change_of_members(stage: Stage) -> float:
    """`c` exchanges `a` for `d`; of the accepts only its own and that of `d` get through. Then `a` and `b` are on one
    side, `c` and `d` on the other: no more than one of the two may agree on anything.
    """
    a, b, c = stage.world.slots
    d = stage.spare(1.0)
    stage.order(3.0, b, Order.REPLACE, version=1)
    stage.part(7.9, [c], [b])
    stage.slow_disk(7.9, a, 30.0)  # its promise comes late enough for the cut before the accept
    stage.exchange(8.0, c, [b, c, d])
    stage.cut(8.03, [c], [a])
    stage.part(8.2, [a, b], [c, d])
    stage.slow_disk(8.2, a, 1.0)
    for moment in (9.0, 9.9, 10.8):
        stage.order(moment, c, Order.REPLACE, version=2)
        stage.order(moment, a, Order.START, zone="viti-a")
    stage.join(13.0, [a, b], [c, d])
    return 15.0


def newcomer_with_a_full_disk(stage: Stage) -> float:
    """`d` is to stand for `a`, which leaves in order, but its disk takes nothing for some seconds."""
    a, b, _ = stage.world.slots
    stage.order(3.0, b, Order.REPLACE, version=1)
    d = stage.spare(5.0)
    d.disk.refuses = True
    stage.at(7.0, lambda: setattr(a, "removed", True))
    stage.at(7.0, a.leave)
    stage.at(16.0, lambda: setattr(d.disk, "refuses", False))
    stage.order(20.0, b, Order.REPLACE, version=2)
    return 22.0


def address_taken_by_another(stage: Stage) -> float:
    """`c` is cut off, and the address of `b` leads it to itself: its own answers must not be taken for those of `b`."""
    a, b, c = stage.world.slots
    stage.part(5.0, [c], [a, b])
    stage.at(8.0, lambda: stage.world.network.moved.update({(c.host, b.host): c.host}))
    stage.order(11.0, c, Order.DESCRIBE)
    _new_gateway_with(stage, c, 12.0)
    stage.at(16.0, stage.world.network.moved.clear)
    return 22.0
