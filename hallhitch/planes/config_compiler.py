"""Compiles a cluster configuration into the lookup tables that each request uses.

A gateway compiles each configuration that it receives, and a coordinator each one that it is about to acknowledge.

Invariants:
- A configuration is never given up for a value that cannot be read. The value is recorded by its path in
  `ClusterConfig.unreadable`, and everything else is in force (see `config_fields`).
- What stands in for such a value allows nothing that the operator did not allow: an unreadable route or tenant is
  rejected, an unreadable kind of route runs at most once.
- A reply claims nothing that cannot be known: requests are rejected with 503, not 404 or 401, while they may belong to
  an entry that cannot be read.
"""

from __future__ import annotations

import json
import math
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any, Final

from hallhitch.planes.config_fields import MAX_INTEGER, FieldReader
from hallhitch.planes.values import (
    ClusterConfig,
    RequestKind,
    RequestLimits,
    Route,
    Service,
    Tenant,
    UnreadableValue,
    WeightedService,
    without_port,
)

EMPTY_CONFIG: Final = ClusterConfig(serial=0, version=-1, routes={}, services={}, tenants={}, tenants_by_api_key={})
DEFAULT_TIMEOUT_MS: Final = 30_000.0  # for a route without `timeout`
MIN_TIMEOUT_MS: Final = math.nextafter(0.0, 1.0)  # any time above 0
DEFAULT_TARGET_SHARE: Final = 1 / 4  # of the timeout, for a route without `targetLatency`
DEFAULT_HEALTH_PATH: Final = "/health"
LOWEST_PRIORITY: Final = MAX_INTEGER
# While the rate of a warming backend cannot be read: any request may be too many, but without one it never warms up.
UNREADABLE_SLOW_START_RATE_PER_S: Final = 1.0


class UnreadableConfigError(ValueError):
    """The content of a configuration is no compressed JSON object."""


def compile_config(
    serial: int, version: int, content: bytes, evacuated_zones: Iterable[str], max_gateways: int = 0
) -> ClusterConfig:
    """Compile a configuration from `content`, its zlib-compressed JSON; empty if only zones were evacuated so far.

    As long as it is empty, no route is known, so that requests are rejected with 503.

    Raises:
        UnreadableConfigError: the content is no compressed JSON object.
    """
    try:
        document = json.loads(zlib.decompress(content)) if content else {}
    except (ValueError, RecursionError, zlib.error) as error:
        raise UnreadableConfigError(f"{type(error).__name__}: {error}") from None
    if not isinstance(document, dict):
        raise UnreadableConfigError("is no object")
    config = compile_document(document)
    return replace(
        config,
        serial=serial,
        version=version,
        evacuated_zones=frozenset(evacuated_zones),
        max_gateways=max_gateways,
        has_unlocated_routes=config.has_unlocated_routes or not content,
    )


def compile_document(document: Mapping[str, Any]) -> ClusterConfig:
    """Compile the document of a configuration, without what is stored beside it."""
    unreadable: list[UnreadableValue] = []
    reader = FieldReader("", document, unreadable)
    route_section, tenant_section = reader.section("routes"), reader.section("tenants")
    named_routes = [_compile_route(name, entry) for name, entry in route_section.entries()]
    located_routes = [route for route in named_routes if route is not None]
    tenant_entries = dict(tenant_section.entries())
    tenants = {name: _compile_tenant(name, entry) for name, entry in tenant_entries.items()}
    services = {name: _compile_service(name, entry) for name, entry in reader.section("services").entries()}
    routes = _index_routes(located_routes)
    return replace(
        EMPTY_CONFIG,
        routes=routes,
        services={name: service for name, service in services.items() if service is not None},
        tenants=tenants,
        tenants_by_api_key=_index_api_keys(tenants.values(), unreadable),
        limits=_compile_limits(reader.section("limits")),
        home_regions=_find_home_regions(located_routes),
        unreadable=tuple(unreadable),
        has_unlocated_routes=not route_section.is_object or len(located_routes) < len(named_routes),
        has_unreadable_keys=not tenant_section.is_object
        or any(entry.is_unreadable("apiKeys") for entry in tenant_entries.values()),
    )


# --- Indexes.


def _find_home_regions(routes: Iterable[Route]) -> dict[str, frozenset[str]]:
    """Return, for each host that has a route restricted to regions, the regions that may serve all of its routes."""
    home_regions: dict[str, frozenset[str]] = {}
    for route in routes:
        if route.allowed_regions:
            host = without_port(route.host)
            home_regions[host] = home_regions.get(host, route.allowed_regions) & route.allowed_regions
    return home_regions


def _index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host (in lower case), longest prefix first, readable ones first among equals."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(host_routes, key=lambda route: (-len(route.prefix), route.prefix, not route.is_readable)))
        for host, host_routes in by_host.items()
    }


