"""What a gateway is told at its start: the environment and the JSON file it names."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass

from hallhitch.decision import api
from hallhitch.decision.settings import WireError, need, number, section, settings_of
from hallhitch.net.routes import News, news_of
from hallhitch.net.sockets import address_of

SOCKETS_LEAST = 256  # descriptors that leave some for everybody


@dataclass(frozen=True, slots=True)
class Config:
    """A gateway's configuration, read and checked."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    sockets: int
    settings: api.Settings
    zones: list[str]
    known: News | None
    ops: tuple[str, int] | None  # where operators call; None where nobody does
    inherited: int | None  # the descriptor of the clients' listener, where the platform holds it


def read(environ: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    """Read the configuration; WireError names the field that is wrong.

    The environment tells what held at the start: read `again`, the file's word on discovery goes first.
    """
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise WireError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            top = json.load(file)
    except (OSError, ValueError) as error:
        raise WireError(f"EDGE_CONFIG: {error}") from error

    def address(name: str, variable: str) -> tuple[str, int]:
        try:
            return address_of(environ.get(variable) or need(top, name, str))
        except ValueError as error:
            raise WireError(f"field '{name}': {error}") from error

    info = need(top, "settings", dict)
    try:
        settings = settings_of(info)
    except ValueError as error:
        raise WireError(f"field 'settings': {error}") from error
    zones = info.get("zones") or []
    if not isinstance(zones, list):
        raise WireError("field 'zones' is missing or of the wrong type")
    try:
        seed = int(need(top, "seed", str), 16)
    except ValueError as error:
        raise WireError("field 'seed' is no hexadecimal number") from error
    sockets = int(number(section(top, "limits"), "sockets", 1024.0))
    if sockets < SOCKETS_LEAST:
        raise WireError(f"field 'sockets' is too small: {SOCKETS_LEAST} is the least")
    known = top.get("known")
    ops = address("ops", "EDGE_OPS") if environ.get("EDGE_OPS") or top.get("ops") is not None else None
    descriptor = environ.get("EDGE_FD") or None
    if descriptor is not None and not descriptor.isdigit():
        raise WireError("EDGE_FD is no descriptor")
    return Config(
        environ.get("EDGE_NAME") or need(top, "name", str), address("listen", "EDGE_LISTEN"),
        address("discovery", "" if again else "EDGE_DISCOVERY"),
        address("counter", "") if settings.has_counter else None, seed, sockets, settings, zones,
        news_of(known, zones, saved=True) if known is not None else None, ops,
        None if descriptor is None else int(descriptor),
    )
