"""Reading and checking an operator's configuration. Owns what is valid; must never change what was sent.

`cerberus` checks the outer shape, services and limits. Routes and tenants come by the thousand, and it takes about
0.5 ms for one: these are checked by hand, by the same rules. Fields nobody knows are allowed and kept.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NoReturn

from cerberus import Validator

from hallhitch.node.durations import parse_duration_ms
from hallhitch.planes.control.config_digests import canonical_digest
from hallhitch.planes.values import RequestKind

MAX_CONFIG_BYTES = 32 * 1024 * 1024  # bytes of a configuration
MAX_ROUTE_TIMEOUT_MS = 600_000.0  # ms a route's timeout may be
MAX_INTEGER = 2**63 - 1
ROUTE_KINDS = tuple(RequestKind)


class InvalidConfigError(Exception):
    """The configuration is not valid; the text says where and why, in one line."""


class ConfigTooLargeError(InvalidConfigError):
    """It is larger than anything that is kept."""


@dataclass(frozen=True, slots=True)
class ValidatedConfig:
    """A valid configuration: its version, how many routes it has, and the digest of what it means."""

    version: int
    route_count: int
    digest: bytes


def _is_time(field: str, value: object, error: Any) -> None:
    if value is not None:
        try:
            parse_duration_ms(value)
        except ValueError as wrong:
            error(field, str(wrong))


def _is_number(field: str, value: object, error: Any) -> None:
    if value is not None and not _number(value):
        error(field, f"{value!r} is no number from 0 up")


def _is_whole(field: str, value: object, error: Any) -> None:
    if value is not None and not _whole(value, 0):
        error(field, f"{value!r} is no whole number from 0 up")


_TIME, _NUMBER, _WHOLE = ({"nullable": True, "check_with": one} for one in (_is_time, _is_number, _is_whole))
_TABLE = {"type": "dict"}
_OUTER = Validator(
    {
        "configVersion": {"required": True, "nullable": False, "check_with": _is_whole, "max": MAX_INTEGER},
        "routes": {"required": True, **_TABLE},
        "services": {"required": True, **_TABLE},
        "tenants": {"nullable": True, **_TABLE},
        "limits": {"nullable": True, "type": "dict"},
    },
    allow_unknown=True,
)
_SERVICE = Validator(
    {
        "healthPath": {"type": "string", "regex": r"/[!-~]*"},
        "maxConnections": _WHOLE,
        "protocol": {"type": "string"},
        "tls": {"type": "boolean"},
        "coldStart": _TIME,
        "coldPerS": _NUMBER,
    },
    allow_unknown=True,
)
_LIMITS = Validator(
    {
        "maxHeaderBytes": _WHOLE,
        "maxBodyBytes": _WHOLE,
        "headerTimeout": _TIME,
        "idleTimeout": _TIME,
    },
    allow_unknown=True,
)


def validate_config(body: bytes) -> ValidatedConfig:
    """Check a whole configuration; raises Invalid."""
    if len(body) > MAX_CONFIG_BYTES:
        raise ConfigTooLargeError(f"{len(body)} bytes are more than the {MAX_CONFIG_BYTES} that are kept")
    try:
        top = json.loads(body.decode(), object_pairs_hook=_once, parse_constant=_no_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidConfigError(f"cannot be read: {error or 'too deep'}") from None
    if not isinstance(top, dict):
        raise InvalidConfigError("is no object")
    _validate(_OUTER, "", top)
    for table in ("routes", "services", "tenants"):
        for name, entry in (top.get(table) or {}).items():
            if not name or not isinstance(entry, dict):
                raise InvalidConfigError(f"{table}.{name}: is no object with a name")
    for name, service in top["services"].items():
        _validate(_SERVICE, f"services.{name}.", service)
    _validate(_LIMITS, "limits.", top.get("limits") or {})
    services, places = top["services"], dict[tuple[str, str], str]()
    for name, route in top["routes"].items():
        _route(f"routes.{name}", route, services)
        place = route["host"].lower(), route["pathPrefix"]
        if places.setdefault(place, name) != name:
            raise InvalidConfigError(f"routes.{name}: has the host and pathPrefix of {places[place]}")
    keys = dict[str, str]()
    for name, tenant in (top.get("tenants") or {}).items():
        _tenant(f"tenants.{name}", tenant)
        for key in tenant["apiKeys"]:
            if keys.setdefault(key, name) != name:
                raise InvalidConfigError(f"tenants.{name}.apiKeys: one of them belongs to {keys[key]}")
    return ValidatedConfig(top["configVersion"], len(top["routes"]), canonical_digest(body))


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    table = dict(pairs)
    if len(table) != len(pairs):
        names = [name for name, _ in pairs]
        raise ValueError(f"{max(names, key=names.count)!r} is given twice")
    return table


def _no_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is no number")


def _validate(validator: Validator, where: str, table: Mapping[str, Any]) -> None:
    if not validator.validate(table, normalize=False):
        field, errors = next(iter(validator.errors.items()))
        raise InvalidConfigError(f"{where}{field}: {errors[0]}")


def _whole(value: object, least: int) -> bool:
    # A truth value is a whole number to the language, and never what is meant here.
    return type(value) is int and least <= value <= MAX_INTEGER


def _number(value: object) -> bool:
    return type(value) in (int, float) and math.isfinite(value) and value >= 0  # type: ignore[arg-type, operator]


def _text(value: object) -> bool:
    """A name or address that bytes can carry."""
    if not isinstance(value, str) or not value:
        return False
    return value.isascii() or not any("\ud800" <= letter <= "\udfff" for letter in value)


def _regions(where: str, table: Mapping[str, Any]) -> None:
    regions = table.get("allowedRegions")
    if regions is not None and not (isinstance(regions, list) and all(isinstance(one, str) for one in regions)):
        raise InvalidConfigError(f"{where}.allowedRegions: is no list of names")


def _route(where: str, route: Mapping[str, Any], services: Mapping[str, Any]) -> None:
    host, prefix = route.get("host"), route.get("pathPrefix")
    if not _text(host) or any(letter <= " " or letter == "/" for letter in str(host)):
        raise InvalidConfigError(f"{where}.host: {host!r} is no host")
    if not _text(prefix) or not (str(prefix).startswith("/") and str(prefix).endswith("/")):
        raise InvalidConfigError(f"{where}.pathPrefix: {prefix!r} does not start and end with a slash")
    if route.get("routeKind") not in ROUTE_KINDS:
        raise InvalidConfigError(f"{where}.routeKind: {route.get('routeKind')!r} is none of {', '.join(ROUTE_KINDS)}")
    for name, needed in (("timeout", True), ("targetLatency", False)):
        value = route.get(name)
        if value is None and not needed:
            continue
        try:
            length = parse_duration_ms(value)
        except ValueError as error:
            raise InvalidConfigError(f"{where}.{name}: {error}") from None
        if name == "timeout" and not 0 < length <= MAX_ROUTE_TIMEOUT_MS:
            raise InvalidConfigError(f"{where}.timeout: {value!r} is not within ten minutes")
    if not _whole(route.get("maxAttempts"), 1):
        raise InvalidConfigError(f"{where}.maxAttempts: {route.get('maxAttempts')!r} is no whole number from 1 up")
    if not _whole(route.get("priority", 0), 0):
        raise InvalidConfigError(f"{where}.priority: {route['priority']!r} is no whole number from 0 up")
    if not isinstance(route.get("public", False), bool):
        raise InvalidConfigError(f"{where}.public: {route['public']!r} is neither true nor false")
    _regions(where, route)
    split, target = route.get("trafficSplit"), route.get("targetService")
    if split is None and target is None:
        raise InvalidConfigError(f"{where}: has neither targetService nor trafficSplit")
    if target is not None and (not isinstance(target, str) or target not in services):
        raise InvalidConfigError(f"{where}.targetService: {target!r} is no service here")
    if split is not None:
        _split(f"{where}.trafficSplit", split, services, target is not None)


def _split(where: str, split: object, services: Mapping[str, Any], may_be_empty: bool) -> None:
    if not isinstance(split, list) or not (split or may_be_empty):
        raise InvalidConfigError(f"{where}: is no list of services")
    total = 0.0
    for part in split:
        name, weight = (part.get("targetService"), part.get("weight")) if isinstance(part, dict) else (None, None)
        if not isinstance(name, str) or name not in services:
            raise InvalidConfigError(f"{where}: {name!r} is no service here")
        if not _number(weight):
            raise InvalidConfigError(f"{where}: {weight!r} is no weight")
        total += weight or 0
    if split and not 0 < total < math.inf:
        raise InvalidConfigError(f"{where}: the weights add up to {total:g}")


def _tenant(where: str, tenant: Mapping[str, Any]) -> None:
    keys = tenant.get("apiKeys")
    if not isinstance(keys, list) or not all(_text(key) for key in keys):
        raise InvalidConfigError(f"{where}.apiKeys: is no list of keys")
    if not _whole(tenant.get("priority") or 0, 0):
        raise InvalidConfigError(f"{where}.priority: {tenant['priority']!r} is no whole number from 0 up")
    for name in ("ratePerS", "burstSize"):
        if tenant.get(name) is not None and not _number(tenant[name]):
            raise InvalidConfigError(f"{where}.{name}: {tenant[name]!r} is no number from 0 up")
    _regions(where, tenant)
