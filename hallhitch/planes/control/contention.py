"""Whose turn it is among several proposers: what arrived at this coordinator's acceptor of the ballots of others.

Owns the decision to let another proposer finish. It is a hint and never needed for safety: whoever ignores it only
makes two ballots undo each other. Must never hold a ballot back longer than another one is likely to take, as the
other proposer may have ended. Values in, values out.

A ballot is undone by a higher one whose prepares arrive before its accepts. So a proposer that sees a higher ballot
prepared and not yet accepted waits for its accept and begins then: its prepares arrive behind it. Of several that begin
at the same time the highest prevails at once, and the others wait for it in turn: no draw by lot is needed.
"""

from __future__ import annotations

from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot

FIRST_PHASE_MS = 150.0  # how long a phase takes before one was measured: the longest way between regions and back
SHORTEST_MS, LONGEST_MS = 20.0, 400.0  # bounds of the wait for another proposer: under half of an order's patience
MARGIN = 2.0  # phases that another proposer is given: it may have a longer way to its majority
FADING = 0.8  # of the longest phase measured that is still believed after a shorter one


class RivalBallots:
    """The newest ballots of other proposers that arrived here, whether or not the disk has them yet."""

    def __init__(self, address: str) -> None:
        self._address = address
        self.prepared: Ballot = INITIAL_BALLOT
        self.accepted: Ballot = INITIAL_BALLOT  # of any proposer, this one too
        self._since_ms = float("-inf")

    def saw_prepare(self, ballot: Ballot, at_ms: float) -> None:
        """A prepare arrived, or somebody told of one."""
        if ballot > self.prepared and ballot.proposer.rpartition("#")[0] != self._address:
            self.prepared, self._since_ms = ballot, at_ms

    def saw_accept(self, ballot: Ballot) -> bool:
        """An accept arrived, or somebody told of one. True where it ends what others wait for."""
        ends = self.accepted < self.prepared <= ballot
        self.accepted = max(self.accepted, ballot)
        return ends

    def wait_ms(self, at_ms: float, patience_ms: float) -> float:
        """How long to let the newest of them finish; 0 where none is in the way."""
        if self.prepared <= self.accepted:
            return 0.0
        return max(0.0, self._since_ms + patience_ms - at_ms)


class PhaseTime:
    """How long it takes from this coordinator until a majority has answered: a fading maximum."""

    def __init__(self) -> None:
        self._longest_ms = FIRST_PHASE_MS

    def measured(self, took_ms: float) -> None:
        """One phase has ended with a majority."""
        self._longest_ms = max(took_ms, FADING * self._longest_ms + (1 - FADING) * took_ms)

    @property
    def patience_ms(self) -> float:
        """What another proposer's phase is given."""
        return min(max(MARGIN * self._longest_ms, SHORTEST_MS), LONGEST_MS)
