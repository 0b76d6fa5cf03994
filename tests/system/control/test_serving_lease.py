"""A coordinator serves the cluster state only with a valid serving lease: partitions, suspensions, high latencies."""

from __future__ import annotations

import asyncio
from typing import Final

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from hallhitch.messages.system_pb2 import AcceptorReport, Envelope
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.lease_renewal import LeaseBasis, LeaseRenewal, RenewalPorts
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.operator_api import CONFIRM_TIMEOUT_MS
from hallhitch.planes.control.plane import ControlPlane
from hallhitch.planes.control.serving_lease import NEVER_CONFIRMED, ConfirmingRead, ServingLease
from tests.system.control.operator_calls import call_operator, describe_config, replace_config

LOOP_STEP_MS: Final = 1.0  # by how much one step of the virtual event loop may delay an event


def plane_of(machine: CoordinatorMachine) -> ControlPlane:
    """Return the control plane of a machine whose process runs."""
    assert machine.plane is not None
    return machine.plane


def test_lease_counts_from_the_request_and_is_checked_when_answering() -> None:
    lease = ServingLease(2000.0)
    assert not lease.is_valid(0.0) and lease.age_ms(0.0) == NEVER_CONFIRMED
    lease.confirm(100.0)
    lease.confirm(50.0)  # a confirmation that arrives out of order does not shorten the lease
    assert lease.age_ms(600.0) == 500.0 and lease.is_valid(2100.0) and not lease.is_valid(2100.1)
    assert 3 * lease.renewal_interval_ms < lease.length_ms  # two lost rounds, then time for the replies to the third


def test_read_confirms_by_a_majority_of_each_set_without_newer_states_or_void_votes() -> None:
    known, newer = Ballot(3, "a"), Ballot(4, "b")
    membership = Membership(2, members=("a", "b", "d"), previous_members=("a", "b", "c"))
    read = ConfirmingRead(known, membership)
    read.record("a", known, {})
    read.record("d", Ballot(1, "a"), {})  # a lagging member confirms as well: it has accepted nothing newer
    assert not read.is_confirmed and not read.found_newer
    read.record("c", known, {"d": 1})  # reports a newer incarnation of d, so the vote of d is void
    assert not read.is_confirmed
    read.record("b", known, {})
    assert read.is_confirmed
    read = ConfirmingRead(known, Membership(1, members=("a", "b", "c")))
    read.record("a", known, {})
    read.record("b", newer, {})
    assert read.found_newer and not read.is_confirmed


