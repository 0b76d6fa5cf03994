"""Commands and reads of operators: a command is in force if and only if it was acknowledged with 200."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, run_scenario
from tests.system.control.operator_calls import (
    call_operator,
    describe_config,
    evacuated_zones,
    replace_config,
)


def test_commands_without_faults_are_acknowledged_and_known_to_every_machine() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        assert (await call_operator(first, "config.describe")).status == 503
        for machine, version, mark, status in (
            (first, 7, "first", 200),
            (second, 7, "second", 409),
            (third, 7, "first", 200),
            (third, 6, "old", 200),
            (second, 9, "new", 200),
        ):
            assert await replace_config(machine, version, mark) == status
        started_ms = cluster.clock()
        assert await replace_config(third, 12, "newest", routes=50) == 200
        assert cluster.clock() - started_ms < 40
        for machine in (first, second, third):
            assert await describe_config(machine) == (12, "newest")
        assert (await call_operator(first, "evacuations.start&of=viti-a")).body["evacuations"] == ["viti-a"]
        assert (await call_operator(second, "evacuations.start&of=viti-a")).status == 200
        assert (await call_operator(third, "evacuations.stop&of=viti-a")).body["evacuations"] == []
        assert (await call_operator(third, "evacuations.stop&of=viti-b")).status == 200
        await asyncio.sleep(5)
        for machine in (first, second, third):
            assert machine.plane is not None and machine.plane.committed_state.serial == 5
            serials = [state.serial for state in machine.committed_states]
            assert serials == sorted(set(serials)) and serials[-1] == 5
            assert len(machine.disk.files) == 4
        assert await replace_config(first, 13, "x", routes=3000) == 200

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("name", "body", "method", "status"),
    [
        ("config.replaced", b"", "POST", 404),
        ("", b"", "POST", 404),
        ("config.replace", b"{}", "GET", 405),
        ("config.describe", b"", "GET", 405),
        ("config.replace", b"{", "POST", 400),
        ("config.replace", b"", "POST", 400),
        ("config.replace", b" " * 33_554_433, "POST", 413),
        ("evacuations.start", b"", "POST", 400),
        ("evacuations.start&of=", b"", "POST", 400),
        ("evacuations.stop&of=nowhere", b"", "POST", 400),
        ("evacuations.start&of=viti-a", b"", "PUT", 405),
    ],
)
def test_invalid_call_is_rejected_and_changes_nothing(name: str, body: bytes, method: str, status: int) -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machine, *_ = await cluster.bootstrap()
        reply_status, reply = await call_operator(machine, name, body, method)
        assert reply_status == status and reply["errorMessage"]
        assert machine.plane is not None and machine.plane.committed_state.serial == 0

    run_scenario(scenario)


def test_one_of_two_racing_configs_with_the_same_version_wins() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        assert await replace_config(first, 1) == 200
        for version in range(2, 7):
            statuses = await asyncio.gather(
                replace_config(first, version, "a"),
                replace_config(second, version, "b"),
                replace_config(third, version - 1, "old"),
            )
            assert sorted(statuses[:2]) == [200, 409]
            assert statuses[2] == 409  # another content was committed under this version, too
            winner = "ab"[statuses.index(200)]
            assert {await describe_config(machine) for machine in (first, second, third)} == {(version, winner)}
        await asyncio.sleep(5)
        configs_by_version: dict[int, set[bytes]] = {}
        for machine in (first, second, third):
            for state in machine.committed_states:
                configs_by_version.setdefault(state.config_version, set()).add(state.config)
        assert all(len(configs) == 1 for configs in configs_by_version.values())

    for seed in range(10):
        run_scenario(scenario, seed)


def test_partitioned_minority_neither_acknowledges_nor_describes() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        assert await replace_config(first, 1, "one") == 200
        cluster.isolate(first.address)
        started_ms = cluster.clock()
        assert await replace_config(first, 9, "never") == 503 and cluster.clock() - started_ms < 900
        started_ms = cluster.clock()
        assert (await call_operator(first, "config.describe")).status == 503 and cluster.clock() - started_ms < 900
        assert (await call_operator(first, "evacuations.start&of=viti-a")).status == 503
        assert await replace_config(second, 2, "two") == 200
        assert (
            await call_operator(first, "config.describe")
        ).status == 503  # it knows only a configuration that is no longer in force
        assert await describe_config(second) == (2, "two")
        assert (await call_operator(second, "evacuations.start&of=viti-a")).status == 200
        assert (await call_operator(third, "evacuations.stop&of=viti-a")).status == 200
        cluster.partitions.clear()
        await asyncio.sleep(4)
        # The changes that the minority abandoned do not reappear.
        assert await describe_config(first) == (2, "two") and await evacuated_zones(first) == set()
        assert first.plane is not None and second.plane is not None
        assert first.plane.committed_state == second.plane.committed_state

    run_scenario(scenario)


def test_command_read_right_after_a_suspension_is_refused() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, *_ = await cluster.bootstrap()
        await asyncio.sleep(1)
        cluster.loop.suspend(30)
        assert (await call_operator(first, "evacuations.start&of=viti-a")).status == 503
        await asyncio.sleep(2)
        assert (await call_operator(first, "evacuations.start&of=viti-a")).status == 200

    run_scenario(scenario)


def test_command_is_dropped_when_its_caller_leaves() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, _ = await cluster.bootstrap()
        await asyncio.sleep(1)
        cluster.isolate(first.address)
        command = asyncio.ensure_future(call_operator(first, "evacuations.start&of=viti-a"))
        await asyncio.sleep(0.2)
        command.cancel()
        cluster.partitions.clear()
        await asyncio.sleep(3)
        assert await evacuated_zones(second) == set()

    run_scenario(scenario)
