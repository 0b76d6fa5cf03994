"""How long no order is accepted after a machine is lost, and until all members hold the state again.

Real coordinators' control planes in virtual time (links of 1 ms, disks of 2 ms, catch-up of 4 s): one event, then the
crash of another member as soon as the first no longer counts as a loss. Prints the worst of all seeds.

    python -m benchmarks.control_repair
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, replace
from functools import partial
from typing import Annotated, Final

from benchmarks.measuring import BenchmarkError, print_table
from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from hallhitch.node.errors import PeerCallError
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.plane import ControlPlane

CATCH_UP_MS: Final = 4000.0  # as the small sites have it
DOWNTIME_S: Final = 1.0  # until a lost machine is back, or its successor starts
SEEDS: Final = 5
ORDER_TIMEOUT_MS: Final = 300.0  # of the probing caller: part of a gap where it had just called the lost machine
ORDER_INTERVAL_S: Final = 0.01
POLL_INTERVAL_S: Final = 0.01
FORMATION_S: Final = 5.0  # until the cluster is formed
FIRST_COMMIT_S: Final = 2.0  # until the first order is on all members
REPAIR_TIMEOUT_MS: Final = 60_000.0
ADDITIONAL_MEMBERS: Final = ("10.0.0.4:7000", "10.0.0.5:7000")  # where two losses are tolerated
SPARE_ADDRESS: Final = "10.0.0.6:7000"


@dataclass(frozen=True, slots=True)
class LossTimes:
    """Longest gap between accepted orders, and time until all members hold the state, after one loss."""

    gap_ms: float = 0.0
    repair_ms: float = 0.0

    def worst(self, times: LossTimes) -> LossTimes:
        """Return the worse of each figure."""
        return LossTimes(max(self.gap_ms, times.gap_ms), max(self.repair_ms, times.repair_ms))


@dataclass(frozen=True, slots=True)
class RepairTimes:
    """A row of the table, in ms."""

    case: Annotated[str, "losses tolerated, event"]
    first_gap_ms: Annotated[int, "no order accepted"]
    first_repair_ms: Annotated[int, "on all members again"]
    second_gap_ms: Annotated[int, "after a second loss"]
    second_repair_ms: Annotated[int, "on all members again"]


class CatchUpCluster(CoordinatorCluster):
    """A cluster whose members catch up within `CATCH_UP_MS`."""

    def node_settings(self, address: str, is_first_start: bool, seed_addresses: tuple[str, ...] = ()) -> NodeSettings:
        """Return the settings of one machine with this benchmark's bound."""
        node = super().node_settings(address, is_first_start, seed_addresses)
        return replace(node, bounds=replace(node.bounds, catch_up_ms=CATCH_UP_MS))


class OrderProbe:
    """A caller that sends order after order, each to the next machine, and records the longest gap."""

    def __init__(self, cluster: CoordinatorCluster) -> None:
        self._cluster = cluster
        self._last_accepted_ms = cluster.clock()
        self.longest_gap_ms = 0.0

    async def run(self) -> None:
        """Send orders until cancelled."""
        for number in itertools.count():
            machines = list(self._cluster.machines.values())
            first = number % len(machines)
            await self._send_to_any(machines[first:] + machines[:first], number)
            await asyncio.sleep(ORDER_INTERVAL_S)

    async def _send_to_any(self, machines: list[CoordinatorMachine], number: int) -> None:
        for machine in machines:
            if machine.plane is None:
                continue
            try:
                await machine.plane.propose(state_transitions.annotate("probe", f"{number}"), ORDER_TIMEOUT_MS)
            except PeerCallError:
                continue
            now_ms = self._cluster.clock()
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self._last_accepted_ms)
            self._last_accepted_ms = now_ms
            return


def running_planes(cluster: CoordinatorCluster) -> list[ControlPlane]:
    """Return the control planes of all machines that run."""
    return [machine.plane for machine in cluster.machines.values() if machine.plane is not None]


async def wait_for_repair(cluster: CoordinatorCluster) -> float:
    """Return the ms until all members hold what is committed at this moment.

    Raises:
        BenchmarkError: that takes longer than `REPAIR_TIMEOUT_MS`.
    """
    started_ms = cluster.clock()
    serial = max(plane.committed_state.serial for plane in running_planes(cluster))
    await asyncio.sleep(0.001)
    while not _is_on_all_members(cluster, serial):
        await asyncio.sleep(POLL_INTERVAL_S)
        if cluster.clock() - started_ms >= REPAIR_TIMEOUT_MS:
            raise BenchmarkError(f"state {serial} is not on all members after {REPAIR_TIMEOUT_MS:.0f} ms")
    return cluster.clock() - started_ms


