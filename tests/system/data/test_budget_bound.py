"""The retry budget: the parts of all gateways stay within the rule, whatever comes when."""

from __future__ import annotations

from random import Random

import pytest

from hallhitch.planes.data.retry_budget import RetryBudget

RATIO, WINDOW, SLACK = 0.2, 10_000.0, 58.0


@pytest.mark.parametrize("seed", range(60))
def test_every_window_of_all_gateways_is_within_the_rule(seed: int) -> None:
    rng = Random(seed)
    count = rng.randint(1, 6)
    budgets = [RetryBudget(RATIO, WINDOW, SLACK, 0.0) for _ in range(count)]
    firsts: list[float] = []
    further: list[float] = []
    now = 0.0
    while now < 45_000.0:
        now += rng.expovariate(0.05 if rng.random() < 0.5 or now % 15_000 > 7000 else 0.005)
        budget = rng.choice(budgets)
        if rng.random() < 0.5:
            budget.record_request(now)
            firsts.append(now)
        elif budget.allows_retry(now, count):
            mark = budget.spend(now)
            if rng.random() < 0.2:
                budget.refund(mark)
            else:
                further.append(now)
    for start in [t - 1e-6 for t in further] + [t - WINDOW for t in further]:
        mine = sum(1 for t in further if start < t <= start + WINDOW)
        asked = max(
            sum(1 for t in firsts if start - back < t <= start - back + WINDOW) for back in (0.0, WINDOW / 2, WINDOW)
        )
        assert mine <= RATIO * asked + SLACK
    assert further


def test_a_fresh_process_has_no_slack_for_a_window() -> None:
    budget = RetryBudget(RATIO, WINDOW, SLACK, 0.0)
    assert not budget.allows_retry(9000.0, 1)
    assert budget.allows_retry(10_000.0, 1)
    assert not budget.allows_retry(10_000.0, 1000)


def test_what_never_arrived_is_given_back() -> None:
    budget = RetryBudget(RATIO, WINDOW, 0.0, 0.0)
    for at in range(10):
        budget.record_request(float(at))
    mark = budget.spend(20.0)
    assert not budget.allows_retry(20.0, 1)
    budget.refund(mark)
    assert budget.allows_retry(20.0, 1)
