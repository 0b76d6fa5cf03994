"""Lookups in a compiled configuration."""

import json
import zlib

import pytest

from hallhitch.planes.config_compiler import compile_config
from hallhitch.planes.values import ClusterConfig, RequestKind

CONFIG_DOCUMENT = {
    "configVersion": 3,
    "services": {"s": {"coldStart": "3s", "coldPerS": 10.0, "new": 1}, "t": {}},
    "routes": {
        "r": {
            "host": "H.example",
            "pathPrefix": "/a/",
            "routeKind": "non_idempotent",
            "timeout": "2s",
            "targetService": "s",
            "maxAttempts": 2,
        },
        "q": {
            "host": "h.example",
            "pathPrefix": "/a/b/",
            "routeKind": "idempotent",
            "timeout": "500ms",
            "trafficSplit": [{"targetService": "s", "weight": 9}, {"targetService": "t", "weight": 1}],
        },
    },
    "tenants": {"n": {"apiKeys": ["k1", "k2"], "ratePerS": 5, "burstSize": 7, "allowedRegions": ["a"]}},
}


def compile_document(document: object) -> ClusterConfig:
    return compile_config(1, 3, zlib.compress(json.dumps(document).encode()), ["z"])


def test_route_with_the_longest_matching_prefix_is_found() -> None:
    config = compile_document(CONFIG_DOCUMENT)
    route = config.find_route("h.example", "/a/b/c")
    assert route is not None and route.name == "q"
    assert route.weighted_services == (("s", 9.0), ("t", 1.0)) and route.is_idempotent
    route = config.find_route("h.example", "/a/c")
    assert route is not None and route.name == "r" and not route.is_idempotent and route.timeout_ms == 2000.0
    assert config.find_route("h.example", "/b/") is None and config.find_route("other", "/a/") is None
    assert config.tenants_by_api_key["k2"].name == "n"
    assert config.services["s"].slow_start_ms == 3000.0
    assert config.evacuated_zones == {"z"}


@pytest.mark.parametrize(
    ("written", "kind"),
    [
        ("idempotent", RequestKind.IDEMPOTENT),
        ("non_idempotent", RequestKind.NON_IDEMPOTENT),
        ("download", RequestKind.DOWNLOAD),
        ("of_a_newer_release", RequestKind.NON_IDEMPOTENT),
        (None, RequestKind.NON_IDEMPOTENT),
        (5, RequestKind.NON_IDEMPOTENT),
    ],
)
def test_requests_of_a_kind_that_is_unknown_run_at_most_once(written: object, kind: RequestKind) -> None:
    route = {"host": "h", "routeKind": written, "targetService": "s"}
    compiled = compile_document({"routes": {"r": route}}).find_route("h", "/")
    assert compiled is not None and compiled.kind is kind


def test_home_regions_of_a_host_are_those_that_may_serve_all_of_its_routes() -> None:
    def route(host: str, *regions: str) -> dict[str, object]:
        return {"host": host, "targetService": "s", "pathPrefix": f"/{'-'.join(regions)}/", "allowedRegions": regions}

    routes = {
        "r1": route("Shop.example", "a", "b"),
        "r2": route("shop.example", "b", "c"),
        "r3": route("shop.example"),
        "r4": route("split.example", "a"),
        "r5": route("split.example", "b"),
        "r6": route("free.example"),
    }
    content = zlib.compress(json.dumps({"routes": routes, "services": {"s": {}}}).encode())
    compiled = compile_config(1, 1, content, [])
    assert compiled.home_regions == {"shop.example": frozenset("b"), "split.example": frozenset()}
