"""How long the control plane is without a majority after losses, and until its state lies on all members again.

Real coordinators' control planes in virtual time (1 ms ways, 2 ms disks, catch-up of 4 s). One event, then a second,
allowed loss as soon as the first no longer counts. Run: `python -m benchmarks.control_repair`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from hallhitch.node.errors import PeerCallError
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.membership import Membership

CATCH_UP = 4000.0  # ms, as the small sites have it
BACK = 1.0  # s until a machine that was lost is back, or its successor starts
SEEDS = 5
PATIENCE = 300.0  # ms that the caller waits before it goes on: part of the figures where it had just asked the lost one
EXTRA, SPARE = ("10.0.0.4:7000", "10.0.0.5:7000"), "10.0.0.6:7000"


@dataclass
class Figures:
    """Milliseconds, the worst of all runs."""

    first_gap: float = 0.0
    first_repair: float = 0.0
    second_gap: float = 0.0
    second_repair: float = 0.0


class Probe:
    """A caller that goes round the machines, and the longest time in which no order of it was taken."""

    def __init__(self, fleet: CoordinatorCluster) -> None:
        self._fleet, self.taken, self.longest = fleet, fleet.clock(), 0.0

    async def run(self) -> None:
        """Order after order, for ever."""
        for number in range(1_000_000):
            machines = list(self._fleet.machines.values())
            first = number % len(machines)
            for machine in machines[first:] + machines[:first]:
                if machine.plane is None:
                    continue
                try:
                    await machine.plane.propose(state_transitions.annotate("probe", f"{number}"), PATIENCE)
                except PeerCallError:
                    continue
                at = self._fleet.clock()
                self.longest, self.taken = max(self.longest, at - self.taken), at
                break
            await asyncio.sleep(0.01)


async def repaired(fleet: CoordinatorCluster) -> float:
    """How long until all members hold what was agreed at this moment (ms)."""
    began = fleet.clock()
    planes = [machine.plane for machine in fleet.machines.values() if machine.plane is not None]
    serial = max(plane.committed_state.serial for plane in planes)
    await asyncio.sleep(0.001)
    while not _on_all(fleet, serial):
        await asyncio.sleep(0.01)
        assert fleet.clock() - began < 60_000, "never repaired"
    return fleet.clock() - began


def _on_all(fleet: CoordinatorCluster, serial: int) -> bool:
    planes = [machine.plane for machine in fleet.machines.values() if machine.plane is not None]
    newest = max((plane.committed_state for plane in planes), key=lambda value: value.serial)
    for address in Membership.from_state(newest).all_members:
        plane = fleet.machines[address].plane
        if plane is None or plane._acceptor.state.is_recovering or plane._acceptor.state.state.serial < serial:
            return False
    return True


async def crash(fleet: CoordinatorCluster, lost: CoordinatorMachine) -> None:
    """The process ends and comes back."""
    await lost.kill()
    await asyncio.sleep(BACK)
    await lost.start()


async def wipe(fleet: CoordinatorCluster, lost: CoordinatorMachine) -> None:
    """The machine comes back without its disk."""
    await lost.wipe()
    await asyncio.sleep(BACK)
    await lost.start()


async def exchange(fleet: CoordinatorCluster, lost: CoordinatorMachine) -> None:
    """The machine is gone for good; an empty one comes at another address."""
    await lost.wipe()
    await asyncio.sleep(BACK)
    await fleet.add_machine(SPARE).start()


async def planned(fleet: CoordinatorCluster, lost: CoordinatorMachine) -> None:
    """An empty one comes at another address, then SIGTERM."""
    await fleet.add_machine(SPARE).start()
    await asyncio.sleep(BACK)
    await lost.terminate()


async def leave(fleet: CoordinatorCluster, lost: CoordinatorMachine) -> None:
    """SIGTERM where no other is there; the machine comes back."""
    await lost.terminate()
    await asyncio.sleep(BACK)
    await lost.start()


async def run(
    fleet: CoordinatorCluster,
    event: Callable[[CoordinatorCluster, CoordinatorMachine], Awaitable[None]],
    figures: Figures,
) -> None:
    """One run: the event, its repair, the second loss, its repair."""
    plain = fleet.node_settings
    fleet.node_settings = lambda *asked: _quick(plain(*asked))  # type: ignore[method-assign]
    machines = await fleet.bootstrap(*(EXTRA if fleet.tolerated_losses == 2 else ()))
    await asyncio.sleep(5)
    plane = machines[0].plane
    assert plane is not None
    await plane.propose(state_transitions.annotate("probe", ""), PATIENCE)
    await asyncio.sleep(2)
    probe = Probe(fleet)
    probing = asyncio.ensure_future(probe.run())
    for at, loss in enumerate((event, crash)):
        probe.longest = 0.0
        lost = machines[at] if at == 0 else machines[-1]
        began = fleet.clock()
        done = asyncio.ensure_future(loss(fleet, lost))
        await asyncio.sleep(0.01)
        repair = await repaired(fleet)
        await done
        repair = max(repair, await repaired(fleet))
        await asyncio.sleep(max(0.0, BACK + CATCH_UP / 1000 - (fleet.clock() - began) / 1000))
        _note(figures, at, probe.longest, repair)
    probing.cancel()


def _quick(node: NodeSettings) -> NodeSettings:
    return replace(node, bounds=replace(node.bounds, catch_up_ms=CATCH_UP))


def _note(figures: Figures, at: int, gap: float, repair: float) -> None:
    if at == 0:
        figures.first_gap, figures.first_repair = max(figures.first_gap, gap), max(figures.first_repair, repair)
    else:
        figures.second_gap, figures.second_repair = max(figures.second_gap, gap), max(figures.second_repair, repair)


def main() -> None:
    """The table."""
    print("ms, worst of", SEEDS, "runs   no order taken  on all again  after a second loss  on all again")
    for losses in (1, 2):
        for event in (crash, exchange, planned, leave, wipe):
            figures = Figures()
            for seed in range(SEEDS):
                run_scenario(partial(run, event=event, figures=figures), seed, tolerated_losses=losses)
            print(
                f"{losses} losses, {event.__name__:9} {figures.first_gap:14.0f} {figures.first_repair:13.0f}"
                f" {figures.second_gap:20.0f} {figures.second_repair:13.0f}"
            )


if __name__ == "__main__":
    main()
