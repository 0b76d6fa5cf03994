"""Acquisition of a lease where coordinators restart, claims are late and votes are split."""

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
    x = ClaimingGateway("x", START)
    for delay_ms in ROUNDS[:3]:
        assert not x.is_holder(START + delay_ms)
        x.claim(START + delay_ms, tables)
    assert x.is_holder(START + 30) and x.lease_starts[BUCKET].exclusive_since <= LEASE_DURATION_MS
    x.claim(START + 300, select(tables, "a"))
    assert x.is_holder(START + 900) and not x.is_holder(START + 980)  # two votes are from the claim at 20


def test_forgotten_vote_makes_no_second_holder() -> None:
    tables = make_tables(MEMBERS.members)
    y, x, now = ClaimingGateway("y", START), ClaimingGateway("x", START), START
    y.claim_rounds(now, select(tables, "ac"))
    x.claim(now + 600, tables)
    x.claim(now + 610, select(tables, "b"))  # b votes for x, as nobody has claimed from it before
    tables["b"] = make_table(now + 620, 9)  # and forgets that
    y.claim_rounds(now, select(tables, "bc"), rounds=(650, 660, 700))
    x.claim(now + 1040, select(tables, "a"))  # y's vote there has expired
    assert y.is_holder(now + 1041) and not x.is_holder(now + 1041)
    x.claim(now + 1060, tables)
    x.claim(now + 1080, tables)
    assert y.is_holder(now + 1081) and not x.is_holder(now + 1081)


def test_graceful_release_hands_the_usage_report_to_the_next_holder() -> None:
    tables = make_tables(MEMBERS.members)
    x, y, usage = ClaimingGateway("x", START), ClaimingGateway("y", START), UsageReport({"t": (3, 1)})
    x.claim_rounds(START, tables, rounds=ROUNDS[:3], usage=usage)
    x.lease_client.release_all(START + 100)
    assert not x.is_holder(START + 100)
    x.claim(START + 100, tables, usage)
    y.claim_rounds(START, tables, rounds=(110, 120, 130))
    start = y.lease_starts[BUCKET]
    assert start.bucket == BUCKET and y.is_holder(START + 140) and start.exclusive_since == START + 100
    predecessor = start.predecessor
    assert predecessor is not None and predecessor.is_final
    assert predecessor.usage == usage and predecessor.received_at == START + 100


def test_reports_count_only_if_all_voters_report_of_the_same_holder() -> None:
    older, newer = (PredecessorReport("x", 1, sequence, NO_USAGE, False, 0.0) for sequence in (4, 5))
    assert newest_common_report([older, newer]) is newer
    assert newest_common_report([older, None]) is None
    assert newest_common_report([older, replace(newer, incarnation=2)]) is None
