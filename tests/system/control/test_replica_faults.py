"""Tests with lost, slow, full or replaced disks and machines: acknowledged changes survive, and reads continue."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from hallhitch.lab.simulation.node_settings import coordinator_settings
from hallhitch.messages.system_pb2 import ClusterState, Envelope
from hallhitch.node.errors import RequestTimeout
from hallhitch.planes.control.operator_api import OperatorApi
from hallhitch.planes.control.plane import ControlPlane
from tests.system.control.operator_calls import (
    CATCH_UP_S,
    FIFTH,
    FOURTH,
    SPARE,
    call_operator,
    config_body,
    describe_config,
    evacuated_zones,
    replace_config,
)


@pytest.mark.parametrize("do_others_lose_power", [False, True], ids=["others run", "others lose power"])
def test_acknowledged_orders_survive_the_loss_of_the_tolerated_disks(do_others_lose_power: bool) -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await cluster.bootstrap(*([FOURTH, FIFTH] if cluster.tolerated_losses == 2 else []))
        early_status = await replace_config(cluster.rng.choice(machines), 1)
        assert early_status == 503 or cluster.tolerated_losses == 1  # two tolerated losses need five members
        await asyncio.sleep(3)
        cluster.rng.shuffle(machines)
        calls = replace_config(machines[0], 5, "kept"), call_operator(machines[1], "evacuations.start&of=viti-b")
        assert await calls[0] == 200 and (await calls[1]).status == 200
        for index, machine in enumerate(machines):
            if index < cluster.tolerated_losses:
                await machine.wipe()
            elif do_others_lose_power:
                await machine.lose_power()
        await asyncio.sleep(0.5)
        for machine in machines:
            if machine.plane is None:
                await machine.start()
        await asyncio.sleep(2)
        for machine in machines:  # no order was sent since, so each machine has caught up by itself
            assert machine.plane is not None and machine.plane.committed_state.config_version == 5
            assert await describe_config(machine) == (5, "kept") and await evacuated_zones(machine) == {"viti-b"}
        for machine in machines[: cluster.tolerated_losses]:  # these vote again, so other machines may be lost now
            assert not machine.plane._acceptor.state.is_recovering  # type: ignore[union-attr]

    for seed in range(4):
        run_scenario(scenario, seed)
        run_scenario(scenario, seed, tolerated_losses=2)


def test_slow_and_full_disks_cost_orders_but_no_reads_and_no_state() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        assert await replace_config(first, 1, "one") == 200
        first.write_duration_ms = 6000
        assert await replace_config(first, 2, "two") == 200 and await replace_config(second, 3, "three") == 200
        second.write_duration_ms = 6000
        started_ms = cluster.clock()
        assert await replace_config(third, 4, "four") == 503 and cluster.clock() - started_ms < 900
        for machine in (first, second, third):
            assert (await describe_config(machine)).version == 3  # reads continue
        first.write_duration_ms = second.write_duration_ms = 2
        await asyncio.sleep(15)
        first.disk.is_full = second.disk.is_full = True
        assert await replace_config(third, 5, "five") == 503
        assert (await describe_config(first)).version >= 3
        first.disk.is_full = False
        await asyncio.sleep(1)
        assert await replace_config(second, 6, "six") == 200
        assert await describe_config(first) == (6, "six")
        second.disk.is_full = False
        await asyncio.sleep(3)
        # While the disk hangs, a starting replica promises nothing and loses nothing.
        await first.kill()
        first.write_duration_ms = 3000
        await first.start()
        assert first.plane is not None and first.plane._acceptor.state.is_recovering
        assert await describe_config(first) == (6, "six")
        await asyncio.sleep(5)
        assert not first.plane._acceptor.state.is_recovering

    run_scenario(scenario)


def test_lost_machines_are_replaced_by_new_machines() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        assert await replace_config(first, 1, "one") == 200
        await first.wipe()
        spare = cluster.add_machine(SPARE)
        await spare.start(seed_addresses=(second.address, third.address, SPARE))
        await asyncio.sleep(CATCH_UP_S)
        assert spare.plane is not None and set(spare.plane.members) == {second.address, third.address, SPARE}
        assert await replace_config(spare, 2, "two") == 200
        await second.wipe()  # a second loss, once the first one no longer counts
        assert await describe_config(spare) == (2, "two") and await replace_config(third, 3, "three") == 200
        await asyncio.sleep(60)
        assert second.address in spare.plane.members  # still a member: the tolerated losses need three
        await first.start(seed_addresses=(third.address, SPARE))  # returns with an empty disk
        await asyncio.sleep(CATCH_UP_S)
        assert set(spare.plane.members) == {first.address, third.address, SPARE}
        await third.wipe()
        assert await describe_config(first) == (3, "three")

    run_scenario(scenario)


def test_single_machine_restarts_on_real_files(tmp_path: Path) -> None:
    """Uses the real storage thread, real files and the clock of a real event loop."""

    class NoPeers:
        async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
            raise RequestTimeout("connect", address, "no peer answers")

    async def run_incarnation(version: int, is_first_start: bool) -> int:
        """Commit a configuration version and return the one that was committed at the start."""
        node = coordinator_settings("10.0.0.1:7000", is_first_start, ("10.0.0.1:7000",), 0, tmp_path / "data")
        committed: list[ClusterState] = []
        plane = ControlPlane(node, NoPeers(), committed.append)
        await plane.start()
        await plane.read_committed(1000)
        found_version = plane.committed_state.config_version
        status, _, _ = await OperatorApi(node, plane).handle(
            "POST", "/hallhitch/rpc?call=config.replace", config_body(version)
        )
        assert status == 200 and committed[-1].config_version == version
        await plane.stop()
        return found_version

    assert asyncio.run(run_incarnation(3, True)) == -1
    assert asyncio.run(run_incarnation(4, False)) == 3
    assert asyncio.run(run_incarnation(5, True)) == 4


async def inject_random_fault(cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Wipe, power off, kill, isolate or slow down a machine at random."""
    match cluster.rng.randrange(5):
        case 0:
            await machine.wipe()
        case 1:
            await machine.lose_power()
        case 2:
            await machine.kill()
        case 3:
            cluster.isolate(machine.address)
        case 4:
            machine.write_duration_ms = 3000


