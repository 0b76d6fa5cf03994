"""The votes of one coordinator on which gateway holds which bucket.

Invariants:
- Until a vote on a bucket expires or is released, the coordinator votes for no other claimant of that bucket.
- The coordinator does not accept a claim of an older membership than its own; its response contains the newer one.
- The coordinator stores nothing on disk. It starts with a grace period of LEASE_DURATION_MS, in which it votes only to
  renew leases, because votes of its previous incarnation may still be valid.

Why no bucket has two holders: see lease_client.py.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from hallhitch.planes.quota.lease import (
    LEASE_DURATION_MS,
    NO_USAGE,
    Claimant,
    LeaseClaim,
    LeaseVotes,
    PredecessorReport,
    RelayedReport,
)
from hallhitch.planes.quota.limits import BUCKET_COUNT
from hallhitch.planes.values import LeaseMembership

# How long after its last claim a gateway is assumed to exist: a minute, as long as LocalReserve remembers counts.
CLAIMANT_RETENTION_MS: Final = 60_000.0
# One change of members has this many versions in which both sets count (joint, then final). A larger step between two
# known versions may have skipped a quorum set that was added and dropped in between.
JOINT_VERSIONS_PER_CHANGE: Final = 2
# Sequence numbers of ended incarnations are removed once there are clearly more than the live claimants can have.
SEQUENCES_PER_CLAIMANT: Final = 4
SPARE_SEQUENCES: Final = 64


@dataclass(slots=True)
class _BucketVote:
    """The last vote on a bucket. `exclusive_since`: no other claimant has had this coordinator's vote since then."""

    claimant: Claimant
    exclusive_since: float
    expires_at: float = 0.0
    predecessor: PredecessorReport | None = None  # the last report of the holder before this one
    own_report: PredecessorReport | None = None  # the last report of this holder since it acquired the bucket
    is_lease_confirmed: bool = False  # the claimant has renewed, so its lease has begun


@dataclass(frozen=True, slots=True)
class _LastClaim:
    """The newest claim of a claimant."""

    sequence: int
    received_at: float


@dataclass(slots=True)
class _AcquireVotes:
    """The votes on the buckets of LeaseClaim.acquire; see LeaseVotes for the fields."""

    rejected: set[int] = field(default_factory=set)
    idle_ms: list[int] = field(default_factory=list)
    predecessors: dict[int, RelayedReport] = field(default_factory=dict)


