"""Specification of an emulator: zones, machines, backends, tenants, kinds of requests and bounds.

Plain values. Names of zones and regions are generated from numbers, so no data of a real site is included.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from hallhitch.lab.emulator.backend import BackendSpec
from hallhitch.lab.emulator.client_request import ClientRequest
from hallhitch.lab.emulator.config_semantics import NON_IDEMPOTENT
from hallhitch.lab.emulator.records import CheckBounds

SERVED_HOST: Final = "world.example"
DEFAULT_RESPONSE_BYTES: Final = 256


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request: its route, its rate and its deadlines."""

    name: str
    route_kind: str  # idempotent, non_idempotent, download
    services: tuple[tuple[str, int], ...]  # (name, weight); the weight matters only if there are several
    rate_per_s: float  # total over all clients
    latency_target_ms: float
    deadline_ms: float
    priority: int = 1
    max_attempts: int = 2
    response_bytes: int = DEFAULT_RESPONSE_BYTES
    allowed_regions: tuple[str, ...] = ()

    @property
    def prefix(self) -> str:
        """The path prefix of the route."""
        return f"/{self.name}/"

    def make_request(self, number: int, api_key: str) -> ClientRequest:
        """Return a request of this kind with its own path and body."""
        is_idempotent = self.route_kind != NON_IDEMPOTENT
        return ClientRequest(
            kind=self.name,
            method="GET" if is_idempotent else "POST",
            host=SERVED_HOST,
            path=f"{self.prefix}{number:x}?n={number % 7}",
            api_key=api_key,
            body=b"" if is_idempotent else b"item %d" % number,
            is_idempotent=is_idempotent,
            latency_target_ms=self.latency_target_ms,
            deadline_ms=self.deadline_ms,
        )


@dataclass(frozen=True, slots=True)
class TenantSpec:
    """One tenant, its share of the traffic and its rate limit."""

    name: str
    traffic_share: float
    rate_limit_per_s: int = 0  # 0 means no limit
    key_count: int = 2


@dataclass(frozen=True, slots=True)
class EmulatorSpec:
    """The parameters of an emulator."""

    regions: int = 3
    zones_per_region: int = 1
    gateways_per_zone: int = 3
    coordinators: int = 3  # in total, assigned to the zones in turn
    backends: tuple[tuple[BackendSpec, int], ...] = (
        (BackendSpec("shelf", slots=4, work_ms=40), 12),
        (BackendSpec("vault", slots=4, work_ms=30), 6),
    )
    request_kinds: tuple[RequestKind, ...] = (
        RequestKind("look", "idempotent", (("shelf", 1),), 60.0, 500, 2000, 2),
        RequestKind("stamp", "non_idempotent", (("shelf", 1),), 25.0, 600, 2500, 0),
        RequestKind("fetch", "download", (("vault", 1),), 8.0, 800, 3000, 3, response_bytes=40_000),
        RequestKind("ask", "idempotent", (("vault", 90), ("shelf", 10)), 17.0, 500, 2000, 1),
    )
    tenants: tuple[TenantSpec, ...] = (
        TenantSpec("red", 0.5, 120),
        TenantSpec("green", 0.3, 90),
        TenantSpec("blue", 0.2, 60),
    )
    region_delay_ms: float = 25.0  # one-way between regions; between processes only over relays
    local_delay_ms: float = 0.5
    tolerated_losses: int = 1
    grace_period_ms: float = 6000.0
    catch_up_ms: float = 4000.0  # after its start, during which a machine does not yet count as available
    max_ttl_ms: float = 5000.0  # of answers of the directory
    list_rate_per_s: float = 47.0
    list_lag_ms: float = 500.0
    bounds: CheckBounds = CheckBounds()  # noqa: RUF009  frozen, so sharing it is safe
    clients_stay_connected: bool = False  # open connections are used until the gateway closes them
    seed: int = 1

    def region_name(self, number: int) -> str:
        """Return the name of a region by its number, which starts at 1."""
        return f"region-{number}"

    def zone_name(self, region: int, zone: int) -> str:
        """Return the name of a zone by the number of its region and its own number, which start at 1."""
        return f"zone-{region}{'abcdefgh'[zone - 1]}"

    def zone_numbers(self) -> list[tuple[int, int]]:
        """Return (region number, zone number) of all zones."""
        return [(region, zone) for region in range(1, self.regions + 1) for zone in range(1, self.zones_per_region + 1)]

    def region_by_zone(self) -> dict[str, str]:
        """Return the region name of each zone, by zone name."""
        return {self.zone_name(region, zone): self.region_name(region) for region, zone in self.zone_numbers()}

    def response_bytes(self, path: str) -> int:
        """Return the response body size for a path."""
        for kind in self.request_kinds:
            if path.startswith(kind.prefix):
                return kind.response_bytes
        return DEFAULT_RESPONSE_BYTES

    def api_keys(self, tenant: TenantSpec) -> list[str]:
        """Return the API keys of a tenant."""
        return [f"key-{tenant.name}-{number}-0123456789" for number in range(tenant.key_count)]
