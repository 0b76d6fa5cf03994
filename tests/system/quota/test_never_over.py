"""Whatever the schedule, no sliding window of a tenant holds more than its bound, and no bucket has two holders."""

from __future__ import annotations

import pytest

from tests.system.quota.fleet import QUOTA, Fleet

TENANTS = {"large": (40.0, 40.0), "small": (6.0, 6.0), "bursting": (4.0, 30.0), "dense": (30.0, 3.0)}


def disturb(fleet: Fleet) -> None:
    """One fault now, and another after a while."""
    rng = fleet.rng
    draw = rng.random()
    if draw < 0.25:
        fleet.kill(rng.choice(fleet.doors), rng.choice((20.0, 300.0, 2500.0)))
    elif draw < 0.45:
        fleet.kill(rng.choice(fleet.core), rng.choice((5.0, 100.0, 1000.0, 4000.0)))
    elif draw < 0.5:
        for member in fleet.core:
            fleet.kill(member, rng.uniform(5, 900))
    elif draw < 0.55:
        for door in fleet.doors:
            fleet.kill(door, rng.uniform(5, 900))
    elif draw < 0.75:
        process = rng.choice(fleet.doors + fleet.core)
        process.frozen_until = fleet.env.now + rng.choice((200.0, 1500.0, 3000.0))
    elif draw < 0.8:
        fleet.leave(rng.choice(fleet.doors))
    elif draw < 0.83:
        fleet.change_members()
    else:
        for process in fleet.doors + fleet.core:
            process.side = int(rng.random() < rng.choice((0.0, 0.2, 0.5)))
    fleet.later(rng.expovariate(1 / rng.choice((200, 1000, 3000))), lambda: disturb(fleet))


def play(seed: int, length: float = 20_000.0) -> Fleet:
    """One schedule under load well over every limit."""
    fleet = Fleet(seed, gateways=2 + seed % 7, coordinators=(3, 5, 3, 4, 1)[seed % 5])
    for tenant, (rate, burst) in TENANTS.items():
        fleet.load(tenant, rate, burst, 300 / rate, never_runs=0.1 if seed % 2 else 0.0)
    fleet.later(fleet.rng.uniform(0, 8000), lambda: disturb(fleet))
    fleet.env.run(until=fleet.env.now + length)
    return fleet


@pytest.mark.parametrize("block", range(6))
def test_no_schedule_passes_more_than_the_bound(block: int) -> None:
    for seed in range(block * 8, block * 8 + 8):
        fleet = play(seed)
        for tenant, (rate, burst) in TENANTS.items():
            assert fleet.most(tenant) <= QUOTA.bound(rate, burst), f"seed {seed}, {tenant}"
            assert fleet.most_held(tenant) <= QUOTA.held(rate, burst), f"seed {seed}, {tenant}: its holders"
