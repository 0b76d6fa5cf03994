"""A cluster of state machines in virtual time, with the helpers of the fault tests."""

from __future__ import annotations

from hallhitch.lab.fleet.cluster import Cluster, ModelledMember
from hallhitch.lab.fleet.timeline import FleetFault
from hallhitch.membership.records import MemberState

AGREEMENT_TIMEOUT_MS = 60_000.0  # longer than any limit that the tests assert
WARM_UP_MS = 3_000.0


def agreed_cluster(seed: int, count: int = 9) -> Cluster:
    """Return a cluster whose members have the same view."""
    cluster = Cluster(count, seed)
    cluster.start_settled()
    advance(cluster, WARM_UP_MS)
    assert cluster.is_agreed()
    return cluster


def advance(cluster: Cluster, duration_ms: float) -> None:
    cluster.time.run(cluster.time.now + duration_ms)


def inject(cluster: Cluster, kind: str, seconds: float, **fields: object) -> None:
    """Start a fault that lasts for some seconds."""
    fault = FleetFault(kind, 0.0, seconds, **fields)  # type: ignore[arg-type]
    cluster.begin_fault(fault, seconds * 1000)


def reported_failures(cluster: Cluster) -> list[str]:
    """Return the names of the members declared failed; a name occurs once for each view that changed."""
    return [change.member_name for change in cluster.view_changes if change.state is MemberState.FAILED]


def states_of(peer: ModelledMember, name: str) -> set[MemberState]:
    """Return the states of all members with this name in a view."""
    return {record.state for record in peer.swim.records() if record.name == name}


def assert_agreed_within(cluster: Cluster, limit_ms: float) -> None:
    assert cluster.run_until(cluster.is_agreed, AGREEMENT_TIMEOUT_MS) < limit_ms
