"""Tests of which endpoints a request may go to, and of queueing and rejection when none has capacity."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hallhitch.planes.data.interfaces import Enqueue, Fail, Forward, Outcome, Reject
from hallhitch.planes.values import RequestKind
from tests.system.data.load_balancer_harness import (
    ANY_REQUEST,
    NON_IDEMPOTENT_REQUEST,
    START_MS,
    LoadBalancerHarness,
    RequestSpec,
    backend,
    gateway,
)


def selected_instances(harness: LoadBalancerHarness, count: int, spec: RequestSpec = ANY_REQUEST) -> set[str]:
    """Start `count` requests at once and return the instances of the backends that they go to."""
    actions = [harness.start(START_MS, spec)[1] for _ in range(count)]
    return {action.backend.instance for action in actions if isinstance(action, Forward)}


@pytest.mark.parametrize("kind", list(RequestKind))
def test_draining_evacuated_and_disallowed_backends_are_never_selected(kind: RequestKind) -> None:
    harness = LoadBalancerHarness(
        backend("draining", is_draining=True),
        backend("evacuated", "a2"),
        backend("remote", "b1"),
        evacuated_zones=frozenset({"a2"}),
    )
    assert selected_instances(harness, 40, RequestSpec(kind, allowed_regions=frozenset({"a"}))) == set()
    assert selected_instances(harness, 40, RequestSpec(kind)) == {"remote"}


# Guards against requests that may run once at a backend of which the list cannot be read whole (TWICE, DRAIN).
@pytest.mark.parametrize("kind", list(RequestKind))
def test_backend_that_is_known_in_part_gets_only_idempotent_requests(kind: RequestKind) -> None:
    partly_known = replace(backend("partly-known"), is_idempotent_only=True)
    expected = set() if kind is RequestKind.NON_IDEMPOTENT else {"partly-known"}
    harness = LoadBalancerHarness(partly_known)
    assert selected_instances(harness, 3, RequestSpec(kind)) == expected
    known_again = LoadBalancerHarness(partly_known)
    known_again.balancer.set_backends(START_MS, [backend("partly-known")])
    assert selected_instances(known_again, 1, NON_IDEMPOTENT_REQUEST) == {"partly-known"}


def test_another_region_is_selected_only_when_the_local_region_has_no_capacity() -> None:
    harness = LoadBalancerHarness(backend("near", slots=6), backend("remote", "b1", slots=6))
    assert selected_instances(harness, 4) == {"near"}
    assert selected_instances(harness, 10) == {"near", "remote"}


def test_downloads_stay_in_the_local_region_when_it_has_no_capacity() -> None:
    harness = LoadBalancerHarness(backend("near"), backend("remote", "b1"))
    assert selected_instances(harness, 30, RequestSpec(RequestKind.DOWNLOAD)) == {"near"}


def test_retries_never_go_to_a_backend_that_was_already_tried() -> None:
    for seed in range(50):
        harness = LoadBalancerHarness(*(backend(f"i{n}") for n in range(4)), seed=seed)
        state, action = harness.start(START_MS, RequestSpec(max_attempts=4))
        tried = []
        while isinstance(action, Forward):
            tried.append(action.backend.instance)
            harness.end_attempt(START_MS, state, action, Outcome.SERVER_ERROR)
            action = harness.balancer.next_action(START_MS, state)
        assert action == Fail(502)
        assert len(tried) == len(set(tried)) == 4


def test_requests_without_capacity_are_queued_then_rejected_within_a_quarter_of_the_target() -> None:
    harness = LoadBalancerHarness(backend("near"))
    for _ in range(20):
        harness.start(START_MS)
    state, action = harness.start(START_MS)
    now = START_MS
    while isinstance(action, Enqueue):
        assert action.recheck_after_ms > 0
        now += action.recheck_after_ms
        action = harness.balancer.next_action(now, state)
    assert isinstance(action, Reject)
    assert START_MS < now <= START_MS + 100.0
    assert 0 < action.retry_after_ms < 1000.0


def test_a_released_slot_goes_to_the_request_of_higher_priority() -> None:
    harness = LoadBalancerHarness(backend("near"))
    forwarded = []
    for _ in range(20):
        state, action = harness.start(START_MS, NON_IDEMPOTENT_REQUEST)
        if isinstance(action, Forward):
            forwarded.append((state, action))
        else:
            harness.balancer.finish_request(START_MS, state)
    low, low_action = harness.start(START_MS, replace(NON_IDEMPOTENT_REQUEST, priority=2))
    high, high_action = harness.start(START_MS, replace(NON_IDEMPOTENT_REQUEST, priority=0))
    assert isinstance(low_action, Enqueue) and isinstance(high_action, Enqueue)
    harness.end_attempt(START_MS + 9, *forwarded[0], Outcome.OK)
    assert isinstance(harness.balancer.next_action(START_MS + 10, low), Enqueue)
    assert isinstance(harness.balancer.next_action(START_MS + 10, high), Forward)
    harness.end_attempt(START_MS + 11, *forwarded[1], Outcome.OK)
    assert isinstance(harness.balancer.next_action(START_MS + 12, low), Forward)


def test_non_idempotent_requests_of_all_gateways_together_never_fill_a_queue() -> None:
    """Each of several gateways in turn sends as many requests as it may to the same few backends."""
    fleet = [gateway(f"g{n}", "a1" if n % 2 else "a2") for n in range(6)]
    entries = [backend(f"i{n}", "a1" if n % 2 else "a2") for n in range(8)]
    in_flight = dict.fromkeys((e.instance for e in entries), 0)
    for own in range(6):
        harness = LoadBalancerHarness(*entries, gateways=(*fleet[own:], *fleet[:own]), seed=own)
        for _ in range(60):
            _, action = harness.start(START_MS, NON_IDEMPOTENT_REQUEST)
            if isinstance(action, Forward):
                in_flight[action.backend.instance] += 1
    assert max(in_flight.values()) <= 3 * 3  # three times the slots: a queue holds more than twice the slots
    assert min(in_flight.values()) >= 3
