"""One ballot of a proposer, from its prepares to a majority of accepts: CASPaxos (Rystsov 2018), the proposer's side.

A majority promises the ballot; the newest state among the promises is changed by a state transition; a majority accepts
the result. There is no log and no leader, and a read is the transition that changes nothing. No clock, no I/O.

Invariants.
- *Prepared by the members of the newest state*: a proposer prepares by the members of the newest state it knows, and
  restarts where the promises bring a state with others. Acceptors do not refuse prepares for an old
  `membership_version`: a replica that alone holds a change of members would block the rest.
- *Members change on committed members only*: a transition changes the members only if a majority is known to hold the
  membership it starts from. Otherwise two half-made changes in a row could leave the first set unaware of the second.
- *A change is always written*: a change that finds nothing to do is accepted under the new ballot all the same. Else
  what an older ballot left with few replicas could still come after it.
"""

from __future__ import annotations

from dataclasses import dataclass

from hallhitch.messages.system_pb2 import Accept, Accepted, ClusterState, Prepare, Promise
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot, BallotedState
from hallhitch.planes.control.errors import ProposalNotReadyError
from hallhitch.planes.control.membership import Membership, has_founding_conflict, majority_of_each
from hallhitch.planes.control.state_delta import make_delta
from hallhitch.planes.control.state_transitions import StateTransition
from hallhitch.planes.control.vote_tally import VoteTally


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """The newest state names other members: restart from it."""

    found_state: BallotedState


@dataclass(frozen=True, slots=True)
class AlreadyChosen:
    """Nothing changes, and a majority holds this state already."""

    state: ClusterState


@dataclass(frozen=True, slots=True)
class SendAccepts:
    """Send the accept to these recipients; later promises bring further ones, so that all members get the state."""

    recipients: frozenset[str]


@dataclass(frozen=True, slots=True)
class FoundingConflict:
    """Two clusters were founded, each unaware of the other: if both went on, both could acknowledge changes."""

    own: Membership
    peer: Membership


PromiseOutcome = MembershipChanged | AlreadyChosen | SendAccepts | FoundingConflict


