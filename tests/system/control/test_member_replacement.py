"""Replacement and departure of members, with losses in the middle of it: no acknowledged command is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from typing import Any, Final

import pytest

from hallhitch.lab.simulation.coordinator_cluster import (
    FORMER_LEASE_MS,
    CoordinatorCluster,
    CoordinatorMachine,
    run_scenario,
)
from tests.system.control.operator_calls import CATCH_UP_S, FIFTH, FOURTH, SPARE, describe_config, replace_config

CANDIDATE_AFTER_S: Final = 1.0  # time within which a machine that starts must become a candidate
FAULT_STEPS: Final = range(0, 72, 3)  # message counts at which a fault is injected; a replacement takes about fifty


async def replace_config_at_any(machines: list[CoordinatorMachine], version: int, timeout_s: float) -> None:
    """Send a configuration to the machines in turn until one acknowledges it."""
    deadline_ms = machines[0].cluster.clock() + timeout_s * 1000
    while machines[0].cluster.clock() < deadline_ms:
        for machine in machines:
            if machine.operator is not None and await replace_config(machine, version, f"v{version}") == 200:
                return
        await asyncio.sleep(0.05)
    raise AssertionError(f"no machine acknowledged configuration version {version} within {timeout_s} s")


def members_known_to(machine: CoordinatorMachine) -> set[str]:
    """Return the addresses of the members according to this machine."""
    assert machine.plane is not None
    return set(machine.plane.members)


async def start_with_candidate(cluster: CoordinatorCluster) -> tuple[list[CoordinatorMachine], CoordinatorMachine]:
    """Start as many members as the tolerated losses require, and a machine that becomes a candidate."""
    machines = await cluster.bootstrap(*([FOURTH, FIFTH] if cluster.tolerated_losses == 2 else []))
    await asyncio.sleep(2)
    await replace_config_at_any(machines, 1, 1)
    await asyncio.sleep(2)  # so that a change of members is finished for leases, too
    assert members_known_to(machines[0]) == {machine.address for machine in machines}
    spare = cluster.add_machine(SPARE)
    await spare.start(seed_addresses=tuple(machine.address for machine in machines[:3]))
    await asyncio.sleep(CANDIDATE_AFTER_S)
    return machines, spare


@pytest.mark.parametrize("losses", [1, 2])
def test_tolerated_losses_right_after_a_graceful_departure(losses: int) -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        (leaver, *remaining), spare = await start_with_candidate(cluster)
        started_ms = cluster.clock()
        await leaver.terminate()
        # The change is finished for leases only after the votes of the former members have expired.
        assert cluster.clock() - started_ms < FORMER_LEASE_MS + 800
        assert members_known_to(spare) == {machine.address for machine in (*remaining, spare)}
        for machine in remaining[:losses]:
            await machine.lose_power()
        await replace_config_at_any([remaining[-1], spare], 2, 0.5)
        assert await describe_config(spare) == (2, "v2")

    for seed in range(3):
        run_scenario(scenario, seed, tolerated_losses=losses)


@pytest.mark.parametrize("losses", [1, 2])
def test_tolerated_disks_lost_right_after_a_graceful_departure(losses: int) -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        (leaver, *remaining), spare = await start_with_candidate(cluster)
        await replace_config_at_any([leaver], 2, 0.5)
        await leaver.terminate()
        lost = [spare, *remaining][:losses]
        for machine in lost:
            await machine.wipe()
        kept = [machine for machine in (*remaining, spare) if machine not in lost]
        assert await describe_config(kept[0]) == (2, "v2")
        for machine in lost:
            await machine.start(seed_addresses=tuple(machine.address for machine in kept))
        await asyncio.sleep(CANDIDATE_AFTER_S)
        await replace_config_at_any(lost, 3, 0.5)
        for machine in kept[:losses]:  # the restarted machines hold the state and vote
            await machine.lose_power()
        assert await describe_config(lost[0]) == (3, "v3")

    for seed in range(3):
        run_scenario(scenario, seed, tolerated_losses=losses)


def begin_with_fault(
    cluster: CoordinatorCluster,
    step: int,
    inject: Callable[[], Coroutine[Any, Any, None]],
    change: Coroutine[Any, Any, None],
) -> asyncio.Task[None]:
    """Begin a change and inject a fault after `step` messages."""
    cluster.message_faults = {cluster.message_count + 1 + step: inject}
    return asyncio.ensure_future(change)


@pytest.mark.parametrize("losses", [1, 2])
def test_graceful_departure_survives_the_tolerated_losses_at_every_step(losses: int) -> None:
    async def scenario(cluster: CoordinatorCluster, step: int, first_victim: int) -> None:
        (leaver, *remaining), spare = await start_with_candidate(cluster)
        victims = [(*remaining, spare)[(first_victim + n) % (len(remaining) + 1)] for n in range(losses)]

        async def inject() -> None:
            for machine in victims:
                await machine.lose_power()

        leaving = begin_with_fault(cluster, step, inject, leaver.terminate())
        live = [machine for machine in (*remaining, spare) if machine not in victims]
        await replace_config_at_any(live, 2, 1.0)
        await leaving
        cluster.message_faults = {}
        await replace_config_at_any(live, 3, 1.5)
        for machine in victims:
            await machine.lose_power()
            await machine.start()
        await asyncio.sleep(CATCH_UP_S)
        await replace_config_at_any([*victims, *live], 4, 0.5)
        assert members_known_to(live[0]) >= {machine.address for machine in remaining}
        assert len(members_known_to(live[0])) == 2 * losses + 1

    for step in FAULT_STEPS:
        for first_victim in range(3):
            run_scenario(partial(scenario, step=step, first_victim=first_victim), step, tolerated_losses=losses)


def test_member_that_crashes_at_any_step_of_its_departure_is_replaced() -> None:
    async def scenario(cluster: CoordinatorCluster, step: int) -> None:
        (leaver, *remaining), spare = await start_with_candidate(cluster)
        leaving = begin_with_fault(cluster, step, leaver.lose_power, leaver.terminate())
        await replace_config_at_any([*remaining, spare], 2, 1.0)
        await asyncio.sleep(CATCH_UP_S)
        await asyncio.wait([leaving])
        assert members_known_to(spare) == {machine.address for machine in (*remaining, spare)}
        await remaining[0].lose_power()
        assert await describe_config(spare) == (2, "v2")
        await replace_config_at_any([spare], 3, 0.5)

    for step in FAULT_STEPS:
        run_scenario(partial(scenario, step=step), step)


def test_replacement_of_a_lost_member_survives_a_power_loss_at_every_step() -> None:
    async def scenario(cluster: CoordinatorCluster, step: int, victim: int) -> None:
        (lost, *remaining), spare = await start_with_candidate(cluster)
        await replace_config_at_any([lost], 2, 0.5)
        victim_machine = (*remaining, spare)[victim]

        async def inject() -> None:
            await victim_machine.lose_power()

        await lost.wipe()
        unresponsive_after_ms = cluster.node_settings(lost.address, False).bounds.catch_up_ms / 2
        await asyncio.sleep(unresponsive_after_ms / 1000 - 0.1)
        await begin_with_fault(cluster, step, inject, asyncio.sleep(1.5))
        cluster.message_faults = {}
        if victim_machine.plane is None:
            await victim_machine.start()
        await asyncio.sleep(CATCH_UP_S)
        assert members_known_to(spare) == {machine.address for machine in (*remaining, spare)}
        await remaining[victim % 2].lose_power()
        assert await describe_config(spare) == (2, "v2")
        await replace_config_at_any([spare], 3, 0.5)

    for step in FAULT_STEPS:
        for victim in range(3):
            run_scenario(partial(scenario, step=step, victim=victim), step)


def test_departure_without_a_candidate_replicates_the_state_and_keeps_the_membership() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        await replace_config_at_any([first], 1, 1)
        cluster.isolate(third.address)
        await replace_config_at_any([first], 2, 1)
        cluster.partitions.clear()
        started_ms = cluster.clock()
        await first.terminate()
        assert cluster.clock() - started_ms < 1000
        await second.lose_power()  # exceeds the tolerated losses: of the three, only `third` still runs
        assert third.plane is not None and third.plane._acceptor.state.state.config_version == 2
        await second.start()
        await asyncio.sleep(1)
        assert members_known_to(second) == {first.address, second.address, third.address}
        assert await describe_config(third) == (2, "v2")
        await first.start()
        await asyncio.sleep(1)
        await replace_config_at_any([first], 3, 0.5)

    run_scenario(scenario)


def test_departure_without_a_candidate_shrinks_a_membership_larger_than_needed() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await cluster.bootstrap(FOURTH, FIFTH)
        await asyncio.sleep(4)
        for machine in machines:  # lowers the tolerated losses, so that fewer members are needed
            assert machine.plane is not None
            machine.plane.apply_settings(
                replace(cluster.node_settings(machine.address, False), tolerated_machine_losses=1)
            )
        first, *rest = machines
        await first.terminate()
        members = [machine for machine in rest if machine.address in members_known_to(rest[0])]
        assert len(members_known_to(rest[0])) == 3 == len(members)
        await members[0].wipe()
        await replace_config_at_any(members[1:], 2, 0.5)

    run_scenario(scenario, tolerated_losses=2)


def test_candidate_replicates_the_state_and_a_replaced_member_returns_as_a_candidate() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        (first, second, third), spare = await start_with_candidate(cluster)
        assert members_known_to(spare) == {first.address, second.address, third.address}
        for version in range(2, 9):
            await replace_config_at_any([second], version, 0.5)
        await asyncio.sleep(CANDIDATE_AFTER_S)
        assert spare.plane is not None and spare.plane._acceptor.state.state.config_version == 8
        await first.terminate()
        await first.start()
        await asyncio.sleep(CATCH_UP_S)
        assert members_known_to(first) == members_known_to(spare) == {second.address, third.address, SPARE}
        await third.wipe()
        await asyncio.sleep(CATCH_UP_S)
        assert members_known_to(first) == {first.address, second.address, SPARE}
        assert await describe_config(first) == (8, "v8")

    run_scenario(scenario)


def test_departed_member_refuses_commands_and_answers_reads() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        (first, second, _), spare = await start_with_candidate(cluster)
        leaving = asyncio.ensure_future(first.terminate())
        await asyncio.sleep(0.6)
        assert first.address not in members_known_to(second) and first.operator is not None
        assert await replace_config(first, 2, "out") == 503 and await replace_config(spare, 3, "in") == 200
        assert (await describe_config(first)).version == 3  # it still serves reads that a majority confirms
        await leaving

    run_scenario(scenario)
