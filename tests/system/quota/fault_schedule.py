"""Random fault schedules, each determined by one seed, for a simulated cluster under load far above every limit."""

from __future__ import annotations

from typing import Final

from hallhitch.planes.quota.limits import RateLimit
from tests.system.quota.simulated_cluster import SimulatedCluster
from tests.system.quota.simulated_process import QUOTA

TENANT_LIMITS: Final = {
    "large": RateLimit(40.0, 40.0),
    "small": RateLimit(6.0, 6.0),
    "bursting": RateLimit(4.0, 30.0),
    "dense": RateLimit(30.0, 3.0),
}
RUN_MS: Final = 20_000.0


def inject_faults(cluster: SimulatedCluster) -> None:  # noqa: C901  one branch for each fault
    """Inject one random fault now and schedule the next one after a random delay."""
    rng = cluster.rng
    draw = rng.random()
    if draw < 0.25:
        cluster.kill(rng.choice(cluster.gateways), rng.choice((20.0, 300.0, 2500.0)))
    elif draw < 0.45:
        cluster.kill(rng.choice(cluster.coordinators), rng.choice((5.0, 100.0, 1000.0, 4000.0)))
    elif draw < 0.5:
        for coordinator in cluster.coordinators:
            cluster.kill(coordinator, rng.uniform(5, 900))
    elif draw < 0.55:
        for gateway in cluster.gateways:
            cluster.kill(gateway, rng.uniform(5, 900))
    elif draw < 0.75:
        process = rng.choice([*cluster.gateways, *cluster.coordinators])
        process.frozen_until = cluster.env.now + rng.choice((200.0, 1500.0, 3000.0))
    elif draw < 0.8:
        cluster.shut_down(rng.choice(cluster.gateways))
    elif draw < 0.83:
        cluster.change_members()
    else:
        for process in [*cluster.gateways, *cluster.coordinators]:
            process.partition = int(rng.random() < rng.choice((0.0, 0.2, 0.5)))
    cluster.schedule(rng.expovariate(1 / rng.choice((200, 1000, 3000))), lambda: inject_faults(cluster))


def run_with_faults(seed: int) -> SimulatedCluster:
    """Run one fault schedule; with every other seed a tenth of the requests is cancelled and refunded."""
    cluster = SimulatedCluster(seed, gateways=2 + seed % 7, coordinators=(3, 5, 3, 4, 1)[seed % 5])
    for tenant, limit in TENANT_LIMITS.items():
        cluster.traffic.add(tenant, limit, 300 / limit.rate_per_s, cancel_ratio=0.1 if seed % 2 else 0.0)
    cluster.schedule(cluster.rng.uniform(0, 8000), lambda: inject_faults(cluster))
    cluster.run_for(RUN_MS)
    return cluster


def run_with_membership_changes(seed: int, is_joint: bool = True) -> SimulatedCluster:
    """Run one fault schedule with a change of members every two seconds on average."""
    cluster = SimulatedCluster(seed, gateways=2 + seed % 5, coordinators=(4, 5, 6)[seed % 3], is_joint=is_joint)
    for tenant, limit in TENANT_LIMITS.items():
        cluster.traffic.add(tenant, limit, 300 / limit.rate_per_s)

    def change() -> None:
        cluster.change_members()
        cluster.schedule(cluster.rng.uniform(500, 3500), change)

    cluster.schedule(3000, change)
    cluster.schedule(cluster.rng.uniform(2000, 8000), lambda: inject_faults(cluster))
    cluster.run_for(RUN_MS)
    return cluster


def tenants_over_limit(cluster: SimulatedCluster) -> list[str]:
    """Return the tenants for which more requests were admitted than the rule allows."""
    return [
        tenant
        for tenant, limit in TENANT_LIMITS.items()
        if cluster.traffic.record.max_admitted(tenant) > QUOTA.total_limit(limit)
        or cluster.traffic.record.max_admitted_by_holders(tenant) > QUOTA.holder_limit(limit)
    ]
