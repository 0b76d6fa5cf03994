"""The cluster configuration out of its bytes: made once for each version, looked up by each request.

It was checked before it was agreed on, so that what is unknown here is passed over, not judged again.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable, Mapping
from typing import Any

from hallhitch.node.settings import parse_duration_ms
from hallhitch.planes.values import IDEMPOTENT, ClusterConfig, RequestLimits, Route, Service, Tenant

EMPTY = ClusterConfig(serial=0, version=-1, routes={}, services={}, tenants={}, tenants_by_api_key={})


def _time(value: object, default: float) -> float:
    try:
        return parse_duration_ms(value)
    except ValueError:
        return default


def _route(name: str, entry: Mapping[str, Any]) -> Route:
    split = entry.get("trafficSplit")
    services = (
        tuple((part["targetService"], float(part.get("weight", 1))) for part in split)
        if split
        else ((entry["targetService"], 1.0),)
    )
    timeout = _time(entry.get("timeout"), 30_000.0)
    return Route(
        name=name,
        host=str(entry["host"]).lower(),
        prefix=entry.get("pathPrefix", "/"),
        kind=entry.get("routeKind", IDEMPOTENT),
        timeout_ms=timeout,
        latency_target_ms=_time(entry.get("targetLatency"), timeout / 4),
        priority=int(entry.get("priority", 0)),
        weighted_services=services,
        max_attempts=int(entry.get("maxAttempts", 1)),
        is_public=bool(entry.get("public", False)),
        allowed_regions=frozenset(entry.get("allowedRegions") or ()),
    )


def _tenant(name: str, entry: Mapping[str, Any]) -> Tenant:
    priority = entry.get("priority")
    return Tenant(
        name=name,
        api_keys=tuple(entry.get("apiKeys") or ()),
        priority=int(priority) if priority is not None else None,
        rate_per_s=float(entry.get("ratePerS") or 0),
        burst=float(entry.get("burstSize") or 0),
        allowed_regions=frozenset(entry.get("allowedRegions") or ()),
    )


def compile_config(
    serial: int, version: int, content: bytes, evacuated: Iterable[str], fleet: int = 0
) -> ClusterConfig:
    """The configuration that these bytes are (zlib of the configuration's JSON; none = only evacuations)."""
    if not content:
        return ClusterConfig(serial, version, {}, {}, {}, {}, evacuated_zones=frozenset(evacuated), max_gateways=fleet)
    table = json.loads(zlib.decompress(content))
    routes: dict[str, list[Route]] = {}
    for name, entry in (table.get("routes") or {}).items():
        route = _route(name, entry)
        routes.setdefault(route.host, []).append(route)
    services = {
        name: Service(
            name,
            entry.get("healthPath", "/health"),
            int(entry.get("maxConnections") or 0),
            _time(entry.get("coldStart"), 0.0),
            float(entry.get("coldPerS") or 0),
        )
        for name, entry in (table.get("services") or {}).items()
    }
    tenants = {name: _tenant(name, entry) for name, entry in (table.get("tenants") or {}).items()}
    limits = table.get("limits") or {}
    plain = RequestLimits()
    return ClusterConfig(
        serial,
        version,
        {host: tuple(sorted(of, key=lambda route: (-len(route.prefix), route.prefix))) for host, of in routes.items()},
        services,
        tenants,
        {key: tenant for tenant in tenants.values() for key in tenant.api_keys},
        RequestLimits(
            int(limits.get("maxHeaderBytes") or plain.max_head_bytes),
            int(limits.get("maxBodyBytes") or plain.max_body_bytes),
            _time(limits.get("headerTimeout"), plain.head_timeout_ms),
            _time(limits.get("idleTimeout"), plain.idle_timeout_ms),
        ),
        frozenset(evacuated),
        fleet,
    )
