"""Contention among proposers: when to let the ballot of another proposer finish before an own one begins.

A ballot is undone by a higher one whose prepares arrive before its accepts. So a proposer that sees a higher ballot
prepared and not yet accepted waits for its accept and begins then: its own prepares arrive behind it. Of several
ballots that begin at the same time the highest prevails, and the others wait for it in turn, without a random draw.

Invariants.
- *A hint only*: agreement is safe whatever is decided here; a proposer that ignores it only undoes the other's ballot.
- *Bounded wait*: a ballot is held back for no longer than another one is likely to take, as its proposer may be gone.

No I/O, no clock: times are arguments, in ms by one process's clock.
"""

from __future__ import annotations

from typing import Final

from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot

INITIAL_PHASE_MS: Final = 150.0  # assumed before a phase was measured: the longest round trip between regions
MIN_RIVAL_TIMEOUT_MS: Final = 20.0
MAX_RIVAL_TIMEOUT_MS: Final = 400.0  # under half of operator_api.ORDER_TIMEOUT_MS
RIVAL_TIMEOUT_PHASES: Final = 2.0  # own phases that a rival is given: its way to a majority may be longer
PHASE_DECAY_RATIO: Final = 0.8  # of the longest phase measured that still counts after a shorter one


class RivalBallots:
    """The newest ballots of other proposers that arrived at this replica, whether or not they are on its disk yet."""

    def __init__(self, address: str) -> None:
        self._address = address
        self.prepared: Ballot = INITIAL_BALLOT  # of other proposers
        self.accepted: Ballot = INITIAL_BALLOT  # of any proposer, the own one included
        self._prepared_at_ms = float("-inf")

    def record_prepare(self, ballot: Ballot, now_ms: float) -> None:
        """Record a prepare that arrived, or that a peer's refusal names."""
        is_own = ballot.proposer.rpartition("#")[0] == self._address
        if ballot > self.prepared and not is_own:
            self.prepared, self._prepared_at_ms = ballot, now_ms

    def record_accept(self, ballot: Ballot) -> bool:
        """Record an accept likewise; return whether it ends the rival ballot that is waited for."""
        ends_rival = self.accepted < self.prepared <= ballot
        self.accepted = max(self.accepted, ballot)
        return ends_rival

    def wait_ms(self, now_ms: float, timeout_ms: float) -> float:
        """Return for how long to let the newest of them finish; 0 where none is under way."""
        if self.prepared <= self.accepted:
            return 0.0
        return max(0.0, self._prepared_at_ms + timeout_ms - now_ms)


class PhaseDuration:
    """How long it takes until a majority has answered this coordinator: a decaying maximum."""

    def __init__(self) -> None:
        self._longest_ms = INITIAL_PHASE_MS

    def observe(self, duration_ms: float) -> None:
        """Record a phase that ended with a majority."""
        decayed_ms = PHASE_DECAY_RATIO * self._longest_ms + (1 - PHASE_DECAY_RATIO) * duration_ms
        self._longest_ms = max(duration_ms, decayed_ms)

    @property
    def rival_timeout_ms(self) -> float:
        """For how long another proposer's ballot is let through."""
        return min(max(RIVAL_TIMEOUT_PHASES * self._longest_ms, MIN_RIVAL_TIMEOUT_MS), MAX_RIVAL_TIMEOUT_MS)
