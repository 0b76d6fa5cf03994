"""What a gateway is told at its start: the environment and the JSON file it names."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from hallhitch.core.addresses import parse_address
from hallhitch.decision import api
from hallhitch.decision.settings import WireError, need, number, section, settings_of
from hallhitch.net.budget import LEAST
from hallhitch.net.routes import News, news_of

OPTIONAL = ("aim-stretch",)  # keys that may be absent anywhere


@dataclass(frozen=True, slots=True)
class Config:
    """A gateway's configuration, read and checked."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    sockets: int
    memory: int  # bytes
    settings: api.Settings
    zones: list[str]
    known: News | None
    ops: tuple[str, int] | None  # where operators call; None where nobody does
    inherited: int | None  # the descriptor of the clients' listener, where the platform holds it
    file: dict[str, Any]  # what the file held


def lacking(old: Any, new: Any, name: str = "") -> str:
    """The first field of `old` that `new` lacks or holds as another kind of value; empty where there is none.

    Records of one list must each hold what all of the old ones did.
    """
    if kind(old) != kind(new):
        return name or "the file"
    if isinstance(old, dict):
        below = (
            (f"{name}.{key}" if name else key, value, new.get(key))
            for key, value in old.items()
            if value is not None and key not in OPTIONAL
        )
        return next(filter(None, (lacking(value, there, field) for field, value, there in below)), "")
    if isinstance(old, list) and old and all(isinstance(one, dict) for one in old):
        shared = {key: old[0][key] for key in old[0] if all(kind(o.get(key)) == kind(old[0][key]) for o in old)}
        return next(filter(None, (lacking(shared, one, f"{name}[{n}]") for n, one in enumerate(new))), "")
    return ""


def kind(value: Any) -> type:
    """What a value is, with all numbers alike."""
    return float if type(value) is int else type(value)


def read(environ: Mapping[str, str] = os.environ, previous: Config | None = None) -> Config:
    """Read the configuration; WireError names the field that is wrong.

    The environment tells what held at the start: with a `previous` one, the file's word on discovery goes first, and
    a file that lacks anything which that one held is cut short or not meant.
    """
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise WireError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            top = json.load(file)
    except (OSError, ValueError) as error:
        raise WireError(f"EDGE_CONFIG: {error}") from error
    if previous is not None and (field := lacking(previous.file, top)):
        raise WireError(f"field '{field}' is missing or of the wrong type")

    def address(name: str, variable: str) -> tuple[str, int]:
        try:
            return parse_address(environ.get(variable) or need(top, name, str))
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
    if sockets < LEAST:
        raise WireError(f"field 'sockets' is too small: {LEAST} is the least")
    memory = int(number(section(top, "limits"), "memory_mb", 64.0) * (1 << 20))
    known = top.get("known")
    ops = address("ops", "EDGE_OPS") if environ.get("EDGE_OPS") or top.get("ops") is not None else None
    descriptor = environ.get("EDGE_FD") or None
    if descriptor is not None and not descriptor.isdigit():
        raise WireError("EDGE_FD is no descriptor")
    return Config(
        environ.get("EDGE_NAME") or need(top, "name", str),
        address("listen", "EDGE_LISTEN"),
        address("discovery", "" if previous else "EDGE_DISCOVERY"),
        address("counter", "") if settings.has_counter else None,
        seed,
        sockets,
        memory,
        settings,
        zones,
        news_of(known, zones, saved=True) if known is not None else None,
        ops,
        None if descriptor is None else int(descriptor),
        top,
    )