class LeaseTable:
    """The votes of one coordinator incarnation."""

    def __init__(self, incarnation: int, started_at: float) -> None:
        self._incarnation = incarnation
        self._grace_until = started_at + LEASE_DURATION_MS
        self._membership = LeaseMembership()
        self._quorum_set_dropped_at = float("-inf")
        self._votes: dict[int, _BucketVote] = {}
        self._last_claims: dict[Claimant, _LastClaim] = {}
        self._last_seen_at: dict[str, float] = {}  # by address of a gateway
        self._first_claim_at: float | None = None

    def set_membership(self, now: float, membership: LeaseMembership) -> None:
        """Set the newest membership that this coordinator has accepted or knows to be committed.

        An older membership is ignored. Once a quorum set is dropped, its quorums need not share a voter with the
        quorums that count. A lease that relied on that set alone has ended by then (see lease_client.py), but the votes
        in this table need not show that lease. So they prove nothing about the time before the set was dropped.
        """
        current = self._membership
        if membership.version < current.version or membership == current:
            return
        is_first = not current.quorum_sets
        has_dropped_set = not current.quorum_sets <= membership.quorum_sets
        may_have_missed_set = membership.version - current.version > JOINT_VERSIONS_PER_CHANGE
        if is_first or has_dropped_set or may_have_missed_set:
            self._quorum_set_dropped_at = now
        self._membership = membership

    def in_grace_period(self, now: float) -> bool:
        """Return whether votes of an earlier incarnation may still be valid."""
        return now < self._grace_until

    def vote(self, now: float, claim: LeaseClaim) -> LeaseVotes:
        """Vote on one claim."""
        if not self._accept(now, claim):
            is_outdated = claim.membership_version < self._membership.version
            return LeaseVotes(False, self._incarnation, membership=self._membership if is_outdated else None)
        self._release(now, claim)
        renew_rejected = self._renew(now, claim)
        acquired = self._acquire(now, claim)
        return LeaseVotes(
            is_accepted=True,
            incarnation=self._incarnation,
            in_grace_period=self.in_grace_period(now),
            rejected=frozenset(renew_rejected | acquired.rejected),
            idle_ms=tuple(acquired.idle_ms),
            gateways_seen=self._count_gateways(now),
            predecessors=acquired.predecessors,
        )

    def holders(self, now: float) -> dict[int, str]:
        """Return the holder's internal address for each bucket with a valid lease that this coordinator knows of."""
        return {
            bucket: vote.claimant.address
            for bucket, vote in self._votes.items()
            if vote.is_lease_confirmed and now < vote.expires_at
        }

    def _accept(self, now: float, claim: LeaseClaim) -> bool:
        """Record a claim; return whether to vote on it.

        A claim that arrives after a newer one would undo the newer one. A claim to an earlier incarnation of this
        coordinator relies on votes that are forgotten. Votes on a claim of an older membership may be counted without
        the current members.
        """
        if claim.coordinator_incarnation != self._incarnation or not self._membership.members:
            return False
        if claim.membership_version < self._membership.version:
            return False
        last_claim = self._last_claims.get(claim.claimant)
        if last_claim is not None and claim.sequence <= last_claim.sequence:
            return False
        self._last_claims[claim.claimant] = _LastClaim(claim.sequence, now)
        self._last_seen_at[claim.holder] = now
        if self._first_claim_at is None:
            self._first_claim_at = now
        return True

    def _release(self, now: float, claim: LeaseClaim) -> None:
        for bucket in (*claim.release, *claim.drop):
            vote = self._votes.get(bucket)
            if vote is None or vote.claimant != claim.claimant:
                continue
            if bucket in claim.release:
                vote.expires_at = min(vote.expires_at, now)
                vote.own_report = self._report(now, bucket, claim, is_final=True)
            else:
                # The claimant counted nothing, so for the next holder it is as if it had never had the vote.
                vote.expires_at = min(vote.expires_at, vote.exclusive_since)
                vote.own_report = vote.predecessor

    def _renew(self, now: float, claim: LeaseClaim) -> set[int]:
        """Vote for leases to be renewed; return the rejected buckets."""
        rejected = set()
        for bucket in claim.renew:
            if not self._cast_vote(now, bucket, claim.claimant):
                rejected.add(bucket)
                continue
            vote = self._votes[bucket]
            vote.is_lease_confirmed = True
            vote.own_report = self._report(now, bucket, claim, is_final=False)
        return rejected

    def _acquire(self, now: float, claim: LeaseClaim) -> _AcquireVotes:
        """Vote for leases to be acquired."""
        result = _AcquireVotes()
        # A membership newer than this coordinator's own may have dropped a quorum set in the meantime.
        is_claim_newer = claim.membership_version > self._membership.version
        dropped_at = now if is_claim_newer else self._quorum_set_dropped_at
        for bucket in claim.acquire:
            if self.in_grace_period(now) or not self._cast_vote(now, bucket, claim.claimant):
                result.idle_ms.append(0)
                result.rejected.add(bucket)
                continue
            vote = self._votes[bucket]
            if vote.exclusive_since < dropped_at:
                vote.exclusive_since = dropped_at
                vote.predecessor = None
            result.idle_ms.append(max(0, int(now - vote.exclusive_since)))
            vote.is_lease_confirmed = False
            vote.own_report = None
            if vote.predecessor is not None:
                result.predecessors[bucket] = vote.predecessor.relay(now)
        return result

    def _cast_vote(self, now: float, bucket: int, claimant: Claimant) -> bool:
        """Vote for a claimant unless another one has the vote; return whether the claimant has the vote now."""
        if not 0 <= bucket < BUCKET_COUNT:
            return False
        vote = self._votes.get(bucket)
        if vote is None:
            # Votes of an earlier incarnation of this coordinator have expired by the end of the grace period.
            vote = self._votes[bucket] = _BucketVote(claimant, exclusive_since=self._grace_until)
        elif vote.claimant != claimant:
            if now < vote.expires_at:
                return False
            exclusive_since = max(vote.expires_at, vote.exclusive_since)
            vote = self._votes[bucket] = _BucketVote(claimant, exclusive_since, predecessor=vote.own_report)
        vote.expires_at = now + LEASE_DURATION_MS
        return True

    def _report(self, now: float, bucket: int, claim: LeaseClaim, *, is_final: bool) -> PredecessorReport | None:
        """Return a claim's report on a bucket.

        None in the grace period, as this coordinator may have forgotten a later holder.
        """
        if self.in_grace_period(now):
            return None
        usage = claim.usage_reports.get(bucket, NO_USAGE)
        return PredecessorReport(claim.holder, claim.incarnation, claim.sequence, usage, is_final, received_at=now)

    def _count_gateways(self, now: float) -> int:
        """Return the number of claimants in the last minute; 0 until all gateways have had time to send a claim."""
        for address, seen_at in [*self._last_seen_at.items()]:
            if now - seen_at > CLAIMANT_RETENTION_MS:
                del self._last_seen_at[address]
        if len(self._last_claims) > SEQUENCES_PER_CLAIMANT * len(self._last_seen_at) + SPARE_SEQUENCES:
            # An incarnation that has sent no claim for this long has no claim in flight any more.
            self._last_claims = {
                claimant: last_claim
                for claimant, last_claim in self._last_claims.items()
                if now - last_claim.received_at <= CLAIMANT_RETENTION_MS
            }
        is_count_complete = self._first_claim_at is not None and now - self._first_claim_at >= LEASE_DURATION_MS
        return len(self._last_seen_at) if is_count_complete and not self.in_grace_period(now) else 0
