"""Machines exchanged, leaving, lost in the middle of it: orders are taken, and what was acknowledged stays."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from typing import Any

import pytest

from hallhitch.lab.simulation.coordinator_cluster import (
    FORMER_LEASE_MS,
    CoordinatorCluster,
    CoordinatorMachine,
    run_scenario,
)
from tests.system.control.control_fleet import CATCH_UP_S, FIFTH, FOURTH, SPARE, describe_config, replace_config

READY = 1.0  # s in which a machine that comes is to be a candidate
STEPS = range(0, 72, 3)  # messages: an exchange takes some fifty


async def ordered(machines: list[CoordinatorMachine], version: int, within: float) -> None:
    """Some machine takes the order, as a caller that goes round finds it."""
    ends = machines[0].cluster.clock() + within * 1000
    while machines[0].cluster.clock() < ends:
        for machine in machines:
            if machine.operator is not None and await replace_config(machine, version, f"v{version}") == 200:
                return
        await asyncio.sleep(0.05)
    raise AssertionError(f"version {version} was not taken within {within} s")


def members(machine: CoordinatorMachine) -> set[str]:
    """Who counts, as this one knows it."""
    assert machine.plane is not None
    return set(machine.plane.members)


async def founded(fleet: CoordinatorCluster) -> tuple[list[CoordinatorMachine], CoordinatorMachine]:
    """As many members as the losses need, and a candidate that is ready."""
    machines = await fleet.bootstrap(*([FOURTH, FIFTH] if fleet.tolerated_losses == 2 else []))
    await asyncio.sleep(2)
    await ordered(machines, 1, 1)
    await asyncio.sleep(2)  # a change of members ends for leases as well
    assert members(machines[0]) == {machine.address for machine in machines}
    spare = fleet.add_machine(SPARE)
    await spare.start(seed_addresses=tuple(machine.address for machine in machines[:3]))
    await asyncio.sleep(READY)
    return machines, spare


@pytest.mark.parametrize("losses", [1, 2])
def test_the_allowed_losses_right_after_a_planned_exchange(losses: int) -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        (leaver, *stay), spare = await founded(fleet)
        began = fleet.clock()
        await leaver.terminate()
        assert fleet.clock() - began < FORMER_LEASE_MS + 800  # for leases it ends a LEASE after it was agreed
        assert members(spare) == {machine.address for machine in (*stay, spare)}
        for machine in stay[:losses]:
            await machine.lose_power()
        await ordered([stay[-1], spare], 2, 0.5)
        assert await describe_config(spare) == (2, "v2")

    for seed in range(3):
        run_scenario(scene, seed, tolerated_losses=losses)


@pytest.mark.parametrize("losses", [1, 2])
def test_disks_lost_right_after_an_exchange(losses: int) -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        (leaver, *stay), spare = await founded(fleet)
        await ordered([leaver], 2, 0.5)
        await leaver.terminate()
        lost = [spare, *stay][:losses]
        for machine in lost:
            await machine.wipe()
        kept = [machine for machine in (*stay, spare) if machine not in lost]
        assert await describe_config(kept[0]) == (2, "v2")
        for machine in lost:
            await machine.start(seed_addresses=tuple(machine.address for machine in kept))
        await asyncio.sleep(READY)
        await ordered(lost, 3, 0.5)
        for machine in kept[:losses]:  # those that came back hold it and vote
            await machine.lose_power()
        assert await describe_config(lost[0]) == (3, "v3")

    for seed in range(3):
        run_scenario(scene, seed, tolerated_losses=losses)


def struck(
    fleet: CoordinatorCluster,
    step: int,
    strike: Callable[[], Coroutine[Any, Any, None]],
    change: Coroutine[Any, Any, None],
) -> asyncio.Task[None]:
    """The change begins, and at its so many-th message something happens."""
    fleet.message_faults = {fleet.message_count + 1 + step: strike}
    return asyncio.ensure_future(change)


@pytest.mark.parametrize("losses", [1, 2])
def test_a_planned_exchange_bears_the_allowed_losses_at_every_step(losses: int) -> None:
    async def scene(fleet: CoordinatorCluster, step: int, first: int) -> None:
        (leaver, *stay), spare = await founded(fleet)
        victims = [(*stay, spare)[(first + n) % (len(stay) + 1)] for n in range(losses)]

        async def strike() -> None:
            for machine in victims:
                await machine.lose_power()

        leaving = struck(fleet, step, strike, leaver.terminate())
        live = [machine for machine in (*stay, spare) if machine not in victims]
        await ordered(live, 2, 1.0)
        await leaving
        fleet.message_faults = {}
        await ordered(live, 3, 1.5)
        for machine in victims:
            await machine.lose_power()
            await machine.start()
        await asyncio.sleep(CATCH_UP_S)
        await ordered([*victims, *live], 4, 0.5)
        assert members(live[0]) >= {machine.address for machine in stay}
        assert len(members(live[0])) == 2 * losses + 1

    for step in STEPS:
        for first in range(3):
            run_scenario(partial(scene, step=step, first=first), step, tolerated_losses=losses)


def test_a_member_that_dies_at_any_step_of_its_leaving_is_exchanged_all_the_same() -> None:
    async def scene(fleet: CoordinatorCluster, step: int) -> None:
        (leaver, *stay), spare = await founded(fleet)
        leaving = struck(fleet, step, leaver.lose_power, leaver.terminate())
        await ordered([*stay, spare], 2, 1.0)
        await asyncio.sleep(CATCH_UP_S)
        await asyncio.wait([leaving])
        assert members(spare) == {machine.address for machine in (*stay, spare)}
        await stay[0].lose_power()
        assert await describe_config(spare) == (2, "v2")
        await ordered([spare], 3, 0.5)

    for step in STEPS:
        run_scenario(partial(scene, step=step), step)


def test_an_exchange_of_a_lost_machine_keeps_all_at_a_loss_of_power_at_every_step() -> None:
    async def scene(fleet: CoordinatorCluster, step: int, victim: int) -> None:
        (lost, *stay), spare = await founded(fleet)
        await ordered([lost], 2, 0.5)
        hit = (*stay, spare)[victim]

        async def strike() -> None:
            await hit.lose_power()

        await lost.wipe()
        silence = fleet.node_settings(lost.address, False).bounds.catch_up_ms / 2
        await asyncio.sleep(silence / 1000 - 0.1)
        await struck(fleet, step, strike, asyncio.sleep(1.5))
        fleet.message_faults = {}
        if hit.plane is None:
            await hit.start()
        await asyncio.sleep(CATCH_UP_S)
        assert members(spare) == {machine.address for machine in (*stay, spare)}
        await stay[victim % 2].lose_power()
        assert await describe_config(spare) == (2, "v2")
        await ordered([spare], 3, 0.5)

    for step in STEPS:
        for victim in range(3):
            run_scenario(partial(scene, step=step, victim=victim), step)


def test_without_a_candidate_a_member_leaves_what_it_holds_and_stays_a_member() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        a, b, c = await fleet.bootstrap()
        await ordered([a], 1, 1)
        fleet.isolate(c.address)
        await ordered([a], 2, 1)
        fleet.partitions.clear()
        began = fleet.clock()
        await a.terminate()
        assert fleet.clock() - began < 1000
        await b.lose_power()  # one more than is to be borne: only c could tell now
        assert c.plane is not None and c.plane._acceptor.state.state.config_version == 2
        await b.start()
        await asyncio.sleep(1)
        assert members(b) == {a.address, b.address, c.address}
        assert await describe_config(c) == (2, "v2")
        await a.start()
        await asyncio.sleep(1)
        await ordered([a], 3, 0.5)

    run_scenario(scene)


def test_a_set_larger_than_needed_shrinks_where_no_candidate_is() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        machines = await fleet.bootstrap(FOURTH, FIFTH)
        await asyncio.sleep(4)
        for machine in machines:  # the settings ask for less from now on
            assert machine.plane is not None
            machine.plane.apply_settings(
                replace(fleet.node_settings(machine.address, False), tolerated_machine_losses=1)
            )
        a, *rest = machines
        await a.terminate()
        live = [machine for machine in rest if machine.address in members(rest[0])]
        assert len(members(rest[0])) == 3 == len(live)
        await live[0].wipe()
        await ordered(live[1:], 2, 0.5)

    run_scenario(scene, tolerated_losses=2)


def test_more_machines_than_needed_follow_and_one_that_was_exchanged_comes_back_as_one_of_them() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        (a, b, c), spare = await founded(fleet)
        assert members(spare) == {a.address, b.address, c.address}
        for version in range(2, 9):
            await ordered([b], version, 0.5)
        await asyncio.sleep(READY)
        assert spare.plane is not None and spare.plane._acceptor.state.state.config_version == 8
        await a.terminate()
        await a.start()
        await asyncio.sleep(CATCH_UP_S)
        assert members(a) == members(spare) == {b.address, c.address, SPARE}
        await c.wipe()
        await asyncio.sleep(CATCH_UP_S)
        assert members(a) == {a.address, b.address, SPARE}
        assert await describe_config(a) == (8, "v8")

    run_scenario(scene)


def test_orders_are_refused_by_one_that_is_out_and_taken_by_the_others() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        (a, b, _), spare = await founded(fleet)
        leaving = asyncio.ensure_future(a.terminate())
        await asyncio.sleep(0.6)
        assert a.address not in members(b) and a.operator is not None
        assert await replace_config(a, 2, "out") == 503 and await replace_config(spare, 3, "in") == 200
        assert (await describe_config(a))[0] == 3  # it still answers what it can confirm
        await leaving

    run_scenario(scene)
