"""Parsing of server-list updates, from discovery and from the configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

from hallhitch.core.addresses import parse_address
from hallhitch.decision import api
from hallhitch.decision.settings import WireError, optional_number, require, require_choice

STATE_BY_HEALTH: Final = {"active": "up", "leaving": "drain", "left": "gone"}


@dataclass(frozen=True, slots=True)
class RouteUpdate:
    """A list of servers or changes to it, with the address of each server."""

    sequence: int
    server_list: api.ServerList
    addresses: dict[str, tuple[str, int]]


def parse_update(document: Any, zones: list[str], is_saved: bool = False) -> RouteUpdate:
    """Parse an update; `is_saved` marks a list from the configuration, which may be old.

    Raises:
        WireError: a field is missing or invalid.
    """
    entries, addresses = [], {}
    for entry in require(document, "hosts", list):
        host, site = require(entry, "host", str), entry.get("site")
        zone = zones.index(site) if site in zones else 0
        try:
            addresses[host] = parse_address(require(entry, "dial", str))
        except ValueError as error:
            raise WireError(f"field 'dial' {error}") from error
        entries.append(
            api.ServerEntry(
                host,
                require_choice(entry, "health", STATE_BY_HEALTH),
                zone,
                int(optional_number(entry, "block")),
                optional_number(entry, "born_ms"),
                optional_number(entry, "share", 1.0),
            )
        )
    mode = "saved" if is_saved else "full" if document.get("whole") else "changes"
    return RouteUpdate(require(document, "seq", int), api.ServerList(mode, tuple(entries)), addresses)
