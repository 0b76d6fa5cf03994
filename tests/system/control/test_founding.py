"""First starts with lists of seeds that are short, overlap partly or differ; starts on folders that must not count."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from hallhitch.messages.system_pb2 import AcceptorQuery
from hallhitch.node.logs import ComponentLogger, format_fields
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.acceptor_state import MAX_NON_MEMBER_INCARNATIONS, AcceptorState
from hallhitch.planes.control.ballot import Ballot, BallotedState
from hallhitch.planes.control.membership import Membership, initial_state
from hallhitch.planes.control.proposal import FoundingConflict, Proposal
from tests.system.control.control_fleet import FOURTH, describe_config, replace_config

A, B, C, D = "10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000", FOURTH


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """All warnings and errors."""
    lines: list[str] = []
    for level in ("warning", "error"):
        monkeypatch.setattr(
            ComponentLogger, level, lambda _, event, **fields: lines.append(event + format_fields(fields))
        )
    return lines


async def first_start(fleet: CoordinatorCluster, lists: dict[str, tuple[str, ...]]) -> list[CoordinatorMachine]:
    """All machines start for the first time, each by its own list."""
    for address in lists:
        if address not in fleet.machines:
            fleet.add_machine(address)
    for address, seeds in lists.items():
        await fleet.machines[address].start(is_first_start=True, seed_addresses=seeds)
    return [fleet.machines[address] for address in lists]


@pytest.mark.parametrize("seeds", [(A,), (A, B), (A, B, C)], ids=["one", "two", "three"])
def test_short_lists_found_what_they_name_and_the_rest_join(seeds: tuple[str, ...]) -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        machines = await first_start(fleet, dict.fromkeys((A, B, C), seeds))
        await asyncio.sleep(3)
        for machine in machines:
            assert machine.plane is not None and set(machine.plane.members) == {A, B, C}
        assert await replace_config(machines[2], 1, "one") == 200
        await machines[0].wipe()
        assert await describe_config(machines[1]) == (1, "one")

    run_scenario(scene)


@pytest.mark.parametrize(
    "lists",
    [
        {A: (A, B, C), B: (A, B, C), C: (B, C, D), D: (B, C, D)},
        {A: (A, B), B: (B, C), C: (A, B, C)},
        {A: (A,), B: (A, B)},
    ],
    ids=["overlapping", "each its own", "one inside the other"],
)
def test_lists_that_differ_are_refused_by_all_who_meet_it(lists: dict[str, tuple[str, ...]], logged: list[str]) -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        machines = await first_start(fleet, lists)
        await asyncio.sleep(5)
        taken = {await replace_config(machine, 1, machine.address) for machine in machines}
        assert 200 not in taken or len({await describe_config(machine) for machine in machines}) == 1

    run_scenario(scene)
    lines = [line for line in logged if "founded with" in line]
    assert 1 <= len(lines) <= len(lists)


def test_a_proposer_that_meets_another_founding_does_not_go_on() -> None:
    own, other = initial_state((A, B, C)), initial_state((B, C, D))
    proposal = Proposal(
        Ballot(1, "a"),
        BallotedState(state=own),
        BallotedState(state=own),
        state_transitions.replace_config(1, b"x"),
        Membership.from_state(own),
    )
    for address, state in ((A, own), (C, other)):
        _, promise = AcceptorState(address, state=state).prepare(proposal.prepare_message())
        chosen = proposal.on_promise(address, promise)
    assert chosen == FoundingConflict(Membership.from_state(own), Membership.from_state(other))


@pytest.mark.parametrize(
    ("seeds", "founds"),
    [((A, B, C), False), ((), False), ((B,), False), ((A,), True)],
    ids=["all", "none", "other", "own"],
)
def test_an_empty_folder_founds_anew_only_where_the_settings_name_this_very_machine(
    seeds: tuple[str, ...], founds: bool
) -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        a = fleet.machines[A]
        fleet.seeds = seeds
        await a.start(is_first_start=False, seed_addresses=seeds)
        await asyncio.sleep(60)
        assert a.plane is not None and a.plane._acceptor.state.is_recovering is not founds
        assert await replace_config(a, 1, "alone") == (200 if founds else 503)

    run_scenario(scene)


def test_a_folder_older_than_what_the_others_know_has_no_vote(logged: list[str]) -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        a, b, c = await fleet.bootstrap()
        assert await replace_config(a, 1, "one") == 200
        old = dict(a.disk.files)
        await a.wipe()
        await a.start()
        await asyncio.sleep(1)
        assert await replace_config(b, 2, "two") == 200
        await a.kill()
        a.disk.files = old
        await c.lose_power()  # the old folder and b would be a majority
        await a.start()
        await asyncio.sleep(0.1)
        assert a.plane is not None and a.plane._acceptor.state.is_recovering
        await c.start()
        await asyncio.sleep(1)
        assert a.plane._acceptor.state.incarnations[A] == 2
        assert await describe_config(a) == (2, "two")

    run_scenario(scene)
    assert sum("data directory is outdated" in line for line in logged) == 1


def test_a_folder_of_another_machine_or_cluster_has_no_vote(logged: list[str]) -> None:
    async def scene(fleet: CoordinatorCluster, cluster: str) -> None:
        a, b, c = await fleet.bootstrap()
        assert await replace_config(a, 1, "one") == 200
        await c.kill()
        if cluster:
            node = fleet.node_settings
            fleet.node_settings = lambda address, is_first_start, seed_addresses=(): replace(  # type: ignore[method-assign]
                node(address, is_first_start, seed_addresses), cluster_name=cluster if address == C else ""
            )
        else:
            c.disk.files = dict(b.disk.files)
        assert await replace_config(a, 2, "two") == 200
        fleet.isolate(C)
        await c.start()
        await asyncio.sleep(1)
        assert c.plane is not None and c.plane._acceptor.state.is_recovering
        fleet.partitions.clear()
        await asyncio.sleep(2)
        assert await describe_config(c) == (2, "two") and c.plane._acceptor.state.incarnations[C] == 1

    for cluster in ("", "another"):
        run_scenario(lambda fleet, cluster=cluster: scene(fleet, cluster))  # type: ignore[misc]
        assert sum("not of this machine" in line for line in logged) == 1
        logged.clear()


def test_incarnations_of_machines_that_do_not_count_are_bounded() -> None:
    state = AcceptorState("a", state=initial_state("abc"))
    for one in ("b", "a", *(f"m{n}" for n in range(100))):
        state, _ = state.report(AcceptorQuery(address=one, incarnation=3))
    assert len(state.incarnations) <= MAX_NON_MEMBER_INCARNATIONS + 3
    assert state.incarnations["a"] == state.incarnations["b"] == state.incarnations["m99"] == 3


def test_the_only_member_comes_back_by_what_a_candidate_learnt() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        a, b = fleet.machines[A], fleet.machines[B]
        await a.start(is_first_start=True, seed_addresses=(A,))
        await b.start(is_first_start=False, seed_addresses=(A,))
        await asyncio.sleep(2)
        assert await replace_config(a, 1, "one") == 200
        await asyncio.sleep(2)
        await a.wipe()
        await a.start(is_first_start=False, seed_addresses=(B,))
        await asyncio.sleep(2)
        assert await describe_config(a) == (1, "one")

    run_scenario(scene, tolerated_losses=0)
