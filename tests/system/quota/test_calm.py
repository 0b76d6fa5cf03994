"""A calm fleet refuses nothing that is inside a limit, and gets over a holder's death soon."""

from __future__ import annotations

import pytest

from tests.system.quota.fleet import QUOTA, Fleet

# Rate and burst: large, small, burst a fifth of a second long, burst of two seconds.
TENANTS = {"large": (155.0, 155.0), "small": (10.0, 10.0), "dense": (40.0, 8.0), "bursting": (60.0, 120.0)}


@pytest.fixture(scope="module")
def fleet() -> Fleet:
    """Nine gateways and three coordinators ten seconds after their start, then usual load for fifteen."""
    fleet = Fleet(7, gateways=9, coordinators=3, calm=True)
    fleet.env.run(until=fleet.env.now + 10_000)
    for tenant, (rate, burst) in TENANTS.items():
        fleet.load(tenant, rate, burst, 1000 / (rate / 1.6))
    fleet.env.run(until=fleet.env.now + 15_000)
    return fleet


def test_a_usual_rate_is_refused_nothing(fleet: Fleet) -> None:
    assert fleet.refused == {}


def test_every_bucket_is_held_once_and_by_many(fleet: Fleet) -> None:
    held = [door.lease_client.held(door.clock()) for door in fleet.doors if door.lease_client is not None]
    assert sorted(bucket for buckets in held for bucket in buckets) == list(range(128))
    assert max(map(len, held)) < 32


def test_after_a_holders_death_room_is_back_soon(fleet: Fleet) -> None:
    began, passed = fleet.env.now, len(fleet.passed["large"])
    first = fleet.holder_of("large")
    assert first is not None
    fleet.kill(first, 400.0)
    fleet.env.run(until=began + 8000)
    refused = [moment - began for moment in fleet.refused.get("large", [])]
    assert sum(moment > 2500 for moment in refused) <= 5
    assert len(refused) < 0.1 * (len(fleet.passed["large"]) - passed)
    for tenant, (rate, burst) in TENANTS.items():
        assert fleet.most(tenant) <= QUOTA.bound(rate, burst)


def test_a_tenant_over_its_limit_gets_nearly_all_of_it() -> None:
    fleet = Fleet(8, gateways=9, coordinators=3, calm=True)
    fleet.env.run(until=fleet.env.now + 10_000)
    fleet.load("large", 155.0, 155.0, 1000 / 600)
    fleet.env.run(until=fleet.env.now + 10_000)
    assert len(fleet.passed["large"]) >= 0.95 * 155 * 10
    assert fleet.most("large") <= QUOTA.bound(155.0, 155.0)
