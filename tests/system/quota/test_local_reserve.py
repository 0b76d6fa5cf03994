"""The local reserve: all reserves together stay within their share, and a new process has no reserve at first."""

from __future__ import annotations

import pytest

from hallhitch.planes.quota.limits import QuotaRule, RateLimit
from hallhitch.planes.quota.local_reserve import LocalReserve

QUOTA = QuotaRule(5000.0, 0.1, 20.0)
LIMIT = RateLimit(155.0, 155.0)


def take_many(reserve: LocalReserve, now: float) -> int:
    """Try to take a hundred units at once; return how many were granted."""
    return sum(reserve.take(now, "t", LIMIT) is not None for _ in range(100))


@pytest.mark.parametrize("gateways", [1, 3, 9, 100])
def test_holder_and_all_reserves_stay_within_the_rule(gateways: int) -> None:
    limits = QUOTA.reserve_limits(LIMIT, gateways)
    windows = 5000 / limits.steady.window_ms
    assert windows % 1 == 0  # otherwise one more short window would fit into the rule's window
    reserve_units = limits.steady.units * windows + limits.burst_units
    assert QUOTA.holder_limit(LIMIT) + gateways * reserve_units <= QUOTA.total_limit(LIMIT)


def test_reserve_opens_after_a_window_once_a_quorum_has_counted_the_gateways() -> None:
    reserve = LocalReserve(QUOTA, 0.0)
    reserve.observe_gateways(100.0, 9, is_quorum=True)
    assert reserve.take(4000.0, "t", LIMIT) is None
    reserve.observe_gateways(6000.0, 3, is_quorum=False)
    assert reserve.take(6000.0, "t", LIMIT) is None  # no quorum has reported the number of gateways
    reserve.observe_gateways(6001.0, 3, is_quorum=True)
    limits = QUOTA.reserve_limits(LIMIT, 9 * 1.25 + 1)  # nine gateways were seen within the last minute
    assert take_many(reserve, 6002.0) == int(limits.steady.units) + int(limits.burst_units)


def test_configured_number_of_gateways_opens_the_reserve_after_its_own_short_window() -> None:
    steady = QUOTA.reserve_limits(LIMIT, 10).steady
    reserve = LocalReserve(QUOTA, 0.0)
    reserve.set_max_gateways(10)
    reserve.observe_gateways(100.0, 2, is_quorum=False)
    assert steady.window_ms < 1000.0
    assert reserve.take(steady.window_ms, "t", LIMIT) is None  # the previous incarnation may have used it
    available_at = steady.window_ms + 100
    assert take_many(reserve, available_at) == int(steady.units)
    assert reserve.take(available_at + steady.window_ms - 60, "t", LIMIT) is None
    assert reserve.take(available_at + steady.window_ms + 110, "t", LIMIT) is not None
    reserve.observe_gateways(2300.0, 11, is_quorum=False)  # more gateways than configured, and no quorum has reported
    assert reserve.take(4000.0, "t", LIMIT) is None
