"""Which gateways the directory names to a client."""

from hallhitch.planes.discovery.directory import nearest_gateways
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
    assert [gateway.name for gateway in nearest_gateways(gateways, "a", "", {})] == ["a1", "a2"]
    assert [gateway.name for gateway in nearest_gateways(gateways, "b", "", {})] == ["b1", "a1", "a2"]
    assert [gateway.name for gateway in nearest_gateways(gateways, "", "a-z", {"a-z": "a"})] == ["a1", "a2"]
    many = [make_gateway(f"m{n}", "m") for n in range(200)]
    assert len(nearest_gateways(many, "m", "", {})) == 64
