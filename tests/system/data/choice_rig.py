"""Values for the tests of the decisions: a small place of two regions, and a driver of exchanges by hand."""

from __future__ import annotations

from random import Random

from hallhitch.planes.data.interfaces import Action, Forward, Outcome, RequestInfo
from hallhitch.planes.data.load_balancer import LoadBalancer, LoadBalancerSettings
from hallhitch.planes.data.request_state import RequestState
from hallhitch.planes.values import Backend, ClusterConfig, Gateway, RequestKind, RequestLimits, Route, Service

ZONES = {"a1": "a", "a2": "a", "b1": "b"}
START = 20_000.0  # ms: past the first window, so that the slack counts
SERVICE = Service("s", "/", 100, 3000.0, 10.0)


def route(kind: str = "idempotent", priority: int = 1, attempts: int = 2) -> Route:
    """A route to the service with a target of 400 ms."""
    return Route("r", "h", "/", RequestKind(kind), 2000.0, 400.0, priority, (("s", 1.0),), attempts, False)


def backend(instance: str, zone: str = "a1", slots: int = 3, draining: bool = False, cold: float = 0.0) -> Backend:
    """A backend of the service."""
    return Backend(instance, "s", instance, 1, zone, ZONES[zone], slots, draining, cold)


def gateway(name: str, zone: str) -> Gateway:
    """A gateway that takes clients."""
    return Gateway(name, name, 1, "edge", zone, ZONES[zone], "x", True)


def word(evacuated: frozenset[str] = frozenset(), service: Service = SERVICE) -> ClusterConfig:
    """A word with the one service."""
    return ClusterConfig(1, 1, {}, {"s": service}, {}, {}, RequestLimits(), evacuated)


class Rig:
    """One gateway's decisions; the first of `gateways` is itself, g0 in zone a1 unless told."""

    def __init__(
        self,
        *entries: Backend,
        gateways: tuple[Gateway, ...] = (gateway("g0", "a1"),),
        seed: int = 1,
        slack: float = 1000.0,
        evacuated: frozenset[str] = frozenset(),
    ) -> None:
        own = gateways[0]
        settings = LoadBalancerSettings(own.name, own.zone, own.region, 0.2, 10_000.0, slack, 1.5, 5.0, 800.0)
        self.choice, self.entries = LoadBalancer(settings, Random(seed)), list(entries)
        self.choice.set_config(0.0, word(evacuated))
        self.choice.set_gateways(0.0, own.name, gateways)
        self.choice.set_backends(0.0, self.entries)
        self.choice.begin_request(0.0, self.ask(0.0))  # the window of the budget begins

    def ask(
        self,
        now: float,
        kind: str = "idempotent",
        homes: frozenset[str] = frozenset(),
        priority: int = 1,
        attempts: int = 2,
    ) -> RequestInfo:
        """One try that came just now."""
        return RequestInfo(route(kind, priority, attempts), "s", homes, priority, now, now + 2000.0)

    def open(
        self,
        now: float,
        kind: str = "idempotent",
        homes: frozenset[str] = frozenset(),
        priority: int = 1,
        attempts: int = 2,
    ) -> tuple[RequestState, Action]:
        """A new try and the first step of it."""
        run = self.choice.begin_request(now, self.ask(now, kind, homes, priority, attempts))
        return run, self.choice.next_action(now, run)

    def end(self, now: float, run: RequestState, step: Action, outcome: Outcome, lag: float = 50.0) -> None:
        """The attempt of that step ends."""
        assert isinstance(step, Forward)
        self.choice.on_attempt_ended(now, run, step.backend, outcome, lag)
        if outcome is Outcome.OK:
            self.choice.finish_request(now, run)

    def fail(self, now: float, outcome: Outcome) -> str | None:
        """One exchange that ends so at its first backend; returns which it was."""
        run, step = self.open(now)
        if not isinstance(step, Forward):
            return None
        self.end(now, run, step, outcome)
        self.choice.finish_request(now, run)
        return step.backend.instance
