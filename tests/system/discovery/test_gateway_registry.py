"""Tests of the registry of live gateways."""

import pytest

from hallhitch.planes.discovery.gateway_registry import (
    HEARTBEAT_TIMEOUT_MS,
    GatewayRegistry,
    max_gateways_to_record,
    merge_gateways,
)
from hallhitch.planes.values import Gateway


def make_gateway(name: str, *, is_leaving: bool = False) -> Gateway:
    return Gateway(name, f"{name}:1", 1, "edge", "r-z", "r", f"{name}:80", is_ready=True, is_leaving=is_leaving)


def test_gateway_without_heartbeats_expires_and_a_leaving_one_is_leaving_after_the_merge() -> None:
    registry = GatewayRegistry()
    registry.record_heartbeat(0.0, make_gateway("a"))
    registry.record_heartbeat(1000.0, make_gateway("b"))
    registry.remove_expired(HEARTBEAT_TIMEOUT_MS + 1)
    assert set(registry.gateways) == {"b:1"}
    remote = [{"b:1": make_gateway("b", is_leaving=True)}, {"c:1": make_gateway("c")}]
    merged = merge_gateways(registry.gateways, remote)
    assert merged["b:1"].is_leaving and "c:1" in merged


@pytest.mark.parametrize(("seen", "recorded", "expected"), [(0, 0, None), (3, 3, None), (4, 3, 5), (1, 0, 2)])
def test_upper_bound_is_recorded_with_headroom_when_more_gateways_are_seen(
    seen: int, recorded: int, expected: int | None
) -> None:
    assert max_gateways_to_record(seen, recorded) == expected
