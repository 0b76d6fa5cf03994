"""A coordinator speaks for the core only while a majority has confirmed it: cuts, freezes, long ways, many orders."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, CoordinatorMachine, run_scenario
from hallhitch.messages.system_pb2 import AcceptorReport, Envelope
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.lease_renewal import LeaseBasis, LeaseRenewal, RenewalPorts
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.operator_api import CONFIRM_TIMEOUT_MS
from hallhitch.planes.control.plane import ControlPlane
from hallhitch.planes.control.serving_lease import NEVER_CONFIRMED, ConfirmingRead, ServingLease
from tests.system.control.control_fleet import call_operator, describe_config, replace_config

TURN = 1.0  # ms: what one step of the virtual loop may add


def plane_of(machine: CoordinatorMachine) -> ControlPlane:
    assert machine.plane is not None
    return machine.plane


def test_a_lease_counts_from_the_question_and_is_judged_when_answering() -> None:
    lease = ServingLease(2000.0)
    assert not lease.is_valid(0.0) and lease.age_ms(0.0) == NEVER_CONFIRMED
    lease.confirm(100.0)
    lease.confirm(50.0)  # an answer that was overtaken takes nothing back
    assert lease.age_ms(600.0) == 500.0 and lease.is_valid(2100.0) and not lease.is_valid(2100.1)
    assert 3 * lease.renewal_interval_ms < lease.length_ms  # two lost rounds, and time for the answer of the third


def test_a_read_confirms_by_a_majority_of_each_set_with_nothing_newer_and_no_void_vote() -> None:
    known, newer = Ballot(3, "a"), Ballot(4, "b")
    among = Membership(2, members=("a", "b", "d"), previous_members=("a", "b", "c"))
    read = ConfirmingRead(known, among)
    read.record("a", known, {})
    read.record("d", Ballot(1, "a"), {})  # behind: it has accepted nothing newer, which is what is asked
    assert not read.is_confirmed and not read.found_newer
    read.record("c", known, {"d": 1})  # d voted in an incarnation that is over
    assert not read.is_confirmed
    read.record("b", known, {})
    assert read.is_confirmed
    read = ConfirmingRead(known, Membership(1, members=("a", "b", "c")))
    read.record("a", known, {})
    read.record("b", newer, {})
    assert read.found_newer and not read.is_confirmed


def test_a_round_counts_from_when_it_was_asked_however_long_the_answers_take() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        async def call(address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
            await asyncio.sleep(0.7 if address == "b" else 5)
            return Envelope(acceptor_report=AcceptorReport(ok=True))

        async def nothing() -> None:
            pass

        lease = ServingLease(2000.0)
        known = LeaseBasis(Ballot(), Membership(1, members=("a", "b", "c")), AcceptorReport(ok=True))
        ports = RenewalPorts(lambda: known, call, lambda member: None, nothing)
        renewal = LeaseRenewal("a", lease, ports, fleet.clock)
        asked = fleet.clock()
        assert await renewal.confirm(2000.0) and fleet.clock() - asked < 700 + TURN
        assert lease.confirmed_at_ms == asked
        renewal.stop()

    run_scenario(scene)


@pytest.mark.parametrize("ways", ["in", "out", "both"])
def test_what_a_cut_off_coordinator_tells_is_never_older_than_its_lease(ways: str) -> None:
    """Nothing that was acknowledged on the other side for longer than the lease is unknown to one that speaks."""

    async def scene(fleet: CoordinatorCluster) -> None:
        a, b, c = await fleet.bootstrap()
        assert await replace_config(a, 1) == 200
        await asyncio.sleep(fleet.rng.uniform(1, 3))
        plane, lease = plane_of(a), plane_of(a).lease
        others = {one for one in fleet.machines if one != a.address}
        if ways != "out":
            fleet.blocked_links |= {(one, a.address) for one in others}
        if ways != "in":
            fleet.blocked_links |= {(a.address, one) for one in others}
        await asyncio.sleep(fleet.rng.uniform(0, 0.05))
        assert await replace_config(b, 2) == 200
        acknowledged = fleet.clock()
        spoke = 0.0
        while fleet.clock() < acknowledged + 2 * lease.length_ms:
            if plane.has_quorum_contact and plane.committed_state.config_version < 2:
                spoke = fleet.clock() - acknowledged
            await asyncio.sleep(0.01)
        assert spoke <= lease.length_ms + TURN
        assert not plane.has_quorum_contact or ways == "out" and plane.committed_state.config_version == 2
        assert plane_of(b).has_quorum_contact and plane_of(c).has_quorum_contact

    for seed in range(8):
        run_scenario(scene, seed)


def test_one_that_was_frozen_and_speaks_first_finds_itself_out_of_date() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        a, *_ = await fleet.bootstrap()
        assert await replace_config(a, 1) == 200
        await asyncio.sleep(3)
        assert plane_of(a).has_quorum_contact
        fleet.isolate(a.address)
        fleet.loop.suspend(20)  # no task has run since
        assert not plane_of(a).has_quorum_contact and plane_of(a).lease.age_ms(fleet.clock()) >= 20_000
        assert (await call_operator(a, "config.describe"))[0] == 503

    run_scenario(scene)


def test_without_contact_callers_are_sent_on_at_once() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        a, b, _ = await fleet.bootstrap()
        assert await replace_config(a, 1) == 200
        fleet.isolate(a.address)
        await asyncio.sleep(5)
        for order in (
            replace_config(a, 9),
            call_operator(a, "config.describe"),
            call_operator(a, "evacuations.start&of=viti-a"),
        ):
            began = fleet.clock()
            answer = await order
            assert (answer if isinstance(answer, int) else answer[0]) == 503
            assert fleet.clock() - began <= CONFIRM_TIMEOUT_MS + TURN
        assert await describe_config(b) == (1, "")

    run_scenario(scene)


def test_an_order_that_comes_as_a_cut_ends_waits_behind_nothing() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        a, *_ = await fleet.bootstrap()
        await asyncio.sleep(3)
        assert await replace_config(a, 1) == 200
        fleet.isolate(a.address)
        await asyncio.sleep(fleet.rng.uniform(1, 6))
        fleet.partitions.clear()
        began = fleet.clock()
        assert (await call_operator(a, "evacuations.start&of=viti-a"))[0] == 200 and fleet.clock() - began < 100

    for seed in range(30):
        run_scenario(scene, seed)


def test_a_cut_that_ends_with_two_orders_at_once() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        a, b, _ = await fleet.bootstrap()
        assert await replace_config(a, 1, "one") == 200
        fleet.isolate(a.address)
        assert await replace_config(b, 2, "two") == 200
        await asyncio.sleep(fleet.rng.uniform(0.5, 20))
        fleet.partitions.clear()
        began = fleet.clock()
        answers = await asyncio.gather(replace_config(a, 3, "three"), call_operator(b, "evacuations.start&of=viti-a"))
        assert answers[0] == 200 and answers[1][0] == 200 and fleet.clock() - began < 1000
        assert await describe_config(a) == await describe_config(b) == (3, "three")

    for seed in range(8):
        run_scenario(scene, seed)


@pytest.mark.parametrize("delay", [1.0, 55.0, 250.0])
def test_a_lease_lasts_over_long_ways_lost_rounds_and_orders_in_a_row(delay: float) -> None:
    async def watch(fleet: CoordinatorCluster, machines: list[CoordinatorMachine]) -> None:
        while True:
            assert all(plane_of(machine).has_quorum_contact for machine in machines)
            await asyncio.sleep(0.02)

    async def scene(fleet: CoordinatorCluster) -> None:
        machines = await fleet.bootstrap()
        await asyncio.sleep(4)
        watching = asyncio.ensure_future(watch(fleet, machines))
        if delay < 100:  # an order takes four ways, and its caller waits for less than a second
            for version in range(1, 40):
                assert await replace_config(fleet.rng.choice(machines), version) == 200
        await asyncio.sleep(5)
        if delay < 100:  # two rounds of one machine are lost, and the answers come over long ways
            fleet.isolate(machines[0].address)
            await asyncio.sleep(2 * plane_of(machines[0]).lease.renewal_interval_ms / 1000 - 3 * delay / 1000)
            fleet.partitions.clear()
            await asyncio.sleep(3)
        if watching.done():
            watching.result()
        watching.cancel()

    run_scenario(scene, link_delay_ms=delay)


def test_a_process_that_has_just_started_speaks_only_after_a_confirmed_read() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        a, b, c = await fleet.bootstrap()
        assert await replace_config(a, 1) == 200
        await a.kill()
        assert await replace_config(b, 2) == 200
        await b.kill()
        await c.kill()
        await a.start()  # its own disk alone: version 1
        await asyncio.sleep(10)
        assert plane_of(a).committed_state.serial == 0 and not plane_of(a).has_quorum_contact
        await b.start()
        await asyncio.sleep(1)
        assert plane_of(a).committed_state.config_version == 2 and plane_of(a).has_quorum_contact

    run_scenario(scene)
