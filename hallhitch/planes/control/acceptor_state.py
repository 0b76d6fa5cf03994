"""The CASPaxos acceptor as an immutable value: what one replica has promised and accepted, and how it answers messages.

Invariants.
- *Monotonic*: `promised` never decreases, and `accepted <= promised`.
- *Durable before visible*: each method returns an `Answer`, which holds the reply and the state after the message. The
  caller writes the state to disk before it sends the reply (see `acceptor`); this module uses no clock, socket or disk.
- *No votes while recovering*: a recovering replica does not know its earlier votes, so it grants nothing.

Incarnations. A replica that lost its disk no longer knows what it has promised and accepted, and a slow proposer may
still count its old votes. Therefore each replica numbers its incarnations (incremented after each loss of its disk),
all replicas store the numbers that they have learned, and every vote carries them. A vote is void if any other vote in
the tally knows of a newer incarnation of its voter (see `vote_tally`). The recovering replica queries so many others
that each majority which it was part of contains one of them (see `recovery_quorum`). That other replica either voted
before it answered the query, in which case the recovering replica learns of the promise, or answered first, in which
case its vote carries the new incarnation and the old vote of the recovering replica is void.
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

# Limit of the incarnations that are stored for replicas that do not vote, such as candidates. Candidates join one after
# another, so few are relevant at a time. Without a limit, addresses that are never seen again would accumulate.
MAX_NON_MEMBER_INCARNATIONS: Final = 16

ReplyT = TypeVar("ReplyT", Promise, Accepted, AcceptorReport)


class Answer(NamedTuple, Generic[ReplyT]):
    """The state after a message and the reply, which may be sent only after that state is on disk.

    If the message changes nothing, `state_after` is the same object that handled it, so that nothing is written.
    """

    state_after: AcceptorState
    reply: ReplyT


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """What one replica has promised and accepted. Immutable: each change creates a new value."""

    address: str
    promised: Ballot = INITIAL_BALLOT
    accepted: Ballot = INITIAL_BALLOT
    state: ClusterState = field(default_factory=ClusterState)
    incarnations: Mapping[str, int] = field(default_factory=dict)
    is_recovering: bool = False
    is_disk_empty: bool = False  # while recovering: whether the disk proves that no vote was ever written to it
    is_cluster_in_use: bool = False  # whether a peer has shown this replica a state that the cluster committed

    @property
    def has_never_voted(self) -> bool:
        """Whether this replica has taken part in no ballot, and knows of no use of the cluster."""
        if self.is_cluster_in_use:
            return False
        return self.is_disk_empty if self.is_recovering else self.promised == self.accepted == INITIAL_BALLOT

    @property
    def accepted_state(self) -> BallotedState:
        """The accepted state and its ballot; the default `BallotedState` while the replica is recovering."""
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

        The request may come from any process that has received the proposal, not only from its proposer.
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

        The state changes only if the query names a newer incarnation of the replica that sent it.
        """
        if self.is_recovering:
            return Answer(self, AcceptorReport(incarnations=self.incarnations, is_empty=self.has_never_voted))
        after = self
        if query.incarnation > self.incarnations.get(query.address, 0):
            after = replace(self, incarnations=self._with_incarnation(query.address, query.incarnation))
        report = AcceptorReport(
            ok=True,
            promised=self.promised.to_message(),
            accepted=self.accepted.to_message(),
            incarnations=after.incarnations,
            is_empty=self.has_never_voted,
        )
        if self._must_send_state(query.known_ballot):
            report.state.CopyFrom(self.state)
        return Answer(after, report)

    def _must_send_state(self, known_ballot: BallotMessage) -> bool:
        """Return whether the reply must contain the state.

        It must if the sender knows another ballot, or if this is the initial ballot, which does not identify a state.
        """
        return self.accepted == INITIAL_BALLOT or Ballot.from_message(known_ballot) != self.accepted

    def _with_incarnation(self, address: str, incarnation: int) -> dict[str, int]:
        """Return the incarnations with this one added last, without the oldest of non-members beyond the limit."""
        known = {replica: number for replica, number in self.incarnations.items() if replica != address}
        voters = Membership.from_state(self.state).all_members | {self.address}
        non_members = [replica for replica in known if replica not in voters]
        for replica in non_members[: max(0, len(non_members) + 1 - MAX_NON_MEMBER_INCARNATIONS)]:
            del known[replica]
        return {**known, address: incarnation}
