"""The acceptor of CASPaxos as a value: what one replica has promised and accepted, and how it answers messages.

Invariants.
- *Monotonic*: `promised` never falls, and `accepted <= promised`.
- *Durable before visible*: each method returns an `Answer`, the state after a message beside the reply. The caller
  writes the state to disk before it sends the reply (see `acceptor`); this module knows no clock, socket or disk.
- *No vote without memory*: a recovering replica, which does not know what it voted before, grants nothing.

Incarnations. A replica that lost its disk may have promised and accepted what it no longer knows, and a slow proposer
may still count its old votes. So each replica numbers its incarnations (one more after each loss of its disk), all
replicas keep the numbers they have learned, every vote carries them, and a vote of an older incarnation than any other
vote in the tally knows of is void (see `vote_tally`). The recovering replica queries so many others that each majority
it was part of contains one of them (see `recovery_quorum`). Of that replica's vote and its answer to the query one came
first: either the recovering replica learns of the promise, or its old vote is void.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Final, Generic, NamedTuple, TypeVar

from hallhitch.messages.system_pb2 import (
    Accept,
    Accepted,
    AcceptorQuery,
    AcceptorReport,
    BallotMessage,
    ClusterState,
    Prepare,
    Promise,
)
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot, BallotedState
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.state_delta import apply_delta

# Incarnations kept of replicas that do not vote, such as candidates. Candidates are taken in one after another, so
# few matter at a time; the bound keeps addresses that are never seen again from piling up.
MAX_NON_MEMBER_INCARNATIONS: Final = 16

ReplyT = TypeVar("ReplyT", Promise, Accepted, AcceptorReport)


class Answer(NamedTuple, Generic[ReplyT]):
    """The state after a message, and the reply to it, which is sent once that state is on disk.

    `state_after` is the very object that answered where the message changes nothing, so that nothing is written.
    """

    state_after: AcceptorState
    reply: ReplyT


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """What one replica has promised and accepted; each change makes a new value."""

    address: str
    promised: Ballot = INITIAL_BALLOT
    accepted: Ballot = INITIAL_BALLOT
    state: ClusterState = field(default_factory=ClusterState)
    incarnations: Mapping[str, int] = field(default_factory=dict)
    is_recovering: bool = False

    @property
    def accepted_state(self) -> BallotedState:
        """The state that this replica holds and its ballot; no state where it is recovering."""
        return BallotedState() if self.is_recovering else BallotedState(self.accepted, self.state)

    def prepare(self, request: Prepare) -> Answer[Promise]:
        """Promise to refuse lower ballots and report the accepted state, or refuse."""
        if self.is_recovering:
            return Answer(self, Promise(is_recovering=True, incarnations=self.incarnations))
        ballot = Ballot.from_message(request.ballot)
        accepted = self.accepted.to_message()
        if ballot <= self.promised:
            refusal = Promise(promised=self.promised.to_message(), accepted=accepted, incarnations=self.incarnations)
            return Answer(self, refusal)
        promise = Promise(ok=True, promised=request.ballot, accepted=accepted, incarnations=self.incarnations)
        if self._must_send_state(request.known_ballot):
            promise.state.CopyFrom(self.state)
        return Answer(replace(self, promised=ballot), promise)

    def accept(self, request: Accept) -> Answer[Accepted]:
        """Accept a state unless a higher ballot was promised.

        The request may come from any process that has seen the proposal, not only from its proposer.
        """
        if self.is_recovering:
            return Answer(self, Accepted(is_recovering=True, incarnations=self.incarnations))
        ballot = Ballot.from_message(request.ballot)
        refusal = Accepted(promised=self.promised.to_message(), incarnations=self.incarnations)
        if ballot < self.promised:
            return Answer(self, refusal)
        acceptance = Accepted(ok=True, promised=request.ballot, incarnations=self.incarnations)
        if ballot == self.accepted:
            return Answer(self, acceptance)
        state = request.state
        if request.HasField("base_ballot"):
            if Ballot.from_message(request.base_ballot) != self.accepted:
                return Answer(self, refusal)
            state = apply_delta(state, self.state)
        return Answer(replace(self, promised=ballot, accepted=ballot, state=state), acceptance)

    def report(self, query: AcceptorQuery) -> Answer[AcceptorReport]:
        """Report what is promised and accepted.

        The state changes only where the query names a newer incarnation of the replica that sent it.
        """
        if self.is_recovering:
            return Answer(self, AcceptorReport(incarnations=self.incarnations))
        after = self
        if query.incarnation > self.incarnations.get(query.address, 0):
            after = replace(self, incarnations=self._with_incarnation(query.address, query.incarnation))
        report = AcceptorReport(
            ok=True,
            promised=self.promised.to_message(),
            accepted=self.accepted.to_message(),
            incarnations=after.incarnations,
        )
        if self._must_send_state(query.known_ballot):
            report.state.CopyFrom(self.state)
        return Answer(after, report)

    def _must_send_state(self, known_ballot: BallotMessage) -> bool:
        """Return whether the sender lacks the state: it holds another ballot, or the ballot does not identify it."""
        return self.accepted == INITIAL_BALLOT or Ballot.from_message(known_ballot) != self.accepted

    def _with_incarnation(self, address: str, incarnation: int) -> dict[str, int]:
        """Return the incarnations with this one last; the oldest of non-members beyond the bound are dropped."""
        known = {replica: number for replica, number in self.incarnations.items() if replica != address}
        voters = Membership.from_state(self.state).all_members | {self.address}
        non_members = [replica for replica in known if replica not in voters]
        for replica in non_members[: max(0, len(non_members) + 1 - MAX_NON_MEMBER_INCARNATIONS)]:
            del known[replica]
        return {**known, address: incarnation}
