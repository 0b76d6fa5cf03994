"""Admission of a request: determines its route, tenant, regions, priority, service and deadline, or rejects it.

It performs no I/O and does not consider load: the quota and load shedding are checked later. Points in time are
monotonic milliseconds.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import Final, NamedTuple

from hallhitch.net.http import Message, path_of
from hallhitch.planes.data.context import DataPlaneContext
from hallhitch.planes.data.http_messages import DEADLINE_REMAINING, REQUEST_ID, Reply, is_malformed, local_reply
from hallhitch.planes.data.interfaces import RequestInfo
from hallhitch.planes.values import ClusterConfig, Route, Tenant, without_port

# Retry-After of a gateway that has no configuration yet or cannot read a part of it, and for a tenant whose regions do
# not overlap the route's.
NOT_CONFIGURED_RETRY_AFTER_MS: Final = 1000.0
CRC32_RANGE: Final = 2**32


@dataclass(slots=True)
class AdmittedRequest:
    """A request that may be forwarded; `tenant` is None for an anonymous request."""

    info: RequestInfo
    tenant: Tenant | None


class _Match(NamedTuple):
    route: Route
    tenant: Tenant | None


def admit(context: DataPlaneContext, request: Message, received_at: float) -> AdmittedRequest | Reply:
    """Admit a request, or return the reply that rejects it; `received_at` is when its first byte arrived."""
    config, now = context.config, context.clock()
    if is_malformed(request):
        return local_reply(400, request, must_close=True)
    if config is None:
        return local_reply(503, request, NOT_CONFIGURED_RETRY_AFTER_MS)
    match = _match(config, request)
    if isinstance(match, Reply):
        return match
    route, tenant = match.route, match.tenant
    regions = route.allowed_regions
    if tenant is not None and tenant.allowed_regions:
        regions = regions & tenant.allowed_regions if regions else tenant.allowed_regions
        if not regions:
            return local_reply(
                503, request, NOT_CONFIGURED_RETRY_AFTER_MS
            )  # the regions of route and tenant do not overlap
    priority = route.priority if tenant is None or tenant.priority is None else tenant.priority
    remaining_ms = parse_deadline_ms(request.headers.get(DEADLINE_REMAINING), route.timeout_ms)
    deadline_ms = received_at + min(route.timeout_ms, remaining_ms)
    service = choose_service(route, request.headers.get(REQUEST_ID, b""))
    return AdmittedRequest(RequestInfo(route, service, regions, priority, now, deadline_ms), tenant)


def _match(config: ClusterConfig, request: Message) -> _Match | Reply:
    """Return the route and the tenant of a request, or the reply if it has no route or lacks a key."""
    route = _find_route(config, request)
    if route is None:
        return _unknown_reply(request, 404, is_certain=not config.has_unlocated_routes)
    if not route.is_readable:
        return local_reply(503, request, NOT_CONFIGURED_RETRY_AFTER_MS)
    tenant = _find_tenant(config, request)
    if tenant is None and config.requires_key and not route.is_public:
        return _unknown_reply(request, 401, is_certain=not config.has_unreadable_keys)
    if tenant is not None and not tenant.is_readable:
        return local_reply(503, request, NOT_CONFIGURED_RETRY_AFTER_MS)
    return _Match(route, tenant)


def _unknown_reply(request: Message, status: int, *, is_certain: bool) -> Reply:
    """Return the reply for a route or key that is not there; 503 if an entry that cannot be read may contain it."""
    return local_reply(status, request) if is_certain else local_reply(503, request, NOT_CONFIGURED_RETRY_AFTER_MS)


def _find_route(config: ClusterConfig, request: Message) -> Route | None:
    """Return the route of the request's host and path; a route whose host has no port matches any port."""
    host = request.headers.get(b"host", b"").decode("latin-1").lower()
    path = path_of(request.target).decode("latin-1")
    return config.find_route(host, path) or config.find_route(without_port(host), path)


def _find_tenant(config: ClusterConfig, request: Message) -> Tenant | None:
    """Return the tenant whose API key the request carries; None if there is none."""
    if not config.tenants:
        return None
    return config.tenants_by_api_key.get(parse_api_key(request.headers.get(b"authorization", b"")))


def parse_api_key(authorization: bytes) -> str:
    """Return the API key of an Authorization field; "" if it has none."""
    scheme, _, key = authorization.partition(b" ")
    return key.strip().decode("latin-1") if scheme.lower() == b"token" else ""


def parse_deadline_ms(value: bytes | None, default_ms: float) -> float:
    """Return how long the client waits, in ms; the default if the field is missing or not a valid duration."""
    try:
        remaining_ms = float(value) if value is not None else default_ms
    except ValueError:
        return default_ms
    return remaining_ms if math.isfinite(remaining_ms) and remaining_ms >= 0 else default_ms


def choose_service(route: Route, request_id: bytes) -> str:
    """Select a service of the route in proportion to the weights; a request id always selects the same one."""
    services = route.weighted_services
    if len(services) == 1:
        return services[0].service
    position = zlib.crc32(request_id) / CRC32_RANGE * sum(weight for _, weight in services)
    for service, weight in services:
        position -= weight
        if position < 0:
            return service
    # Rounding errors may leave the position past the last service.
    return max(services, key=lambda entry: entry.weight).service
