"""Values of the lease protocol: claims of gateways, votes of coordinators, usage reports. Owns no state.

The tenants' names are hashed into buckets (`limits.bucket_of`). The gateway that holds the lease on a bucket counts
the requests of its tenants. A lease is a quorum of unexpired votes, each of one coordinator (`lease_table.py`), as
the gateway that claimed them counts it (`lease_client.py`).

Points in time (`now`, `*_at`, `*_since`, `*_until`) are ms of the steady clock of the process that keeps them; they
never cross the network. Durations are `*_ms`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple, Protocol

from hallhitch.planes.values import LeaseMembership

# How long a vote counts. Three claims go out in it (plane.CLAIM_INTERVAL_MS), so that two of them may be lost.
LEASE_DURATION_MS: Final = 1000.0
# The holder ends its lease sooner by this, as two steady clocks may differ by so much within one lease.
CLOCK_MARGIN_MS: Final = 50.0


class Claimant(NamedTuple):
    """One incarnation of one gateway as a claimant of leases."""

    address: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Units in a holder's windows when it sent a claim, by tenant: `CELLS_PER_WINDOW` spans each, newest first.

    A tenant without an entry has used nothing, or, in a partial report, up to all that its limits allow.
    """

    units_by_tenant: Mapping[str, Sequence[int]]
    is_partial: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether the report says that nothing was used."""
        return not self.units_by_tenant and not self.is_partial


NO_USAGE: Final = UsageReport({})


@dataclass(frozen=True, slots=True)
class PredecessorReport:
    """The newest usage report that a process has of a bucket's last holder.

    `is_final`: the holder counted nothing after it. Otherwise the holder counted for no longer than
    LEASE_DURATION_MS after the newest claim of it that any coordinator of a quorum has.
    """

    holder: str
    incarnation: int
    sequence: int
    usage: UsageReport
    is_final: bool
    received_at: float

    def relay(self, now: float) -> RelayedReport:
        """Return the report as it is sent to another process."""
        age_ms = now - self.received_at
        return RelayedReport(self.holder, self.incarnation, self.sequence, self.usage, self.is_final, age_ms)


@dataclass(frozen=True, slots=True)
class RelayedReport:
    """A predecessor report on its way from a coordinator to the next holder, whose clocks differ: it has an age."""

    holder: str
    incarnation: int
    sequence: int
    usage: UsageReport
    is_final: bool
    age_ms: float

    def receive(self, now: float) -> PredecessorReport:
        """Return the report as received at the latest time, by the recipient's clock, that its age allows."""
        received_at = now - self.age_ms
        return PredecessorReport(self.holder, self.incarnation, self.sequence, self.usage, self.is_final, received_at)


class BucketUsage(Protocol):
    """What was counted in the buckets that this gateway holds; see tenant_counter.TenantCounter."""

    def is_in_use(self, bucket: int, now: float) -> bool:
        """Return whether units lie in a window of the bucket."""

    def usage_report(self, bucket: int, now: float) -> UsageReport:
        """Return what the windows of the bucket hold."""


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """One claim of a gateway, sent alike to all voters but for `coordinator_incarnation`.

    `renew`: buckets whose lease runs; `acquire`: buckets that it asks votes for; `release`: buckets that it no longer
    counts; `drop`: buckets that it no longer holds and counted nothing in within a window.
    `usage_reports` belong to renewed or released buckets; one without a report has counted nothing.
    `coordinator_incarnation`: the recipient's, 0 while it is not known.
    """

    holder: str
    incarnation: int
    sequence: int
    membership_version: int
    renew: Sequence[int] = ()
    acquire: Sequence[int] = ()
    release: Sequence[int] = ()
    drop: Sequence[int] = ()
    usage_reports: Mapping[int, UsageReport] = field(default_factory=dict)
    coordinator_incarnation: int = 0

    @property
    def claimant(self) -> Claimant:
        """Who sent the claim."""
        return Claimant(self.holder, self.incarnation)

    @property
    def is_heartbeat(self) -> bool:
        """Whether the claim names no bucket and only shows that its gateway is alive."""
        return not (self.renew or self.acquire or self.release or self.drop)


@dataclass(frozen=True, slots=True)
class LeaseVotes:
    """A coordinator's response to one claim: its vote on every bucket to renew or acquire that is not rejected.

    `is_accepted`: False where the claim was stale or addressed to another incarnation, and nothing was voted.
    `idle_ms` goes with the claim's `acquire`, in its order: for how long no other claimant has had this coordinator's
    vote (0 where rejected). `gateways_seen`: claimants of the last minute; 0 while some may not have claimed yet.
    `predecessors`: by acquired bucket, where the last holder is known. `membership`: where the claim's was older.
    """

    is_accepted: bool
    incarnation: int
    in_grace_period: bool = False
    rejected: frozenset[int] = frozenset()
    idle_ms: tuple[int, ...] = ()
    gateways_seen: int = 0
    predecessors: Mapping[int, RelayedReport] = field(default_factory=dict)
    membership: LeaseMembership | None = None


@dataclass(frozen=True, slots=True)
class LeaseStart:
    """A lease that has just begun at this gateway.

    `exclusive_since`: no other gateway has counted the bucket since. `predecessor`: the report of the last holder,
    None where a quorum does not agree on who that was. `own_last_ended_at`: the end of this gateway's last lease on
    the bucket, minus infinity where it had none.
    """

    bucket: int
    started_at: float
    exclusive_since: float
    predecessor: PredecessorReport | None = None
    own_last_ended_at: float = float("-inf")
