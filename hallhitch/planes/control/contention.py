"""Contention among proposers: when to let the ballot of another proposer finish before starting an own one.

A ballot is preempted by a higher one whose prepares arrive before its accepts. So a proposer that sees a higher ballot
prepared and not yet accepted waits for its accept and starts only then, so that its own prepares arrive after it. Of
several ballots that start at the same time the highest wins, and the others wait for it in turn, without randomness.

Invariants.
- *Only a hint*: agreement is safe whatever this module decides; a proposer that ignores it only preempts other ballots.
- *Bounded wait*: a ballot waits no longer than the competing one is likely to take, because the proposer of that one
  may have failed.

No I/O and no clock: callers pass times in ms, all of the same process's clock.
"""

from __future__ import annotations

from typing import Final

from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot

INITIAL_PHASE_MS: Final = 150.0  # before a phase is measured: the longest round trip between regions
MIN_COMPETING_TIMEOUT_MS: Final = 20.0
MAX_COMPETING_TIMEOUT_MS: Final = 400.0  # less than half of operator_api.COMMAND_TIMEOUT_MS
# Timeout of a competing ballot, in phases of this proposer: a majority may be farther away from the other proposer.
COMPETING_TIMEOUT_PHASES: Final = 2.0
PHASE_DECAY_RATIO: Final = 0.8  # weight of the previous maximum when a shorter phase is measured


class CompetingBallots:
    """The newest ballots that have arrived at this replica, whether or not they are on its disk yet."""

    def __init__(self, address: str) -> None:
        self._address = address
        self.prepared: Ballot = INITIAL_BALLOT  # the newest prepared ballot of other proposers
        self.accepted: Ballot = INITIAL_BALLOT  # the newest accepted ballot of any proposer, this one included
        self._prepared_at_ms = float("-inf")

    def record_prepare(self, ballot: Ballot, now_ms: float) -> None:
        """Record the ballot of a prepare that arrived, or the promised ballot in a refusal by a peer."""
        is_own = ballot.proposer.rpartition("#")[0] == self._address
        if ballot > self.prepared and not is_own:
            self.prepared, self._prepared_at_ms = ballot, now_ms

    def record_accept(self, ballot: Ballot) -> bool:
        """Record the ballot of an accept, from the same sources; return whether it ends the competing ballot."""
        ends_competing_ballot = self.accepted < self.prepared <= ballot
        self.accepted = max(self.accepted, ballot)
        return ends_competing_ballot

    def wait_ms(self, now_ms: float, timeout_ms: float) -> float:
        """Return how long to let the newest competing ballot finish; 0 if none is in progress."""
        if self.prepared <= self.accepted:
            return 0.0
        return max(0.0, self._prepared_at_ms + timeout_ms - now_ms)


class PhaseDuration:
    """A decaying maximum of the time that a majority takes to answer this coordinator."""

    def __init__(self) -> None:
        self._longest_ms = INITIAL_PHASE_MS

    def observe(self, duration_ms: float) -> None:
        """Record the duration of a phase in which a majority answered."""
        decayed_ms = PHASE_DECAY_RATIO * self._longest_ms + (1 - PHASE_DECAY_RATIO) * duration_ms
        self._longest_ms = max(duration_ms, decayed_ms)

    @property
    def competing_timeout_ms(self) -> float:
        """How long to wait for a competing ballot."""
        return min(max(COMPETING_TIMEOUT_PHASES * self._longest_ms, MIN_COMPETING_TIMEOUT_MS), MAX_COMPETING_TIMEOUT_MS)
