"""Builds the configuration documents that the operator sends from the spec of an emulator."""

from __future__ import annotations

import copy
from collections.abc import Sequence
from typing import Any, Final

from hallhitch.lab.emulator.records import Config
from hallhitch.lab.emulator.spec import SERVED_HOST, EmulatorSpec, RequestKind

# Wrong values, by their places in a configuration; "*" stands for any entry.
WRONG_VALUES: Final[tuple[tuple[tuple[str, ...], object], ...]] = (
    (("tenants", "*", "priority"), ""),
    (("tenants", "*", "ratePerS"), "fast"),
    (("tenants", "*", "apiKeys"), ["key\r\n"]),
    (("routes", "*", "host"), ""),
    (("routes", "*", "pathPrefix"), "/a b/"),
    (("routes", "*", "timeout"), "11m"),
    (("routes", "*", "maxAttempts"), 0),
    (("routes", "*", "allowedRegions"), ["\ud800"]),
    (("services", "*", "coldPerS"), -1),
    (("limits", "maxBodyBytes"), "1"),
)


def route_document(kind: RequestKind) -> dict[str, Any]:
    """Return the route document of a kind of request."""
    route: dict[str, Any] = {
        "host": SERVED_HOST,
        "pathPrefix": kind.prefix,
        "routeKind": kind.route_kind,
        "timeout": f"{kind.deadline_ms * 2:.0f}ms",
        "targetLatency": f"{kind.latency_target_ms:.0f}ms",
        "priority": kind.priority,
        "maxAttempts": kind.max_attempts,
        "public": False,
        "allowedRegions": list(kind.allowed_regions),
    }
    if len(kind.services) == 1:
        route["targetService"] = kind.services[0][0]
    else:
        route["trafficSplit"] = [{"targetService": name, "weight": weight} for name, weight in kind.services]
    return route


def config_document(spec: EmulatorSpec, version: int, additional_kinds: Sequence[RequestKind] = ()) -> Config:
    """Return the configuration of a spec with a version, and with routes for additional kinds of requests."""
    services = {
        backend.service: {
            "healthPath": backend.health_path,
            "maxConnections": backend.max_connections,
            "protocol": "h1",
            "tls": False,
            "coldStart": f"{backend.cold_time_ms:.0f}ms",
            "coldPerS": backend.cold_rate_per_s,
        }
        for backend, _ in spec.backends
    }
    tenants = {
        tenant.name: {
            "apiKeys": spec.api_keys(tenant),
            "priority": 1,
            "ratePerS": tenant.rate_limit_per_s,
            "burstSize": tenant.rate_limit_per_s,
            "allowedRegions": [],
        }
        for tenant in spec.tenants
    }
    return {
        "configVersion": version,
        "routes": {f"r-{kind.name}": route_document(kind) for kind in (*spec.request_kinds, *additional_kinds)},
        "services": services,
        "tenants": tenants,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }


def move_route(config: Config, kind_name: str, service: str, version: int) -> Config:
    """Return a copy of a configuration with a new version and one route moved to another service."""
    document: dict[str, Any] = copy.deepcopy(dict(config))
    document["configVersion"] = version
    route = document["routes"][f"r-{kind_name}"]
    route.pop("trafficSplit", None)
    route["targetService"] = service
    return document


def with_wrong_value(config: Config, number: int) -> Config:
    """Return a copy of a configuration in which one value is wrong; `number` selects the value and its place."""
    document: dict[str, Any] = copy.deepcopy(dict(config))
    place, value = WRONG_VALUES[number % len(WRONG_VALUES)]
    parent = document
    for name in place[:-1]:
        names = sorted(parent)
        parent = parent[names[number % len(names)] if name == "*" else name]
    parent[place[-1]] = value
    return document
