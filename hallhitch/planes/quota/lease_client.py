"""The lease state machine of one gateway: it builds claims and processes the coordinators' votes. Does no I/O.

This module keeps the acquisition attempts and the claims in flight. Other modules implement the rest: one attempt to
acquire a bucket (`lease_acquisition.py`), held leases (`held_lease.py`), released leases (`lease_release.py`), which
gateway should hold which bucket (`bucket_placement.py`), which buckets to hand over (`rebalancing.py`), and what is
known about the coordinators (`coordinator_view.py`).

**Why no bucket has two holders.** A lease needs the votes of a majority of the members and, during a change of members,
also those of a majority of the previous members. A coordinator votes for one claimant at a time (`lease_table.py`). By
the holder's clock a lease ends before its votes expire (CLOCK_MARGIN_MS). Coordinators that restart forget their votes;
therefore a restarted coordinator only renews leases for one lease duration, and a lease begins only after two rounds of
votes (`lease_acquisition.py`). When a lease ends, all earlier votes for it become void, including those in flight, and
the bucket must be acquired again.

**Change of members**, from M0 through the joint membership J = (M0, M1) to M1. Quorums of M0 and J share a voter, and
so do those of J and M1; those of M0 and M1 need not. Invariant: no lease relies on votes of M0 alone while another
relies on votes of M1 alone. Once J is committed, a majority of M0 has accepted it and from then on rejects claims of
M0; the votes that this majority cast earlier expire within a lease duration. M1 alone counts only once the cluster
state has dropped M0, at least a lease duration and a margin later. A gateway may learn of each step late: its claims
of the older membership are rejected.

Joint consensus: Ongaro and Ousterhout (Raft), 2014. Times are ms of this process's steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from hallhitch.planes.quota.bucket_placement import BucketPlacement
from hallhitch.planes.quota.coordinator_view import CoordinatorView
from hallhitch.planes.quota.held_lease import HeldLease, HeldLeases
from hallhitch.planes.quota.lease import (
    CLOCK_MARGIN_MS,
    LEASE_DURATION_MS,
    BucketUsage,
    LeaseClaim,
    LeaseStart,
    LeaseVotes,
    UsageReport,
)
from hallhitch.planes.quota.lease_acquisition import AcquisitionVote, LeaseAcquisition, newest_common_report
from hallhitch.planes.quota.lease_release import PendingReleases, Release
from hallhitch.planes.quota.limits import BUCKET_COUNT
from hallhitch.planes.quota.rebalancing import HANDED_OVER_RETRY_MS, buckets_to_hand_over
from hallhitch.planes.values import LeaseMembership

# Delay after an attempt that timed out. It is longer than a claim interval, so that the votes are released before the
# next attempt.
TIMED_OUT_RETRY_MS: Final = 500.0

UNKNOWN_USAGE: Final = UsageReport({}, is_partial=True)


@dataclass(frozen=True, slots=True)
class _SentClaim:
    """A claim and the time at which it was sent, from which votes on it are valid."""

    sent_at: float
    claim: LeaseClaim


class LeaseClient:
    """The leases of one gateway incarnation; `on_acquired` is called when a lease begins."""

    def __init__(
        self,
        own_address: str,
        incarnation: int,
        window_ms: float,
        on_acquired: Callable[[LeaseStart], None],
    ) -> None:
        self._own_address = own_address
        self._incarnation = incarnation
        self._window_ms = window_ms
        self._on_acquired = on_acquired
        self._membership = LeaseMembership()
        self._is_releasing_all = False

        self._placement = BucketPlacement(own_address)
        self._acquisitions: dict[int, LeaseAcquisition] = {}
        self._held = HeldLeases()
        self._releases = PendingReleases()

        self._last_sequence = 0
        self._sent_claims: dict[int, _SentClaim] = {}
        self._coordinators = CoordinatorView()

    @property
    def voters(self) -> tuple[str, ...]:
        """The coordinators to which claims are sent."""
        return self._membership.voters

    @property
    def gateways_seen(self) -> int:
        """How many gateways may exist according to a quorum of coordinators; 0 = not known."""
        return self._coordinators.gateways_seen

    def coordinator_incarnation(self, coordinator: str) -> int:
        """Return the coordinator's incarnation, to which a claim is addressed; 0 while it is not known."""
        return self._coordinators.incarnation(coordinator)

    def is_holder(self, now: float, bucket: int) -> bool:
        """Return whether this gateway holds a valid lease on the bucket and counts its tenants."""
        return self._held.is_valid(now, bucket)

    def held_buckets(self, now: float) -> list[int]:
        """Return the buckets whose lease is valid."""
        return self._held.valid_buckets(now)

    def set_membership(self, now: float, membership: LeaseMembership) -> bool:
        """Set the membership whose votes count; return False and ignore it if it is not newer than the current one.

        A valid lease continues on the votes that it has, as if the gateway had learned of the change later.
        """
        previous = self._membership
        if membership.version <= previous.version:
            return False
        self._membership = membership
        if membership.quorum_sets == previous.quorum_sets:
            return True
        self._coordinators.set_membership(membership)
        self._remove_expired(now)
        self._held.set_membership(membership)
        for bucket in [*self._acquisitions]:
            self._abandon(now, bucket, retry_delay_ms=0.0)
        return True

    def set_gateways(self, now: float, gateways: Iterable[str]) -> None:
        """Set the live gateways that may hold buckets, including this one if it may hold any."""
        self._placement.set_gateways(now, gateways)

    def set_holders(self, now: float, holders: Mapping[int, str]) -> None:
        """Set the holders of buckets as the coordinators report them."""
        self._placement.set_holders(now, holders)

    def release_all(self, now: float) -> None:
        """Stop counting, release all buckets with the next claim, and acquire no more buckets."""
        self._is_releasing_all = True
        for bucket in [*self._held]:
            self._release(now, bucket, has_counted=True)
        for bucket in [*self._acquisitions]:
            self._abandon(now, bucket, retry_delay_ms=0.0)

    def next_claim(self, now: float, usage: BucketUsage) -> LeaseClaim:
        """Build the next claim, to be sent to every voter at once."""
        self._remove_expired(now)
        for bucket, acquisition in [*self._acquisitions.items()]:
            if acquisition.is_timed_out(now):
                self._abandon(now, bucket, TIMED_OUT_RETRY_MS)
        if not self._is_releasing_all:
            self._hand_over(now, usage)
            self._begin_acquisitions(now)
        self._last_sequence += 1
        self._releases.expire(now)
        claim = LeaseClaim(
            holder=self._own_address,
            incarnation=self._incarnation,
            sequence=self._last_sequence,
            membership_version=self._membership.version,
            renew=sorted(self._held),
            acquire=sorted(self._acquisitions),
            release=sorted(self._releases.counted()),
            drop=sorted(self._releases.uncounted()),
            usage_reports=self._usage_reports(now, usage),
        )
        self._sent_claims[self._last_sequence] = _SentClaim(now, claim)
        for sequence in [n for n, sent in self._sent_claims.items() if now - sent.sent_at > LEASE_DURATION_MS]:
            del self._sent_claims[sequence]
        return claim

    def on_votes(self, now: float, coordinator: str, sequence: int, votes: LeaseVotes) -> bool:
        """Process a coordinator's votes on one claim; return whether the next claim should be sent at once."""
        has_new_membership = votes.membership is not None and self.set_membership(now, votes.membership)
        sent = self._sent_claims.get(sequence)
        if coordinator not in self._membership.voters or sent is None:
            return has_new_membership
        if not votes.is_accepted:
            is_incarnation_new = self._coordinators.set_incarnation(coordinator, votes.incarnation)
            return has_new_membership or is_incarnation_new
        self._coordinators.set_gateway_count(coordinator, votes.gateways_seen, self._membership)
        self._on_renew_votes(now, coordinator, sent, votes)
        return self._on_acquire_votes(now, coordinator, sent, votes)

    def _on_renew_votes(self, now: float, coordinator: str, sent: _SentClaim, votes: LeaseVotes) -> None:
        """Extend the renewed leases, except those that have ended or begun since the claim was sent."""
        expires_at = self._vote_expiry(sent)
        for bucket in sent.claim.renew:
            lease = self._held.get(bucket)
            if lease is None or bucket in votes.rejected:
                continue
            if sent.claim.sequence < lease.first_renewal:  # the lease began after this claim was sent
                continue
            if not self._held.is_valid(now, bucket):
                self._release(now, bucket, has_counted=True)
                continue
            lease.renew(coordinator, expires_at)
            self._held.recompute_expiry(bucket, lease, self._membership)

    def _on_acquire_votes(self, now: float, coordinator: str, sent: _SentClaim, votes: LeaseVotes) -> bool:
        """Process the votes on pending attempts; return whether the next claim should be sent at once."""
        claim_at_once = False
        for bucket, idle_ms in zip(sent.claim.acquire, votes.idle_ms, strict=False):
            acquisition = self._acquisitions.get(bucket)
            if acquisition is None or sent.claim.sequence < acquisition.first_claim:
                continue
            if acquisition.is_timed_out(now):  # a vote may have expired and been cast again since
                self._abandon(now, bucket, TIMED_OUT_RETRY_MS)
            elif bucket in votes.rejected:
                claim_at_once |= self._on_rejection(now, bucket, coordinator, acquisition)
            else:
                report = votes.predecessors.get(bucket)
                vote = AcquisitionVote(
                    incarnation=votes.incarnation,
                    confirmed_from=now,
                    confirmed_until=sent.sent_at,
                    expires_at=self._vote_expiry(sent),
                    exclusive_since=now - idle_ms,
                    predecessor=report.receive(now) if report is not None else None,
                )
                claim_at_once |= self._on_acquire_vote(now, bucket, coordinator, acquisition, vote)
        return claim_at_once

    def _vote_expiry(self, sent: _SentClaim) -> float:
        """Return when a vote on a claim expires here: a lease duration after the claim was sent, less the margin."""
        return sent.sent_at + LEASE_DURATION_MS - CLOCK_MARGIN_MS

    def _on_rejection(self, now: float, bucket: int, coordinator: str, acquisition: LeaseAcquisition) -> bool:
        """Record a rejection of an attempt.

        Return whether the attempt was abandoned while coordinators still have votes for it, which the next claim
        releases.
        """
        acquisition.add_rejection(coordinator)
        if acquisition.can_succeed(self._membership):
            return False
        self._abandon(now, bucket, self._placement.retry_delay_ms(bucket))
        return bool(acquisition.votes)

    def _on_acquire_vote(
        self, now: float, bucket: int, coordinator: str, acquisition: LeaseAcquisition, vote: AcquisitionVote
    ) -> bool:
        """Record a vote for an attempt; return whether the next claim should be sent at once."""
        is_confirmation = acquisition.add_vote(coordinator, vote)
        if not is_confirmation:
            return self._membership.has_quorum(acquisition.votes)
        winning_votes = acquisition.winning_votes(now, self._membership)
        if not winning_votes:
            return False
        del self._acquisitions[bucket]
        self._begin_lease(now, bucket, winning_votes)
        return True

    def _begin_lease(self, now: float, bucket: int, votes: Mapping[str, AcquisitionVote]) -> None:
        lease = HeldLease(
            first_renewal=self._last_sequence + 1,
            vote_expiries={coordinator: vote.expires_at for coordinator, vote in votes.items()},
            acquired_at=now,
        )
        self._held.add(bucket, lease, self._membership)
        self._on_acquired(
            LeaseStart(
                bucket,
                started_at=now,
                exclusive_since=max(vote.exclusive_since for vote in votes.values()),
                predecessor=newest_common_report(vote.predecessor for vote in votes.values()),
                own_last_ended_at=self._held.last_ended_at(bucket),
            )
        )

    def _remove_expired(self, now: float) -> None:
        for bucket in self._held.expired_buckets(now):
            self._release(now, bucket, has_counted=True)

    def _release(self, now: float, bucket: int, *, has_counted: bool) -> None:
        """End a lease; this gateway counts nothing in the bucket from now on."""
        self._held.remove(now, bucket)
        self._releases.add(bucket, Release(has_counted, now + LEASE_DURATION_MS, is_usage_complete=True))
        self._placement.mark_free(now, bucket)

    def _abandon(self, now: float, bucket: int, retry_delay_ms: float) -> None:
        """Abandon an attempt to acquire a bucket."""
        del self._acquisitions[bucket]
        # Nothing is counted during an attempt, but this gateway may have counted under an earlier lease.
        has_counted = self._held.has_ended_within(now, bucket, self._window_ms)
        self._releases.add(bucket, Release(has_counted, now + LEASE_DURATION_MS, is_usage_complete=False))
        self._placement.defer(bucket, now + retry_delay_ms)

    def _usage_reports(self, now: float, usage: BucketUsage) -> dict[int, UsageReport]:
        reports = {bucket: usage.usage_report(bucket, now) for bucket in self._held}
        for bucket, release in self._releases.counted().items():
            # Other gateways may have counted between an earlier lease of this gateway and its failed attempt.
            reports[bucket] = usage.usage_report(bucket, now) if release.is_usage_complete else UNKNOWN_USAGE
        return {bucket: report for bucket, report in reports.items() if not report.is_empty}

    def _hand_over(self, now: float, usage: BucketUsage) -> None:
        """Release buckets that other gateways should hold."""
        for bucket in buckets_to_hand_over(now, self._held, self._placement, usage, self._window_ms):
            self._release(now, bucket, has_counted=False)
            self._placement.defer(bucket, now + HANDED_OVER_RETRY_MS)

    def _begin_acquisitions(self, now: float) -> None:
        if not self._membership.members or not self._placement.can_acquire(now):
            return
        for bucket in range(BUCKET_COUNT):
            is_taken = bucket in self._held or bucket in self._acquisitions
            if not is_taken and self._placement.is_own_turn(now, bucket):
                self._releases.cancel(bucket)
                self._acquisitions[bucket] = LeaseAcquisition(now, first_claim=self._last_sequence + 1)
