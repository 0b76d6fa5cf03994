"""The attempt of a gateway to acquire the lease on one bucket. Owns the votes that the attempt has.

A lease begins only once there was one moment at which a quorum's tables all had the gateway's votes: each coordinator
had answered a claim before that moment and answers, in the same incarnation, another claim sent after it. A
coordinator that restarts forgets its votes, so one round of votes proves nothing.

Times are steady ms of this process.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from hallhitch.planes.quota.lease import PredecessorReport
from hallhitch.planes.values import LeaseMembership

# An attempt is given up after so long. A vote given in it lasts a lease duration, so none can have expired and been
# given to the same claimant anew within one attempt.
ACQUIRE_TIMEOUT_MS: Final = 700.0


@dataclass(slots=True)
class AcquisitionVote:
    """A coordinator's vote, which it certainly had in its table from `confirmed_from` to `confirmed_until`.

    `confirmed_from`: when its first response came; `confirmed_until`: when the last claim that it voted for was sent.
    """

    incarnation: int
    confirmed_from: float
    confirmed_until: float
    expires_at: float
    exclusive_since: float  # no other claimant has had this vote since
    predecessor: PredecessorReport | None

    def is_confirmed_at(self, instant: float) -> bool:
        """Return whether the coordinator certainly had the vote in its table at a moment."""
        return self.confirmed_from <= instant <= self.confirmed_until

    def extend(self, later: AcquisitionVote) -> None:
        """Take over a further vote of the same incarnation."""
        self.confirmed_until = max(self.confirmed_until, later.confirmed_until)
        self.expires_at = max(self.expires_at, later.expires_at)


@dataclass(slots=True)
class LeaseAcquisition:
    """An attempt to acquire one bucket: votes for it by coordinator, and the coordinators that rejected it."""

    started_at: float
    first_claim: int  # sequence number of its first claim
    votes: dict[str, AcquisitionVote] = field(default_factory=dict)
    rejected_by: set[str] = field(default_factory=set)

    def is_timed_out(self, now: float) -> bool:
        """Return whether the attempt has taken too long."""
        return now - self.started_at > ACQUIRE_TIMEOUT_MS

    def add_rejection(self, coordinator: str) -> None:
        """Record a vote against the attempt."""
        self.votes.pop(coordinator, None)
        self.rejected_by.add(coordinator)

    def can_succeed(self, membership: LeaseMembership) -> bool:
        """Return whether the coordinators that have not rejected the attempt are a quorum."""
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
        """Return unexpired votes of a quorum that were all confirmed at one moment; empty while there are none."""
        for instant in [vote.confirmed_from for vote in self.votes.values()]:
            confirmed = {name: vote for name, vote in self.votes.items() if vote.is_confirmed_at(instant)}
            if membership.has_quorum(confirmed) and all(now < vote.expires_at for vote in confirmed.values()):
                return confirmed
        return {}


def newest_common_report(reports: Iterable[PredecessorReport | None]) -> PredecessorReport | None:
    """Return the newest report of a bucket's last holder, None unless all voters report of the same one.

    Any holder before this gateway shared a voter with it, or a quorum set was dropped after that holder, and voters
    report of nobody whose vote they gave before that (LeaseTable.set_membership). So if all report of the same
    holder, no other came after it, and it counted for no longer than a lease after the newest claim of it that any
    voter has.
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
