"""The directory: tells clients which gateways to connect to. The module performs no I/O.

Clients get the gateways of their own region that are ready and not leaving. If these are few, gateways of other regions
are added. If a host has routes that only some regions may serve, only gateways of these regions are added; otherwise
its requests would enter the system in a region that is neither the client's nor one that may serve them. If this leaves
no gateway at all, any gateway is returned.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import dataclass
from typing import Final
from urllib.parse import parse_qs, urlsplit

from hallhitch.node.http_server import HttpReply
from hallhitch.planes.values import Gateway

RESOLVE_PATH: Final = "/hallhitch/resolve"
MAX_ADDRESSES: Final = 64  # per reply
# With fewer gateways in the client's region, gateways of other regions are added, since a single gateway may fail.
MIN_LOCAL_GATEWAYS: Final = 2
TTL_RATIO: Final = 0.4  # of the maximum TTL allowed, since some clients keep a reply for up to three times its TTL
MIN_TTL_MS: Final = 1000.0
# TTL of a reply that contains gateways of other regions. It is short because the client's region is expected to have
# more gateways soon, and some clients keep a reply for three times its TTL.
OTHER_REGIONS_TTL_MS: Final = 500.0


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """A client's query for the gateways to connect to for a host."""

    host: str = ""
    region: str = ""
    zone: str = ""


def nearest_gateways(
    gateways: Iterable[Gateway], query: DirectoryQuery, home_regions: Container[str] | None = None
) -> list[Gateway]:
    """Return the gateways for a client, sorted by name, with those of its region first.

    `home_regions` are the regions that may serve every route of the host, or None if all regions may. If there are more
    gateways than fit into a reply, those of the client's zone come first. Clients in different zones then get different
    subsets, so that no gateway is left without clients.
    """
    usable = sorted(
        (gateway for gateway in gateways if gateway.serves_clients and gateway.is_available),
        key=lambda gateway: gateway.name,
    )
    chosen = [gateway for gateway in usable if gateway.region == query.region]
    if len(chosen) < MIN_LOCAL_GATEWAYS:
        others = [gateway for gateway in usable if gateway.region != query.region]
        chosen += [gateway for gateway in others if home_regions is None or gateway.region in home_regions]
        chosen = chosen or others
    if len(chosen) > MAX_ADDRESSES:
        chosen.sort(key=lambda gateway: gateway.zone != query.zone)
    return chosen[:MAX_ADDRESSES]


class Directory:
    """The HTTP API of the directory."""

    def __init__(
        self,
        region_by_zone: Mapping[str, str],
        max_ttl_ms: float,
        home_regions_of: Callable[[str], Container[str] | None] = lambda host: None,
    ) -> None:
        """Create the API.

        `home_regions_of` returns the regions that may serve every route of a host, or None if all regions may.
        """
        self._region_by_zone = region_by_zone
        self._home_regions_of = home_regions_of
        self._ttl_ms = max(MIN_TTL_MS, max_ttl_ms * TTL_RATIO)

    def handle(self, method: str, target: str, gateways: Iterable[Gateway]) -> HttpReply:
        """Return the reply to a request, given the known gateways."""
        url = urlsplit(target)
        if url.path != RESOLVE_PATH:
            return HttpReply(404, {}, b'{"errorMessage":"no such call"}')
        if method not in ("GET", "HEAD"):
            return HttpReply(405, {}, b'{"errorMessage":"only GET"}')
        query = self._parse_query(url.query)
        chosen = nearest_gateways(gateways, query, self._home_regions_of(query.host))
        if not chosen:
            return HttpReply(503, {"Retry-After": "0.5"}, b'{"errorMessage":"no gateway is known to be ready"}')
        names_other_regions = any(gateway.region != query.region for gateway in chosen)
        ttl_ms = OTHER_REGIONS_TTL_MS if names_other_regions else self._ttl_ms
        body = json.dumps({"addresses": [gateway.frontend for gateway in chosen], "ttl": f"{ttl_ms:.0f}ms"})
        return HttpReply(200, {"Content-Type": "application/json"}, body.encode())

    def _parse_query(self, text: str) -> DirectoryQuery:
        """Parse a query string; a query without a region gets the region of its zone."""
        fields = {name: values[0] for name, values in parse_qs(text).items()}
        zone = fields.get("zone", "")
        region = fields.get("region") or self._region_by_zone.get(zone, "")
        return DirectoryQuery(fields.get("name", "").lower(), region, zone)
