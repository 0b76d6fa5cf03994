"""Tests of which gateways the directory returns to a client."""

import json

import pytest

from hallhitch.planes.discovery.directory import Directory, DirectoryQuery, nearest_gateways
from hallhitch.planes.values import Gateway


def make_gateway(name: str, region: str, *, is_ready: bool = True, is_leaving: bool = False) -> Gateway:
    zone = f"{region}-z"
    return Gateway(name, f"{name}:1", 1, "edge", zone, region, f"{name}:80", is_ready=is_ready, is_leaving=is_leaving)


def test_clients_get_gateways_of_their_region_and_others_only_if_these_are_few() -> None:
    gateways = [
        make_gateway("a1", "a"),
        make_gateway("a2", "a"),
        make_gateway("b1", "b"),
        make_gateway("a3", "a", is_leaving=True),
        make_gateway("a4", "a", is_ready=False),
    ]
    assert [gateway.name for gateway in nearest_gateways(gateways, DirectoryQuery(region="a"))] == ["a1", "a2"]
    assert [gateway.name for gateway in nearest_gateways(gateways, DirectoryQuery(region="b"))] == ["b1", "a1", "a2"]
    many = [make_gateway(f"m{n}", "m") for n in range(200)]
    assert len(nearest_gateways(many, DirectoryQuery(region="m"))) == 64


@pytest.mark.parametrize(
    ("query", "names"),
    [
        (
            "name=any.example&region=a",
            ["a1", "b1", "c1", "c2"],
        ),  # only one gateway in the client's region: others are added
        ("name=home-c.example&region=a", ["a1", "c1", "c2"]),
        ("name=HOME-C.example&zone=a-z", ["a1", "c1", "c2"]),
        ("name=none.example&region=a", ["a1"]),  # no region may serve all routes of this host
        ("name=home-c.example&region=c", ["c1", "c2"]),
        ("name=none.example&region=d", ["a1", "b1", "c1", "c2"]),  # no other gateway is left
        ("region=c", ["c1", "c2"]),
    ],
)
def test_other_regions_are_added_only_if_they_may_serve_all_routes_of_the_host(query: str, names: list[str]) -> None:
    gateways = [make_gateway(name, name[0]) for name in ("a1", "b1", "c1", "c2")]
    gateways.append(make_gateway("a2", "a", is_leaving=True))
    home_regions = {"home-c.example": frozenset("c"), "none.example": frozenset[str]()}
    directory = Directory({"a-z": "a"}, 5000.0, home_regions.get)
    reply = directory.handle("GET", f"/hallhitch/resolve?{query}", gateways)
    answer = json.loads(reply.body)
    assert answer["addresses"] == [f"{name}:80" for name in names]
    assert answer["ttl"] == (
        "2000ms" if names in (["a1"], ["c1", "c2"]) else "500ms"
    )  # short if the reply has gateways of other regions
