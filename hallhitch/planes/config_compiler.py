"""Compiles a cluster configuration into the lookup tables that each request uses.

A gateway compiles each configuration that it receives, and a coordinator each one that it is about to acknowledge, so
that what is acknowledged can be applied. A configuration that a newer release acknowledged may contain values that this
release does not know: a kind of route or a duration that it does not know is treated as absent.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any, Final, TypeVar

from hallhitch.node.durations import parse_duration_ms
from hallhitch.planes.values import (
    ClusterConfig,
    RequestKind,
    RequestLimits,
    Route,
    Service,
    Tenant,
    WeightedService,
)

EntryT = TypeVar("EntryT")

# What the conversion of a value of the wrong type or size raises.
CONVERSION_ERRORS: Final = (TypeError, ValueError, KeyError, AttributeError, OverflowError)
EMPTY_CONFIG: Final = ClusterConfig(serial=0, version=-1, routes={}, services={}, tenants={}, tenants_by_api_key={})
DEFAULT_TIMEOUT_MS: Final = 30_000.0  # for a route without `timeout`
DEFAULT_TARGET_SHARE: Final = 1 / 4  # of the timeout, for a route without `targetLatency`
DEFAULT_HEALTH_PATH: Final = "/health"


class UnreadableConfigError(ValueError):
    """A configuration cannot be compiled; `path` names the entry."""

    def __init__(self, path: str, error: BaseException) -> None:
        super().__init__(f"{path}: {type(error).__name__}: {error}")
        self.path = path
        self.reason = f"{type(error).__name__}: {error}"


def compile_config(
    serial: int, version: int, content: bytes, evacuated_zones: Iterable[str], max_gateways: int = 0
) -> ClusterConfig:
    """Compile a configuration from `content`, its zlib-compressed JSON; empty if only zones were evacuated so far.

    Raises:
        UnreadableConfigError: an entry cannot be compiled, or the content is no compressed JSON object.
    """
    try:
        document = json.loads(zlib.decompress(content)) if content else {}
    except (ValueError, RecursionError, zlib.error) as error:
        raise UnreadableConfigError("content", error) from None
    config = compile_document(document)
    return replace(
        config,
        serial=serial,
        version=version,
        evacuated_zones=frozenset(evacuated_zones),
        max_gateways=max_gateways,
    )


def compile_document(document: Mapping[str, Any]) -> ClusterConfig:
    """Compile the document of a configuration, without what is stored beside it.

    Raises:
        UnreadableConfigError: an entry cannot be compiled.
    """
    tenants = _compile_section(document, "tenants", _compile_tenant)
    routes = _index_routes(_compile_section(document, "routes", _compile_route).values())
    try:
        limits = _compile_limits(document.get("limits") or {})
    except CONVERSION_ERRORS as error:
        raise UnreadableConfigError("limits", error) from None
    return replace(
        EMPTY_CONFIG,
        routes=routes,
        services=_compile_section(document, "services", _compile_service),
        tenants=tenants,
        tenants_by_api_key={api_key: tenant for tenant in tenants.values() for api_key in tenant.api_keys},
        limits=limits,
        home_regions=_find_home_regions(routes),
    )


def _compile_section(
    document: Mapping[str, Any], section: str, compile_entry: Callable[[str, Mapping[str, Any]], EntryT]
) -> dict[str, EntryT]:
    """Compile the entries of a section, by name."""
    path, compiled = section, dict[str, EntryT]()
    try:
        for name, entry in (document.get(section) or {}).items():
            path = f"{section}.{name}"
            compiled[name] = compile_entry(name, entry)
    except CONVERSION_ERRORS as error:
        raise UnreadableConfigError(path, error) from None
    return compiled


def _find_home_regions(routes: Mapping[str, Iterable[Route]]) -> dict[str, frozenset[str]]:
    """Return, for each host that has a route restricted to regions, the regions that may serve all of its routes."""
    home_regions: dict[str, frozenset[str]] = {}
    for host, host_routes in routes.items():
        restricted = [route.allowed_regions for route in host_routes if route.allowed_regions]
        if restricted:
            home_regions[host] = frozenset.intersection(*restricted)
    return home_regions


def _index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes by host (in lower case), longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(host_routes, key=lambda route: (-len(route.prefix), route.prefix)))
        for host, host_routes in by_host.items()
    }


def _compile_route(name: str, entry: Mapping[str, Any]) -> Route:
    timeout_ms = _parse_duration_ms(entry.get("timeout"), DEFAULT_TIMEOUT_MS)
    return Route(
        name=name,
        host=str(entry["host"]).lower(),
        prefix=entry.get("pathPrefix", "/"),
        kind=_parse_kind(entry.get("routeKind")),
        timeout_ms=timeout_ms,
        latency_target_ms=_parse_duration_ms(entry.get("targetLatency"), timeout_ms * DEFAULT_TARGET_SHARE),
        priority=int(entry.get("priority", 0)),
        weighted_services=_compile_weighted_services(entry),
        max_attempts=int(entry.get("maxAttempts", 1)),
        is_public=bool(entry.get("public", False)),
        allowed_regions=frozenset(entry.get("allowedRegions") or ()),
    )


def _compile_weighted_services(entry: Mapping[str, Any]) -> tuple[WeightedService, ...]:
    split = entry.get("trafficSplit")
    if not split:
        return (WeightedService(entry["targetService"], 1.0),)
    return tuple(WeightedService(target["targetService"], float(target.get("weight", 1))) for target in split)


def _compile_service(name: str, entry: Mapping[str, Any]) -> Service:
    return Service(
        name=name,
        health_path=entry.get("healthPath", DEFAULT_HEALTH_PATH),
        max_connections=int(entry.get("maxConnections") or 0),
        slow_start_ms=_parse_duration_ms(entry.get("coldStart"), 0.0),
        slow_start_rate_per_s=float(entry.get("coldPerS") or 0),
    )


def _compile_tenant(name: str, entry: Mapping[str, Any]) -> Tenant:
    priority = entry.get("priority")
    return Tenant(
        name=name,
        api_keys=tuple(entry.get("apiKeys") or ()),
        priority=int(priority) if priority is not None else None,
        rate_per_s=float(entry.get("ratePerS") or 0),
        burst=float(entry.get("burstSize") or 0),
        allowed_regions=frozenset(entry.get("allowedRegions") or ()),
    )


def _compile_limits(entry: Mapping[str, Any]) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        max_head_bytes=int(entry.get("maxHeaderBytes") or defaults.max_head_bytes),
        max_body_bytes=int(entry.get("maxBodyBytes") or defaults.max_body_bytes),
        head_timeout_ms=_parse_duration_ms(entry.get("headerTimeout"), defaults.head_timeout_ms),
        idle_timeout_ms=_parse_duration_ms(entry.get("idleTimeout"), defaults.idle_timeout_ms),
    )


def _parse_kind(value: object) -> RequestKind:
    try:
        return RequestKind(value)  # type: ignore[arg-type]  # any other value raises ValueError
    except ValueError:
        return RequestKind.IDEMPOTENT


def _parse_duration_ms(value: object, default_ms: float) -> float:
    try:
        return parse_duration_ms(value)
    except ValueError:
        return default_ms
