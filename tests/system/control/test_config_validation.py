"""Validation of configurations, and that the number of schema checks stays bounded with thousands of routes."""

from __future__ import annotations

import copy
import json
from collections.abc import Mapping
from typing import Any, Final

import pytest
from cerberus import Validator

from hallhitch.planes.control import config_validation
from hallhitch.planes.control.config_digests import canonical_digest
from hallhitch.planes.control.errors import ConfigTooLargeError, InvalidConfigError

VALID_CONFIG: dict[str, Any] = {
    "configVersion": 7,
    "routes": {
        "r-1": {
            "host": "a.example",
            "pathPrefix": "/one/",
            "routeKind": "idempotent",
            "timeout": "3000ms",
            "targetLatency": "800ms",
            "priority": 2,
            "maxAttempts": 2,
            "public": False,
            "allowedRegions": [],
            "trafficSplit": [{"targetService": "s", "weight": 90}, {"targetService": "t", "weight": 10}],
        },
        "r-2": {
            "host": "a.example",
            "pathPrefix": "/two/",
            "routeKind": "non_idempotent",
            "timeout": "600s",
            "targetLatency": "1s",
            "priority": 1,
            "targetService": "s",
            "maxAttempts": 1,
            "public": True,
        },
    },
    "services": {
        name: {
            "healthPath": "/health",
            "maxConnections": 100,
            "protocol": "h1",
            "tls": False,
            "coldStart": "3s",
            "coldPerS": 12.0,
        }
        for name in "st"
    },
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
    "tenants": {
        "x": {"apiKeys": ["k1", "k2"], "priority": 1, "ratePerS": 155, "burstSize": 155, "allowedRegions": []},
        "y": {"apiKeys": []},
    },
}
REMOVED: Final = object()  # stands for a value in `config_with`: the field is removed
INVALID_VALUES: list[tuple[str, list[Any]]] = [
    ("configVersion", [REMOVED, -1, True, 1.5, "7", None, 2**63]),
    ("routes", [REMOVED, [], None, {"r": 1}, {"r": {}}]),
    ("services", [REMOVED, [], {}, {"s": {}}, {"s": {}, "t": 5}]),
    ("limits", [5, {"headerTimeout": 3}, {"idleTimeout": "1m"}, {"maxBodyBytes": "1"}]),
    ("tenants", [[], {"x": 1}, {"x": {}}]),
    ("routes.r-1.host", [REMOVED, "", None, 5, "a b", "\ud800"]),
    ("routes.r-1.pathPrefix", [REMOVED, "", "one/", "/one", 5, "/two/"]),
    ("routes.r-1.routeKind", [REMOVED, "sometimes", None]),
    ("routes.r-1.timeout", [REMOVED, "600001ms", "601s", "3 s", "3m", 3000, "-1s", "0ms", "", "1e3ms"]),
    ("routes.r-1.targetLatency", ["fast", 5]),
    ("routes.r-1.maxAttempts", [REMOVED, 0, -1, "2", True, 1.5]),
    ("routes.r-1.priority", [-1, "1", True]),
    ("routes.r-1.public", ["no", 0, None]),
    ("routes.r-1.allowedRegions", ["viti", [1]]),
    (
        "routes.r-1.trafficSplit",
        [
            REMOVED,
            [],
            {},
            [{"targetService": "s"}],
            [{"targetService": "s", "weight": 0}],
            ["s"],
            [{"targetService": "u", "weight": 1}],
            [{"targetService": "s", "weight": -1}],
            [{"targetService": ["s"], "weight": 1}],
            [{"targetService": "s", "weight": True}],
        ],
    ),
    ("routes.r-2.targetService", [REMOVED, "u", "", 5, ["s"]]),
    ("services.s.coldStart", [3, "3"]),
    ("services.s.coldPerS", ["12", -1, True]),
    ("services.s.healthPath", ["health", 5]),
    ("services.s.maxConnections", ["100", -1]),
    ("tenants.x.apiKeys", [REMOVED, "k", [1], [""]]),
    ("tenants.x.ratePerS", ["155", -1, True]),
    ("tenants.y.apiKeys", [["k2"]]),
]


