"""Watch delays of many gateways at a polled discovery, in a model without sockets."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest

from hallhitch.net.watch_backoff import MAX_MOVE_DELAY_MS, MAX_RETRY_DELAY_MS, WATCH_COST_MS, WatchBackoff

CALL_TIMEOUT_MS = 2000.0  # ms after which a call that waits at discovery times out
DURATION_MS = 600_000.0  # ms of modelled time


def watch_start_times(
    gateways: int,
    work_ms: float,
    first_delay: Callable[[int], float],
    retry_delay: Callable[[int], float],
) -> list[float]:
    """Return when each gateway's watch began, in ms, or infinity.

    Calls wait in one queue, and discovery works on a call even if its caller has timed out.
    """
    began, idle_at = [float("inf")] * gateways, 0.0
    calls = [(first_delay(n), n) for n in range(gateways)]
    heapq.heapify(calls)
    while calls and calls[0][0] < DURATION_MS:
        now, n = heapq.heappop(calls)
        done_at = max(now, idle_at) + work_ms
        if done_at - now > 2 * CALL_TIMEOUT_MS:  # the queue is full: rejected at once
            heapq.heappush(calls, (now + retry_delay(n), n))
            continue
        idle_at = done_at
        if done_at - now <= CALL_TIMEOUT_MS:
            began[n] = done_at
        else:
            heapq.heappush(calls, (now + CALL_TIMEOUT_MS + retry_delay(n), n))
    return began


@pytest.mark.parametrize("gateways", [3, 40, 400])
def test_every_gateway_gets_its_watch_at_a_polled_discovery(gateways: int) -> None:
    """Guards against a queue at discovery in which every call times out (scenario day herd: no watch in 20 s)."""
    backoffs = [WatchBackoff(gateways, True, seed) for seed in range(gateways)]
    began = watch_start_times(
        gateways, WATCH_COST_MS, lambda n: backoffs[n].first_delay_ms(False), lambda n: backoffs[n].retry_delay_ms(True)
    )
    assert max(began) < 4 * gateways * WATCH_COST_MS + CALL_TIMEOUT_MS
    if gateways == 40:  # the same queue, with gateways that start at once and retry without a back-off
        rng = random.Random(5)
        began_without_backoff = watch_start_times(
            gateways, WATCH_COST_MS, lambda n: 0.0, lambda n: 100.0 * rng.random()
        )
        assert sum(t < DURATION_MS for t in began_without_backoff) < gateways / 2


def test_delays_grow_are_random_and_bounded() -> None:
    """Guards against gateways that retry at the same time, and against one that hardly ever retries."""
    backoff = WatchBackoff(40, True, 1)
    delays = [backoff.retry_delay_ms(True) for _ in range(2000)]
    assert delays[0] >= 20 * WATCH_COST_MS and max(delays) <= 80 * WATCH_COST_MS and len(set(delays)) == len(delays)
    backoff.reset()
    assert backoff.retry_delay_ms(True) <= 40 * WATCH_COST_MS
    assert max(WatchBackoff(40, True, n).first_delay_ms(True) for n in range(99)) <= MAX_MOVE_DELAY_MS


def test_watches_that_cost_discovery_nothing_start_at_once() -> None:
    """Guards against a list that is late without need: if changes are pushed, or connections are refused."""
    pushed = WatchBackoff(40, False, 1)
    assert pushed.first_delay_ms(False) == pushed.first_delay_ms(True) == 0.0
    assert pushed.retry_delay_ms(True) <= 100.0
    refusing = WatchBackoff(40, True, 1)
    refused = [refusing.retry_delay_ms(False) for _ in range(99)]
    assert refused[0] <= 100.0 and max(refused) <= MAX_RETRY_DELAY_MS