def _is_on_all_members(cluster: CoordinatorCluster, serial: int) -> bool:
    newest = max((plane.committed_state for plane in running_planes(cluster)), key=lambda state: state.serial)
    for address in Membership.from_state(newest).all_members:
        plane = cluster.machines[address].plane
        if plane is None:
            return False
        acceptor_state = plane._acceptor.state
        if acceptor_state.is_recovering or acceptor_state.state.serial < serial:
            return False
    return True


async def crash(cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Kill the process and restart it."""
    await machine.kill()
    await asyncio.sleep(DOWNTIME_S)
    await machine.start()


async def lose_disk(cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Kill the process and restart it without its disk."""
    await machine.wipe()
    await asyncio.sleep(DOWNTIME_S)
    await machine.start()


async def replace_lost(cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Lose the machine for good; an empty one starts at another address."""
    await machine.wipe()
    await asyncio.sleep(DOWNTIME_S)
    await cluster.add_machine(SPARE_ADDRESS).start()


async def replace_planned(cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Start an empty machine at another address, then terminate this one gracefully."""
    await cluster.add_machine(SPARE_ADDRESS).start()
    await asyncio.sleep(DOWNTIME_S)
    await machine.terminate()


async def restart_gracefully(cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Terminate the machine gracefully with no candidate to take its place, then restart it."""
    await machine.terminate()
    await asyncio.sleep(DOWNTIME_S)
    await machine.start()


Event = Callable[[CoordinatorCluster, CoordinatorMachine], Awaitable[None]]
EVENTS: Final[dict[str, Event]] = {
    "crash": crash,
    "replacement": replace_lost,
    "planned replacement": replace_planned,
    "graceful restart": restart_gracefully,
    "disk loss": lose_disk,
}


async def run_losses(cluster: CoordinatorCluster, event: Event) -> tuple[LossTimes, LossTimes]:
    """Return the times of the event, and of the crash of another member after its repair."""
    additional_members = ADDITIONAL_MEMBERS if cluster.tolerated_losses == 2 else ()
    machines = await cluster.bootstrap(*additional_members)
    await asyncio.sleep(FORMATION_S)
    await running_planes(cluster)[0].propose(state_transitions.annotate("probe", ""), ORDER_TIMEOUT_MS)
    await asyncio.sleep(FIRST_COMMIT_S)
    probe = OrderProbe(cluster)
    probe_task = asyncio.ensure_future(probe.run())
    try:
        first = await _run_loss(cluster, probe, event, machines[0])
        second = await _run_loss(cluster, probe, crash, machines[-1])
    finally:
        probe_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await probe_task
    return first, second


async def _run_loss(
    cluster: CoordinatorCluster, probe: OrderProbe, event: Event, machine: CoordinatorMachine
) -> LossTimes:
    """Return the times of one loss, once it no longer counts as one."""
    probe.longest_gap_ms = 0.0
    started_ms = cluster.clock()
    event_task = asyncio.ensure_future(event(cluster, machine))
    await asyncio.sleep(POLL_INTERVAL_S)
    repair_ms = await wait_for_repair(cluster)
    await event_task
    repair_ms = max(repair_ms, await wait_for_repair(cluster))
    elapsed_s = (cluster.clock() - started_ms) / 1000
    await asyncio.sleep(max(0.0, DOWNTIME_S + CATCH_UP_MS / 1000 - elapsed_s))
    return LossTimes(probe.longest_gap_ms, repair_ms)


def measure_all() -> Iterator[RepairTimes]:
    """Yield the row of each event, for one and two tolerated losses."""
    for losses, (name, event) in itertools.product((1, 2), EVENTS.items()):
        first, second = LossTimes(), LossTimes()
        for seed in range(SEEDS):
            times = run_scenario(
                partial(run_losses, event=event), seed, cluster_type=CatchUpCluster, tolerated_losses=losses
            )
            first, second = first.worst(times[0]), second.worst(times[1])
        yield RepairTimes(
            f"{losses}, {name}",
            first_gap_ms=round(first.gap_ms),
            first_repair_ms=round(first.repair_ms),
            second_gap_ms=round(second.gap_ms),
            second_repair_ms=round(second.repair_ms),
        )


def main() -> None:
    """Print the table."""
    print_table(f"Repair after losses, ms, worst of {SEEDS} runs", RepairTimes, measure_all())


if __name__ == "__main__":
    main()
