"""The directory: which gateways a client should connect to. Decided without I/O.

Clients get the gateways of their own region that are ready and not leaving, and those of others if these are few.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from typing import Final
from urllib.parse import parse_qs, urlsplit

from hallhitch.node.http_server import HttpReply
from hallhitch.planes.values import Gateway

RESOLVE_PATH: Final = "/hallhitch/resolve"
MAX_ADDRESSES: Final = 64  # in a reply
MIN_LOCAL_GATEWAYS: Final = 2  # fewer in the client's region, and others are added: one of them may fail
TTL_RATIO: Final = 0.4  # of the longest TTL that the rules allow: clients keep a reply for up to three times its TTL
MIN_TTL_MS: Final = 1000.0


def nearest_gateways(
    gateways: Iterable[Gateway], region: str, zone: str, region_by_zone: Mapping[str, str]
) -> list[Gateway]:
    """Return the gateways for a client in this region or zone, by name, those of its region first.

    If they are too many for one reply, those of its zone come first: clients of each zone get a different subset, so
    that no gateway is left without clients.
    """
    region = region or region_by_zone.get(zone, "")
    usable = sorted(
        (gateway for gateway in gateways if gateway.serves_clients and gateway.is_available),
        key=lambda gateway: gateway.name,
    )
    chosen = [gateway for gateway in usable if gateway.region == region]
    if len(chosen) < MIN_LOCAL_GATEWAYS:
        chosen += [gateway for gateway in usable if gateway.region != region]
    if len(chosen) > MAX_ADDRESSES:
        chosen.sort(key=lambda gateway: gateway.zone != zone)
    return chosen[:MAX_ADDRESSES]


class Directory:
    """Serves the directory's HTTP API."""

    def __init__(self, region_by_zone: Mapping[str, str], max_ttl_ms: float) -> None:
        self._region_by_zone = region_by_zone
        self._ttl_ms = max(MIN_TTL_MS, max_ttl_ms * TTL_RATIO)

    def handle(self, method: str, target: str, gateways: Iterable[Gateway]) -> HttpReply:
        """Return the reply to a request, given the gateways that are known."""
        url = urlsplit(target)
        if url.path != RESOLVE_PATH:
            return HttpReply(404, {}, b'{"errorMessage":"no such call"}')
        if method not in ("GET", "HEAD"):
            return HttpReply(405, {}, b'{"errorMessage":"only GET"}')
        query = parse_qs(url.query)
        region, zone = query.get("region", [""])[0], query.get("zone", [""])[0]
        chosen = nearest_gateways(gateways, region, zone, self._region_by_zone)
        if not chosen:
            return HttpReply(503, {"Retry-After": "0.5"}, b'{"errorMessage":"no gateway is known to be ready"}')
        addresses = [gateway.frontend for gateway in chosen]
        body = json.dumps({"addresses": addresses, "ttl": f"{self._ttl_ms:.0f}ms"})
        return HttpReply(200, {"Content-Type": "application/json"}, body.encode())
