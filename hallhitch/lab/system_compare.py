"""The decisions of a gateway beside a chooser that sees everything, on the same days of the model."""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import dataclass
from random import Random

from hallhitch.lab.system_cases import CASES
from hallhitch.lab.system_model import Machine, World
from hallhitch.planes.data.interfaces import (
    Action,
    Enqueue,
    Fail,
    Forward,
    LoadBalancingPolicy,
    Outcome,
    Reject,
    RequestInfo,
)
from hallhitch.planes.data.load_balancer import LoadBalancer, LoadBalancerSettings
from hallhitch.planes.data.request_state import RequestState
from hallhitch.planes.values import Backend, ClusterConfig


class SeesAll:
    """The chooser to compare with: it sees every backend's queue and health, and never tries twice."""

    def __init__(self, world: World, settings: LoadBalancerSettings, rng: Random) -> None:
        self._world, self._settings, self._rng = world, settings, rng
        self._sent: Counter[str] = Counter()

    def set_backends(self, now: float, entries: object) -> None:
        """Not needed."""

    def set_gateways(self, now: float, own: str, entries: object) -> None:
        """Not needed."""

    def set_config(self, now: float, config: ClusterConfig) -> None:
        """Not needed."""

    def begin_request(self, now: float, ask: RequestInfo) -> _Seen:
        """A try was admitted."""
        return _Seen(ask)

    def next_action(self, now: float, exchange: _Seen) -> Action:
        """The one that would begin it first, near ones among equals."""
        ask = exchange.request
        if exchange.sent:
            return Enqueue(ask.deadline_ms - now) if now < ask.deadline_ms else Fail(504)

        def cost(m: Machine) -> float:
            away = m.entry.zone != self._settings.zone
            far = m.entry.region != self._settings.region
            # What is on its way is not in the queue yet, but it is known here.
            waits = max(0, len(m.works) + 1 - m.entry.slots) / m.entry.slots
            return waits + m.speed * 0.5 + 0.1 * away + 1.0 * far + 0.01 * self._rng.random()

        fit = [
            m
            for m in self._world.machines.values()
            if m.entry.service == ask.service
            and not m.dead
            and not m.draining
            and m.cold_until <= now
            and m.entry.zone not in self._world.evacuated
            and (not ask.allowed_regions or m.entry.region in ask.allowed_regions)
        ]
        if not fit:
            return Reject(300.0)
        exchange.sent = True
        return Forward(min(fit, key=cost).entry, ask.deadline_ms - now)

    def on_attempt_ended(self, now: float, exchange: _Seen, backend: Backend, outcome: Outcome, lag: float) -> None:
        """Not needed."""
        exchange.sent = outcome.may_have_run

    def finish_request(self, now: float, exchange: _Seen) -> None:
        """Not needed."""


@dataclass
class _Seen:
    request: RequestInfo
    sent: bool = False


def thin(world: World, settings: LoadBalancerSettings, rng: Random) -> LoadBalancingPolicy[RequestState]:
    """The decisions as they run in a gateway."""
    return LoadBalancer(settings, rng)


if __name__ == "__main__":
    for case in CASES:
        if len(sys.argv) > 1 and case.name not in sys.argv[1:]:
            continue
        print(f"{case.name:10} thin {World(case, 1, thin).run().line()}")
        print(f"{'':10} all  {World(case, 1, SeesAll).run().line()}")