async def heal(cluster: CoordinatorCluster, machine: CoordinatorMachine) -> None:
    """Remove the fault of a machine and give it time to catch up."""
    cluster.partitions.clear()
    machine.write_duration_ms = 2
    if machine.plane is None:
        await machine.start()
    await asyncio.sleep(8)


async def restart_all(machines: list[CoordinatorMachine], *, is_power_lost: bool) -> None:
    """End all processes, with or without a loss of power, and start them again."""
    for machine in machines:
        await (machine.lose_power() if is_power_lost else machine.kill())
    for machine in machines:
        await machine.start()
    await asyncio.sleep(2)


@dataclass(frozen=True, slots=True)
class PendingConfig:
    """A configuration that was sent to a machine; `status` is that of the reply."""

    version: int
    machine: CoordinatorMachine
    status: asyncio.Task[int]


def send_two_configs(
    cluster: CoordinatorCluster, machines: list[CoordinatorMachine], version: int, turn: int
) -> list[PendingConfig]:
    """Send two configurations, each with this version or the next, to random running machines."""
    running = [machine for machine in machines if machine.plane is not None]
    orders = [
        (version + cluster.rng.randrange(2), f"{turn}.{index}", cluster.rng.choice(running)) for index in range(2)
    ]
    return [
        PendingConfig(order_version, machine, asyncio.ensure_future(replace_config(machine, order_version, mark)))
        for order_version, mark, machine in orders
    ]


async def newest_acknowledged(configs: list[PendingConfig]) -> int:
    """Return the highest acknowledged version, or 0; requests to stopped machines are cancelled."""
    newest = 0
    for config in configs:
        if config.machine.plane is None:
            config.status.cancel()
        elif await config.status == 200:
            newest = max(newest, config.version)
    return newest


def test_random_faults_lose_no_acknowledged_config() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        rng = cluster.rng
        machines = await cluster.bootstrap()
        acknowledged, version = 0, 0
        marks_by_version: dict[int, set[str]] = {}
        faulty: CoordinatorMachine | None = None
        for turn in range(60):
            version += rng.randrange(2)
            configs = send_two_configs(cluster, machines, version, turn)
            await asyncio.sleep(rng.random() / 20)
            if faulty is None and rng.random() < 0.4:
                faulty = rng.choice(machines)
                await inject_random_fault(cluster, faulty)
            acknowledged = max(acknowledged, await newest_acknowledged(configs))
            if faulty is not None and rng.random() < 0.3:
                await heal(cluster, faulty)
                faulty = None
            reader = rng.choice([machine for machine in machines if machine.plane and machine is not faulty])
            status, body = await call_operator(reader, "config.describe")
            if acknowledged:
                assert status == 200 and body["configVersion"] >= acknowledged
                marks_by_version.setdefault(body["configVersion"], set()).add(body["mark"])
            if acknowledged and rng.random() < 0.1 and faulty is None:
                await restart_all(machines, is_power_lost=turn % 2 == 1)
        assert acknowledged > 10 and all(len(marks) == 1 for marks in marks_by_version.values())

    for seed in range(5):
        run_scenario(scenario, seed)
