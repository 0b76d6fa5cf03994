"""Ballots (the proposal numbers of CASPaxos) and cluster states with the ballot under which they were accepted.

Invariants.
- *Unique*: a ballot identifies one attempt of one process. The proposer's name contains a random number that each
  process draws when it starts, so no ballot is reused after a restart.
- *Totally ordered*: ballots are ordered by round, then by proposer, so of any two different ballots one is higher.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from hallhitch.messages.system_pb2 import BallotMessage, ClusterState


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """The number of one attempt to reach agreement. Ballots are ordered by round, then by proposer."""

    round: int = 0
    proposer: str = ""

    @staticmethod
    def from_message(message: BallotMessage) -> Ballot:
        """Decode a ballot from its protobuf message."""
        return Ballot(message.round, message.proposer)

    def to_message(self) -> BallotMessage:
        """Encode this ballot as a protobuf message."""
        return BallotMessage(round=self.round, proposer=self.proposer)


# The ballot of a bootstrap state. It is lower than any ballot of a proposer, whose rounds begin at 1.
INITIAL_BALLOT: Final = Ballot()


@dataclass(frozen=True, slots=True)
class BallotedState:
    """A cluster state and the ballot under which it was accepted. The state must not be modified.

    The default value stands for "no state": it has no members and the initial ballot.
    """

    ballot: Ballot = INITIAL_BALLOT
    state: ClusterState = field(default_factory=ClusterState)
