"""Acquisition of a lease when coordinators restart, claims are late and votes are split."""

from __future__ import annotations

from dataclasses import replace

from hallhitch.planes.quota.lease import LEASE_DURATION_MS, NO_USAGE, PredecessorReport, UsageReport
from hallhitch.planes.quota.lease_acquisition import newest_common_report
from tests.system.quota.lease_participants import (
    BUCKET,
    MEMBERS,
    ROUNDS,
    START,
    ClaimingGateway,
    make_table,
    make_tables,
    select,
)


def test_lease_needs_a_majority_twice_and_ends_by_the_holders_clock() -> None:
    tables = make_tables(MEMBERS.members)
    gateway_x = ClaimingGateway("x", START)
    for delay_ms in ROUNDS[:3]:
        assert not gateway_x.is_holder(START + delay_ms)
        gateway_x.claim(START + delay_ms, tables)
    assert gateway_x.is_holder(START + 30) and gateway_x.lease_starts[BUCKET].exclusive_since <= LEASE_DURATION_MS
    gateway_x.claim(START + 300, select(tables, "a"))  # the other two votes are from the claim at 20
    assert gateway_x.is_holder(START + 900) and not gateway_x.is_holder(START + 980)


def test_vote_forgotten_in_a_restart_does_not_lead_to_two_holders() -> None:
    tables = make_tables(MEMBERS.members)
    gateway_y, gateway_x, now = ClaimingGateway("y", START), ClaimingGateway("x", START), START
    gateway_y.claim_rounds(now, select(tables, "ac"))
    gateway_x.claim(now + 600, tables)
    gateway_x.claim(now + 610, select(tables, "b"))  # b votes for x, as it has received no claim before
    tables["b"] = make_table(now + 620, 9)  # b restarts and forgets that vote
    gateway_y.claim_rounds(now, select(tables, "bc"), rounds=(650, 660, 700))
    gateway_x.claim(now + 1040, select(tables, "a"))  # y's vote there has expired
    assert gateway_y.is_holder(now + 1041) and not gateway_x.is_holder(now + 1041)
    gateway_x.claim(now + 1060, tables)
    gateway_x.claim(now + 1080, tables)
    assert gateway_y.is_holder(now + 1081) and not gateway_x.is_holder(now + 1081)


def test_graceful_release_hands_the_usage_report_to_the_next_holder() -> None:
    tables = make_tables(MEMBERS.members)
    gateway_x, gateway_y, usage = ClaimingGateway("x", START), ClaimingGateway("y", START), UsageReport({"t": (3, 1)})
    gateway_x.claim_rounds(START, tables, rounds=ROUNDS[:3], usage=usage)
    gateway_x.lease_client.release_all(START + 100)
    assert not gateway_x.is_holder(START + 100)
    gateway_x.claim(START + 100, tables, usage)
    gateway_y.claim_rounds(START, tables, rounds=(110, 120, 130))
    start = gateway_y.lease_starts[BUCKET]
    assert start.bucket == BUCKET and gateway_y.is_holder(START + 140) and start.exclusive_since == START + 100
    predecessor = start.predecessor
    assert predecessor is not None and predecessor.is_final
    assert predecessor.usage == usage and predecessor.received_at == START + 100


def test_reports_are_used_only_if_all_voters_report_the_same_holder() -> None:
    older, newer = (PredecessorReport("x", 1, sequence, NO_USAGE, False, 0.0) for sequence in (4, 5))
    assert newest_common_report([older, newer]) is newer
    assert newest_common_report([older, None]) is None
    assert newest_common_report([older, replace(newer, incarnation=2)]) is None
