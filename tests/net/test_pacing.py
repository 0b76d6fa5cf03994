"""Forty gateways and a discovery that has to be asked, without sockets: who gets a watch, and when."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest

from hallhitch.net.pacing import AGAIN_MOST, MOVE, TURN, Pacing

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
def test_all_get_their_watch_in_turn(gateways: int) -> None:
    """Guards against a line at discovery that fails every call in it (day herd: none in 20 s)."""
    pacings = [Pacing(gateways, True, seed) for seed in range(gateways)]
    began = watched(gateways, TURN, lambda n: pacings[n].first(False), lambda n: pacings[n].failed(True))
    assert max(began) < 4 * gateways * TURN + PATIENCE
    if gateways == 40:  # the same line, with gateways that begin together and come again at once
        chance = random.Random(5)
        stormed = watched(gateways, TURN, lambda n: 0.0, lambda n: 100.0 * chance.random())
        assert sum(t < LONG for t in stormed) < gateways / 2


def test_waits_grow_scatter_and_are_bounded() -> None:
    """Guards against gateways that come again together, and against one that hardly comes again at all."""
    pacing = Pacing(40, True, 1)
    waits = [pacing.failed(True) for _ in range(2000)]
    assert waits[0] >= 20 * TURN and max(waits) <= 80 * TURN and len(set(waits)) == len(waits)
    pacing.answered()
    assert pacing.failed(True) <= 40 * TURN
    assert max(Pacing(40, True, n).first(True) for n in range(99)) <= MOVE


def test_what_costs_discovery_nothing_is_asked_at_once() -> None:
    """Guards against a list that is late for no reason: changes that come by themselves, refused connections."""
    pushed = Pacing(40, False, 1)
    assert pushed.first(False) == pushed.first(True) == 0.0
    assert pushed.failed(True) <= 100.0
    refusing = Pacing(40, True, 1)
    refused = [refusing.failed(False) for _ in range(99)]
    assert refused[0] <= 100.0 and max(refused) <= AGAIN_MOST
