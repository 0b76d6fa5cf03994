"""What stands in for each value of a configuration that cannot be read, and how requests are then answered."""

from __future__ import annotations

import copy
import json
import zlib
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Final, cast

import pytest

from hallhitch.net.http import Message
from hallhitch.planes.config_compiler import (
    LOWEST_PRIORITY,
    compile_config,
    compile_document,
)
from hallhitch.planes.config_compiler import UNREADABLE_SLOW_START_RATE_PER_S as SLOW_START_RATE
from hallhitch.planes.data.context import DataPlaneContext
from hallhitch.planes.data.http_messages import Reply
from hallhitch.planes.data.request_admission import admit
from hallhitch.planes.values import ClusterConfig, RequestKind, RequestLimits
from tests.system.distribution.test_acknowledged_configs import PLACES, REPLACEMENTS, with_value

DOCUMENT: Final[dict[str, Any]] = {
    "configVersion": 1,
    "routes": {
        "r": {
            "host": "h.example",
            "pathPrefix": "/a/",
            "routeKind": "idempotent",
            "timeout": "2s",
            "targetLatency": "100ms",
            "priority": 3,
            "maxAttempts": 2,
            "public": True,
            "allowedRegions": ["west"],
            "targetService": "s",
        },
        "other": {"host": "h.example", "pathPrefix": "/b/", "routeKind": "idempotent", "targetService": "s"},
    },
    "services": {
        "s": {"healthPath": "/up", "maxConnections": 9, "coldStart": "3s", "coldPerS": 12.0, "protocol": "h1"},
        "t": {},
    },
    "limits": {"maxHeaderBytes": 1, "maxBodyBytes": 2, "headerTimeout": "3ms", "idleTimeout": "4ms"},
    "tenants": {
        "x": {"apiKeys": ["k-x"], "priority": 1, "ratePerS": 5, "burstSize": 6, "allowedRegions": ["west"]},
        "y": {"apiKeys": ["k-y"]},
    },
}
DEFAULTS = RequestLimits()
TEXT, NUMBER, INTEGER, DURATION, FLAG, LIST = "text", "number", "integer", "duration", "flag", "list"
WRONG: Final[dict[str, tuple[Any, ...]]] = {
    TEXT: (5, -1, 1.5, True, ["x"], {"x": 1}, "\ud800"),
    NUMBER: (-1, -0.5, float("nan"), True, "x", "5", ["x"], {"x": 1}),
    INTEGER: (-1, 1.5, float("nan"), True, "x", "5", ["x"], {"x": 1}),
    DURATION: (5, -1, 1.5, True, "x", "1m", "-1s", ["x"], {"x": 1}),
    FLAG: (5, 0, "no", "true", ["x"], {"x": 1}),
    LIST: (5, 0, 1.5, True, "x", {"x": 1}, [5], [None], [[]], [""], ["\ud800"]),
}
EMPTY: Final[tuple[Any, ...]] = (None, "", [], {})
Get = Callable[[ClusterConfig], object]


def route(config: ClusterConfig) -> Any:
    return next(route for route in config.routes["h.example"] if route.name == "r")


