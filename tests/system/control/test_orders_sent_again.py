"""Orders that were acknowledged, and that would be refused by now, are acknowledged again when they are sent again."""

from __future__ import annotations

import asyncio
import json
import zlib
from dataclasses import replace

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.config_digests import canonical_digest
from tests.system.control.operator_calls import call_operator, config_body, describe_config, replace_config


def earlier_config(version: int, priority: str = "") -> bytes:
    """Return a configuration that release 6d42b82 acknowledged and that is invalid by now."""
    document = json.loads(config_body(version, f"version {version}"))
    document["tenants"] = {"t": {"apiKeys": ["k"], "priority": priority}}
    return json.dumps(document).encode()


async def acknowledge_as_earlier_release(machine: CoordinatorMachine, version: int) -> None:
    body = earlier_config(version)
    assert machine.plane is not None
    transition = state_transitions.replace_config(version, zlib.compress(body), canonical_digest(body))
    await machine.plane.propose(transition, 2000)


# Guards against a refusal of an acknowledged version that is sent again after an upgrade (CONFIG).
def test_configuration_that_an_earlier_release_acknowledged_is_acknowledged_again() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await cluster.bootstrap()
        await acknowledge_as_earlier_release(machines[0], 2)
        reformatted = json.dumps(json.loads(earlier_config(2)), indent=1, sort_keys=True).encode()
        for _ in range(2):
            for machine in machines:
                for body in (earlier_config(2), reformatted):
                    status, reply = await call_operator(machine, "config.replace", body)
                    assert (status, reply["outcome"]) == (200, "recorded")
                for body in (earlier_config(1), earlier_config(3), earlier_config(2, "x")):
                    status, reply = await call_operator(machine, "config.replace", body)
                    assert status == 400 and "tenants.t.priority" in reply["errorMessage"]
            assert await replace_config(machines[1], 9, "newer") == 200
        assert await describe_config(machines[2]) == (9, "newer")
        for machine in machines[1:]:
            await machine.kill()
        await asyncio.sleep(5)
        assert (await call_operator(machines[0], "config.replace", earlier_config(2))).status == 503
        assert (await call_operator(machines[0], "config.replace", b"{")).status == 400

    run_scenario(scenario)


# Guards against an evacuation that cannot be withdrawn or sent again once the settings no longer name its zone (EVAC).
def test_evacuation_of_a_zone_that_left_the_settings_is_acknowledged_again_and_can_be_withdrawn() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await cluster.bootstrap()
        assert (await call_operator(machines[0], "evacuations.start&of=viti-b")).status == 200
        node_settings = cluster.node_settings
        cluster.node_settings = lambda *arguments, **named: replace(  # type: ignore[method-assign]
            node_settings(*arguments, **named), region_by_zone={"viti-a": "viti"}
        )
        await machines[1].kill()
        await machines[1].start()
        await asyncio.sleep(3)
        assert (await call_operator(machines[1], "evacuations.start&of=viti-b")).status == 200
        assert (await call_operator(machines[1], "evacuations.stop&of=viti-b")).body["evacuations"] == []
        assert (await call_operator(machines[1], "evacuations.start&of=viti-b")).status == 400
        operator = machines[0].operator
        assert operator is not None
        operator.apply_settings(cluster.node_settings(machines[0].address, False))
        assert (await call_operator(machines[0], "evacuations.stop&of=viti-b")).status == 200

    run_scenario(scenario)