class Proposal:
    """One ballot of a proposer.

    `basis` is the newest state that the proposer knows, by whose members it prepares; `local_state` is what its own
    replica holds, which promises leave out; `committed_membership` is the newest that a majority is known to hold.
    """

    def __init__(
        self,
        ballot: Ballot,
        basis: BallotedState,
        local_state: BallotedState,
        transition: StateTransition,
        committed_membership: Membership,
    ) -> None:
        self.ballot, self.local_state, self.committed_membership = ballot, local_state, committed_membership
        self.membership = Membership.from_state(basis.state)
        self.recipients = self.membership.all_members
        self.highest_round_seen = ballot.round
        self.state: ClusterState | None = None  # as proposed, or as found where the proposal ends with its promises
        self.is_changed = False
        self.requires_commit = True  # a plain read may set this to False: a majority that agrees is enough for it
        self.newest_state = BallotedState()  # the newest among the basis and the promises, once they are a majority
        self._basis = basis
        self._transition = transition
        self._promises = VoteTally(self.membership.quorum_sets)
        self._promised_states: dict[str, BallotedState] = {}
        self._accepts: VoteTally | None = None

    @property
    def chosen_state(self) -> ClusterState:
        """The state that the accepts carry.

        Raises:
            ProposalNotReadyError: a majority has not promised yet.
        """
        if self.state is None:
            raise ProposalNotReadyError(self.ballot)
        return self.state

    def prepare_message(self) -> Prepare:
        """Return the request for the promise of each recipient."""
        return Prepare(
            ballot=self.ballot.to_message(),
            known_ballot=self.local_state.ballot.to_message(),
            membership_version=self.membership.version,
        )

    def on_promise(self, member: str, answer: Promise) -> PromiseOutcome | None:
        """Count a promise or its refusal; return what to do next, or None while there is nothing to do."""
        self.highest_round_seen = max(self.highest_round_seen, answer.promised.round)
        if answer.ok:
            self._record_promised_state(member, answer)
        if self._accepts is not None:
            if answer.ok:
                return SendAccepts(frozenset((member,)))
            self._accepts.add(member, False, answer.incarnations)
            return None
        if self.state is not None:
            return None
        self._promises.add(member, answer.ok, answer.incarnations)
        if not self._promises.has_quorum():
            return None
        return self._on_promise_quorum()

    def accept_message(self, member: str) -> Accept:
        """Return the accept for a recipient; a delta for one that holds the state which the proposal builds on."""
        state = self.chosen_state
        message = Accept(ballot=self.ballot.to_message(), membership_version=state.membership_version)
        promised = self._promised_states.get(member)
        if promised is not None and promised.ballot == self.newest_state.ballot != INITIAL_BALLOT:
            delta = make_delta(state, self.newest_state.state)
            if delta is not None:
                message.state.CopyFrom(delta)
                message.base_ballot.CopyFrom(self.newest_state.ballot.to_message())
                return message
        message.state.CopyFrom(state)
        return message

    def on_accepted(self, member: str, answer: Accepted) -> bool:
        """Count the answer to an accept; return whether a majority of each set holds the state."""
        self.highest_round_seen = max(self.highest_round_seen, answer.promised.round)
        if self._accepts is None:
            return False
        self._accepts.add(member, answer.ok, answer.incarnations)
        return self._accepts.has_quorum()

    def on_failure(self, member: str) -> None:
        """Count a member that does not answer as a refusal."""
        self._current_tally().add(member, False, {})

    def has_failed(self) -> bool:
        """Return whether this ballot can no longer be promised, or accepted, by a majority."""
        return self._current_tally().is_quorum_impossible()

    def _current_tally(self) -> VoteTally:
        return self._accepts or self._promises

    def _record_promised_state(self, member: str, answer: Promise) -> None:
        """Keep what a promise reported; a state that the proposer's own replica holds was left out of it."""
        accepted = Ballot.from_message(answer.accepted)
        is_left_out = accepted == self.local_state.ballot and accepted != INITIAL_BALLOT
        state = self.local_state.state if is_left_out else answer.state
        self._promised_states[member] = BallotedState(accepted, state)

    def _on_promise_quorum(self) -> PromiseOutcome:
        """Choose the state to propose, on top of the newest one among the promises."""
        voters = self._promises.valid_votes()
        newest = self._find_newest_state(voters)
        conflict = self._find_founding_conflict(newest)
        if conflict is not None:
            return conflict
        if Membership.from_state(newest.state) != self.membership:
            self.state = newest.state
            return MembershipChanged(newest)
        self.newest_state = newest
        self.state = state = self._apply_transition(newest.state)
        self.is_changed = state is not newest.state
        must_write = self.requires_commit or self.is_changed
        if not must_write and self._is_held_by_majority(state, newest.ballot, voters):
            return AlreadyChosen(state)
        return self._begin_accepts(newest.state, state)

    def _find_newest_state(self, voters: set[str]) -> BallotedState:
        """Return the newest of the basis and the states that the voters hold.

        The basis may be newer than all that its own members hold: the end of a change of members, accepted only by a
        replica that the change removes. A state chosen after it would show among the promises, so building on the basis
        loses nothing. Without it, its members and those before them would be prepared in turn without end.
        """
        candidates = [self._basis, *(self._promised_states[voter] for voter in voters)]
        return max(candidates, key=lambda candidate: candidate.ballot)

    def _find_founding_conflict(self, newest: BallotedState) -> FoundingConflict | None:
        if newest.ballot != INITIAL_BALLOT:
            return None
        for promised in self._promised_states.values():
            if has_founding_conflict(newest, promised):
                return FoundingConflict(self.membership, Membership.from_state(promised.state))
        return None

    def _apply_transition(self, newest: ClusterState) -> ClusterState:
        """Return the state after the transition; the same object where it changes nothing or may not be made."""
        state = self._transition(newest)
        changes_members = Membership.from_state(state) != self.membership
        if changes_members and self.membership != self.committed_membership:
            return newest
        return state

    def _is_held_by_majority(self, state: ClusterState, ballot: Ballot, voters: set[str]) -> bool:
        holders = [voter for voter in voters if self._promised_states[voter].ballot == ballot]
        return majority_of_each(Membership.from_state(state).quorum_sets, holders)

    def _begin_accepts(self, newest: ClusterState, state: ClusterState) -> SendAccepts:
        """Begin the second phase, which needs a majority of the sets of both states."""
        before, after = Membership.from_state(newest), Membership.from_state(state)
        self._accepts = VoteTally(tuple(dict.fromkeys(before.quorum_sets + after.quorum_sets)))
        for member in self._promises.refusals:
            self._accepts.add(member, False, {})
        return SendAccepts(frozenset(self._promised_states) | (after.all_members - self.recipients))
