"""Tests of the retry budget: all gateways together stay within the configured bound for any arrival pattern."""

from __future__ import annotations

from random import Random

import pytest

from hallhitch.planes.data.retry_budget import RetryBudget

RATIO, WINDOW_MS, SLACK = 0.2, 10_000.0, 58.0


@pytest.mark.parametrize("seed", range(60))
def test_every_window_of_all_gateways_together_is_within_the_bound(seed: int) -> None:
    rng = Random(seed)
    gateway_count = rng.randint(1, 6)
    budgets = [RetryBudget(RATIO, WINDOW_MS, SLACK, 0.0) for _ in range(gateway_count)]
    requests: list[float] = []
    retries: list[float] = []
    now = 0.0
    while now < 45_000.0:
        now += rng.expovariate(0.05 if rng.random() < 0.5 or now % 15_000 > 7000 else 0.005)
        budget = rng.choice(budgets)
        if rng.random() < 0.5:
            budget.record_request(now)
            requests.append(now)
        elif budget.allows_retry(now, gateway_count):
            spent_at_ms = budget.spend(now)
            if rng.random() < 0.2:
                budget.refund(spent_at_ms)
            else:
                retries.append(now)
    for start in [t - 1e-6 for t in retries] + [t - WINDOW_MS for t in retries]:
        retried = sum(1 for t in retries if start < t <= start + WINDOW_MS)
        requested = max(
            sum(1 for t in requests if start - skew < t <= start - skew + WINDOW_MS)
            for skew in (0.0, WINDOW_MS / 2, WINDOW_MS)
        )
        assert retried <= RATIO * requested + SLACK
    assert retries


def test_a_new_process_has_no_slack_during_its_first_window() -> None:
    budget = RetryBudget(RATIO, WINDOW_MS, SLACK, 0.0)
    assert not budget.allows_retry(9000.0, 1)
    assert budget.allows_retry(10_000.0, 1)
    assert not budget.allows_retry(10_000.0, 1000)


def test_refunded_retries_do_not_count() -> None:
    budget = RetryBudget(RATIO, WINDOW_MS, 0.0, 0.0)
    for n in range(10):
        budget.record_request(float(n))
    spent_at_ms = budget.spend(20.0)
    assert not budget.allows_retry(20.0, 1)
    budget.refund(spent_at_ms)
    assert budget.allows_retry(20.0, 1)
