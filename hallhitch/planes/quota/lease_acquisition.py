"""A gateway's attempt to acquire the lease on one bucket, with the votes received so far.

A lease begins only once there was a moment at which the tables of a whole quorum contained votes for the gateway: each
coordinator had responded to a claim before that moment, and responds in the same incarnation to another claim that was
sent after it. One round of votes proves nothing, because a coordinator that restarts forgets its votes.

Times are ms of this process's steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from hallhitch.planes.quota.lease import PredecessorReport
from hallhitch.planes.values import LeaseMembership

# Time-out of an attempt. It is shorter than a lease duration, for which a vote is valid, so that within one attempt no
# vote can expire and be cast again for the same claimant.
ACQUIRE_TIMEOUT_MS: Final = 700.0


@dataclass(slots=True)
class AcquisitionVote:
    """A coordinator's vote, which was certainly in its table from `confirmed_from` to `confirmed_until`.

    `confirmed_from`: when the coordinator's first response arrived. `confirmed_until`: when the last claim that it
    voted for was sent.
    """

    incarnation: int
    confirmed_from: float
    confirmed_until: float
    expires_at: float
    exclusive_since: float  # no other claimant has had this coordinator's vote since then
    predecessor: PredecessorReport | None

    def is_confirmed_at(self, instant: float) -> bool:
        """Return whether the vote was certainly in the coordinator's table at a moment."""
        return self.confirmed_from <= instant <= self.confirmed_until

    def extend(self, later: AcquisitionVote) -> None:
        """Extend this vote by a later one of the same incarnation."""
        self.confirmed_until = max(self.confirmed_until, later.confirmed_until)
        self.expires_at = max(self.expires_at, later.expires_at)


@dataclass(slots=True)
class LeaseAcquisition:
    """An attempt to acquire one bucket: the votes for it by coordinator, and the coordinators that rejected it."""

    started_at: float
    first_claim: int  # sequence number of the attempt's first claim
    votes: dict[str, AcquisitionVote] = field(default_factory=dict)
    rejected_by: set[str] = field(default_factory=set)

    def is_timed_out(self, now: float) -> bool:
        """Return whether the attempt has exceeded its time-out."""
        return now - self.started_at > ACQUIRE_TIMEOUT_MS

    def add_rejection(self, coordinator: str) -> None:
        """Record a vote against the attempt."""
        self.votes.pop(coordinator, None)
        self.rejected_by.add(coordinator)

    def can_succeed(self, membership: LeaseMembership) -> bool:
        """Return whether the coordinators that have not rejected the attempt still form a quorum."""
        return membership.has_quorum(frozenset(membership.voters) - self.rejected_by)

    def add_vote(self, coordinator: str, vote: AcquisitionVote) -> bool:
        """Record a vote for the attempt; return whether it confirms an earlier one of the same incarnation."""
        self.rejected_by.discard(coordinator)
        earlier = self.votes.get(coordinator)
        if earlier is None or earlier.incarnation != vote.incarnation:
            self.votes[coordinator] = vote
            return False
        earlier.extend(vote)
        return True

    def winning_votes(self, now: float, membership: LeaseMembership) -> Mapping[str, AcquisitionVote]:
        """Return the unexpired votes of a quorum that were all confirmed at one moment; empty if there are none."""
        for instant in [vote.confirmed_from for vote in self.votes.values()]:
            confirmed = {name: vote for name, vote in self.votes.items() if vote.is_confirmed_at(instant)}
            if membership.has_quorum(confirmed) and all(now < vote.expires_at for vote in confirmed.values()):
                return confirmed
        return {}


def newest_common_report(reports: Iterable[PredecessorReport | None]) -> PredecessorReport | None:
    """Return the newest report of a bucket's last holder; None unless all voters report the same holder.

    For every earlier holder, either it shared a voter with this gateway or a quorum set was dropped after it. Voters do
    not report holders that they voted for before a quorum set was dropped (LeaseTable.set_membership). So if all
    voters report the same holder, no other gateway held the bucket after it, and it stopped counting at most a lease
    duration after its newest claim that any voter has received.
    """
    newest: PredecessorReport | None = None
    for report in reports:
        if report is None:
            return None
        if newest is None:
            newest = report
            continue
        if (report.holder, report.incarnation) != (newest.holder, newest.incarnation):
            return None
        if report.sequence > newest.sequence:
            newest = report
    return newest
