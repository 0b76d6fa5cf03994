"""Where clients are sent: the gateways near them that are ready and stay. Decided without I/O."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from urllib.parse import parse_qs, urlsplit

from hallhitch.node.http_server import HttpReply
from hallhitch.planes.values import Gateway

MOST = 64  # addresses in an answer
ENOUGH = 2  # gateways of the client's region below which others are named too: one may fail
TTL_SHARE = 0.4  # of the longest ttl that counts: clients hold answers for up to three times it


def nearest(gateways: Iterable[Gateway], region: str, zone: str, regions: Mapping[str, str]) -> list[Gateway]:
    """The gateways to name to a client of this place: those of its region, and others only where these are few."""
    region = region or regions.get(zone, "")
    usable = sorted((g for g in gateways if g.frontend and g.is_ready and not g.is_leaving), key=lambda g: g.name)
    near = [g for g in usable if g.region == region]
    if len(near) < ENOUGH:
        near += [g for g in usable if g.region != region]
    if len(near) > MOST:  # a part that differs by zone, so that no gateway is left without clients
        own = [g for g in near if g.zone == zone]
        near = (own + [g for g in near if g.zone != zone])[:MOST]
    return near


class Directory:
    """Answers `resolve`."""

    def __init__(self, regions: Mapping[str, str], ttl_most: float) -> None:
        self._regions, self._ttl = regions, max(1000.0, ttl_most * TTL_SHARE)

    def call(self, method: str, target: str, gateways: Iterable[Gateway]) -> HttpReply:
        """The answer to a call on the directory's address."""
        parts = urlsplit(target)
        if parts.path != "/hallhitch/resolve":
            return HttpReply(404, {}, b'{"errorMessage":"no such call"}')
        if method not in ("GET", "HEAD"):
            return HttpReply(405, {}, b'{"errorMessage":"only GET"}')
        query = parse_qs(parts.query)
        named = nearest(gateways, query.get("region", [""])[0], query.get("zone", [""])[0], self._regions)
        if not named:
            return HttpReply(503, {"Retry-After": "0.5"}, b'{"errorMessage":"no gateway is known to be ready"}')
        body = json.dumps({"addresses": [g.frontend for g in named], "ttl": f"{self._ttl:.0f}ms"})
        return HttpReply(200, {"Content-Type": "application/json"}, body.encode())
