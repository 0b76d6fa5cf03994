"""Tests of retries and hedged requests after an attempt, and of the ejection and recovery of backends."""

from __future__ import annotations

import pytest

from hallhitch.planes.data.interfaces import Enqueue, Fail, Forward, Outcome, Reject
from tests.system.data.load_balancer_harness import NON_IDEMPOTENT_REQUEST, START_MS, LoadBalancerHarness, backend


@pytest.mark.parametrize(
    "outcome",
    [
        Outcome.CONNECTION_LOST,
        Outcome.INVALID_RESPONSE,
        Outcome.SERVER_ERROR,
        Outcome.TIMED_OUT,
        Outcome.ABANDONED,
    ],
)
def test_non_idempotent_requests_that_may_have_run_are_never_retried(outcome: Outcome) -> None:
    harness = LoadBalancerHarness(*(backend(f"i{n}") for n in range(4)))
    state, action = harness.start(START_MS, NON_IDEMPOTENT_REQUEST)
    assert isinstance(action, Forward) and action.hedge_delay_ms == 2000.0
    assert harness.balancer.next_action(START_MS + 100, state) == Enqueue(1900.0)
    harness.end_attempt(START_MS + 200, state, action, outcome)
    status = 504 if outcome is Outcome.TIMED_OUT else 502
    assert harness.balancer.next_action(START_MS + 200, state) == Fail(status)


@pytest.mark.parametrize("outcome", [Outcome.DECLINED, Outcome.MISDIRECTED, Outcome.UNREACHABLE, Outcome.CANCELLED])
def test_non_idempotent_requests_that_never_ran_are_retried_on_another_backend(outcome: Outcome) -> None:
    harness = LoadBalancerHarness(*(backend(f"i{n}") for n in range(4)))
    state, action = harness.start(START_MS, NON_IDEMPOTENT_REQUEST)
    harness.end_attempt(START_MS + 5, state, action, outcome)
    retry = harness.balancer.next_action(START_MS + 5, state)
    assert isinstance(action, Forward) and isinstance(retry, Forward) and retry.backend != action.backend


def test_at_the_deadline_requests_that_never_ran_are_rejected_and_all_others_fail() -> None:
    harness = LoadBalancerHarness(backend("i0"), backend("i1"))
    state, action = harness.start(START_MS)
    harness.end_attempt(START_MS + 1, state, action, Outcome.UNREACHABLE)
    assert isinstance(harness.balancer.next_action(START_MS + 1999, state), Reject)
    state, action = harness.start(START_MS)
    harness.end_attempt(START_MS + 1, state, action, Outcome.CONNECTION_LOST)
    assert harness.balancer.next_action(START_MS + 1999, state) == Fail(504)


def test_a_hedged_request_is_not_failed_while_an_attempt_is_in_flight() -> None:
    harness = LoadBalancerHarness(*(backend(f"i{n}") for n in range(4)))
    state, first = harness.start(START_MS)
    assert isinstance(first, Forward) and first.hedge_delay_ms < 400.0
    harness.end_attempt(START_MS + first.hedge_delay_ms, state, first, Outcome.TIMED_OUT)
    hedge = harness.balancer.next_action(START_MS + first.hedge_delay_ms, state)
    assert isinstance(hedge, Forward) and hedge.backend != first.backend
    harness.end_attempt(START_MS + 300, state, hedge, Outcome.CONNECTION_LOST)
    assert isinstance(harness.balancer.next_action(START_MS + 300, state), Enqueue)
    harness.end_attempt(START_MS + 400, state, first, Outcome.OK)


def test_requests_abandoned_by_clients_do_not_affect_the_health_of_backends() -> None:
    """Such requests must neither make a backend suspect or ejected nor continue to occupy its capacity."""
    harness = LoadBalancerHarness(backend("i0"), backend("i1"))
    now = START_MS
    for _ in range(30):  # the latency estimate learns the response times
        now += 50.0
        harness.run_one_attempt(now, Outcome.OK)
    for _ in range(60):
        now += 5.0
        state, action = harness.start(now)
        assert isinstance(action, Forward)
        harness.end_attempt(now + 4.0, state, action, Outcome.ABANDONED)
        harness.balancer.finish_request(now + 4.0, state)
    endpoints = harness.balancer._endpoint_sets["s"]
    for endpoint in endpoints.primary + endpoints.secondary:
        assert endpoint.in_flight == 0 and endpoint.health.last_failure_ms < 0
        assert not endpoint.unanswered_sends.sent_at_ms and not endpoint.zone_unanswered_sends.sent_at_ms


