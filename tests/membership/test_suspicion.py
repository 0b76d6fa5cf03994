"""Time-outs of suspicions: how long a suspected member has to refute."""

from __future__ import annotations

import pytest

from hallhitch.membership.records import MemberKey
from hallhitch.membership.suspicion import REPORTED_FAILURE_WEIGHT, Suspicion, SuspicionTable

KEY = MemberKey("g1", 1)


def make_suspicion(accusers: int, other_accusers: int = 10) -> Suspicion:
    """Return a suspicion that began at 0 ms and lasts for 100 to 600 ms."""
    suspicion = Suspicion(0.0, 100.0, 600.0, other_accusers)
    for accuser in range(accusers):
        suspicion.accuse(accuser)
    return suspicion


@pytest.mark.parametrize(("accusers", "expires_at"), [(1, 600.0), (2, 350.0), (4, 100.0), (6, 100.0)])
def test_time_out_shrinks_with_independent_accusers(accusers: int, expires_at: float) -> None:
    assert make_suspicion(accusers).expires_at == pytest.approx(expires_at)


def test_time_out_is_minimal_where_too_few_members_could_confirm() -> None:
    assert make_suspicion(1, other_accusers=2).expires_at == 100.0


def test_each_accuser_counts_once() -> None:
    suspicion = make_suspicion(1)
    assert not suspicion.accuse(0)
    assert suspicion.expires_at == 600.0


def test_reported_failure_counts_as_two_accusers() -> None:
    suspicion = make_suspicion(1)
    assert suspicion.accuse(7, REPORTED_FAILURE_WEIGHT)
    assert suspicion.expires_at == pytest.approx(make_suspicion(3).expires_at)


def test_table_wakes_at_the_first_expiry_and_is_postponed_by_a_stall() -> None:
    table = SuspicionTable()
    table.open(KEY, make_suspicion(1))
    table.open(MemberKey("g2", 2), make_suspicion(4))
    assert table.wake_at == pytest.approx(100.0)
    assert table.expired(100.0) == [MemberKey("g2", 2)]
    table.postpone(50.0)
    assert table.wake_at == pytest.approx(150.0)
    assert table.expired(100.0) == []
    table.restart(1_000.0)
    assert table.wake_at == pytest.approx(1_100.0)
    table.close(MemberKey("g2", 2))
    table.reschedule()
    assert table.wake_at == pytest.approx(1_600.0)
