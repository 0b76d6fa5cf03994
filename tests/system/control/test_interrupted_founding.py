"""A first start that faults interrupt: the cluster is founded all the same, and never a second time after its use.

HALLHITCH_FOUNDING_SEEDS sets the number of drawn first starts.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Sequence

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from hallhitch.messages.system_pb2 import AcceptorReport, Prepare
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import initial_state
from hallhitch.planes.control.recovery_quorum import RecoveryQuorum
from tests.system.control.operator_calls import FIRST, FOURTH, SECOND, THIRD, describe_config, replace_config

SEED_COUNT = int(os.environ.get("HALLHITCH_FOUNDING_SEEDS", "60"))
SHARD_COUNT = 20
ACKNOWLEDGED_WITHIN_S = 11.0  # contactWindow and ackTimeout of the operators
MEMBERS = (FIRST, SECOND, THIRD)


async def acknowledge(machines: Sequence[CoordinatorMachine], version: int) -> bool:
    """Send a configuration to one machine after the other until it is acknowledged; return whether it was in time."""
    try:
        async with asyncio.timeout(ACKNOWLEDGED_WITHIN_S):
            while True:
                for machine in machines:
                    if machine.operator is not None and await replace_config(machine, version, f"v{version}") == 200:
                        return True
                    await asyncio.sleep(0.1)
    except TimeoutError:
        return False


async def start_again(machines: Sequence[CoordinatorMachine]) -> None:
    await asyncio.gather(*(machine.start(is_first_start=False) for machine in machines))


# Guards against a cluster that is never founded, because its zone was lost during the first start (review/3).
@pytest.mark.parametrize("empty", [(FIRST, SECOND), (SECOND, THIRD), MEMBERS], ids=["two", "other two", "all"])
def test_cluster_is_founded_although_most_members_come_back_empty(empty: tuple[str, ...]) -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = [cluster.machines[address] for address in MEMBERS]
        for machine in machines:
            if machine.address not in empty:
                await machine.start(is_first_start=True)
        await asyncio.sleep(1.5)
        await start_again([machine for machine in machines if machine.address in empty])
        assert await acknowledge(machines, 1)
        await asyncio.sleep(3)
        for machine in machines:
            assert await describe_config(machine) == (1, "v1")

    run_scenario(scenario)


@pytest.mark.parametrize("wiped", [(FIRST, SECOND), (FIRST, THIRD)])
def test_members_that_lose_their_disks_after_use_found_no_second_cluster(wiped: tuple[str, ...]) -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await cluster.bootstrap()
        assert await acknowledge(machines, 1)
        lost = [cluster.machines[address] for address in wiped]
        for machine in lost:
            await machine.wipe()
        await start_again(lost)
        await asyncio.sleep(60)
        for machine in machines:
            assert await replace_config(machine, 2, "second") == 503

    run_scenario(scenario)


def test_cluster_of_which_a_peer_knows_a_state_is_not_founded_again() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = [cluster.machines[address] for address in MEMBERS]
        await start_again(machines)
        assert machines[1].plane is not None
        machines[1].plane.record_use()  # as if a gateway with a configuration had asked it for a newer one
        await asyncio.sleep(60)
        assert [await replace_config(machine, 1, "x") for machine in machines] == [503] * 3

    run_scenario(scenario)


def test_member_that_is_lost_at_the_first_start_delays_the_first_change_only_while_others_start() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = [cluster.machines[address] for address in (FIRST, SECOND)]
        for machine in machines:
            await machine.start(is_first_start=True)
        assert await acknowledge(machines, 1)
        assert cluster.clock() < 6000

    run_scenario(scenario)


async def _interrupted_first_start(cluster: CoordinatorCluster) -> None:
    """Kill some of the machines, up to all of them, in the first second, several times; no disk is lost."""
    rng, machines = cluster.rng, list(cluster.machines.values())
    for machine in machines:
        machine.write_duration_ms = rng.choice((0.5, 5.0, 80.0, 300.0))
    starts = [asyncio.ensure_future(machine.start(is_first_start=True)) for machine in machines]
    acknowledged = 0
    for version in range(1, rng.choice((2, 3, 4))):
        order = asyncio.ensure_future(replace_config(rng.choice(machines), version, f"v{version}"))
        await asyncio.sleep(rng.choice((0.002, 0.02, 0.2, 1.0, 4.0)) * rng.random())
        hit = rng.sample(machines, rng.randrange(1, len(machines) + 1))
        for machine in hit:
            await (machine.lose_power() if rng.random() < 0.5 else machine.kill())
        await asyncio.sleep(rng.choice((0.1, 1.5, 6.0)) * rng.random())
        await start_again(hit)
        if order.done() and not order.cancelled() and order.exception() is None and order.result() == 200:
            acknowledged = version
        order.cancel()
    for start in starts:
        start.cancel()
    for machine in machines:
        machine.write_duration_ms = 2.0
    assert await acknowledge(machines, 10), "no acknowledgement"
    for machine in machines:
        version, mark = await describe_config(machine) if await machine_confirms(machine) else (10, "v10")
        assert version >= acknowledged and mark == f"v{version}"


async def machine_confirms(machine: CoordinatorMachine) -> bool:
    return machine.plane is not None and await machine.plane.confirm(1000)


@pytest.mark.parametrize("shard", range(SHARD_COUNT))
@pytest.mark.parametrize("members", [3, 5])
def test_cluster_is_founded_after_kills_at_any_moment_of_the_first_start(shard: int, members: int) -> None:
    for seed in range(shard, SEED_COUNT, SHARD_COUNT):
        try:
            run_scenario(
                _interrupted_first_start,
                seed,
                tolerated_losses=(members - 1) // 2,
                initial_members=members,
                link_delay_ms=random.Random(seed).choice((1.0, 35.0)),
            )
        except Exception as error:
            raise AssertionError(f"seed {seed}, {members} members: {error!r}") from error


def test_reports_prove_that_a_cluster_was_never_in_use_only_if_no_member_has_voted() -> None:
    unvoted = AcceptorReport(ok=True, state=initial_state(MEMBERS), is_empty=True)
    empty = AcceptorReport(is_empty=True)
    voted, recovering = AcceptorReport(ok=True, state=initial_state(MEMBERS)), AcceptorReport()

    def unused(**reports: AcceptorReport) -> tuple[str, ...]:
        quorum = RecoveryQuorum(FIRST)
        for name, report in reports.items():
            quorum.add_report({"second": SECOND, "third": THIRD, "fourth": FOURTH}[name], report)
        return quorum.unused_members(MEMBERS)

    assert unused(second=empty, third=unvoted) == unused(second=empty, third=empty) == MEMBERS
    assert unused(second=empty) == unused(second=empty, third=recovering) == unused(second=empty, third=voted) == ()
    assert unused(second=empty, third=empty, fourth=voted) == ()
    assert RecoveryQuorum(FOURTH).unused_members(MEMBERS) == ()


def test_promise_is_a_vote_and_a_recovering_replica_with_a_damaged_disk_may_have_voted() -> None:
    fresh = AcceptorState(FIRST, state=initial_state(MEMBERS))
    assert fresh.has_never_voted
    after, _ = fresh.prepare(Prepare(ballot=Ballot(1, "a").to_message()))
    assert not after.has_never_voted
    assert not AcceptorState(FIRST, is_recovering=True).has_never_voted
    assert AcceptorState(FIRST, is_recovering=True, is_disk_empty=True).has_never_voted