def _index_api_keys(tenants: Iterable[Tenant], unreadable: list[UnreadableValue]) -> dict[str, Tenant]:
    """Return the tenants by API key; a key of two tenants authenticates as neither."""
    by_api_key: dict[str, Tenant] = {}
    for tenant in tenants:
        for api_key in tenant.api_keys:
            owner = by_api_key.setdefault(api_key, tenant)
            if owner is not tenant and owner.is_readable:
                unreadable.append(UnreadableValue(f"tenants.{tenant.name}.apiKeys", f"belongs to {owner.name}, too"))
                by_api_key[api_key] = replace(owner, is_readable=False)
    return by_api_key


# --- Entries.


def _compile_route(name: str, entry: FieldReader) -> Route | None:
    """Compile a route; None if its location, that is its host and path, cannot be read."""
    if not entry.is_object:
        return None
    host, prefix = entry.text("host"), entry.text("pathPrefix", "/")
    timeout_ms = entry.duration_ms("timeout", DEFAULT_TIMEOUT_MS, MIN_TIMEOUT_MS)
    weighted_services = _compile_weighted_services(entry)
    allowed_regions = entry.texts("allowedRegions")
    route = Route(
        name=name,
        host=(host or "").lower(),
        prefix=prefix or "",
        kind=_compile_kind(entry),
        timeout_ms=timeout_ms,
        latency_target_ms=entry.duration_ms("targetLatency", timeout_ms * DEFAULT_TARGET_SHARE),
        priority=entry.integer("priority", 0, LOWEST_PRIORITY),
        weighted_services=weighted_services,
        max_attempts=entry.integer("maxAttempts", 1, 1, minimum=1),
        is_public=entry.flag("public"),
        allowed_regions=frozenset(allowed_regions or ()),
        is_readable=bool(weighted_services) and allowed_regions is not None,
    )
    return route if host is not None and prefix is not None else None


def _compile_kind(entry: FieldReader) -> RequestKind:
    """Return the kind of a route; of an unknown kind, no request may run more than once."""
    written = entry.text("routeKind", "")
    if written in tuple(RequestKind):
        return RequestKind(written)
    if written is not None:
        entry.record("routeKind", written, f"one of {', '.join(RequestKind)}")
    return RequestKind.NON_IDEMPOTENT


def _compile_weighted_services(entry: FieldReader) -> tuple[WeightedService, ...]:
    """Return the services of a route, without the parts of a split that cannot be read; empty if none can be."""
    if entry.is_left_out("trafficSplit"):
        service = entry.text("targetService")
        return (WeightedService(service, 1.0),) if service is not None else ()
    weighted_services = []
    for part in entry.items("trafficSplit") or ():
        service, weight = part.text("targetService") if part.is_object else None, part.number("weight", 1.0, None)
        if service is not None and weight is not None:
            weighted_services.append(WeightedService(service, weight))
    return tuple(weighted_services) if any(weight > 0 for _, weight in weighted_services) else ()


def _compile_service(name: str, entry: FieldReader) -> Service | None:
    """Compile a service; None if it is no object, so that its routes have no backends."""
    if not entry.is_object:
        return None
    rate_per_s = entry.number("coldPerS", 0.0, UNREADABLE_SLOW_START_RATE_PER_S)
    return Service(
        name=name,
        health_path=entry.text("healthPath", DEFAULT_HEALTH_PATH) or DEFAULT_HEALTH_PATH,
        max_connections=entry.integer("maxConnections", 0, 0),
        slow_start_ms=entry.duration_ms("coldStart", 0.0),
        slow_start_rate_per_s=rate_per_s or 0.0,
    )


def _compile_tenant(name: str, entry: FieldReader) -> Tenant:
    api_keys, allowed_regions = entry.texts("apiKeys"), entry.texts("allowedRegions")
    rate_per_s = entry.number("ratePerS", 0.0, None)
    is_readable = entry.is_object and None not in (api_keys, allowed_regions, rate_per_s)
    if not name.isprintable() or name != name.strip():  # backends get it in a header field
        entry.record("", name, "a name that a header field can carry")
        is_readable = False
    return Tenant(
        name=name,
        api_keys=tuple(api_keys or ()),
        priority=entry.integer("priority", None, None),
        rate_per_s=rate_per_s or 0.0,
        burst=entry.number("burstSize", 0.0, 0.0) or 0.0,
        allowed_regions=frozenset(allowed_regions or ()),
        is_readable=is_readable,
    )


def _compile_limits(entry: FieldReader) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        max_head_bytes=entry.integer("maxHeaderBytes", 0, 0) or defaults.max_head_bytes,
        max_body_bytes=entry.integer("maxBodyBytes", 0, 0) or defaults.max_body_bytes,
        head_timeout_ms=entry.duration_ms("headerTimeout", defaults.head_timeout_ms),
        idle_timeout_ms=entry.duration_ms("idleTimeout", defaults.idle_timeout_ms),
    )