def test_lease_counts_from_when_a_round_was_sent_however_long_the_replies_take() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        async def call(address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
            await asyncio.sleep(0.7 if address == "b" else 5)
            return Envelope(acceptor_report=AcceptorReport(ok=True))

        async def read_nothing() -> None:
            pass

        lease = ServingLease(2000.0)
        basis = LeaseBasis(Ballot(), Membership(1, members=("a", "b", "c")), AcceptorReport(ok=True))
        ports = RenewalPorts(lambda: basis, call, lambda member: None, read_nothing)
        renewal = LeaseRenewal("a", lease, ports, cluster.clock)
        requested_at_ms = cluster.clock()
        assert await renewal.confirm(2000.0) and cluster.clock() - requested_at_ms < 700 + LOOP_STEP_MS
        assert lease.confirmed_at_ms == requested_at_ms
        renewal.stop()

    run_scenario(scenario)


@pytest.mark.parametrize("blocked", ["in", "out", "both"])
def test_partitioned_coordinator_serves_no_state_older_than_its_lease(blocked: str) -> None:
    """A coordinator that serves the cluster state knows whatever was acknowledged longer ago than the lease length."""

    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        assert await replace_config(first, 1) == 200
        await asyncio.sleep(cluster.rng.uniform(1, 3))
        plane, lease = plane_of(first), plane_of(first).lease
        peers = {address for address in cluster.machines if address != first.address}
        if blocked != "out":
            cluster.blocked_links |= {(peer, first.address) for peer in peers}
        if blocked != "in":
            cluster.blocked_links |= {(first.address, peer) for peer in peers}
        await asyncio.sleep(cluster.rng.uniform(0, 0.05))
        assert await replace_config(second, 2) == 200
        acknowledged_ms = cluster.clock()
        last_stale_read_ms = 0.0
        while cluster.clock() < acknowledged_ms + 2 * lease.length_ms:
            if plane.has_quorum_contact and plane.committed_state.config_version < 2:
                last_stale_read_ms = cluster.clock() - acknowledged_ms
            await asyncio.sleep(0.01)
        assert last_stale_read_ms <= lease.length_ms + LOOP_STEP_MS
        assert not plane.has_quorum_contact or (blocked == "out" and plane.committed_state.config_version == 2)
        assert plane_of(second).has_quorum_contact and plane_of(third).has_quorum_contact

    for seed in range(8):
        run_scenario(scenario, seed)


def test_lease_is_expired_right_after_a_suspension() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, *_ = await cluster.bootstrap()
        assert await replace_config(first, 1) == 200
        await asyncio.sleep(3)
        assert plane_of(first).has_quorum_contact
        cluster.isolate(first.address)
        cluster.loop.suspend(20)  # no task runs between this and the assertions below
        assert not plane_of(first).has_quorum_contact and plane_of(first).lease.age_ms(cluster.clock()) >= 20_000
        assert (await call_operator(first, "config.describe")).status == 503

    run_scenario(scenario)


def test_callers_are_refused_at_once_without_quorum_contact() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, _ = await cluster.bootstrap()
        assert await replace_config(first, 1) == 200
        cluster.isolate(first.address)
        await asyncio.sleep(5)
        for call in (
            replace_config(first, 9),
            call_operator(first, "config.describe"),
            call_operator(first, "evacuations.start&of=viti-a"),
        ):
            started_ms = cluster.clock()
            reply = await call
            assert (reply if isinstance(reply, int) else reply.status) == 503
            assert cluster.clock() - started_ms <= CONFIRM_TIMEOUT_MS + LOOP_STEP_MS
        assert await describe_config(second) == (1, "")

    run_scenario(scenario)


def test_command_that_arrives_as_a_partition_ends_is_not_delayed() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, *_ = await cluster.bootstrap()
        await asyncio.sleep(3)
        assert await replace_config(first, 1) == 200
        cluster.isolate(first.address)
        await asyncio.sleep(cluster.rng.uniform(1, 6))
        cluster.partitions.clear()
        started_ms = cluster.clock()
        assert (await call_operator(first, "evacuations.start&of=viti-a"))[
            0
        ] == 200 and cluster.clock() - started_ms < 100

    for seed in range(30):
        run_scenario(scenario, seed)


def test_two_concurrent_commands_as_a_partition_ends_are_both_acknowledged() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, _ = await cluster.bootstrap()
        assert await replace_config(first, 1, "one") == 200
        cluster.isolate(first.address)
        assert await replace_config(second, 2, "two") == 200
        await asyncio.sleep(cluster.rng.uniform(0.5, 20))
        cluster.partitions.clear()
        started_ms = cluster.clock()
        replies = await asyncio.gather(
            replace_config(first, 3, "three"), call_operator(second, "evacuations.start&of=viti-a")
        )
        assert replies[0] == 200 and replies[1].status == 200 and cluster.clock() - started_ms < 1000
        assert await describe_config(first) == await describe_config(second) == (3, "three")

    for seed in range(8):
        run_scenario(scenario, seed)


@pytest.mark.parametrize("link_delay_ms", [1.0, 55.0, 250.0])
def test_lease_stays_valid_despite_long_links_lost_rounds_and_consecutive_commands(link_delay_ms: float) -> None:
    async def assert_contact(cluster: CoordinatorCluster, machines: list[CoordinatorMachine]) -> None:
        while True:
            assert all(plane_of(machine).has_quorum_contact for machine in machines)
            await asyncio.sleep(0.02)

    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await cluster.bootstrap()
        await asyncio.sleep(4)
        contact_check = asyncio.ensure_future(assert_contact(cluster, machines))
        if link_delay_ms < 100:  # a command takes four link delays, and its caller waits for less than one second
            for version in range(1, 40):
                assert await replace_config(cluster.rng.choice(machines), version) == 200
        await asyncio.sleep(5)
        if link_delay_ms < 100:  # one machine loses two rounds, and the replies to the third cross slow links
            cluster.isolate(machines[0].address)
            await asyncio.sleep(2 * plane_of(machines[0]).lease.renewal_interval_ms / 1000 - 3 * link_delay_ms / 1000)
            cluster.partitions.clear()
            await asyncio.sleep(3)
        if contact_check.done():
            contact_check.result()
        contact_check.cancel()

    run_scenario(scenario, link_delay_ms=link_delay_ms)


def test_started_process_serves_the_state_only_after_a_majority_confirms() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        assert await replace_config(first, 1) == 200
        await first.kill()
        assert await replace_config(second, 2) == 200
        await second.kill()
        await third.kill()
        await first.start()  # has only its own disk, which holds version 1
        await asyncio.sleep(10)
        assert plane_of(first).committed_state.serial == 0 and not plane_of(first).has_quorum_contact
        await second.start()
        await asyncio.sleep(1)
        assert plane_of(first).committed_state.config_version == 2 and plane_of(first).has_quorum_contact

    run_scenario(scenario)
