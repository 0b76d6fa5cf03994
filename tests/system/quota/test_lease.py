"""Where a first version of the leases breaks: coordinators that forget, claims that are late, votes that split."""

from __future__ import annotations

from dataclasses import replace

from hallhitch.planes.quota.lease import LEASE, LeaseClaim, LeaseTable, PredecessorReport, UsageReport
from hallhitch.planes.quota.lease_client import SETTLING, LeaseClient, newest
from hallhitch.planes.values import LeaseMembership

MEMBERS = LeaseMembership(1, ("a", "b", "c"))
BUCKET = 5
START = 100_000.0


def table(started: float, incarnation: int, members: LeaseMembership = MEMBERS) -> LeaseTable:
    made = LeaseTable(incarnation, started)
    made.set_membership(started, members)
    return made


def ask(incarnation: int, number: int, to: int, holder: str = "x", **lists: tuple[int, ...]) -> LeaseClaim:
    return LeaseClaim(holder, incarnation, number, MEMBERS.version, to=to, **lists)  # type: ignore[arg-type]


class Gateway:
    """A lease_client of one bucket that talks to whichever tables it is let."""

    def __init__(self, name: str, now: float) -> None:
        self.begun: list[tuple[int, float, PredecessorReport | None]] = []
        self.lease_client = LeaseClient(
            name, 1, 5000.0, lambda bucket, others, _, left, __: self.begun.append((bucket, others, left))
        )
        self.lease_client.set_membership(now, MEMBERS)
        self.lease_client.set_gateways(now - SETTLING, [name])

    def claim(self, now: float, tables: dict[str, LeaseTable], accounts: UsageReport | None = None) -> None:
        asked = self.lease_client.round(now, lambda _: True, lambda _: accounts)
        for name, one in tables.items():
            votes = one.claim(now, replace(asked, to=self.lease_client.incarnation_of(name)))
            self.lease_client.answered(now, name, asked.number, votes)

    def holds(self, now: float) -> bool:
        return self.lease_client.holds(now, BUCKET)


def test_a_lease_needs_a_majority_twice_and_ends_by_the_holders_clock() -> None:
    tables = {name: table(0.0, number + 1) for number, name in enumerate(MEMBERS.members)}
    x = Gateway("x", START)
    for step in (0, 10, 20):  # who are you; votes; confirmed
        assert not x.holds(START + step)
        x.claim(START + step, tables)
    assert x.holds(START + 30) and x.begun[BUCKET][1] <= LEASE
    x.claim(START + 300, {"a": tables["a"]})
    assert x.holds(START + 900) and not x.holds(START + 980)  # two votes are from the claim at 20


def test_a_vote_that_was_forgotten_makes_no_second_holder() -> None:
    tables = {name: table(0.0, number + 1) for number, name in enumerate(MEMBERS.members)}
    y, x, now = Gateway("y", START), Gateway("x", START), START
    for step in (0, 10, 20, 30):
        y.claim(now + step, {"a": tables["a"], "c": tables["c"]})
    x.claim(now + 600, tables)
    x.claim(now + 610, {"b": tables["b"]})  # it votes for x: nobody asked it before
    tables["b"] = table(now + 620, 9)  # and forgets it
    for step in (650, 660, 700):
        y.claim(now + step, {"b": tables["b"], "c": tables["c"]})
    x.claim(now + 1040, {"a": tables["a"]})  # y's vote there has ended
    assert y.holds(now + 1041) and not x.holds(now + 1041)
    x.claim(now + 1060, tables)
    x.claim(now + 1080, tables)
    assert y.holds(now + 1081) and not x.holds(now + 1081)


def test_a_young_coordinator_votes_only_where_a_lease_runs() -> None:
    in_grace_period = table(START, 7)
    assert in_grace_period.claim(START + 10, ask(1, 1, 7, acquire=(BUCKET,))).refused == {BUCKET}
    assert not in_grace_period.claim(START + 20, ask(1, 2, 7, renew=(BUCKET,))).refused
    assert in_grace_period.claim(START + LEASE + 5, ask(2, 1, 7, "y", acquire=(BUCKET,))).refused == {BUCKET}
    votes = in_grace_period.claim(START + LEASE + 25, ask(2, 2, 7, "y", acquire=(BUCKET,)))
    assert not votes.refused and votes.idle == (5,)
    assert BUCKET not in votes.left  # what x told while it was in_grace_period may be older than another's


def test_what_was_overtaken_or_meant_for_another_life_is_passed_over() -> None:
    old = table(0.0, 7)
    assert old.claim(START, ask(1, 5, 7, acquire=(BUCKET,))).ok
    assert not old.claim(START, ask(1, 4, 7, release=(BUCKET,))).ok
    assert not old.claim(START, ask(1, 6, 8, release=(BUCKET,))).ok
    assert old.claim(START, ask(2, 1, 7, "y", acquire=(BUCKET,))).refused == {BUCKET}


def test_who_lets_go_in_order_leaves_its_account_to_the_next() -> None:
    tables = {name: table(0.0, number + 1) for number, name in enumerate(MEMBERS.members)}
    x, y, counted = Gateway("x", START), Gateway("y", START), UsageReport({"t": (3, 1)})
    for step in (0, 10, 20):
        x.claim(START + step, tables, counted)
    x.lease_client.leave(START + 100)
    assert not x.holds(START + 100)
    x.claim(START + 100, tables, counted)
    for step in (110, 120, 130):
        y.claim(START + step, tables)
    bucket, others, left = y.begun[BUCKET]
    assert y.holds(START + 140) and others == START + 100
    assert left is not None and left.final and left.account == counted and left.age == START + 100


def test_accounts_count_only_where_all_voters_mean_the_same_holder() -> None:
    one, newer = (PredecessorReport("x", 1, number, UsageReport({}), False, 0.0) for number in (4, 5))
    assert newest([one, newer]) is newer
    assert newest([one, None]) is None and newest([one, replace(newer, incarnation=2)]) is None
