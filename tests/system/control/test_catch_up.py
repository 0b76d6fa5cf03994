"""Tests that a replica that missed hundreds of changes catches up, and that the number of files stays bounded."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from tests.system.control.operator_calls import describe_config, replace_config

MAX_FILES: Final = 8  # two generations and two configurations of two files each, until the older ones are removed


Fault = Callable[[CoordinatorCluster, CoordinatorMachine], Awaitable[None]]  # injected before each change


async def lose_power(cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Cut the machine's power."""
    await machine.lose_power()


async def restart_at_random(cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Sometimes end the process, possibly during a write, with or without its unsynced data, and restart it at once."""
    if cluster.rng.random() < 0.2:
        await (machine.lose_power() if cluster.rng.random() < 0.5 else machine.kill())
        await machine.start()


async def slow_down_disk(cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Make each write slow."""
    machine.write_duration_ms = 60.0


async def fill_disk(cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Make each write fail."""
    machine.disk.is_full = True


@pytest.mark.parametrize("inject", [lose_power, restart_at_random, slow_down_disk, fill_disk])
def test_replica_that_missed_hundreds_of_changes_catches_up_and_may_propose(inject: Fault) -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        assert await replace_config(first, 1) == 200
        for version in range(2, 302):
            await inject(cluster, third)
            assert await replace_config((first, second)[version % 2], version, str(version)) == 200
            assert all(len(machine.disk.files) <= MAX_FILES for machine in (first, second, third))
        third.write_duration_ms, third.disk.is_full = 2.0, False
        if third.plane is None:
            await third.start()
        await asyncio.sleep(3)
        assert first.plane is not None and third.plane is not None
        expected, caught_up = first.plane._acceptor.state, third.plane._acceptor.state
        assert not caught_up.is_recovering and caught_up.state == expected.state
        assert caught_up.accepted == expected.accepted
        await first.kill()  # from now on, a majority needs the third machine
        assert await replace_config(third, 400, "led") == 200 and await replace_config(second, 399, "late") == 200
        assert await describe_config(second) == await describe_config(third) == (400, "led")

    run_scenario(scenario)
