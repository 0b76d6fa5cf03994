"""Each host, path and API key that is acknowledged matches a request that names it."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any, cast

import pytest

from hallhitch.net.http import Malformed, RequestReader
from hallhitch.planes.config_compiler import compile_document
from hallhitch.planes.control.config_validation import validate_config
from hallhitch.planes.control.errors import InvalidConfigError
from hallhitch.planes.data.context import DataPlaneContext
from hallhitch.planes.data.http_messages import Reply
from hallhitch.planes.data.request_admission import admit
from hallhitch.planes.values import ClusterConfig

CHARACTERS = [*map(chr, range(0x180)), "\u2028", "\ufeff", "\U0001f600"]


def make_document(host: str = "h.example", prefix: str = "/a/", key: str = "k") -> dict[str, Any]:
    route = {"host": host, "pathPrefix": prefix, "routeKind": "idempotent", "timeout": "1s", "maxAttempts": 1}
    return {
        "configVersion": 1,
        "routes": {"r": {**route, "targetService": "s"}},
        "services": {"s": {}},
        "tenants": {"t": {"apiKeys": [key]}},
    }


def is_acknowledged(document: dict[str, Any]) -> bool:
    try:
        validate_config(json.dumps(document).encode())
    except InvalidConfigError:
        return False
    return True


def is_admitted(config: ClusterConfig, host: str, path: str, key: str) -> bool:
    """Return whether a request with these texts, as bytes on a connection, is admitted."""
    request = f"GET {path}x?q HTTP/1.1\r\nHost: {host}\r\nAuthorization: Token {key}\r\n\r\n"
    try:
        (message,) = RequestReader().feed(request.encode("latin-1"))
    except (UnicodeEncodeError, Malformed, ValueError):
        return False
    context = cast(DataPlaneContext, SimpleNamespace(config=config, clock=lambda: 0.0))
    return not isinstance(admit(context, message, 0.0), Reply)


# Guards against a route or a key that an operator is told to be in force, and that no request can match (CONFIG).
@pytest.mark.parametrize("field", ["host", "prefix", "key"])
def test_each_character_of_a_host_path_or_key_is_refused_or_matches(field: str) -> None:
    accepted = 0
    for character in CHARACTERS:
        for text in (f"{character}b", f"b{character}", f"b{character}c"):
            value = f"/{text}/" if field == "prefix" else text
            document = make_document(**{field: value})
            texts = {"host": "h.example", "prefix": "/a/", "key": "k", field: value}
            matches = is_admitted(compile_document(document), texts["host"], texts["prefix"], texts["key"])
            if is_acknowledged(document):
                accepted += 1
                assert matches, (field, value)
            elif field != "host":  # a host that contains a slash or a space is no host
                assert not matches, (field, value)
    assert accepted > 250


@pytest.mark.parametrize(
    ("route_host", "requested", "is_match"),
    [
        ("shop.example:80", "shop.example:80", True),
        ("shop.example:80", "SHOP.example:80", True),
        ("shop.example:80", "shop.example", False),
        ("shop.example:80", "shop.example:81", False),
        ("shop.example", "shop.example:8388", True),
        ("shop.example", "shop.example:", True),
        ("[::1]", "[::1]", True),
        ("[::1]", "[::1]:80", True),
        ("[::1]:80", "[::1]:80", True),
        ("10.0.0.1:x", "10.0.0.1:x", True),
    ],
)
def test_host_with_a_port_matches_that_port_and_one_without_matches_any(
    route_host: str, requested: str, is_match: bool
) -> None:
    document = make_document(host=route_host)
    assert is_acknowledged(document)
    assert is_admitted(compile_document(document), requested, "/a/", "k") is is_match


def test_routes_of_the_host_with_the_port_come_first() -> None:
    document = make_document()
    route = document["routes"]["r"]
    for name, host, prefix in (("port", "h.example:80", "/a/"), ("any", "h.example", "/a/b/")):
        document["routes"][name] = {**route, "host": host, "pathPrefix": prefix, "allowedRegions": [name]}
    config = compile_document(document)
    assert config.home_regions == {"h.example": frozenset()}
    assert is_admitted(config, "h.example:80", "/a/", "k") and is_admitted(config, "h.example:81", "/a/b/", "k")
