"""The serving lease of a coordinator: until when it may serve the cluster state. No I/O, no clock.

A valid lease allows the coordinator to answer reads and to send gateways their first configuration. It does not allow
acknowledgements: these need a committed ballot, with or without a lease. Times are passed in as arguments, in ms of the
process's monotonic clock. Invariants:

- *Confirmed as of the request*: `confirmed_at_ms` is the time at which a confirming read was sent, or at which a ballot
  of this process began that was committed later. A confirming read is one in which a majority of each set of members
  reported nothing newer than what is known here. So everything that was acknowledged anywhere before `confirmed_at_ms`
  is known here.
- *Checked when answering*: `is_valid` takes the time of the answer. No timer ends a lease, so a process that was
  suspended finds its lease expired even if it answers before any other task has run.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.vote_tally import VoteTally

NEVER_CONFIRMED: Final = -1.0  # the age of a lease that was never confirmed, also in state updates on the wire
TOLERATED_LOST_ROUNDS: Final = 2  # consecutive renewals that may be lost without an expiry of the lease


class ServingLease:
    """Records when a majority last confirmed this process."""

    def __init__(self, length_ms: float) -> None:
        self.length_ms = length_ms
        self.confirmed_at_ms = float("-inf")

    @property
    def renewal_interval_ms(self) -> float:
        """The time between renewals. After two lost ones, the third has as long for its replies."""
        return self.length_ms / (TOLERATED_LOST_ROUNDS + 2)

    def confirm(self, requested_at_ms: float) -> None:
        """Record that a majority confirmed what is known here, in reply to a request sent at this time."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, requested_at_ms)

    def is_valid(self, now_ms: float) -> bool:
        """Return whether this process may serve the cluster state at this time."""
        return now_ms - self.confirmed_at_ms <= self.length_ms

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the last confirmation, or NEVER_CONFIRMED if there was none."""
        return now_ms - self.confirmed_at_ms if self.confirmed_at_ms > float("-inf") else NEVER_CONFIRMED


class ConfirmingRead:
    """Determines whether a majority of each set of members has accepted nothing newer than the ballot known here.

    Whatever was committed before the read was sent was accepted by a majority of each set. So at least one member of
    any replying majority reports it, or something newer.
    """

    def __init__(self, known_ballot: Ballot, membership: Membership) -> None:
        self.found_newer = False  # whether a member has accepted something newer, committed or not: a full read is due
        self._known_ballot = known_ballot
        self._tally = VoteTally(membership.quorum_sets)

    def record(self, member: str, accepted: Ballot, incarnations: Mapping[str, int]) -> None:
        """Count the report of one member, which must not be recovering."""
        is_newer = accepted > self._known_ballot
        self.found_newer |= is_newer
        self._tally.add(member, not is_newer, incarnations)

    @property
    def is_confirmed(self) -> bool:
        """Whether a majority of each set has confirmed."""
        return self._tally.has_quorum()
