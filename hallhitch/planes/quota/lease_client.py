"""The leases of one gateway: what it claims, and what follows from the coordinators' votes. Does no I/O itself.

Owns the attempts and the claims in flight. Its parts own the rest: an attempt to acquire (`lease_acquisition.py`),
held leases (`held_lease.py`), released ones (`lease_release.py`), who should hold what (`bucket_placement.py`), what to
hand over (`rebalancing.py`), and what is known of the coordinators (`coordinator_view.py`).

**Why no bucket has two holders.** A lease needs votes of a majority of the members and, during a change of members,
of a majority of the previous ones too; a coordinator votes for one claimant at a time (`lease_table.py`). A lease
ends by the holder's clock before the votes do (CLOCK_MARGIN_MS). Coordinators that restart forget their votes. So
they vote only to renew for a lease duration, a lease begins only after two rounds of votes (`lease_acquisition.py`),
and when it ends every earlier vote for it is void, those in flight among them, and it is acquired anew.

**Change of members**, from M0 through the joint membership J = (M0, M1) to M1. Quorums of M0 and J share a voter, so
do those of J and M1; those of M0 and M1 need not. Invariant: no lease is counted by M0 alone while one is counted by
M1 alone. When J is committed, a majority of M0 has accepted it and rejects claims of M0 from then on; its earlier
votes end within a lease duration; and M1 counts alone only once the cluster state has dropped M0, at least a lease
duration and a margin later. A gateway may learn of any of this late: its claims of the older membership are rejected.

Joint consensus: Ongaro and Ousterhout (Raft), 2014. Times are steady ms of this process.
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

# After an attempt that timed out: longer than a claim interval, so that the release of its votes goes out before.
TIMED_OUT_RETRY_MS: Final = 500.0

UNKNOWN_USAGE: Final = UsageReport({}, is_partial=True)


@dataclass(frozen=True, slots=True)
class _SentClaim:
    """A claim, and when it was sent: votes on it count from then."""

    sent_at: float
    claim: LeaseClaim


class LeaseClient:
    """The leases of one incarnation of one gateway; `on_acquired` is called when a lease begins."""

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
        """The coordinators that claims go to."""
        return self._membership.voters

    @property
    def gateways_seen(self) -> int:
        """How many gateways may exist, as far as a quorum of coordinators has reported; 0 = not known."""
        return self._coordinators.gateways_seen

    def coordinator_incarnation(self, coordinator: str) -> int:
        """Return the incarnation of a coordinator to address a claim to; 0 while it is not known."""
        return self._coordinators.incarnation(coordinator)

    def is_holder(self, now: float, bucket: int) -> bool:
        """Return whether this gateway counts the bucket's tenants now."""
        return self._held.is_running(now, bucket)

    def held_buckets(self, now: float) -> list[int]:
        """Return the buckets whose lease runs."""
        return self._held.running(now)

    def set_membership(self, now: float, membership: LeaseMembership) -> bool:
        """Set whose votes count from now on; return whether it is newer than the last, which is kept otherwise.

        A running lease continues on the votes it has: the gateway might as well have learned of the change later.
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
        """Set the live gateways that may hold buckets, this one among them if it may."""
        self._placement.set_gateways(now, gateways)

    def set_holders(self, now: float, holders: Mapping[int, str]) -> None:
        """Set the holders of buckets as the coordinators report them."""
        self._placement.set_holders(now, holders)

    def release_all(self, now: float) -> None:
        """Stop counting, release all buckets with the next claim, and acquire none from now on."""
        self._is_releasing_all = True
        for bucket in [*self._held]:
            self._release(now, bucket, has_counted=True)
        for bucket in [*self._acquisitions]:
            self._abandon(now, bucket, retry_delay_ms=0.0)

    def next_claim(self, now: float, usage: BucketUsage) -> LeaseClaim:
        """Return the claim to send to every voter now."""
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
        """Process a coordinator's votes on one claim; return whether the next claim should go out at once."""
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
        """Prolong leases, but for those that have ended or begun anew since the claim was sent."""
        expires_at = self._vote_expiry(sent)
        for bucket in sent.claim.renew:
            lease = self._held.get(bucket)
            if lease is None or bucket in votes.rejected:
                continue
            if sent.claim.sequence < lease.first_renewal:  # the lease began after this claim was sent
                continue
            if not self._held.is_running(now, bucket):
                self._release(now, bucket, has_counted=True)
                continue
            lease.renew(coordinator, expires_at)
            self._held.recompute_expiry(bucket, lease, self._membership)

    def _on_acquire_votes(self, now: float, coordinator: str, sent: _SentClaim, votes: LeaseVotes) -> bool:
        """Process the votes on attempts that still go on; return whether the next claim should go out at once."""
        claim_at_once = False
        for bucket, idle_ms in zip(sent.claim.acquire, votes.idle_ms, strict=False):
            acquisition = self._acquisitions.get(bucket)
            if acquisition is None or sent.claim.sequence < acquisition.first_claim:
                continue
            if acquisition.is_timed_out(now):  # by now a vote may have expired and been given again
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
        """Return until when a vote on a claim counts here: from when the claim was sent, less the margin."""
        return sent.sent_at + LEASE_DURATION_MS - CLOCK_MARGIN_MS

    def _on_rejection(self, now: float, bucket: int, coordinator: str, acquisition: LeaseAcquisition) -> bool:
        """Record a vote against an attempt; return whether it was given up while coordinators have votes of it."""
        acquisition.add_rejection(coordinator)
        if acquisition.can_succeed(self._membership):
            return False
        self._abandon(now, bucket, self._placement.retry_delay_ms(bucket))
        return bool(acquisition.votes)

    def _on_acquire_vote(
        self, now: float, bucket: int, coordinator: str, acquisition: LeaseAcquisition, vote: AcquisitionVote
    ) -> bool:
        """Record a vote for an attempt; return whether the next claim should go out at once."""
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
        for bucket in self._held.expired(now):
            self._release(now, bucket, has_counted=True)

    def _release(self, now: float, bucket: int, *, has_counted: bool) -> None:
        """End a lease: this gateway counts nothing in the bucket from now on."""
        self._held.remove(now, bucket)
        self._releases.add(bucket, Release(has_counted, now + LEASE_DURATION_MS, is_usage_complete=True))
        self._placement.mark_free(now, bucket)

    def _abandon(self, now: float, bucket: int, retry_delay_ms: float) -> None:
        """Give up an attempt to acquire a bucket."""
        del self._acquisitions[bucket]
        # Nothing was counted by the votes of an attempt, but an earlier lease of this gateway may have counted.
        has_counted = self._held.has_ended_within(now, bucket, self._window_ms)
        self._releases.add(bucket, Release(has_counted, now + LEASE_DURATION_MS, is_usage_complete=False))
        self._placement.defer(bucket, now + retry_delay_ms)

    def _usage_reports(self, now: float, usage: BucketUsage) -> dict[int, UsageReport]:
        reports = {bucket: usage.usage_report(bucket, now) for bucket in self._held}
        for bucket, release in self._releases.counted().items():
            # Others may have counted between an earlier lease of this gateway and an attempt that failed.
            reports[bucket] = usage.usage_report(bucket, now) if release.is_usage_complete else UNKNOWN_USAGE
        return {bucket: report for bucket, report in reports.items() if not report.is_empty}

    def _hand_over(self, now: float, usage: BucketUsage) -> None:
        """Release buckets for the gateways that should hold them."""
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
