"""Value types of the lease protocol: claims of gateways, votes of coordinators, and usage reports.

Tenant names are hashed into buckets (`limits.bucket_of`). The gateway that holds the lease on a bucket counts the
requests of the bucket's tenants. A lease is a quorum of unexpired votes. Each coordinator casts one vote
(`lease_table.py`), and the gateway that claims the lease counts the votes (`lease_client.py`).

Points in time (`now`, `*_at`, `*_since`, `*_until`) are ms of the steady clock of the process that stores them. They
are never sent over the network. Durations are named `*_ms`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple, Protocol

from hallhitch.planes.values import LeaseMembership

# How long a vote is valid. Three claims are sent within it (plane.CLAIM_INTERVAL_MS), so two of them may be lost.
LEASE_DURATION_MS: Final = 1000.0
# The holder ends its lease earlier by this margin: two steady clocks may drift apart by that much during one lease.
CLOCK_MARGIN_MS: Final = 50.0


class Claimant(NamedTuple):
    """One incarnation of one gateway as a claimant of leases."""

    address: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Units in a holder's windows when it sent a claim, by tenant.

    Each tenant has the units of `CELLS_PER_WINDOW` time spans, newest first. A tenant without an entry has used
    nothing; in a partial report it may have used as much as its limits allow.
    """

    units_by_tenant: Mapping[str, Sequence[int]]
    is_partial: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether the report states that no units were used."""
        return not self.units_by_tenant and not self.is_partial


NO_USAGE: Final = UsageReport({})


@dataclass(frozen=True, slots=True)
class PredecessorReport:
    """The newest usage report of a bucket's last holder that a process has received.

    `is_final`: the holder counted nothing after this report. Otherwise the holder stopped counting at most
    LEASE_DURATION_MS after its newest claim that any coordinator of a quorum has received.
    """

    holder: str
    incarnation: int
    sequence: int
    usage: UsageReport
    is_final: bool
    received_at: float

    def relay(self, now: float) -> RelayedReport:
        """Return the report in the form in which it is sent to another process."""
        age_ms = now - self.received_at
        return RelayedReport(self.holder, self.incarnation, self.sequence, self.usage, self.is_final, age_ms)


@dataclass(frozen=True, slots=True)
class RelayedReport:
    """A predecessor report that a coordinator sends to the next holder.

    It has an age instead of a time of receipt, because the clocks of the two processes differ.
    """

    holder: str
    incarnation: int
    sequence: int
    usage: UsageReport
    is_final: bool
    age_ms: float

    def receive(self, now: float) -> PredecessorReport:
        """Return the report with its time of receipt by the recipient's clock: the latest that its age allows."""
        received_at = now - self.age_ms
        return PredecessorReport(self.holder, self.incarnation, self.sequence, self.usage, self.is_final, received_at)


class BucketUsage(Protocol):
    """The usage of the buckets that this gateway holds; see tenant_counter.TenantCounter."""

    def is_in_use(self, bucket: int, now: float) -> bool:
        """Return whether a window of the bucket contains units."""

    def usage_report(self, bucket: int, now: float) -> UsageReport:
        """Return the units in the windows of the bucket."""


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """One claim of a gateway; only `coordinator_incarnation` differs between the voters that it is sent to.

    `renew`: buckets whose lease is valid. `acquire`: buckets for which the gateway requests votes. `release`: buckets
    in which it no longer counts. `drop`: buckets that it no longer holds and in which it counted nothing within a
    window. `usage_reports`: for renewed and released buckets; a bucket without a report has counted nothing.
    `coordinator_incarnation`: that of the recipient, 0 while it is not known.
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
        """The gateway incarnation that sent the claim."""
        return Claimant(self.holder, self.incarnation)

    @property
    def is_heartbeat(self) -> bool:
        """Whether the claim names no bucket and only shows that the gateway is alive."""
        return not (self.renew or self.acquire or self.release or self.drop)


@dataclass(frozen=True, slots=True)
class LeaseVotes:
    """A coordinator's response to one claim: a vote for each bucket to renew or acquire that is not rejected.

    `is_accepted`: False if the claim was stale or addressed to another incarnation; no vote was cast then.
    `idle_ms`: for each bucket of the claim's `acquire`, in the same order, how long no other claimant has had this
    coordinator's vote; 0 for rejected buckets. `gateways_seen`: the number of claimants in the last minute; 0 while
    some may not have sent a claim yet. `predecessors`: by acquired bucket, if the last holder is known.
    `membership`: the coordinator's membership, if that of the claim was older.
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

    `exclusive_since`: no other gateway has counted in the bucket since then. `predecessor`: the report of the last
    holder; None if a quorum does not agree on who that was. `own_last_ended_at`: when this gateway's last lease on the
    bucket ended; minus infinity if it had none.
    """

    bucket: int
    started_at: float
    exclusive_since: float
    predecessor: PredecessorReport | None = None
    own_last_ended_at: float = float("-inf")
