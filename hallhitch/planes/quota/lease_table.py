"""The votes of one coordinator on which gateway holds which bucket. Owns this coordinator's own votes alone.

Invariants:
- Until a vote expires or is released, the coordinator votes for no other claimant on that bucket.
- A claim of an older membership than the coordinator's is not accepted, and answered with the newer membership.
- The coordinator keeps nothing on disk. After its start it is in a grace period of LEASE_DURATION_MS, in which it
  votes only to renew leases, as votes that its last incarnation gave may still count.

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

# A gateway counts as one that may exist for so long after its last claim: a minute, as LocalReserve remembers counts.
CLAIMANT_RETENTION_MS: Final = 60_000.0
# Versions of one change of members in which both sets count (joint, then final). A larger step between two known
# versions may have skipped a quorum set that was added and dropped in between.
JOINT_VERSIONS_PER_CHANGE: Final = 2
# Sequence numbers of ended incarnations are removed once there are clearly more than live claimants may have.
SEQUENCES_PER_CLAIMANT: Final = 4
SPARE_SEQUENCES: Final = 64


@dataclass(slots=True)
class _BucketVote:
    """The last vote on a bucket. `exclusive_since`: no other claimant has had this coordinator's vote since."""

    claimant: Claimant
    exclusive_since: float
    expires_at: float = 0.0
    predecessor: PredecessorReport | None = None  # the last report of the holder before this one
    own_report: PredecessorReport | None = None  # the last report of this holder since it took the bucket
    is_lease_confirmed: bool = False  # the claimant has renewed: its lease runs


@dataclass(frozen=True, slots=True)
class _LastClaim:
    """The newest claim of a claimant."""

    sequence: int
    received_at: float


@dataclass(slots=True)
class _AcquireVotes:
    """The votes on the buckets of LeaseClaim.acquire; for the fields see LeaseVotes."""

    rejected: set[int] = field(default_factory=set)
    idle_ms: list[int] = field(default_factory=list)
    predecessors: dict[int, RelayedReport] = field(default_factory=dict)


class LeaseTable:
    """The votes of one incarnation of one coordinator."""

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
        """Take over the newest membership that this coordinator has accepted or knows to be committed.

        An older one is ignored. Once a quorum set is dropped, its quorums need not share a voter with those that
        count. A lease held by that set alone has ended by then (see lease_client.py), but the votes kept here need
        not show it: so the moment at which it was dropped bounds what they prove.
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
        """Return whether votes of an earlier incarnation may still count."""
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
        """Return the holder's internal address for each bucket whose lease runs, as far as is known here."""
        return {
            bucket: vote.claimant.address
            for bucket, vote in self._votes.items()
            if vote.is_lease_confirmed and now < vote.expires_at
        }

    def _accept(self, now: float, claim: LeaseClaim) -> bool:
        """Record a claim; return whether it may be voted on.

        An overtaken claim would undo a newer one; one for an earlier incarnation of this coordinator relies on votes
        that are forgotten; one of an older membership may be counted without the current members.
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
                # It counted nothing, so for the next holder it is as if it had never had the vote.
                vote.expires_at = min(vote.expires_at, vote.exclusive_since)
                vote.own_report = vote.predecessor

    def _renew(self, now: float, claim: LeaseClaim) -> set[int]:
        """Vote for leases that run; return the rejected buckets."""
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
        # A newer membership than the one known here may have dropped a quorum set in between.
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
        """Vote for a claimant unless another one has the vote; return whether it has the vote now."""
        if not 0 <= bucket < BUCKET_COUNT:
            return False
        vote = self._votes.get(bucket)
        if vote is None:
            # Votes of an earlier incarnation of this coordinator end with the grace period.
            vote = self._votes[bucket] = _BucketVote(claimant, exclusive_since=self._grace_until)
        elif vote.claimant != claimant:
            if now < vote.expires_at:
                return False
            exclusive_since = max(vote.expires_at, vote.exclusive_since)
            vote = self._votes[bucket] = _BucketVote(claimant, exclusive_since, predecessor=vote.own_report)
        vote.expires_at = now + LEASE_DURATION_MS
        return True

    def _report(self, now: float, bucket: int, claim: LeaseClaim, *, is_final: bool) -> PredecessorReport | None:
        """Return what a claim reports of a bucket; None in the grace period, as a later holder may be forgotten."""
        if self.in_grace_period(now):
            return None
        usage = claim.usage_reports.get(bucket, NO_USAGE)
        return PredecessorReport(claim.holder, claim.incarnation, claim.sequence, usage, is_final, received_at=now)

    def _count_gateways(self, now: float) -> int:
        """Return the claimants of the last minute; 0 while not each of them has had the time for a claim."""
        for address, seen_at in [*self._last_seen_at.items()]:
            if now - seen_at > CLAIMANT_RETENTION_MS:
                del self._last_seen_at[address]
        if len(self._last_claims) > SEQUENCES_PER_CLAIMANT * len(self._last_seen_at) + SPARE_SEQUENCES:
            # No claim of an incarnation that has sent none for this long is still in flight.
            self._last_claims = {
                claimant: last_claim
                for claimant, last_claim in self._last_claims.items()
                if now - last_claim.received_at <= CLAIMANT_RETENTION_MS
            }
        has_heard_all = self._first_claim_at is not None and now - self._first_claim_at >= LEASE_DURATION_MS
        return len(self._last_seen_at) if has_heard_all and not self.in_grace_period(now) else 0
