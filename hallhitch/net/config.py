"""Reading a gateway's configuration, at its start and at each reload: the environment and the JSON file it names."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from hallhitch.core.addresses import parse_address
from hallhitch.decision import api
from hallhitch.decision.settings import WireError, optional_number, optional_section, parse_settings, require
from hallhitch.net.descriptor_budget import MIN_DESCRIPTORS
from hallhitch.net.route_updates import RouteUpdate, parse_update

OPTIONAL_KEYS: Final = ("aim-stretch",)  # keys that a reloaded file may lack anywhere
DEFAULT_DESCRIPTORS: Final = 1024.0
DEFAULT_MEMORY_MB: Final = 64.0
BYTES_PER_MB: Final = 1 << 20


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """The validated configuration of a gateway."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    sockets: int  # file descriptors that the process may open
    memory: int  # limit in bytes, given in MB in the file
    settings: api.Settings
    zones: list[str]
    known: RouteUpdate | None  # the server list to use until discovery answers; it may be old
    ops: tuple[str, int] | None  # the address for operators; None if there is none
    inherited: int | None  # descriptor of the clients' listening socket, if the platform passes one
    file: dict[str, Any]  # the content of the file, which the next reload is compared with


def find_missing_field(old: Any, new: Any, name: str = "") -> str:
    """Return the path of the first field of `old` that `new` lacks or holds with another JSON type, "" if none.

    Each record of a list must have the fields that all records of the old list had.
    """
    if json_kind(old) != json_kind(new):
        return name or "the file"
    if isinstance(old, dict):
        fields = (
            (f"{name}.{key}" if name else key, value, new.get(key))
            for key, value in old.items()
            if value is not None and key not in OPTIONAL_KEYS
        )
        missing = (find_missing_field(old_value, new_value, field) for field, old_value, new_value in fields)
        return next(filter(None, missing), "")
    if isinstance(old, list) and old and all(isinstance(record, dict) for record in old):
        shared = {
            key: value
            for key, value in old[0].items()
            if all(json_kind(record.get(key)) == json_kind(value) for record in old)
        }
        missing = (find_missing_field(shared, record, f"{name}[{index}]") for index, record in enumerate(new))
        return next(filter(None, missing), "")
    return ""


def json_kind(value: Any) -> type:
    """Return the Python type of a JSON value, float for all numbers."""
    return float if type(value) is int else type(value)


def read_config(environ: Mapping[str, str] = os.environ, previous: GatewayConfig | None = None) -> GatewayConfig:
    """Read and validate the configuration.

    The environment describes the state at the start of the process. So when `previous` is given, at a reload, the
    file's discovery address has precedence over the environment's, and a file that lacks any field of the previous one
    is rejected as truncated.

    Raises:
        WireError: a field is missing or invalid; the message names it.
    """
    top = _load_file(environ)
    if previous is not None and (field := find_missing_field(previous.file, top)):
        raise WireError(f"field '{field}' is missing or of the wrong type")

    def address(name: str, variable: str) -> tuple[str, int]:
        try:
            return parse_address(environ.get(variable) or require(top, name, str))
        except ValueError as error:
            raise WireError(f"field '{name}': {error}") from error

    settings, zones = _read_settings(top)
    seed = _read_seed(top)
    sockets = _read_sockets(top)
    memory = int(optional_number(optional_section(top, "limits"), "memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB)
    known = top.get("known")
    has_operators = environ.get("EDGE_OPS") or top.get("ops") is not None
    operators = address("ops", "EDGE_OPS") if has_operators else None
    descriptor = environ.get("EDGE_FD") or None
    if descriptor is not None and not descriptor.isdigit():
        raise WireError("EDGE_FD is not a file descriptor number")
    return GatewayConfig(
        name=environ.get("EDGE_NAME") or require(top, "name", str),
        listen=address("listen", "EDGE_LISTEN"),
        discovery=address("discovery", "" if previous else "EDGE_DISCOVERY"),
        counter=address("counter", "") if settings.has_counter else None,
        seed=seed,
        sockets=sockets,
        memory=memory,
        settings=settings,
        zones=zones,
        known=parse_update(known, zones, is_saved=True) if known is not None else None,
        ops=operators,
        inherited=None if descriptor is None else int(descriptor),
        file=top,
    )


def _load_file(environ: Mapping[str, str]) -> Any:
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise WireError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, ValueError) as error:
        raise WireError(f"EDGE_CONFIG: {error}") from error


def _read_settings(top: Any) -> tuple[api.Settings, list[str]]:
    """Return the settings of the decision module, and the names of the zones."""
    info = require(top, "settings", dict)
    try:
        settings = parse_settings(info)
    except ValueError as error:
        raise WireError(f"field 'settings': {error}") from error
    zones = info.get("zones") or []
    if not isinstance(zones, list):
        raise WireError("field 'zones' is missing or of the wrong type")
    return settings, zones


def _read_seed(top: Any) -> int:
    try:
        return int(require(top, "seed", str), 16)
    except ValueError as error:
        raise WireError("field 'seed' is not a hexadecimal number") from error


def _read_sockets(top: Any) -> int:
    sockets = int(optional_number(optional_section(top, "limits"), "sockets", DEFAULT_DESCRIPTORS))
    if sockets < MIN_DESCRIPTORS:
        raise WireError(f"field 'sockets' is too small: {MIN_DESCRIPTORS} is the minimum")
    return sockets
