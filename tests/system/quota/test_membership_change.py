"""Leases during a change of members: no two holders, no lost usage report, no lease ended by replacing one member."""

from __future__ import annotations

import pytest

from hallhitch.planes.quota.lease import CLOCK_MARGIN_MS, LEASE_DURATION_MS
from hallhitch.planes.quota.limits import RateLimit
from hallhitch.planes.values import LeaseMembership
from tests.system.quota.fault_schedule import run_with_membership_changes, tenants_over_limit
from tests.system.quota.lease_participants import (
    BUCKET,
    ROUNDS,
    START,
    ClaimingGateway,
    make_tables,
    select,
)
from tests.system.quota.simulated_cluster import SimulatedCluster

BEFORE = LeaseMembership(1, ("a", "b", "c"))
JOINT = LeaseMembership(2, ("a", "b", "d"), ("a", "b", "c"))
SETTLED = LeaseMembership(3, JOINT.members, JOINT.previous_members)
AFTER = LeaseMembership(4, ("a", "b", "d"))
NOT_JOINT = LeaseMembership(2, ("a", "b", "d"))  # unsafe: the new members alone count as soon as they are known


@pytest.mark.parametrize(("membership", "holders"), [(NOT_JOINT, ["x", "y"]), (JOINT, ["x"])])
def test_only_a_joint_membership_prevents_two_holders(membership: LeaseMembership, holders: list[str]) -> None:
    """x does not know of the change and reaches b and c; y knows of it and reaches a and d, which have accepted it."""
    tables = make_tables("abcd", BEFORE)
    gateway_x, gateway_y = ClaimingGateway("x", START), ClaimingGateway("y", START)
    gateway_x.claim_rounds(START, select(tables, "bc"))
    for name in "ad":
        tables[name].set_membership(START + 40, membership)
    gateway_y.lease_client.set_membership(START + 40, membership)
    gateway_y.claim_rounds(START + 50, select(tables, "ad"))
    assert [name for name, gateway in (("x", gateway_x), ("y", gateway_y)) if gateway.is_holder(START + 100)] == holders


def test_lease_by_the_previous_members_alone_ends_before_the_new_ones_count_alone() -> None:
    tables, gateway_x = make_tables("abcd", BEFORE), ClaimingGateway("x", START)
    gateway_x.claim_rounds(START, select(tables, "bc"))
    for name in "abd":
        tables[name].set_membership(START + 40, JOINT)
    for delay_ms in range(100, int(LEASE_DURATION_MS + CLOCK_MARGIN_MS), 100):  # only c renews
        gateway_x.claim(START + 40 + delay_ms, select(tables, "c"))
    assert not gateway_x.is_holder(START + 40 + LEASE_DURATION_MS)


def test_claim_of_the_previous_membership_ends_no_lease() -> None:
    tables, gateway_x = make_tables("abcd", BEFORE), ClaimingGateway("x", START)
    gateway_x.claim_rounds(START, select(tables, "abc"))
    for step, membership in enumerate((JOINT, SETTLED, AFTER)):
        for table in tables.values():
            table.set_membership(START + 100 + 1100 * step, membership)
        for delay_ms in range(110, 1200, 100):
            gateway_x.claim(START + 1100 * step + delay_ms, select(tables, gateway_x.lease_client.voters))
            assert gateway_x.is_holder(START + 1100 * step + delay_ms)
    assert gateway_x.lease_client.voters == AFTER.members and len(gateway_x.lease_starts) == 128


def test_lease_stays_valid_if_none_of_its_voters_remains_a_member() -> None:
    tables, gateway_x = make_tables("abcd", BEFORE), ClaimingGateway("x", START)
    gateway_x.claim_rounds(START, select(tables, "abc"))
    gateway_x.lease_client.set_membership(START + 100, LeaseMembership(2, ("d", "e", "f"), BEFORE.members))
    assert gateway_x.is_holder(START + 900) and not gateway_x.is_holder(START + 1000)


