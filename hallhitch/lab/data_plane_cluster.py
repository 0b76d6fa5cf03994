"""The modelled cluster: backends with slots and queues, gateways, zones, and the delays between them.

Owns the simulation's clock (simpy, in ms) and its one source of randomness. No sockets.
"""
# simpy's processes, events and resources are not typed for strict checking.
# mypy: disable-error-code="no-untyped-call"

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

import simpy

from hallhitch.lab.data_plane_cases import Case
from hallhitch.planes.values import Backend, ClusterConfig, Gateway, RequestLimits, Service

SERVICES = ("big", "small")
SAME_ZONE_DELAY_MS = 0.1

SimProcess = Generator[Any, Any, None]


class Failure(Enum):
    """How a backend failed."""

    CRASHED = "crashed"  # connections are reset
    UNRESPONSIVE = "unresponsive"  # nothing comes back


@dataclass(eq=False)
class ModelBackend:
    """One backend instance."""

    entry: Backend
    slowness: float  # factor of the work
    slots: Any  # a simpy.Resource
    cold_until_ms: float = 0.0
    is_draining: bool = False
    failure: Failure | None = None
    work: set[Any] = field(default_factory=set)  # processes of the requests there
    arrivals_while_cold_ms: list[float] = field(default_factory=list)


@dataclass
class CaseResult:
    """What came of one case."""

    value_offered: float = 0.0
    value_earned: float = 0.0
    requests: int = 0
    served: int = 0
    late: int = 0  # served after the latency target
    lost: int = 0
    rejected: int = 0
    retries: int = 0  # and hedges that arrived
    late_rejections: int = 0  # after a quarter of the latency target
    resets: int = 0
    unsafe_reruns: int = 0  # non-idempotent requests that ran more than once: none is allowed
    max_cold_per_s: int = 0
    retry_budget_use: float = 0.0  # worst window, 1 = all that is allowed
    cross_zone_mb: float = 0.0
    cross_region_mb: float = 0.0

    def summary(self) -> str:
        """The figures in one line."""

        def percent(count: int) -> str:
            return f"{100 * count / max(1, self.requests):.2f}%"

        return (
            f"worth {100 * self.value_earned / self.value_offered:.2f}% served {percent(self.served)} "
            f"late {percent(self.late)} lost {percent(self.lost)} refused {percent(self.rejected)} "
            f"further {self.retries} cold {self.max_cold_per_s} budget {self.retry_budget_use:.2f} "
            f"MB zone {self.cross_zone_mb:.0f} region {self.cross_region_mb:.0f} "
            f"tried-late {self.late_rejections} reset {self.resets} twice {self.unsafe_reruns}"
        )


class ModelCluster:
    """All backends and gateways of one case."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = Random(seed)
        self.env: Any = simpy.Environment()  # its own types do not hold under strict checking
        self.result = CaseResult()
        self.region_by_zone = {f"z{i}": f"r{i % case.regions}" for i in range(len(case.gateways))}
        self.evacuated_zones: frozenset[str] = frozenset()
        self.backends: dict[str, ModelBackend] = {}  # by instance, failed ones included
        self.requests_ms: dict[str, list[float]] = {service: [] for service in SERVICES}
        self.retries_ms: dict[str, list[float]] = {service: [] for service in SERVICES}
        for service, counts in zip(SERVICES, (case.big, case.small), strict=True):
            for zone_number, count in enumerate(counts):
                for _ in range(count):
                    self.start_backend(service, f"z{zone_number}", 0.0)
        self.gateways = [
            self._gateway(zone_number, number)
            for zone_number, count in enumerate(case.gateways)
            for number in range(count)
        ]

    def now(self) -> float:
        """Simulated ms."""
        return float(self.env.now)

    def start_backend(self, service: str, zone: str, cold_until_ms: float) -> None:
        """Start a new backend instance."""
        instance = f"i{len(self.backends) + 1}"
        slots = self.case.slots
        entry = Backend(instance, service, instance, 1, zone, self.region_by_zone[zone], slots)
        slowness = self.rng.choice(self.case.slowness)
        self.backends[instance] = ModelBackend(entry, slowness, simpy.Resource(self.env, slots), cold_until_ms)

    def fail_backend(self, backend: ModelBackend, failure: Failure) -> None:
        """Fail a backend, with all that it works on."""
        backend.failure = failure
        backend.cold_until_ms = self.now()
        for process in list(backend.work):
            if process.is_alive:
                process.interrupt(failure)

    def config(self) -> ClusterConfig:
        """The cluster configuration of now."""
        case = self.case
        services = {n: Service(n, "/", 100, case.slow_start_ms, case.slow_start_rate_per_s) for n in SERVICES}
        return ClusterConfig(1, 1, {}, services, {}, {}, RequestLimits(), self.evacuated_zones)

    def delay_ms(self, from_zone: str, to_zone: str) -> float:
        """One way between two zones."""
        if from_zone == to_zone:
            return SAME_ZONE_DELAY_MS
        is_same_region = self.region_by_zone[from_zone] == self.region_by_zone[to_zone]
        return self.case.zone_delay_ms if is_same_region else self.case.region_delay_ms

    def _gateway(self, zone_number: int, number: int) -> Gateway:
        zone = f"z{zone_number}"
        name, address = f"g{zone_number}-{number}", f"{zone_number}:{number}"
        return Gateway(name, address, 1, "edge", zone, self.region_by_zone[zone], "x", True)