def table() -> list[tuple[str, str, Get, object]]:
    """Return the path of each field, its type, the value that is compiled from it, and what stands in for that."""
    return [
        ("routes.r.routeKind", TEXT, lambda c: route(c).kind, RequestKind.NON_IDEMPOTENT),
        ("routes.r.timeout", DURATION, lambda c: route(c).timeout_ms, 30_000.0),
        ("routes.r.targetLatency", DURATION, lambda c: route(c).latency_target_ms, 500.0),
        ("routes.r.priority", INTEGER, lambda c: route(c).priority, LOWEST_PRIORITY),
        ("routes.r.maxAttempts", INTEGER, lambda c: route(c).max_attempts, 1),
        ("routes.r.public", FLAG, lambda c: route(c).is_public, False),
        ("routes.r.targetService", TEXT, lambda c: route(c).is_readable, False),
        ("routes.r.trafficSplit", LIST, lambda c: route(c).is_readable, False),
        ("routes.r.allowedRegions", LIST, lambda c: route(c).is_readable, False),
        ("routes.r.host", TEXT, lambda c: c.has_unlocated_routes, True),
        ("routes.r.pathPrefix", TEXT, lambda c: c.has_unlocated_routes, True),
        ("routes.r", TEXT, lambda c: c.has_unlocated_routes, True),
        ("services.s.healthPath", TEXT, lambda c: c.services["s"].health_path, "/health"),
        ("services.s.maxConnections", INTEGER, lambda c: c.services["s"].max_connections, 0),
        ("services.s.coldStart", DURATION, lambda c: c.services["s"].slow_start_ms, 0.0),
        ("services.s.coldPerS", NUMBER, lambda c: c.services["s"].slow_start_rate_per_s, SLOW_START_RATE),
        ("limits.maxHeaderBytes", INTEGER, lambda c: c.limits.max_head_bytes, DEFAULTS.max_head_bytes),
        ("limits.maxBodyBytes", INTEGER, lambda c: c.limits.max_body_bytes, DEFAULTS.max_body_bytes),
        ("limits.headerTimeout", DURATION, lambda c: c.limits.head_timeout_ms, DEFAULTS.head_timeout_ms),
        ("limits.idleTimeout", DURATION, lambda c: c.limits.idle_timeout_ms, DEFAULTS.idle_timeout_ms),
        ("tenants.x.apiKeys", LIST, lambda c: c.has_unreadable_keys, True),
        ("tenants.x.priority", INTEGER, lambda c: c.tenants["x"].priority, None),
        ("tenants.x.ratePerS", NUMBER, lambda c: c.tenants["x"].is_readable, False),
        ("tenants.x.burstSize", NUMBER, lambda c: c.tenants["x"].burst, 0.0),
        ("tenants.x.allowedRegions", LIST, lambda c: c.tenants["x"].is_readable, False),
    ]  # fmt: skip


def document_with(path: str, value: Any) -> dict[str, Any]:
    document = copy.deepcopy(DOCUMENT)
    *parents, field = path.split(".")
    parent = document
    for name in parents:
        parent = parent[name]
    parent[field] = value
    return document


def status(config: ClusterConfig, path: str, key: str = "", host: str = "h.example") -> int:
    """Return the status with which a request is rejected; 200 if it is admitted."""
    headers = {b"host": host.encode("latin-1"), b"authorization": b"Token " + key.encode("latin-1")}
    context = cast(DataPlaneContext, SimpleNamespace(config=config, clock=lambda: 0.0))
    admitted = admit(context, Message(b"GET", path.encode("latin-1"), headers=headers), 0.0)
    return admitted.status if isinstance(admitted, Reply) else 200


# Guards against a configuration that is out of force as a whole for one value that this release cannot read (CONFIG).
@pytest.mark.parametrize(("path", "kind", "get", "stand_in"), table(), ids=[row[0] for row in table()])
def test_stand_in_of_each_field_and_wrong_type_keeps_the_rest_in_force(
    path: str, kind: str, get: Get, stand_in: object
) -> None:
    for value in WRONG[kind]:
        config = compile_document(document_with(path, value))
        assert get(config) == stand_in, (path, value)
        assert config.unreadable and all(unreadable.path.startswith(path) for unreadable in config.unreadable)
        assert status(config, "/b/1", "k-y") == 200
        assert "t" in config.services and "y" in config.tenants
    for empty in EMPTY:
        left_out = compile_document(document_with(path, empty))
        assert status(left_out, "/b/1", "k-y") == 200
        required = ("host", "targetService", "routeKind", "r")
        assert bool(left_out.unreadable) == (path.split(".")[-1] in required), (path, empty)


@pytest.mark.parametrize("section", ["routes", "services", "limits", "tenants"])
@pytest.mark.parametrize("value", [5, True, "x", ["x"]])
def test_unreadable_section_keeps_the_others_in_force(section: str, value: Any) -> None:
    config = compile_document(document_with(section, value))
    assert [unreadable.path for unreadable in config.unreadable] == [section]
    expected = {"routes": 503, "services": 200, "limits": 200, "tenants": 503}[section]
    assert status(config, "/b/1", "k-y") == expected
    assert (section == "services") != bool(config.services)


