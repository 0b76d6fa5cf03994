"""Cost of a request by the number of endpoints, gateways and tenants: selecting an endpoint, counting a tenant."""

from __future__ import annotations

import itertools
import math
import random
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Annotated, Final

from benchmarks.measuring import processor_us, traced_bytes
from benchmarks.sample_data import sample_gateway
from hallhitch.planes.data.interfaces import Forward, Outcome, RequestInfo
from hallhitch.planes.data.load_balancer import LoadBalancer, LoadBalancerSettings
from hallhitch.planes.quota import lease_messages
from hallhitch.planes.quota.lease import LeaseClaim, UsageReport
from hallhitch.planes.quota.limits import BUCKET_COUNT, QuotaRule, RateLimit
from hallhitch.planes.quota.tenant_counter import TenantCounter
from hallhitch.planes.values import Backend, ClusterConfig, Gateway, RequestKind, Route, Service, WeightedService

# `sample_gateway` puts each 28th number into one region; there the zones 0 and 28 take turns.
REGION_STRIDE: Final = 28
REQUEST_TIMEOUT_MS: Final = 3000.0
LATENCY_TARGET_MS: Final = 800.0
BACKEND_LATENCY_MS: Final = 5.0
FIRST_REQUEST_MS: Final = 10_000.0  # the endpoints were set at 0
ADD_INTERVAL_MS: Final = 0.01


@dataclass(frozen=True, slots=True)
class SelectionCost:
    """What selecting an endpoint costs a gateway."""

    backends: Annotated[int, "backends of the service"]
    gateways: Annotated[int, "gateways of the region"]
    request_us: Annotated[float, "one request us"]
    build_ms: Annotated[float, "first placement ms"]
    rebuild_ms: Annotated[float, "placement after one came or went ms"]
    memory_mb: Annotated[float, "memory MB"]


@dataclass(frozen=True, slots=True)
class _Site:
    """One region of two zones with one service, seen from its first gateway."""

    route: Route
    config: ClusterConfig
    gateways: list[Gateway]
    backends: list[Backend]

    def build_balancer(self) -> LoadBalancer:
        """Return a load balancer with everything set at time 0."""
        own = self.gateways[0]
        balancer = LoadBalancer(LoadBalancerSettings(own.name, own.zone, own.region), random.Random(1))
        balancer.set_config(0.0, self.config)
        balancer.set_gateways(0.0, self.gateways)
        balancer.set_backends(0.0, self.backends)
        return balancer


def _build_site(backend_count: int, gateway_count: int) -> _Site:
    service = Service("s", "/health", 100, 0.0, 0.0)
    services = (WeightedService("s", 1.0),)
    kind = RequestKind.IDEMPOTENT
    route = Route("r", "h", "/", kind, REQUEST_TIMEOUT_MS, LATENCY_TARGET_MS, 0, services, 2, True)
    peers = [
        replace(sample_gateway(number * REGION_STRIDE), zone=f"namaka-{number % 2 * REGION_STRIDE}", region="region-0")
        for number in range(1, gateway_count)
    ]
    backends = [
        Backend(f"i-{number}", "s", "10.0.0.1", number, f"namaka-{number % 2 * REGION_STRIDE}", "region-0", 3)
        for number in range(backend_count)
    ]
    config = ClusterConfig(1, 1, {"h": (route,)}, {"s": service}, {}, {})
    return _Site(route, config, [sample_gateway(0), *peers], backends)


def _run_request(balancer: LoadBalancer, route: Route, now_ms: float) -> None:
    info = RequestInfo(route, "s", frozenset(), 0, now_ms, now_ms + REQUEST_TIMEOUT_MS)
    state = balancer.begin_request(now_ms, info)
    action = balancer.next_action(now_ms, state)
    if isinstance(action, Forward):
        balancer.on_attempt_ended(now_ms, state, action.backend, Outcome.OK, BACKEND_LATENCY_MS)
    balancer.finish_request(now_ms, state)


def measure_selection(backends: int, gateways: int) -> SelectionCost:
    """Serve requests and rebuild the endpoints with so many backends of one service."""
    site = _build_site(backends, gateways)
    started_s = time.thread_time()
    balancer = site.build_balancer()
    build_s = time.thread_time() - started_s
    times_ms = itertools.count(FIRST_REQUEST_MS + 1.0)
    request_us = processor_us(lambda: _run_request(balancer, site.route, next(times_ms)))

    def change_list() -> None:
        now_ms = next(times_ms)
        balancer.set_backends(now_ms, site.backends if int(now_ms) % 2 else site.backends[1:])

    rebuild_us = processor_us(change_list)
    return SelectionCost(
        backends,
        gateways,
        request_us=request_us,
        build_ms=build_s * 1000,
        rebuild_ms=rebuild_us / 1000,
        memory_mb=traced_bytes(site.build_balancer) / 1e6,
    )


@dataclass(frozen=True, slots=True)
class CountingCost:
    """What counting tenants costs the lease holder, and a coordinator that decodes its usage reports."""

    tenants: Annotated[int, "tenants"]
    add_us: Annotated[float, "one add us"]
    memory_bytes: Annotated[float, "bytes of memory each"]
    claim_bytes: Annotated[float, "bytes each in a claim"]
    report_us: Annotated[float, "usage report us each"]
    decode_us: Annotated[float, "decoding at a coordinator us each"] = math.nan  # measured in a process of its own


def measure_counting(tenants: int) -> CountingCost:
    """Count and report so many tenants at one lease holder of all buckets."""
    names = [f"tenant{number}" for number in range(tenants)]
    limit = RateLimit(100.0, 100.0)
    memory_bytes = traced_bytes(lambda: _filled_counter(names, limit)) / tenants
    counter = _filled_counter(names, limit)
    now_ms = 1e6
    additions = 0

    def add() -> None:
        nonlocal now_ms, additions
        now_ms += ADD_INTERVAL_MS
        additions += 1
        counter.add(now_ms, names[additions % tenants], 1, limit)

    add_us = processor_us(add)
    started_s = time.thread_time()
    reports = {bucket: counter.usage_report(bucket, now_ms) for bucket in range(BUCKET_COUNT)}
    reports = {bucket: report for bucket, report in reports.items() if not report.is_empty}
    report_s = time.thread_time() - started_s
    claim = _encode_claim(range(BUCKET_COUNT), reports)
    return CountingCost(
        tenants,
        add_us=add_us,
        memory_bytes=memory_bytes,
        claim_bytes=len(claim) / tenants,
        report_us=report_s / tenants * 1e6,
    )


def _filled_counter(names: list[str], limit: RateLimit) -> TenantCounter:
    counter = TenantCounter(QuotaRule(5000.0, 0.1, 20.0), 1)
    for name in names:
        counter.add(1e6, name, 1, limit)
    return counter


def _encode_claim(buckets: Iterable[int], reports: Mapping[int, UsageReport]) -> bytes:
    claim = LeaseClaim("10.0.0.1:7560", 1, 1, 1, renew=tuple(buckets), usage_reports=reports)
    return lease_messages.encode_claim(claim, 1).SerializeToString()


def measure_usage_decoding(tenants: int) -> float:
    """Return the microseconds a tenant that a coordinator takes to decode a claim with that many."""
    usage = {f"tenant{number}": (1, 0, 0, 0, 0, 0, 0, 0) for number in range(tenants)}
    claim = LeaseClaim("10.0.0.1:7560", 1, 1, 1, renew=(1,), usage_reports={1: UsageReport(usage)})
    request = lease_messages.encode_claim(claim, 1)
    return processor_us(lambda: lease_messages.decode_claim(request)) / tenants
