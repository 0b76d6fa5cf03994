"""Validation of an operator's configuration; an error names the invalid field.

Invariants:
- Validation never changes the configuration, and unknown fields are allowed.
- Each route and each API key of a configuration that passes can match a request.
- A configuration that passes can be read whole by every gateway of this release: it is compiled here by the same code.

The texts of errors become part of the responses of the operator API.

`cerberus` checks the top-level schema, the services and the limits. Routes and tenants come by the thousand, and
`cerberus` takes about 0.5 ms for each, so the functions here check them by the same rules.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final, TypeGuard

from cerberus import Validator

from hallhitch.node.durations import parse_duration_ms
from hallhitch.node.errors import DurationError
from hallhitch.node.texts import is_field_value, is_path, is_text
from hallhitch.planes.config_compiler import compile_document
from hallhitch.planes.config_fields import MAX_INTEGER, MAX_NUMBER
from hallhitch.planes.control.config_digests import canonical_digest
from hallhitch.planes.control.config_json import parse_config
from hallhitch.planes.control.errors import ConfigTooLargeError, InvalidConfigError
from hallhitch.planes.values import RequestKind

MAX_CONFIG_BYTES: Final = 32 * 1024 * 1024  # equals the body limit of the HTTP server of the operator API
MAX_ROUTE_TIMEOUT_MS: Final = 600_000.0  # the text of the error says "ten minutes"
ROUTE_KINDS: Final = tuple(RequestKind)

JsonObject = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ValidatedConfig:
    """Properties of a configuration that passed validation."""

    version: int
    route_count: int
    digest: bytes  # the canonical digest; see `config_digests`


def validate_config(body: bytes) -> ValidatedConfig:
    """Check a whole configuration.

    Raises:
        ConfigTooLargeError: the body has more than `MAX_CONFIG_BYTES`.
        InvalidConfigError: the body is not a valid configuration.
    """
    if len(body) > MAX_CONFIG_BYTES:
        raise ConfigTooLargeError(len(body), MAX_CONFIG_BYTES)
    config = parse_config(body)
    _check_schema(_CONFIG_SCHEMA, "", config)
    for section in ("routes", "services", "tenants"):
        for name, entry in (config.get(section) or {}).items():
            if not name or not isinstance(entry, dict):
                raise InvalidConfigError("is no object with a name", path=f"{section}.{name}")
    services = config["services"]
    for name, service in services.items():
        _check_schema(_SERVICE_SCHEMA, f"services.{name}.", service)
    _check_schema(_LIMITS_SCHEMA, "limits.", config.get("limits") or {})
    _check_routes(config["routes"], services)
    _check_tenants(config.get("tenants") or {})
    for value in compile_document(config).unreadable:
        raise InvalidConfigError(value.reason, path=value.path)
    return ValidatedConfig(config["configVersion"], len(config["routes"]), canonical_digest(body))


# --- Checks of single values.


def _is_integer(value: object, minimum: int) -> bool:
    # The exact type is compared because `bool` is a subclass of `int`, and a boolean is never valid here.
    return type(value) is int and minimum <= value <= MAX_INTEGER


def _is_number(value: object) -> TypeGuard[float]:
    return type(value) in (int, float) and 0 <= value <= MAX_NUMBER  # type: ignore[operator]


# --- Schemas for cerberus. A check function gets the field, its value and the function that records an error.


def _check_duration(field: str, value: object, error: Any) -> None:
    if value is not None:
        try:
            _parse_duration(field, value)
        except InvalidConfigError as invalid:
            error(field, invalid.reason)


def _check_number(field: str, value: object, error: Any) -> None:
    if value is not None and not _is_number(value):
        error(field, f"{value!r} is no number from 0 up")


def _check_integer(field: str, value: object, error: Any) -> None:
    if value is not None and not _is_integer(value, 0):
        error(field, f"{value!r} is no whole number from 0 up")


_DURATION: Final = {"nullable": True, "check_with": _check_duration}
_NUMBER: Final = {"nullable": True, "check_with": _check_number}
_INTEGER: Final = {"nullable": True, "check_with": _check_integer}
_CONFIG_SCHEMA: Final = Validator(
    {
        "configVersion": {"required": True, "nullable": False, "check_with": _check_integer, "max": MAX_INTEGER},
        "routes": {"required": True, "type": "dict"},
        "services": {"required": True, "type": "dict"},
        "tenants": {"nullable": True, "type": "dict"},
        "limits": {"nullable": True, "type": "dict"},
    },
    allow_unknown=True,
)
_SERVICE_SCHEMA: Final = Validator(
    {
        "healthPath": {"type": "string", "regex": r"/[!-~]*"},
        "maxConnections": _INTEGER,
        "protocol": {"type": "string"},
        "tls": {"type": "boolean"},
        "coldStart": _DURATION,
        "coldPerS": _NUMBER,
    },
    allow_unknown=True,
)
_LIMITS_SCHEMA: Final = Validator(
    {
        "maxHeaderBytes": _INTEGER,
        "maxBodyBytes": _INTEGER,
        "headerTimeout": _DURATION,
        "idleTimeout": _DURATION,
    },
    allow_unknown=True,
)


def _check_schema(schema: Validator, prefix: str, json_object: JsonObject) -> None:
    if not schema.validate(json_object, normalize=False):
        field, errors = next(iter(schema.errors.items()))
        raise InvalidConfigError(errors[0], path=f"{prefix}{field}")


# --- Checks of routes and tenants.


def _check_routes(routes: JsonObject, services: JsonObject) -> None:
    """Check each route, and that no two have the same location: host and path prefix."""
    name_by_location = dict[tuple[str, str], str]()
    for name, route in routes.items():
        path = f"routes.{name}"
        _check_route(path, route, services)
        location = (route["host"].lower(), route["pathPrefix"])
        if name_by_location.setdefault(location, name) != name:
            raise InvalidConfigError(f"has the host and pathPrefix of {name_by_location[location]}", path=path)


def _check_route(path: str, route: JsonObject, services: JsonObject) -> None:
    _check_location(path, route)
    if route.get("routeKind") not in ROUTE_KINDS:
        reason = f"{route.get('routeKind')!r} is none of {', '.join(ROUTE_KINDS)}"
        raise InvalidConfigError(reason, path=f"{path}.routeKind")
    _check_route_durations(path, route)
    if not _is_integer(route.get("maxAttempts"), 1):
        reason = f"{route.get('maxAttempts')!r} is no whole number from 1 up"
        raise InvalidConfigError(reason, path=f"{path}.maxAttempts")
    if not _is_integer(route.get("priority", 0), 0):
        raise InvalidConfigError(f"{route['priority']!r} is no whole number from 0 up", path=f"{path}.priority")
    if not isinstance(route.get("public", False), bool):
        raise InvalidConfigError(f"{route['public']!r} is neither true nor false", path=f"{path}.public")
    _check_regions(path, route)
    _check_targets(path, route, services)


def _check_location(path: str, route: JsonObject) -> None:
    host, prefix = route.get("host"), route.get("pathPrefix")
    if not is_text(host) or not is_field_value(host) or any(character in host for character in " \t/"):
        raise InvalidConfigError(f"{host!r} is no host", path=f"{path}.host")
    if not is_text(prefix) or not (prefix.startswith("/") and prefix.endswith("/")):
        raise InvalidConfigError(f"{prefix!r} does not start and end with a slash", path=f"{path}.pathPrefix")
    if not is_path(prefix):
        raise InvalidConfigError(f"no path of a request begins with {prefix!r}", path=f"{path}.pathPrefix")


def _check_route_durations(path: str, route: JsonObject) -> None:
    timeout = route.get("timeout")
    if not 0 < _parse_duration(f"{path}.timeout", timeout) <= MAX_ROUTE_TIMEOUT_MS:
        raise InvalidConfigError(f"{timeout!r} is not within ten minutes", path=f"{path}.timeout")
    latency_target = route.get("targetLatency")
    if latency_target is not None:
        _parse_duration(f"{path}.targetLatency", latency_target)


def _parse_duration(path: str, value: object) -> float:
    try:
        duration_ms = parse_duration_ms(value)
    except DurationError as error:
        raise InvalidConfigError(str(error), path=path) from None
    if not duration_ms <= MAX_NUMBER:
        raise InvalidConfigError("is too long", path=path)
    return duration_ms


def _check_targets(path: str, route: JsonObject, services: JsonObject) -> None:
    """Check that a route names an existing service, or several existing services with weights."""
    split, target = route.get("trafficSplit"), route.get("targetService")
    if split is None and target is None:
        raise InvalidConfigError("has neither targetService nor trafficSplit", path=path)
    if target is not None and (not isinstance(target, str) or target not in services):
        raise InvalidConfigError(f"{target!r} is no service here", path=f"{path}.targetService")
    if split is not None:
        _check_traffic_split(f"{path}.trafficSplit", split, services, may_be_empty=target is not None)


def _check_traffic_split(path: str, split: object, services: JsonObject, *, may_be_empty: bool) -> None:
    if not isinstance(split, list) or not (split or may_be_empty):
        raise InvalidConfigError("is no list of services", path=path)
    total_weight = sum((_checked_weight(path, entry, services) for entry in split), 0.0)
    if split and not 0 < total_weight < math.inf:
        raise InvalidConfigError(f"the weights add up to {total_weight:g}", path=path)


def _checked_weight(path: str, entry: object, services: JsonObject) -> float:
    """Check one entry of a traffic split and return its weight."""
    fields: JsonObject = entry if isinstance(entry, dict) else {}
    name, weight = fields.get("targetService"), fields.get("weight")
    if not isinstance(name, str) or name not in services:
        raise InvalidConfigError(f"{name!r} is no service here", path=path)
    if not _is_number(weight):
        raise InvalidConfigError(f"{weight!r} is no weight", path=path)
    return weight


def _check_tenants(tenants: JsonObject) -> None:
    """Check each tenant, and that no two have the same API key."""
    name_by_key = dict[str, str]()
    for name, tenant in tenants.items():
        path = f"tenants.{name}"
        if not is_text(name) or not name.isprintable() or name != name.strip():
            raise InvalidConfigError(f"{name!r} cannot be the name of a tenant in a header", path="tenants")
        _check_tenant(path, tenant)
        for key in tenant["apiKeys"]:
            if name_by_key.setdefault(key, name) != name:
                raise InvalidConfigError(f"one of them belongs to {name_by_key[key]}", path=f"{path}.apiKeys")


def _check_tenant(path: str, tenant: JsonObject) -> None:
    keys = tenant.get("apiKeys")
    if not isinstance(keys, list) or not all(is_text(key) for key in keys):
        raise InvalidConfigError("is no list of keys", path=f"{path}.apiKeys")
    for number, key in enumerate(keys):
        if not is_field_value(key):
            raise InvalidConfigError("no header field can carry this key", path=f"{path}.apiKeys.{number}")
    priority = tenant.get("priority")
    if priority is not None and not _is_integer(priority, 0):
        raise InvalidConfigError(f"{priority!r} is no whole number from 0 up", path=f"{path}.priority")
    for name in ("ratePerS", "burstSize"):
        if tenant.get(name) is not None and not _is_number(tenant[name]):
            raise InvalidConfigError(f"{tenant[name]!r} is no number from 0 up", path=f"{path}.{name}")
    _check_regions(path, tenant)


def _check_regions(path: str, json_object: JsonObject) -> None:
    regions = json_object.get("allowedRegions")
    if regions is None:
        return
    if not isinstance(regions, list) or not all(isinstance(region, str) for region in regions):
        raise InvalidConfigError("is no list of names", path=f"{path}.allowedRegions")