def test_requests_that_may_belong_to_an_unreadable_entry_get_503_and_no_rights() -> None:
    readable = compile_document(DOCUMENT)
    assert [status(readable, path, "k-y") for path in ("/a/1", "/b/1", "/c/1")] == [200, 200, 404]
    assert [status(readable, "/b/1", key) for key in ("k-x", "k-y", "k-z")] == [200, 200, 401]
    for path in ("routes.r.host", "routes.r.pathPrefix", "routes.r"):
        assert status(compile_document(document_with(path, 5)), "/a/1", "k-y") == 503
    for path in ("routes.r.targetService", "routes.r.allowedRegions"):
        assert status(compile_document(document_with(path, 5)), "/a/1", "k-y") == 503
    for path in ("tenants.x.ratePerS", "tenants.x.allowedRegions", "tenants.x.apiKeys", "tenants.x"):
        config = compile_document(document_with(path, "odd"))
        assert [status(config, "/b/1", key) for key in ("k-x", "k-y")] == [503, 200]
    assert status(compile_document(document_with("tenants", "odd")), "/a/1") == 200  # a public route needs no key


def test_part_of_a_list_that_cannot_be_read_leaves_the_other_parts() -> None:
    split = [
        {"targetService": "s", "weight": 1},
        {"targetService": 5, "weight": 1},
        {"targetService": "t", "weight": "x"},
    ]
    config = compile_document(document_with("routes.r.trafficSplit", split))
    assert route(config).weighted_services == (("s", 1.0),) and route(config).is_readable
    config = compile_document(document_with("routes.r.allowedRegions", ["west", 5]))
    assert route(config).allowed_regions == {"west"} and route(config).is_readable
    config = compile_document(document_with("tenants.x.apiKeys", ["k-x", 5]))
    assert [status(config, "/b/1", key) for key in ("k-x", "k-z")] == [200, 503]


@pytest.mark.parametrize("name", ["a\r\nb", "\ud800", " x"])
def test_tenant_whose_name_no_header_can_carry_and_key_of_two_tenants_authenticate_nobody(name: str) -> None:
    config = compile_document(document_with("tenants", {name: {"apiKeys": ["k-x"]}, "y": {"apiKeys": ["k-y"]}}))
    assert [status(config, "/b/1", key) for key in ("k-x", "k-y", "k-z")] == [503, 200, 401]
    shared = compile_document(document_with("tenants.y.apiKeys", ["k-x", "k-y"]))
    assert [status(shared, "/b/1", key) for key in ("k-x", "k-y")] == [503, 200]


# Guards against 404 of a gateway that knows an evacuation and no configuration yet.
def test_requests_get_503_while_only_evacuations_are_known() -> None:
    assert status(compile_config(1, -1, b"", ["z"]), "/a/1") == 503
    assert status(compile_config(1, 1, zlib.compress(b'{"routes": {}}'), ()), "/a/1") == 404


def test_numbers_that_are_too_large_are_the_largest() -> None:
    for value in (2**63, 1e300, 10**400, float("inf")):
        config = compile_document(document_with("tenants.x.ratePerS", value))
        assert config.tenants["x"].rate_per_s == float(2**63 - 1) and not config.unreadable
    assert compile_document(document_with("limits.idleTimeout", "9" * 400 + "s")).limits.idle_timeout_ms < 1e19


def test_any_value_at_any_place_is_compiled() -> None:
    for place in PLACES:
        for value in (*REPLACEMENTS, float("nan"), float("inf")):
            content = zlib.compress(json.dumps(with_value(place, value)).encode())
            config = compile_config(1, 7, content, ())
            for host_routes in config.routes.values():
                for compiled in host_routes:
                    assert not compiled.is_readable or compiled.weighted_services


def test_each_field_of_the_table_is_documented() -> None:
    page = (Path(__file__).parents[3] / "docs" / "operate" / "unreadable-data.md").read_text()
    for path, *_ in table():
        assert f"`{path.split('.')[-1]}`" in page or path == "routes.r", path
