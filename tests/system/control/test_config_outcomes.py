"""A configuration keeps its outcome when it is resent, through any machine and concurrently with newer ones."""

from __future__ import annotations

import asyncio
import json

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, run_scenario
from tests.system.control.operator_calls import call_operator, config_body, describe_config, replace_config


def reformatted_config(version: int, mark: str) -> bytes:
    """Return the configuration that `replace_config` sends, with other white space and another order of names."""
    return json.dumps(json.loads(config_body(version, mark)), indent=version % 3, sort_keys=True).encode()


def test_every_machine_acknowledges_a_resent_config_after_newer_ones() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await cluster.bootstrap()
        for version in (3, 5, 9, 12):
            assert await replace_config(machines[version % 3], version, f"first {version}") == 200
        for is_restarted in (False, True):
            for machine in machines:
                if is_restarted:
                    await machine.lose_power()
                    await machine.start()
                    await asyncio.sleep(3)
                for version in (3, 5, 9, 12):
                    same = reformatted_config(version, f"first {version}")
                    different = reformatted_config(version, "another")
                    status, reply = await call_operator(machine, "config.replace", same)
                    assert (status, reply["outcome"], reply["configVersion"]) == (200, "recorded", 12)
                    status, reply = await call_operator(machine, "config.replace", different)
                    assert status == 409 and reply["configVersion"] == 12
                status, reply = await call_operator(machine, "config.replace", reformatted_config(7, "never seen"))
                assert (status, reply["outcome"], reply["configVersion"]) == (200, "superseded", 12)
                assert await describe_config(machine) == (12, "first 12")

    run_scenario(scenario)


def test_racing_resent_and_conflicting_configs_have_one_winner_after_the_first_caller_gave_up() -> None:
    """Whether or not the abandoned ballot continues, one content is committed and the other is always refused."""

    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await cluster.bootstrap()
        for version in range(1, 30):
            abandoned = asyncio.ensure_future(replace_config(machines[version % 3], version, "mine"))
            await asyncio.sleep(cluster.rng.random() / 80)
            abandoned.cancel()
            conflicting = replace_config(machines[(version + 1) % 3], version, "other")
            resent = replace_config(machines[(version + 2) % 3], version, "mine")
            statuses = await asyncio.gather(resent, conflicting)
            assert sorted(statuses) == [200, 409]
            repeated = [
                await replace_config(machine, version, mark) for mark in ("mine", "other") for machine in machines
            ]
            assert repeated == [statuses[0]] * 3 + [statuses[1]] * 3

    for seed in range(4):
        run_scenario(scenario, seed)
