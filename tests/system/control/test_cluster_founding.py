"""Tests of first starts with short or different seed lists, and of starts on data directories that have no vote."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from hallhitch.messages.system_pb2 import AcceptorQuery
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.acceptor_state import MAX_NON_MEMBER_INCARNATIONS, AcceptorState
from hallhitch.planes.control.ballot import Ballot, BallotedState
from hallhitch.planes.control.membership import Membership, initial_state
from hallhitch.planes.control.proposal import BootstrapConflict, Proposal
from tests.system.control.operator_calls import FIRST, FOURTH, SECOND, THIRD, describe_config, replace_config


async def start_for_the_first_time(
    cluster: CoordinatorCluster, seeds_by_machine: dict[str, tuple[str, ...]]
) -> list[CoordinatorMachine]:
    """Start all machines for the first time, each with its own list of seeds."""
    for address in seeds_by_machine:
        if address not in cluster.machines:
            cluster.add_machine(address)
    for address, seeds in seeds_by_machine.items():
        await cluster.machines[address].start(is_first_start=True, seed_addresses=seeds)
    return [cluster.machines[address] for address in seeds_by_machine]


@pytest.mark.parametrize("seeds", [(FIRST,), (FIRST, SECOND), (FIRST, SECOND, THIRD)], ids=["one", "two", "three"])
def test_few_seeds_bootstrap_the_cluster_and_other_machines_join(seeds: tuple[str, ...]) -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await start_for_the_first_time(cluster, dict.fromkeys((FIRST, SECOND, THIRD), seeds))
        await asyncio.sleep(3)
        for machine in machines:
            assert machine.plane is not None and set(machine.plane.members) == {FIRST, SECOND, THIRD}
        assert await replace_config(machines[2], 1, "one") == 200
        await machines[0].wipe()
        assert await describe_config(machines[1]) == (1, "one")

    run_scenario(scenario)


@pytest.mark.parametrize(
    "seeds_by_machine",
    [
        {
            FIRST: (FIRST, SECOND, THIRD),
            SECOND: (FIRST, SECOND, THIRD),
            THIRD: (SECOND, THIRD, FOURTH),
            FOURTH: (SECOND, THIRD, FOURTH),
        },
        {FIRST: (FIRST, SECOND), SECOND: (SECOND, THIRD), THIRD: (FIRST, SECOND, THIRD)},
        {FIRST: (FIRST,), SECOND: (FIRST, SECOND)},
    ],
    ids=["overlapping", "all different", "one inside the other"],
)
def test_different_seed_lists_are_reported_and_never_bootstrap_two_clusters(
    seeds_by_machine: dict[str, tuple[str, ...]], logged_lines: list[str]
) -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await start_for_the_first_time(cluster, seeds_by_machine)
        await asyncio.sleep(5)
        statuses = {await replace_config(machine, 1, machine.address) for machine in machines}
        assert 200 not in statuses or len({await describe_config(machine) for machine in machines}) == 1

    run_scenario(scenario)
    conflicts = [line for line in logged_lines if "bootstrapped with" in line]
    assert 1 <= len(conflicts) <= len(seeds_by_machine)


def test_proposal_stops_at_a_promise_from_another_bootstrap() -> None:
    own = initial_state((FIRST, SECOND, THIRD))
    conflicting = initial_state((SECOND, THIRD, FOURTH))
    proposal = Proposal(
        Ballot(1, "a"),
        BallotedState(state=own),
        BallotedState(state=own),
        state_transitions.replace_config(1, b"x"),
        Membership.from_state(own),
    )
    for address, state in ((FIRST, own), (THIRD, conflicting)):
        _, promise = AcceptorState(address, state=state).prepare(proposal.prepare_message())
        outcome = proposal.on_promise(address, promise)
    assert outcome == BootstrapConflict(Membership.from_state(own), Membership.from_state(conflicting))


@pytest.mark.parametrize(
    ("seeds", "is_bootstrapped"),
    [((FIRST, SECOND, THIRD), False), ((), False), ((SECOND,), False), ((FIRST,), True)],
    ids=["all", "none", "another", "own"],
)
def test_empty_directory_bootstraps_a_cluster_only_if_this_machine_is_the_only_seed(
    seeds: tuple[str, ...], is_bootstrapped: bool
) -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first = cluster.machines[FIRST]
        cluster.seeds = seeds
        await first.start(is_first_start=False, seed_addresses=seeds)
        await asyncio.sleep(60)
        assert first.plane is not None and first.plane._acceptor.state.is_recovering is not is_bootstrapped
        assert await replace_config(first, 1, "alone") == (200 if is_bootstrapped else 503)

    run_scenario(scenario)


def test_outdated_data_directory_has_no_vote(logged_lines: list[str]) -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        assert await replace_config(first, 1, "one") == 200
        outdated_files = dict(first.disk.files)
        await first.wipe()
        await first.start()
        await asyncio.sleep(1)
        assert await replace_config(second, 2, "two") == 200
        await first.kill()
        first.disk.files = outdated_files
        await third.lose_power()  # the outdated replica and the second one would be a majority
        await first.start()
        await asyncio.sleep(0.1)
        assert first.plane is not None and first.plane._acceptor.state.is_recovering
        await third.start()
        await asyncio.sleep(1)
        assert first.plane._acceptor.state.incarnations[FIRST] == 2
        assert await describe_config(first) == (2, "two")

    run_scenario(scenario)
    assert sum("data directory is outdated" in line for line in logged_lines) == 1


def test_data_directory_of_another_machine_or_cluster_has_no_vote(logged_lines: list[str]) -> None:
    async def scenario(cluster: CoordinatorCluster, cluster_name: str) -> None:
        first, second, third = await cluster.bootstrap()
        assert await replace_config(first, 1, "one") == 200
        await third.kill()
        if cluster_name:
            node_settings = cluster.node_settings
            cluster.node_settings = lambda address, is_first_start, seed_addresses=(): replace(  # type: ignore[method-assign]
                node_settings(address, is_first_start, seed_addresses),
                cluster_name=cluster_name if address == THIRD else "",
            )
        else:
            third.disk.files = dict(second.disk.files)
        assert await replace_config(first, 2, "two") == 200
        cluster.isolate(THIRD)
        await third.start()
        await asyncio.sleep(1)
        assert third.plane is not None and third.plane._acceptor.state.is_recovering
        cluster.partitions.clear()
        await asyncio.sleep(2)
        assert await describe_config(third) == (2, "two") and third.plane._acceptor.state.incarnations[THIRD] == 1

    for cluster_name in ("", "another"):
        run_scenario(partial(scenario, cluster_name=cluster_name))
        assert sum("not of this machine" in line for line in logged_lines) == 1
        logged_lines.clear()


def test_number_of_stored_incarnations_of_non_members_is_bounded() -> None:
    state = AcceptorState("a", state=initial_state("abc"))
    for address in ("b", "a", *(f"m{n}" for n in range(100))):
        state, _ = state.report(AcceptorQuery(address=address, incarnation=3))
    assert len(state.incarnations) <= MAX_NON_MEMBER_INCARNATIONS + 3
    assert state.incarnations["a"] == state.incarnations["b"] == state.incarnations["m99"] == 3


def test_only_member_recovers_its_state_from_a_candidate() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second = cluster.machines[FIRST], cluster.machines[SECOND]
        await first.start(is_first_start=True, seed_addresses=(FIRST,))
        await second.start(is_first_start=False, seed_addresses=(FIRST,))
        await asyncio.sleep(2)
        assert await replace_config(first, 1, "one") == 200
        await asyncio.sleep(2)
        await first.wipe()
        await first.start(is_first_start=False, seed_addresses=(SECOND,))
        await asyncio.sleep(2)
        assert await describe_config(first) == (1, "one")

    run_scenario(scenario, tolerated_losses=0)