def config_with(path: str, value: Any) -> bytes:
    """Return the valid configuration with the field at this path set to a value, or removed."""
    config = copy.deepcopy(VALID_CONFIG)
    *parents, field = path.split(".")
    parent = config
    for name in parents:
        parent = parent[name]
    if value is REMOVED:
        del parent[field]
    else:
        parent[field] = value
    return json.dumps(config).encode()


@pytest.mark.parametrize(("path", "values"), INVALID_VALUES, ids=[path for path, _ in INVALID_VALUES])
def test_invalid_value_is_rejected_with_a_one_line_reason(path: str, values: list[Any]) -> None:
    for value in values:
        with pytest.raises(InvalidConfigError) as error:
            config_validation.validate_config(config_with(path, value))
        assert "\n" not in str(error.value) and str(error.value)


def test_malformed_and_truncated_bodies_are_rejected() -> None:
    body = json.dumps(VALID_CONFIG).encode()
    repeated_names = [
        b'{"configVersion":8,' + body[1:],
        body.replace(b'"r-2"', b'"r-1"'),
        body.replace(b'"host": "a.example"', b'"host": "b.example", "host": "a.example"', 1),
    ]
    invalid_numbers = [
        body.replace(b": 155,", b": " + text + b",", 1) for text in (b"NaN", b"Infinity", b"1e999", b"0155")
    ]
    truncated = [body[:length] for length in range(0, len(body), 7)]
    for malformed in [
        b"",
        b"[]",
        b"null",
        b"7",
        body + b"x",
        body.decode().encode("utf-16"),
        b"\xff" + body,
        b"[" * 100_000,
        b'{"a":' * 100_000,
        *repeated_names,
        *invalid_numbers,
        *truncated,
    ]:
        with pytest.raises(InvalidConfigError):
            config_validation.validate_config(malformed)
    with pytest.raises(ConfigTooLargeError):
        config_validation.validate_config(body + b" " * config_validation.MAX_CONFIG_BYTES)


def test_unknown_and_omitted_fields_are_accepted() -> None:
    body = json.dumps(VALID_CONFIG).encode()
    assert config_validation.validate_config(body) == config_validation.ValidatedConfig(7, 2, canonical_digest(body))
    for path, value in (
        ("extra", {"a": [1, None]}),
        ("routes.r-1.extra", [1]),
        ("services.s.extra", {}),
        ("tenants.x.extra", None),
        ("limits.extra", 1),
        ("tenants", REMOVED),
        ("tenants", {}),
        ("routes", {}),
        ("services.s", {}),
        ("limits", REMOVED),
        ("routes.r-1.targetService", None),
        ("routes.r-2.trafficSplit", []),
        ("tenants.x", {"apiKeys": ["k1", "k1"]}),
        ("configVersion", 0),
        ("routes.r-1.host", "ü.example"),
    ):
        config_validation.validate_config(config_with(path, value))


def test_number_of_schema_checks_does_not_grow_with_routes_and_tenants(monkeypatch: pytest.MonkeyPatch) -> None:
    """The schema library is slow per object, so it must not check routes and tenants, of which there are thousands."""
    validated: list[object] = []
    check_schema = config_validation._check_schema

    def recording_check_schema(schema: Validator, prefix: str, json_object: Mapping[str, Any]) -> None:
        validated.append(json_object)
        check_schema(schema, prefix, json_object)

    monkeypatch.setattr(config_validation, "_check_schema", recording_check_schema)
    config = copy.deepcopy(VALID_CONFIG)
    config["routes"] = {f"r-{n}": {**VALID_CONFIG["routes"]["r-1"], "pathPrefix": f"/{n}/"} for n in range(5000)}
    config["tenants"] = {f"t-{n}": {"apiKeys": [f"k-{n}"]} for n in range(1000)}
    assert config_validation.validate_config(json.dumps(config).encode()).route_count == 5000
    assert len(validated) == 4
