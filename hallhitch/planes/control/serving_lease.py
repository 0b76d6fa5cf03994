"""The serving lease of a coordinator: how long it may answer for the core. No I/O, no clock.

A valid lease allows reads and first configurations of gateways. It does not allow acknowledgements: these need a
committed ballot, with or without a lease. Moments are arguments, in ms of the process's steady clock. Invariants:

- *Confirmed when asked*: `confirmed_at_ms` is the moment at which a read was sent that found a majority of each set of
  members with nothing newer than what is known here, or at which a ballot of this process began that was committed.
  So everything that was acknowledged anywhere before `confirmed_at_ms` is known here.
- *Judged when answering*: `is_valid` takes the moment of the answer. No timer ends a lease, so a process that was
  suspended finds its lease expired even if it answers before any other task has run.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.vote_tally import VoteTally

NEVER_CONFIRMED: Final = -1.0  # the age of a lease that was never confirmed; on the wire of state updates
TOLERATED_LOST_ROUNDS: Final = 2  # rounds in a row that may be lost before a lease expires


class ServingLease:
    """When a majority last confirmed this process."""

    def __init__(self, length_ms: float) -> None:
        self.length_ms = length_ms
        self.confirmed_at_ms = float("-inf")

    @property
    def renewal_interval_ms(self) -> float:
        """The time between renewals: when two are lost, the third has as long for its replies."""
        return self.length_ms / (TOLERATED_LOST_ROUNDS + 2)

    def confirm(self, asked_at_ms: float) -> None:
        """Note that a majority confirmed what is known here, for a question sent at this moment."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, asked_at_ms)

    def is_valid(self, now_ms: float) -> bool:
        """Return whether this process may answer for the core at this moment."""
        return now_ms - self.confirmed_at_ms <= self.length_ms

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the confirmation; NEVER_CONFIRMED if there was none."""
        return now_ms - self.confirmed_at_ms if self.confirmed_at_ms > float("-inf") else NEVER_CONFIRMED


class ConfirmingRead:
    """One read of the members: has a majority of each set accepted nothing newer than the ballot known here?

    Whatever was committed before the read was sent was accepted by a majority of each set, so one of the members that
    reply reports it or something newer.
    """

    def __init__(self, known_ballot: Ballot, membership: Membership) -> None:
        self.found_newer = False  # a member has accepted something newer, committed or not: it must be looked at
        self._known_ballot = known_ballot
        self._tally = VoteTally(membership.quorum_sets)

    def record(self, member: str, accepted: Ballot, incarnations: Mapping[str, int]) -> None:
        """Count the report of a member that is not recovering."""
        is_newer = accepted > self._known_ballot
        self.found_newer |= is_newer
        self._tally.add(member, not is_newer, incarnations)

    @property
    def is_confirmed(self) -> bool:
        """Whether a majority of each set has confirmed."""
        return self._tally.has_quorum()
