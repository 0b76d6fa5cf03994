"""A cluster without faults rejects no request within a limit, and recovers quickly from the death of a holder."""

from __future__ import annotations

import pytest

from hallhitch.planes.quota.limits import RateLimit
from tests.system.quota.simulated_cluster import SimulatedCluster
from tests.system.quota.simulated_process import QUOTA

# The bursts of "dense" and "bursting" are a fifth of a second and two seconds of their rates.
TENANT_LIMITS = {
    "large": RateLimit(155.0, 155.0),
    "small": RateLimit(10.0, 10.0),
    "dense": RateLimit(40.0, 8.0),
    "bursting": RateLimit(60.0, 120.0),
}


@pytest.fixture(scope="module")
def cluster() -> SimulatedCluster:
    """Nine gateways and three coordinators after ten seconds without load and fifteen seconds with usual load."""
    cluster = SimulatedCluster(7, gateways=9, coordinators=3, is_fault_free=True)
    cluster.run_for(10_000)
    for tenant, limit in TENANT_LIMITS.items():
        cluster.traffic.add(tenant, limit, 1000 / (limit.rate_per_s / 1.6))
    cluster.run_for(15_000)
    return cluster


def test_requests_below_the_limit_are_all_admitted(cluster: SimulatedCluster) -> None:
    assert cluster.traffic.record.rejected == {}


def test_every_bucket_has_one_holder_and_buckets_are_spread_over_the_gateways(cluster: SimulatedCluster) -> None:
    held = [gateway.held_buckets() for gateway in cluster.gateways]
    assert sorted(bucket for buckets in held for bucket in buckets) == list(range(128))
    assert max(map(len, held)) < 32


def test_few_requests_are_rejected_after_a_holders_death(cluster: SimulatedCluster) -> None:
    killed_at, admitted_before = cluster.env.now, len(cluster.traffic.record.admitted["large"])
    holder = cluster.holder_of("large")
    assert holder is not None
    cluster.kill(holder, 400.0)
    cluster.run_for(8000)
    rejected = [rejected_at - killed_at for rejected_at in cluster.traffic.record.rejected.get("large", [])]
    assert sum(elapsed_ms > 2500 for elapsed_ms in rejected) <= 5
    assert len(rejected) < 0.1 * (len(cluster.traffic.record.admitted["large"]) - admitted_before)
    for tenant, limit in TENANT_LIMITS.items():
        assert cluster.traffic.record.max_admitted(tenant) <= QUOTA.total_limit(limit)


def test_tenant_over_its_limit_gets_nearly_all_of_it() -> None:
    limit = TENANT_LIMITS["large"]
    cluster = SimulatedCluster(8, gateways=9, coordinators=3, is_fault_free=True)
    cluster.run_for(10_000)
    cluster.traffic.add("large", limit, 1000 / 600)
    cluster.run_for(10_000)
    assert len(cluster.traffic.record.admitted["large"]) >= 0.95 * 155 * 10
    assert cluster.traffic.record.max_admitted("large") <= QUOTA.total_limit(limit)
