"""A model of the data plane: gateways that run a load-balancing policy before backends with slots and queues.

Plays one case and counts what the rules bound: value, retries, requests to cold backends, reruns. A policy sees what
its gateway would: the lists, late, and the ends of its own attempts. No sockets; simulated time is in ms.
"""
# simpy's processes, events and resources are not typed for strict checking.
# mypy: disable-error-code="no-untyped-call"

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from hallhitch.lab.data_plane_cases import MIX, Case, RequestClass
from hallhitch.lab.data_plane_cluster import CaseResult, ModelCluster, SimProcess
from hallhitch.lab.data_plane_faults import FaultInjector
from hallhitch.lab.data_plane_requests import ModelRequest, Served
from hallhitch.planes.data.interfaces import Fail, LoadBalancingPolicy, Reject
from hallhitch.planes.data.load_balancer import LoadBalancerSettings
from hallhitch.planes.values import Backend, Gateway

RETRY_BUDGET_RATIO, RETRY_WINDOW_MS, RETRY_BUDGET_SLACK = 0.2, 10_000.0, 58.0
SLOW_START_OVERSHOOT_RATIO, SLOW_START_SLACK = 1.5, 5.0
MAX_LIST_LAG_MS = 800.0
LIST_INTERVAL_MS = 500.0
FAILED_LISTED_MS = 6000.0  # how long a failed backend stays in the list
CLIENTS_START_MS = 1600.0  # once every gateway has its first list
MAX_CLIENT_TRIES = 3
CLIENT_RETRY_MS = 20.0  # after a failure that named no time
DRAIN_CASE_MS = 3000.0  # after the last request

PolicyFactory = Callable[[ModelCluster, LoadBalancerSettings, Random], LoadBalancingPolicy[Any]]


