"""Updates of the server list as discovery and the configuration write them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

from hallhitch.core.addresses import parse_address
from hallhitch.decision import api
from hallhitch.decision.settings import WireError, need, number, word

STATE_BY_HEALTH: Final = {"active": "up", "leaving": "drain", "left": "gone"}


@dataclass(frozen=True, slots=True)
class RouteUpdate:
    """A list of servers, or changes of it, and the address of each server."""

    sequence: int
    server_list: api.ServerList
    addresses: dict[str, tuple[str, int]]


def parse_update(document: Any, zones: list[str], is_saved: bool = False) -> RouteUpdate:
    """Return the update in a document; `is_saved` marks a list that may be old.

    Raises:
        WireError: a field is missing or cannot be used.
    """
    entries, addresses = [], {}
    for entry in need(document, "hosts", list):
        host, site = need(entry, "host", str), entry.get("site")
        zone = zones.index(site) if site in zones else 0
        try:
            addresses[host] = parse_address(need(entry, "dial", str))
        except ValueError as error:
            raise WireError(f"field 'dial' {error}") from error
        entries.append(
            api.ServerEntry(
                host,
                word(entry, "health", STATE_BY_HEALTH),
                zone,
                int(number(entry, "block")),
                number(entry, "born_ms"),
                number(entry, "share", 1.0),
            )
        )
    mode = "saved" if is_saved else "full" if document.get("whole") else "changes"
    return RouteUpdate(need(document, "seq", int), api.ServerList(mode, tuple(entries)), addresses)
