"""The serving lease of a coordinator: how long it may speak for the core. No I/O, no clock: moments are arguments.

Invariants.
- *Asked before confirmed.* `confirmed` is the moment at which a read was asked that found a majority of each set of
  members with nothing newer than what is known here, or at which our own committed ballot began. So everything that
  was acknowledged anywhere before `confirmed` is known here.
- *Judged when answering.* `valid` takes the moment of the answer. No timer ends a lease, so a process that was frozen
  and speaks before anything else finds itself out of date.
"""

from __future__ import annotations

from collections.abc import Mapping

from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.vote_tally import VoteTally

NEVER_CONFIRMED = -1.0  # the age of a contact that there never was
LOST_ROUNDS = 2  # rounds that may go unanswered before a lease ends


class ServingLease:
    """When a majority last confirmed this process, by its own steady clock (ms)."""

    def __init__(self, length: float) -> None:
        self.length_ms = length
        self.confirmed_at_ms = float("-inf")

    @property
    def renewal_interval_ms(self) -> float:
        """Ms between two renewals: the last of three still has as long for its answer when two were lost."""
        return self.length_ms / (LOST_ROUNDS + 2)

    def confirm(self, asked: float) -> None:
        """A majority confirmed what is known here, and was asked for it at this moment."""
        self.confirmed_at_ms = max(self.confirmed_at_ms, asked)

    def is_valid(self, now: float) -> bool:
        """Whether this process may speak for the core at this moment."""
        return now - self.confirmed_at_ms <= self.length_ms

    def age_ms(self, now: float) -> float:
        """Ms since the confirmation; NEVER_CONFIRMED if there was none."""
        return now - self.confirmed_at_ms if self.confirmed_at_ms > float("-inf") else NEVER_CONFIRMED


class ConfirmingRead:
    """One read of the members: has a majority of each set accepted nothing newer than the committed ballot `known`?

    Whatever was committed before the read was asked was accepted by a majority of each set, so one of those who
    answer shows it or something later.
    """

    def __init__(self, known: Ballot, among: Membership) -> None:
        self._known = known
        self._tally = VoteTally(among.quorum_sets)
        self.found_newer = False  # somebody has accepted more: committed or not, it must be looked at

    def record(self, member: str, accepted: Ballot, incarnations: Mapping[str, int]) -> None:
        """The answer of a member that knows what it voted."""
        self.found_newer |= accepted > self._known
        self._tally.add(member, accepted <= self._known, incarnations)

    @property
    def is_confirmed(self) -> bool:
        """Whether the majority is there."""
        return self._tally.has_quorum()
