"""Forty gateways and a discovery that has to be asked, without sockets: who gets a watch, and when."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest

from hallhitch.net.watch_backoff import MAX_MOVE_DELAY_MS, MAX_RETRY_DELAY_MS, WATCH_COST_MS, WatchBackoff

PATIENCE = 2000.0  # ms that a call waits at discovery before it fails
LONG = 600_000.0  # ms that are played


def watched(
    gateways: int,
    work: float,
    first: Callable[[int], float],
    again: Callable[[int], float],
) -> list[float]:
    """When each gateway's watch began, in ms: calls wait in one line, and those given up are worked on all the same."""
    began, free = [float("inf")] * gateways, 0.0
    calls = [(first(n), n) for n in range(gateways)]
    heapq.heapify(calls)
    while calls and calls[0][0] < LONG:
        now, n = heapq.heappop(calls)
        done = max(now, free) + work
        if done - now > 2 * PATIENCE:  # the line is full: turned away at once
            heapq.heappush(calls, (now + again(n), n))
            continue
        free = done
        if done - now <= PATIENCE:
            began[n] = done
        else:
            heapq.heappush(calls, (now + PATIENCE + again(n), n))
    return began


@pytest.mark.parametrize("gateways", [3, 40, 400])
def test_every_gateway_gets_its_watch_at_a_polled_discovery(gateways: int) -> None:
    """Guards against a line at discovery that fails every call in it (day herd: none in 20 s)."""
    backoffs = [WatchBackoff(gateways, True, seed) for seed in range(gateways)]
    began = watched(
        gateways, WATCH_COST_MS, lambda n: backoffs[n].first_delay_ms(False), lambda n: backoffs[n].retry_delay_ms(True)
    )
    assert max(began) < 4 * gateways * WATCH_COST_MS + PATIENCE
    if gateways == 40:  # the same line, with gateways that begin together and come again at once
        chance = random.Random(5)
        stormed = watched(gateways, WATCH_COST_MS, lambda n: 0.0, lambda n: 100.0 * chance.random())
        assert sum(t < LONG for t in stormed) < gateways / 2


def test_delays_grow_are_random_and_bounded() -> None:
    """Guards against gateways that come again together, and against one that hardly comes again at all."""
    backoff = WatchBackoff(40, True, 1)
    waits = [backoff.retry_delay_ms(True) for _ in range(2000)]
    assert waits[0] >= 20 * WATCH_COST_MS and max(waits) <= 80 * WATCH_COST_MS and len(set(waits)) == len(waits)
    backoff.reset()
    assert backoff.retry_delay_ms(True) <= 40 * WATCH_COST_MS
    assert max(WatchBackoff(40, True, n).first_delay_ms(True) for n in range(99)) <= MAX_MOVE_DELAY_MS


def test_watches_that_cost_discovery_nothing_start_at_once() -> None:
    """Guards against a list that is late for no reason: changes that come by themselves, refused connections."""
    pushed = WatchBackoff(40, False, 1)
    assert pushed.first_delay_ms(False) == pushed.first_delay_ms(True) == 0.0
    assert pushed.retry_delay_ms(True) <= 100.0
    refusing = WatchBackoff(40, True, 1)
    refused = [refusing.retry_delay_ms(False) for _ in range(99)]
    assert refused[0] <= 100.0 and max(refused) <= MAX_RETRY_DELAY_MS
