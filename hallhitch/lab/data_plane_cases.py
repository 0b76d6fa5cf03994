"""The cases of the data plane's model: traffic, places, backends and faults."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hallhitch.planes.values import ANY_REGION, RequestKind, Route, WeightedService


@dataclass(frozen=True)
class RequestClass:
    """Requests of one route, and what a response is worth."""

    route: Route
    rate_per_s: float  # over all zones
    mean_work_ms: float
    work_sigma: float  # of the logarithm of the work
    value: float  # of a response within the latency target
    late_value: float  # of a response after it
    response_bytes: float

    @property
    def service(self) -> str:
        """The service of the route."""
        return self.route.weighted_services[0].service


def _route(
    name: str,
    kind: RequestKind,
    service: str,
    latency_target_ms: float,
    priority: int,
    allowed_regions: frozenset[str] = ANY_REGION,
) -> Route:
    split = (WeightedService(service, 1.0),)
    timeout_ms = 4 * latency_target_ms
    return Route(
        name, "h", f"/{name}/", kind, timeout_ms, latency_target_ms, priority, split, 2, False, allowed_regions
    )


MIX = (
    RequestClass(_route("look", RequestKind.IDEMPOTENT, "big", 500.0, 2), 200.0, 90.0, 0.5, 1.0, 0.3, 2000.0),
    RequestClass(
        _route("commit", RequestKind.NON_IDEMPOTENT, "big", 600.0, 1, frozenset({"r0", "r1"})),
        86.0,
        120.0,
        0.3,
        2.0,
        0.6,
        5500.0,
    ),
    RequestClass(_route("pull", RequestKind.DOWNLOAD, "small", 500.0, 2), 22.0, 72.0, 0.5, 1.0, 0.3, 90_000.0),
    RequestClass(_route("peek", RequestKind.IDEMPOTENT, "small", 300.0, 1), 45.0, 36.0, 0.5, 2.0, 0.6, 2000.0),
)


class Fault(Enum):
    """What happens to the backends."""

    CRASH = "crash"  # a seventh of them: connections are reset; new ones start later
    BLACKHOLE = "blackhole"  # a seventh of them responds no longer; new ones start later
    ZONE_OUTAGE = "zone outage"  # a zone responds no longer; new backends start later
    ZONE_PARTITION = "zone partition"  # a zone responds no longer, and returns cold
    COLD_START = "cold start"  # all backends turn cold
    ROLLING_RELEASE = "rolling release"  # nearly half of them are replaced one by one
    EVACUATION = "evacuation"  # a zone is evacuated, and restored cold


@dataclass(frozen=True)
class ScheduledFault:
    """One fault and when it begins."""

    at_ms: float
    fault: Fault


@dataclass(frozen=True)
class Case:
    """One run of the model: places, backends, traffic and faults."""

    name: str
    regions: int = 3
    gateways: tuple[int, ...] = (2, 2, 2, 1, 1, 1)  # by zone; zone i lies in region i mod `regions`
    big: tuple[int, ...] = (5, 4, 4, 4, 4, 3)  # backends of this service, by zone
    small: tuple[int, ...] = (2, 3, 2, 3, 1, 1)
    slots: int = 3
    max_queued: int = 12  # requests that wait at one backend
    resets_when_full: bool = True  # a backend with a full queue resets the connection, else it declines
    slowness: tuple[float, ...] = (1.0, 0.8, 1.0, 1.25)  # factors of the work, drawn for each backend
    load: float = 1.0  # factor of all rates
    zone_delay_ms: float = 0.9  # between zones of a region, one way
    region_delay_ms: float = 35.0  # between regions, one way
    duration_ms: float = 24_000.0
    slow_start_ms: float = 3000.0
    slow_start_rate_per_s: float = 10.0
    faults: tuple[ScheduledFault, ...] = ()


CASES = (
    Case("calm"),
    Case("high", load=1.4),
    Case("busy", load=1.9),
    Case("full", load=2.3),
    Case("short", load=1.8, faults=(ScheduledFault(6000.0, Fault.ZONE_OUTAGE),)),
    Case("over", load=3.0),
    Case("gone", load=1.3, faults=(ScheduledFault(6000.0, Fault.CRASH),)),
    Case("dark", load=1.3, faults=(ScheduledFault(6000.0, Fault.BLACKHOLE),)),
    Case("zone", load=1.3, faults=(ScheduledFault(6000.0, Fault.ZONE_OUTAGE),)),
    Case("return", load=1.3, faults=(ScheduledFault(6000.0, Fault.ZONE_PARTITION),)),
    Case("release", load=1.3, faults=(ScheduledFault(4000.0, Fault.ROLLING_RELEASE),)),
    Case("evacuate", load=1.3, faults=(ScheduledFault(4000.0, Fault.EVACUATION),)),
    Case("all cold", faults=(ScheduledFault(0.0, Fault.COLD_START),)),
    Case("turned cold", faults=(ScheduledFault(8000.0, Fault.COLD_START),)),
    Case(
        "six slots",
        load=1.0,
        slots=6,
        max_queued=24,
        resets_when_full=False,
        slowness=(0.7 * 1.8, 1.8, 1.8, 1.5 * 1.8),
        region_delay_ms=55.0,
    ),
    Case(
        "grown",
        load=8.0,
        gateways=(15, 15, 14, 14, 14, 14),
        big=(16,) * 6,
        small=(8,) * 6,
        slots=6,
        max_queued=24,
        duration_ms=6000.0,
        slow_start_rate_per_s=12.0,
    ),
)
