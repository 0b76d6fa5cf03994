"""Hundreds of changes: a replica that was away, killed again and again, slow or full catches up, and nothing grows."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from tests.system.control.control_fleet import describe_config, replace_config

MOST_FILES = 8  # two generations and two contents, two files each, while the older ones are being removed


async def _away(fleet: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    await machine.lose_power()


async def _killed(fleet: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Killed at some point of some write, with or without what was not synced, and started again at once."""
    if fleet.rng.random() < 0.2:
        await (machine.lose_power() if fleet.rng.random() < 0.5 else machine.kill())
        await machine.start()


async def _slow(fleet: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    machine.write_duration_ms = 60.0


async def _full(fleet: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    machine.disk.is_full = True


@pytest.mark.parametrize("trouble", [_away, _killed, _slow, _full], ids=lambda one: one.__name__.strip("_"))
def test_a_replica_that_missed_hundreds_of_changes_catches_up_and_may_lead(trouble) -> None:  # type: ignore[no-untyped-def]
    async def scene(fleet: CoordinatorCluster) -> None:
        a, b, c = await fleet.bootstrap()
        assert await replace_config(a, 1) == 200
        for version in range(2, 302):
            await trouble(fleet, c)
            assert await replace_config((a, b)[version % 2], version, str(version)) == 200
            assert all(len(machine.disk.files) <= MOST_FILES for machine in (a, b, c))
        c.write_duration_ms, c.disk.is_full = 2.0, False
        if c.plane is None:
            await c.start()
        await asyncio.sleep(3)
        assert a.plane is not None and c.plane is not None
        held = c.plane._acceptor.state
        assert not held.is_recovering and held.state == a.plane._acceptor.state.state
        assert held.accepted == a.plane._acceptor.state.accepted
        await a.kill()  # a majority needs its vote from now on
        assert await replace_config(c, 400, "led") == 200 and await replace_config(b, 399, "late") == 200
        assert await describe_config(b) == await describe_config(c) == (400, "led")

    run_scenario(scene)