class DataPlaneModel:
    """One case: its cluster, a policy for each gateway, clients and faults."""

    def __init__(self, case: Case, seed: int, make_policy: PolicyFactory) -> None:
        self.cluster = cluster = ModelCluster(case, seed)
        self.policies: dict[str, LoadBalancingPolicy[Any]] = {}  # by gateway
        for gateway in cluster.gateways:
            policy = make_policy(cluster, _settings(gateway), Random(cluster.rng.random()))
            self.policies[gateway.name] = policy
            cluster.env.process(self._publish_lists(policy))
        for request_class in MIX:
            for zone in cluster.region_by_zone:
                cluster.env.process(self._clients(request_class, zone))
        faults = FaultInjector(cluster)
        for scheduled in case.faults:
            cluster.env.process(faults.inject(scheduled))

    def run(self) -> CaseResult:
        """Play the case to its end and count."""
        cluster = self.cluster
        cluster.env.run(until=cluster.case.duration_ms + DRAIN_CASE_MS)
        result = cluster.result
        result.max_cold_per_s = max(
            max_in_window(backend.arrivals_while_cold_ms, 1000.0) for backend in cluster.backends.values()
        )
        for service, retries_ms in cluster.retries_ms.items():
            for end_ms in retries_ms:
                retries = _count_in_window(retries_ms, end_ms)
                allowed = (
                    RETRY_BUDGET_RATIO * _count_in_window(cluster.requests_ms[service], end_ms) + RETRY_BUDGET_SLACK
                )
                result.retry_budget_use = max(result.retry_budget_use, retries / allowed)
        return result

    def _publish_lists(self, policy: LoadBalancingPolicy[Any]) -> SimProcess:
        """Keep one gateway's lists and configuration up to date, each list with a lag."""
        cluster = self.cluster
        policy.set_config(cluster.now(), cluster.config())
        evacuated_zones = cluster.evacuated_zones
        while True:
            entries = self._endpoint_list()
            yield cluster.env.timeout(MAX_LIST_LAG_MS * cluster.rng.random())
            policy.set_backends(cluster.now(), entries)
            policy.set_gateways(cluster.now(), cluster.gateways)
            if evacuated_zones != cluster.evacuated_zones:
                evacuated_zones = cluster.evacuated_zones
                policy.set_config(cluster.now(), cluster.config())
            yield cluster.env.timeout(LIST_INTERVAL_MS)

    def _endpoint_list(self) -> list[Backend]:
        oldest_ms = self.cluster.now() - FAILED_LISTED_MS
        return [
            replace(b.entry, is_draining=b.is_draining, warming_until_ms=b.cold_until_ms)
            for b in self.cluster.backends.values()
            if b.failure is None or b.cold_until_ms >= oldest_ms
        ]

    def _clients(self, request_class: RequestClass, zone: str) -> SimProcess:
        """Begin the requests of one class from one zone."""
        cluster = self.cluster
        rate_per_ms = request_class.rate_per_s * cluster.case.load / len(cluster.region_by_zone) / 1000.0
        gateways = [gateway for gateway in cluster.gateways if gateway.zone == zone] or cluster.gateways
        yield cluster.env.timeout(CLIENTS_START_MS)
        while cluster.now() < cluster.case.duration_ms:
            yield cluster.env.timeout(cluster.rng.expovariate(rate_per_ms))
            cluster.env.process(self._client(request_class, gateways))

    def _client(self, request_class: RequestClass, gateways: list[Gateway]) -> SimProcess:
        """Send one request, and send it again elsewhere after a rejection or a failure."""
        cluster, counts, route = self.cluster, self.cluster.result, request_class.route
        started_at_ms = cluster.now()
        deadline_ms = started_at_ms + route.timeout_ms
        counts.value_offered += request_class.value
        counts.requests += 1
        result: Served | Reject | Fail | None = None
        for _ in range(MAX_CLIENT_TRIES):
            gateway = cluster.rng.choice(gateways)
            request = ModelRequest(cluster, self.policies[gateway.name], gateway, request_class, deadline_ms)
            result = yield cluster.env.process(request.run())
            if isinstance(result, Served):
                self._count_served(request_class, cluster.now() - started_at_ms)
                return
            if isinstance(result, Fail) and not route.is_idempotent:
                break
            pause_ms = result.retry_after_ms if isinstance(result, Reject) else CLIENT_RETRY_MS
            yield cluster.env.timeout(min(pause_ms, max(0.0, (deadline_ms - cluster.now()) / 3)))
            if cluster.now() + request_class.mean_work_ms > deadline_ms:
                break
        if isinstance(result, Fail):
            counts.lost += 1
        else:
            counts.rejected += 1

    def _count_served(self, request_class: RequestClass, latency_ms: float) -> None:
        counts = self.cluster.result
        is_late = latency_ms > request_class.route.latency_target_ms
        counts.served += 1
        counts.late += is_late
        counts.value_earned += request_class.late_value if is_late else request_class.value


def _settings(gateway: Gateway) -> LoadBalancerSettings:
    return LoadBalancerSettings(
        gateway.name,
        gateway.zone,
        gateway.region,
        RETRY_BUDGET_RATIO,
        RETRY_WINDOW_MS,
        RETRY_BUDGET_SLACK,
        SLOW_START_OVERSHOOT_RATIO,
        SLOW_START_SLACK,
        MAX_LIST_LAG_MS,
    )


def _count_in_window(times_ms: list[float], end_ms: float) -> int:
    """How many of the times lie in the retry window that ends then."""
    return sum(1 for time_ms in times_ms if end_ms - RETRY_WINDOW_MS < time_ms <= end_ms)


def max_in_window(times_ms: list[float], window_ms: float) -> int:
    """The most of these ascending times in any window of that length."""
    most = oldest = 0
    for last, time_ms in enumerate(times_ms):
        while times_ms[oldest] <= time_ms - window_ms:
            oldest += 1
        most = max(most, last - oldest + 1)
    return most
