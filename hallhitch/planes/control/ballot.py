"""Ballots, the proposal numbers of CASPaxos, and the cluster state that was accepted under one.

Invariants.
- *Unique*: a ballot names one attempt of one process. The proposer's name holds a number drawn at each start of its
  process, so no ballot is used again after a restart.
- *Totally ordered*: by round, then by proposer, so of any two ballots one is the higher.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from hallhitch.messages.system_pb2 import BallotMessage, ClusterState


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """The number of one attempt to reach agreement; ordered by round, then by proposer."""

    round: int = 0
    proposer: str = ""

    @staticmethod
    def from_message(message: BallotMessage) -> Ballot:
        """Return the ballot that a message carries."""
        return Ballot(message.round, message.proposer)

    def to_message(self) -> BallotMessage:
        """Return this ballot as messages carry it."""
        return BallotMessage(round=self.round, proposer=self.proposer)


INITIAL_BALLOT: Final = Ballot()  # of a founding state; lower than any ballot of a proposer, whose rounds begin at 1


@dataclass(frozen=True, slots=True)
class BallotedState:
    """A cluster state and the ballot under which it was accepted; not to be changed.

    The default represents the absence of a state: it has no members and the initial ballot.
    """

    ballot: Ballot = INITIAL_BALLOT
    state: ClusterState = field(default_factory=ClusterState)
