"""Test harness for one load balancer in a fleet of two regions; it uses no sockets, and tests pass in the time."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from hallhitch.planes.data.interfaces import Action, Forward, Outcome, RequestInfo
from hallhitch.planes.data.load_balancer import LoadBalancer, LoadBalancerSettings
from hallhitch.planes.data.request_state import RequestState
from hallhitch.planes.values import (
    Backend,
    ClusterConfig,
    Gateway,
    RequestKind,
    RequestLimits,
    Route,
    Service,
    WeightedService,
)

REGION_BY_ZONE = {"a1": "a", "a2": "a", "b1": "b"}
START_MS = 20_000.0  # after the first window of the retry budget, so that its slack is available
SERVICE = Service("s", "/", 100, 3000.0, 10.0)


@dataclass(frozen=True)
class RequestSpec:
    """The properties of a request that tests vary."""

    kind: RequestKind = RequestKind.IDEMPOTENT
    allowed_regions: frozenset[str] = frozenset()
    priority: int = 1
    max_attempts: int = 2

    def request_at(self, now: float) -> RequestInfo:
        """Return a request that arrives now, on a route with a latency target of 400 ms and a time-out of 2000 ms."""
        services = (WeightedService("s", 1.0),)
        route = Route("r", "h", "/", self.kind, 2000.0, 400.0, self.priority, services, self.max_attempts, False)
        return RequestInfo(route, "s", self.allowed_regions, self.priority, now, now + 2000.0)


ANY_REQUEST = RequestSpec()
NON_IDEMPOTENT_REQUEST = RequestSpec(RequestKind.NON_IDEMPOTENT)


def backend(
    instance: str, zone: str = "a1", slots: int = 3, is_draining: bool = False, warming_until_ms: float = 0.0
) -> Backend:
    """Return a backend of the service."""
    return Backend(instance, "s", instance, 1, zone, REGION_BY_ZONE[zone], slots, is_draining, warming_until_ms)


def gateway(name: str, zone: str) -> Gateway:
    """Return a ready gateway that serves clients."""
    return Gateway(name, name, 1, "edge", zone, REGION_BY_ZONE[zone], "x", True)


def cluster_config(evacuated_zones: frozenset[str]) -> ClusterConfig:
    """Return a configuration with a single service."""
    return ClusterConfig(1, 1, {}, {"s": SERVICE}, {}, {}, RequestLimits(), evacuated_zones)


class LoadBalancerHarness:
    """The load balancer of one gateway: the first of `gateways`, by default g0 in zone a1."""

    def __init__(
        self,
        *entries: Backend,
        gateways: tuple[Gateway, ...] = (gateway("g0", "a1"),),
        seed: int = 1,
        evacuated_zones: frozenset[str] = frozenset(),
    ) -> None:
        own = gateways[0]
        settings = LoadBalancerSettings(own.name, own.zone, own.region, 0.2, 10_000.0, 1000.0, 1.5, 5.0, 800.0)
        self.balancer = LoadBalancer(settings, Random(seed))
        self.balancer.set_config(0.0, cluster_config(evacuated_zones))
        self.balancer.set_gateways(0.0, gateways)
        self.balancer.set_backends(0.0, list(entries))
        self.balancer.begin_request(0.0, ANY_REQUEST.request_at(0.0))  # starts the first window of the retry budget

    def start(self, now: float, spec: RequestSpec = ANY_REQUEST) -> tuple[RequestState, Action]:
        """Begin a request and return its state and first action."""
        state = self.balancer.begin_request(now, spec.request_at(now))
        return state, self.balancer.next_action(now, state)

    def end_attempt(
        self, now: float, state: RequestState, action: Action, outcome: Outcome, latency_ms: float = 50.0
    ) -> None:
        """End the attempt that the action started, and also the request if the outcome is OK."""
        assert isinstance(action, Forward)
        self.balancer.on_attempt_ended(now, state, action.backend, outcome, latency_ms)
        if outcome is Outcome.OK:
            self.balancer.finish_request(now, state)

    def run_one_attempt(self, now: float, outcome: Outcome) -> str | None:
        """Run a request with one attempt of this outcome; return the backend's instance, None if not forwarded."""
        state, action = self.start(now)
        if not isinstance(action, Forward):
            return None
        self.end_attempt(now, state, action, outcome)
        self.balancer.finish_request(now, state)
        return action.backend.instance
