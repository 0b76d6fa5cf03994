"""What a world holds: places, machines, backends, tenants, routes, bounds; and the configurations written from it.

Plain values and functions; names are made up from numbers, so nothing of a real site is in here.
"""

from __future__ import annotations

import copy
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from hallhitch.lab.system.backend import Kind
from hallhitch.lab.system.clients import Want
from hallhitch.lab.system.records import Config, Figures

HOST = "world.example"


@dataclass(frozen=True, slots=True)
class Path:
    """One kind of request: its route, and how it is asked."""

    name: str
    kind: str  # idempotent, non_idempotent, download
    services: tuple[tuple[str, int], ...]  # with weights, where there are several
    rate: float  # a second, in the whole world
    aim: float
    deadline: float
    priority: int = 1
    attempts: int = 2
    size: int = 256  # bytes of an answer
    homes: tuple[str, ...] = ()

    @property
    def prefix(self) -> str:
        """Where its paths begin."""
        return f"/{self.name}/"

    def want(self, number: int, key: str) -> Want:
        """One request of this kind."""
        unsafe = self.kind == "non_idempotent"
        return Want(
            self.name,
            "POST" if unsafe else "GET",
            HOST,
            f"{self.prefix}{number:x}?n={number % 7}",
            key,
            b"item %d" % number if unsafe else b"",
            not unsafe,
            self.aim,
            self.deadline,
        )


@dataclass(frozen=True, slots=True)
class TenantShape:
    """One tenant, and its share of what is asked."""

    name: str
    share: float
    rate: int = 0  # a second, 0 = no limit
    keys: int = 2


@dataclass(frozen=True, slots=True)
class Shape:
    """A whole world."""

    regions: int = 3
    zones: int = 1  # of a region
    edges: int = 3  # gateways of a zone
    cores: int = 3  # in all, one region after the other
    backends: tuple[tuple[Kind, int], ...] = (
        (Kind("shelf", slots=4, work=40), 12),
        (Kind("vault", slots=4, work=30), 6),
    )
    paths: tuple[Path, ...] = (
        Path("look", "idempotent", (("shelf", 1),), 60.0, 500, 2000, 2),
        Path("stamp", "non_idempotent", (("shelf", 1),), 25.0, 600, 2500, 0),
        Path("fetch", "download", (("vault", 1),), 8.0, 800, 3000, 3, size=40_000),
        Path("ask", "idempotent", (("vault", 90), ("shelf", 10)), 17.0, 500, 2000, 1),
    )
    tenants: tuple[TenantShape, ...] = (
        TenantShape("red", 0.5, 120),
        TenantShape("green", 0.3, 90),
        TenantShape("blue", 0.2, 60),
    )
    between: float = 25.0  # ms one way between regions, for clients and backends
    within: float = 0.5
    losses: int = 1
    grace: float = 6000.0
    catch_up: float = 4000.0  # ms after its start for which a machine may not be counted on
    ttl_most: float = 5000.0
    list_rate: float = 47.0
    list_lag: float = 500.0
    figures: Figures = Figures()
    seed: int = 1

    def region(self, number: int) -> str:
        """A region's name, by its number from 1."""
        return f"region-{number}"

    def zone(self, region: int, zone: int) -> str:
        """A zone's name."""
        return f"zone-{region}{'abcdefgh'[zone - 1]}"

    def places(self) -> list[tuple[int, int]]:
        """Numbers of region and zone of all zones."""
        return [(region, zone) for region in range(1, self.regions + 1) for zone in range(1, self.zones + 1)]

    def zone_table(self) -> dict[str, str]:
        """Zone to region, by name."""
        return {self.zone(*place): self.region(place[0]) for place in self.places()}

    def size(self, path: str) -> int:
        """Bytes of an answer."""
        return next((each.size for each in self.paths if path.startswith(each.prefix)), 256)

    def keys(self, tenant: TenantShape) -> list[str]:
        """A tenant's keys."""
        return [f"key-{tenant.name}-{number}-0123456789" for number in range(tenant.keys)]


def route(path: Path) -> dict[str, Any]:
    """A route as the operator sends it."""
    made: dict[str, Any] = {
        "host": HOST,
        "pathPrefix": path.prefix,
        "routeKind": path.kind,
        "timeout": f"{path.deadline * 2:.0f}ms",
        "targetLatency": f"{path.aim:.0f}ms",
        "priority": path.priority,
        "maxAttempts": path.attempts,
        "public": False,
        "allowedRegions": list(path.homes),
    }
    if len(path.services) == 1:
        made["targetService"] = path.services[0][0]
    else:
        made["trafficSplit"] = [{"targetService": name, "weight": weight} for name, weight in path.services]
    return made


def configuration(shape: Shape, version: int, more: Sequence[Path] = ()) -> Config:
    """The world's configuration under a version, with these further routes."""
    services = {
        kind.service: {
            "healthPath": kind.health_path,
            "maxConnections": kind.connections,
            "protocol": "h1",
            "tls": False,
            "coldStart": f"{kind.cold_time:.0f}ms",
            "coldPerS": kind.cold_rate,
        }
        for kind, _ in shape.backends
    }
    tenants = {
        tenant.name: {
            "apiKeys": shape.keys(tenant),
            "priority": 1,
            "ratePerS": tenant.rate,
            "burstSize": tenant.rate,
            "allowedRegions": [],
        }
        for tenant in shape.tenants
    }
    return {
        "configVersion": version,
        "routes": {f"r-{each.name}": route(each) for each in (*shape.paths, *more)},
        "services": services,
        "tenants": tenants,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }


def moved(config: Config, name: str, service: str, version: int) -> Config:
    """The same with one route's requests at another service, under a higher version."""
    made: dict[str, Any] = copy.deepcopy(dict(config))
    made["configVersion"] = version
    made["routes"][f"r-{name}"].pop("trafficSplit", None)
    made["routes"][f"r-{name}"]["targetService"] = service
    return made