@pytest.mark.parametrize("memberships", [(JOINT, SETTLED, AFTER), (AFTER,)])
def test_exclusive_since_is_not_before_the_drop_of_a_quorum_set_without_common_voter(
    memberships: tuple[LeaseMembership, ...],
) -> None:
    tables = make_tables("abcd", BEFORE)
    gateway_x, gateway_y = ClaimingGateway("x", START), ClaimingGateway("y", START)
    gateway_x.claim_rounds(START, select(tables, "bc"))
    assert gateway_x.is_holder(START + 40)
    for step, membership in enumerate(memberships):
        for name in "abd":
            tables[name].set_membership(START + 100 + LEASE_DURATION_MS * step, membership)
    dropped_at = START + 100 + LEASE_DURATION_MS * (len(memberships) - 1)
    gateway_y.lease_client.set_membership(dropped_at, AFTER)
    gateway_y.claim_rounds(dropped_at + LEASE_DURATION_MS, select(tables, "ad"))
    start = gateway_y.lease_starts[BUCKET]
    assert gateway_y.is_holder(dropped_at + LEASE_DURATION_MS + 40)
    assert start.exclusive_since == dropped_at and start.predecessor is None


def test_votes_from_before_a_quorum_set_was_dropped_do_not_count_after() -> None:
    tables = make_tables("abcd", BEFORE)
    gateway_x, gateway_y = ClaimingGateway("x", START), ClaimingGateway("y", START)
    gateway_x.claim_rounds(START, select(tables, "bc"))
    for name in "ad":
        tables[name].set_membership(START + 40, SETTLED)
    gateway_y.lease_client.set_membership(START + 40, SETTLED)
    gateway_y.claim_rounds(
        START + LEASE_DURATION_MS, select(tables, "ad"), rounds=ROUNDS[:2]
    )  # only one of two rounds of votes
    dropped_at = START + LEASE_DURATION_MS + CLOCK_MARGIN_MS
    for name in "ad":
        tables[name].set_membership(dropped_at, AFTER)
    gateway_y.lease_client.set_membership(dropped_at, AFTER)
    gateway_y.claim_rounds(dropped_at + 10, select(tables, "ad"))
    assert gateway_y.is_holder(dropped_at + 50) and gateway_y.lease_starts[BUCKET].exclusive_since == dropped_at


def test_replacing_one_member_ends_no_lease_and_rejects_no_request() -> None:
    cluster = SimulatedCluster(7, gateways=9, coordinators=4, is_fault_free=True)
    cluster.run_for(10_000)
    for tenant, rate in (("large", 155.0), ("small", 10.0)):
        cluster.traffic.add(tenant, RateLimit(rate, rate), 1000 / (rate / 1.6))
    cluster.run_for(6000)
    began = cluster.env.now
    cluster.membership.change(tuple(coordinator.name for coordinator in cluster.coordinators[1:]))
    while cluster.env.now < began + 2500:  # later a bucket is handed over, with or without a change of members
        cluster.run_for(5)
        assert sum(len(gateway.held_buckets()) for gateway in cluster.gateways) == 128
    assert cluster.membership.completed_changes == 1 and cluster.traffic.record.rejected == {}


@pytest.mark.parametrize("block", range(4))
def test_no_schedule_of_membership_changes_exceeds_a_limit(block: int) -> None:
    for seed in range(block * 8, block * 8 + 8):
        cluster = run_with_membership_changes(seed)
        assert not tenants_over_limit(cluster), f"seed {seed}"
        assert cluster.membership.completed_changes, f"seed {seed}"


def test_schedules_detect_a_change_without_joint_membership() -> None:
    detected = 0
    for seed in (18, 51):  # the only two of the first sixty seeds that detect it
        try:
            detected += bool(tenants_over_limit(run_with_membership_changes(seed, is_joint=False)))
        except AssertionError as error:
            detected += "two holders of the bucket" in str(error)
    assert detected