def test_an_unreachable_backend_is_ejected_until_a_half_open_attempt_succeeds() -> None:
    harness = LoadBalancerHarness(backend("dead"), backend("healthy"))
    now = START_MS
    while harness.run_one_attempt(now, Outcome.UNREACHABLE) != "dead":
        seed = harness.balancer._rng.randrange(10**6)
        harness = LoadBalancerHarness(backend("dead"), backend("healthy"), seed=seed)
    selected = []
    for step in range(200):  # three seconds of requests while the dead backend stays unreachable
        now = START_MS + 15.0 * (step + 1)
        state, action = harness.start(now)
        assert isinstance(action, Forward)
        selected.append(action.backend.instance)
        outcome = Outcome.UNREACHABLE if action.backend.instance == "dead" else Outcome.OK
        harness.end_attempt(now, state, action, outcome)
    assert 1 <= selected.count("dead") <= 6
    for step in range(600):  # the backend recovers: half-open attempts succeed, and it gets its share of requests again
        state, action = harness.start(now + 10.0 * step)
        assert isinstance(action, Forward)
        selected.append(action.backend.instance)
        harness.end_attempt(now + 10.0 * step, state, action, Outcome.OK)
    assert selected[-100:].count("dead") >= 20


def test_connections_that_are_never_established_eject_a_backend() -> None:
    harness = LoadBalancerHarness(backend("silent"), backend("healthy"))
    cancelled, now = 0, START_MS
    for _ in range(60):
        now += 20.0
        state, action = harness.start(now)
        assert isinstance(action, Forward)
        if action.backend.instance == "silent":
            cancelled += 1
            now += action.hedge_delay_ms
            harness.end_attempt(now, state, action, Outcome.CANCELLED, action.hedge_delay_ms)
            harness.balancer.finish_request(now, state)
        else:
            harness.end_attempt(now, state, action, Outcome.OK, 50.0)
    assert 1 <= cancelled <= 8


def test_several_connections_lost_at_once_do_not_eject_a_backend() -> None:
    harness = LoadBalancerHarness(backend("only", slots=8))
    lost = [harness.start(START_MS) for _ in range(5)]
    for state, action in lost:
        harness.end_attempt(START_MS + 10, state, action, Outcome.CONNECTION_LOST)
        harness.balancer.finish_request(START_MS + 10, state)
    state, action = harness.start(START_MS + 20)
    assert isinstance(action, Forward)
    harness.end_attempt(START_MS + 30, state, action, Outcome.OK)
    assert isinstance(harness.start(START_MS + 31, NON_IDEMPOTENT_REQUEST)[1], Forward)


def test_requests_are_forwarded_in_panic_mode_when_all_backends_are_ejected() -> None:
    harness = LoadBalancerHarness(*(backend(f"i{n}") for n in range(3)))
    for _ in range(12):
        harness.run_one_attempt(START_MS, Outcome.UNREACHABLE)
    assert isinstance(harness.start(START_MS + 1)[1], Forward)
    assert isinstance(harness.start(START_MS + 1, NON_IDEMPOTENT_REQUEST)[1], Forward)


def test_non_idempotent_requests_avoid_a_suspect_backend() -> None:
    for seed in range(30):
        harness = LoadBalancerHarness(backend("i0"), backend("i1"), seed=seed)
        suspect = harness.run_one_attempt(START_MS, Outcome.INVALID_RESPONSE)
        _, action = harness.start(START_MS + 100, NON_IDEMPOTENT_REQUEST)
        assert isinstance(action, Forward) and action.backend.instance != suspect


def test_an_overloaded_backend_is_not_selected_during_its_backoff() -> None:
    harness = LoadBalancerHarness(backend("i0"), backend("i1"))
    overloaded = harness.run_one_attempt(START_MS, Outcome.DECLINED)
    selected = {harness.run_one_attempt(START_MS + 5, Outcome.OK) for _ in range(2)}
    assert selected == {"i0", "i1"} - {overloaded}
