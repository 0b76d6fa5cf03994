"""The votes of one coordinator: grace period, stale claims, and changes of members."""

from __future__ import annotations

from dataclasses import replace

from hallhitch.planes.quota.lease import LEASE_DURATION_MS, LeaseClaim
from hallhitch.planes.quota.lease_table import LeaseTable
from hallhitch.planes.values import LeaseMembership
from tests.system.quota.lease_participants import BUCKET, MEMBERS, START, make_table

INCARNATION = 7  # of the coordinator
BEFORE = LeaseMembership(1, ("a", "b", "c"))
JOINT = LeaseMembership(2, ("a", "b", "d"), ("a", "b", "c"))
AFTER = LeaseMembership(4, ("a", "b", "d"))

# Base claims of two gateways; the tests add a sequence number and buckets.
CLAIM_X = LeaseClaim("x", 1, 1, MEMBERS.version, coordinator_incarnation=INCARNATION)
CLAIM_Y = LeaseClaim("y", 2, 1, MEMBERS.version, coordinator_incarnation=INCARNATION)


def test_restarted_coordinator_only_renews_within_its_grace_period() -> None:
    table = make_table(START, INCARNATION)
    assert table.vote(START + 10, replace(CLAIM_X, acquire=(BUCKET,))).rejected == {BUCKET}
    assert not table.vote(START + 20, replace(CLAIM_X, sequence=2, renew=(BUCKET,))).rejected
    grace_end = START + LEASE_DURATION_MS
    assert table.vote(grace_end + 5, replace(CLAIM_Y, acquire=(BUCKET,))).rejected == {BUCKET}
    votes = table.vote(grace_end + 25, replace(CLAIM_Y, sequence=2, acquire=(BUCKET,)))
    assert not votes.rejected and votes.idle_ms == (5,)
    assert BUCKET not in votes.predecessors  # another holder's report may be newer than that of x in the grace period


def test_claims_out_of_order_and_claims_to_another_incarnation_are_not_accepted() -> None:
    table = make_table(0.0, INCARNATION)
    assert table.vote(START, replace(CLAIM_X, sequence=5, acquire=(BUCKET,))).is_accepted
    assert not table.vote(START, replace(CLAIM_X, sequence=4, release=(BUCKET,))).is_accepted
    assert not table.vote(START, replace(CLAIM_X, sequence=6, coordinator_incarnation=8, release=(BUCKET,))).is_accepted
    assert table.vote(START, replace(CLAIM_Y, acquire=(BUCKET,))).rejected == {BUCKET}


def test_claim_of_an_older_membership_is_answered_with_the_newer_one() -> None:
    table = make_table(0.0, INCARNATION, BEFORE)
    table.set_membership(START, JOINT)
    votes = table.vote(START + 1, replace(CLAIM_X, acquire=(BUCKET,)))
    assert not votes.is_accepted and votes.membership == JOINT
    table.set_membership(START, BEFORE)  # an older membership is ignored
    assert not table.vote(START + 2, replace(CLAIM_X, sequence=2, acquire=(BUCKET,))).is_accepted


def test_voter_with_an_older_membership_than_the_claim_reports_no_earlier_holder() -> None:
    table = make_table(0.0, INCARNATION, BEFORE)
    claim = replace(CLAIM_Y, membership_version=AFTER.version, acquire=(BUCKET,))
    votes = table.vote(START, claim)
    assert votes.is_accepted and not votes.rejected and votes.idle_ms == (0,) and not votes.predecessors


def test_new_member_has_no_grace_period_and_counts_gateways_after_a_lease_duration() -> None:
    table = make_table(0.0, INCARNATION, BEFORE)
    table.set_membership(START, JOINT)
    votes = table.vote(START + 1, replace(CLAIM_X, membership_version=JOINT.version, acquire=(BUCKET,)))
    assert not votes.in_grace_period and not votes.rejected and votes.gateways_seen == 0
    later = replace(CLAIM_X, sequence=2, membership_version=JOINT.version)
    assert table.vote(START + 1 + LEASE_DURATION_MS, later).gateways_seen == 1


def test_coordinator_without_membership_does_not_vote() -> None:
    table = LeaseTable(INCARNATION, 0.0)
    assert not table.vote(START, replace(CLAIM_X, acquire=(BUCKET,))).is_accepted
