"""One ballot of a proposer, from its prepares to a majority of accepts: the proposer of CASPaxos (Rystsov 2018).

A majority promises the ballot, a state transition is applied to the newest state among the promises, and a majority
accepts the result. There is no log and no leader. A read is the transition that changes nothing. No clock, no I/O.

Invariants.
- *Prepared by the members of the newest state*: a proposer sends its prepares to the members of the newest state that
  it knows, and restarts if the promises report a newer state with other members. Acceptors do not refuse prepares with
  an old `membership_version`, because a single replica that holds a change of members would then block the others.
- *Members change on committed members only*: a transition may change the members only if a majority is known to hold
  the membership that it starts from. Otherwise, after two incomplete changes in a row, the first set of members could
  be unaware of the second change.
- *First change by all members*: while the coordinators may still be starting, the first change of a new cluster needs
  the promises of all members. So a member that has never voted proves that nothing was ever committed.
- *A change is always written*: a change that finds nothing to do is still accepted under the new ballot. Otherwise a
  state that an older ballot left on a minority of replicas could still be committed after it.
"""

from __future__ import annotations

from dataclasses import dataclass

from hallhitch.messages.system_pb2 import Accept, Accepted, ClusterState, Prepare, Promise
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot, BallotedState
from hallhitch.planes.control.errors import ProposalNotReadyError
from hallhitch.planes.control.membership import Membership, has_bootstrap_conflict, has_majority_of_each
from hallhitch.planes.control.state_delta import make_delta
from hallhitch.planes.control.state_transitions import StateTransition
from hallhitch.planes.control.vote_tally import VoteTally


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """The newest state has other members; the proposer must restart from it."""

    newest: BallotedState


@dataclass(frozen=True, slots=True)
class AlreadyChosen:
    """The transition changed nothing, and a majority already holds this state."""

    state: ClusterState


@dataclass(frozen=True, slots=True)
class SendAccepts:
    """Send the accept to these recipients. Later promises add further recipients, so that all members get the state."""

    recipients: frozenset[str]


@dataclass(frozen=True, slots=True)
class BootstrapConflict:
    """Two clusters were bootstrapped independently. If both continued, both could acknowledge changes."""

    own: Membership
    peer: Membership


PromiseOutcome = MembershipChanged | AlreadyChosen | SendAccepts | BootstrapConflict


class Proposal:
    """One ballot of a proposer.

    `newest_known` is the newest state that the proposer knows; its members receive the prepares. `local_state` is what
    the proposer's own replica holds; promises omit this state. `committed_membership` is the newest membership that a
    majority is known to hold.
    """

    def __init__(
        self,
        ballot: Ballot,
        newest_known: BallotedState,
        local_state: BallotedState,
        transition: StateTransition,
        committed_membership: Membership,
    ) -> None:
        self.ballot, self.local_state, self.committed_membership = ballot, local_state, committed_membership
        self.membership = Membership.from_state(newest_known.state)
        self.recipients = self.membership.all_members
        self.highest_round_seen = ballot.round
        # The proposed state, or the state that was read if the proposal ends after its promises.
        self.state: ClusterState | None = None
        self.is_changed = False
        # Whether a first change of a new cluster waits for all members; set by the caller before the first promise.
        self.needs_all_promises = False
        # The caller may set this to False for a plain read, for which it is enough that a majority holds the state.
        self.requires_commit = True
        self.newest_state = BallotedState()  # the newest of `newest_known` and the states in a majority of promises
        self._newest_known = newest_known
        self._transition = transition
        self._promises = VoteTally(self.membership.quorum_sets)
        self._reported_states: dict[str, BallotedState] = {}
        self._accepts: VoteTally | None = None

    @property
    def proposed_state(self) -> ClusterState:
        """The state that the accepts carry.

        Raises:
            ProposalNotReadyError: a majority has not promised yet.
        """
        if self.state is None:
            raise ProposalNotReadyError(self.ballot)
        return self.state

    def prepare_message(self) -> Prepare:
        """Return the prepare, which is the same for all recipients."""
        return Prepare(
            ballot=self.ballot.to_message(),
            known_ballot=self.local_state.ballot.to_message(),
            membership_version=self.membership.version,
        )

    def on_promise(self, member: str, answer: Promise) -> PromiseOutcome | None:
        """Count a promise or a refusal; return what to do next, or None if there is nothing to do yet."""
        self.highest_round_seen = max(self.highest_round_seen, answer.promised.round)
        if answer.ok:
            self._record_reported_state(member, answer)
        if self._accepts is not None:
            if answer.ok:
                return SendAccepts(frozenset((member,)))
            self._accepts.add(member, False, answer.incarnations)
            return None
        if self.state is not None:
            return None
        self._promises.add(member, answer.ok, answer.incarnations)
        return self._on_promise_quorum() if self._has_enough_promises() else None

    def accept_message(self, member: str) -> Accept:
        """Return the accept for a recipient; it carries a delta if the recipient holds the state it is based on."""
        state = self.proposed_state
        message = Accept(ballot=self.ballot.to_message(), membership_version=state.membership_version)
        reported = self._reported_states.get(member)
        if reported is not None and reported.ballot == self.newest_state.ballot != INITIAL_BALLOT:
            delta = make_delta(state, self.newest_state.state)
            if delta is not None:
                message.state.CopyFrom(delta)
                message.base_ballot.CopyFrom(self.newest_state.ballot.to_message())
                return message
        message.state.CopyFrom(state)
        return message

    def on_accepted(self, member: str, answer: Accepted) -> bool:
        """Count the answer to an accept; return whether a majority of each quorum set holds the state."""
        self.highest_round_seen = max(self.highest_round_seen, answer.promised.round)
        if self._accepts is None:
            return False
        self._accepts.add(member, answer.ok, answer.incarnations)
        return self._accepts.has_quorum()

    def on_failure(self, member: str) -> None:
        """Count a failed call to a member as a refusal."""
        self._current_tally().add(member, False, {})

    def has_failed(self) -> bool:
        """Return whether the current phase of this ballot can no longer get a quorum."""
        if self._accepts is None and self.needs_all_promises and self._promises.refusals:
            return True
        return self._current_tally().is_quorum_impossible()

    def _has_enough_promises(self) -> bool:
        if not self._promises.has_quorum():
            return False
        voters = self._promises.valid_votes()
        has_all = not self.needs_all_promises or self.recipients <= voters
        return has_all or self._find_newest_state(voters).state.serial > 0

    def _current_tally(self) -> VoteTally:
        return self._accepts or self._promises

    def _record_reported_state(self, member: str, answer: Promise) -> None:
        """Store the state that a promise reports; a state that the proposer's own replica holds is omitted from it."""
        accepted = Ballot.from_message(answer.accepted)
        is_omitted = accepted == self.local_state.ballot and accepted != INITIAL_BALLOT
        state = self.local_state.state if is_omitted else answer.state
        self._reported_states[member] = BallotedState(accepted, state)

    def _on_promise_quorum(self) -> PromiseOutcome:
        """Derive the state to propose from the newest state among the promises."""
        voters = self._promises.valid_votes()
        newest = self._find_newest_state(voters)
        conflict = self._find_bootstrap_conflict(newest)
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
        """Return the newest of `newest_known` and the states that the voters hold.

        `newest_known` may be newer than every state that its own members hold: it may be the end of a change of members
        that only a removed replica has accepted. If a later state had been chosen, the promises would report it, so
        building on `newest_known` loses nothing. If it were ignored, the proposer would alternate without end between
        its members and the previous ones.
        """
        candidates = [self._newest_known, *(self._reported_states[voter] for voter in voters)]
        return max(candidates, key=lambda candidate: candidate.ballot)

    def _find_bootstrap_conflict(self, newest: BallotedState) -> BootstrapConflict | None:
        if newest.ballot != INITIAL_BALLOT:
            return None
        for reported in self._reported_states.values():
            if has_bootstrap_conflict(newest, reported):
                return BootstrapConflict(self.membership, Membership.from_state(reported.state))
        return None

    def _apply_transition(self, newest: ClusterState) -> ClusterState:
        """Apply the transition; return the same object if it changes nothing or is not allowed."""
        state = self._transition(newest)
        changes_members = Membership.from_state(state) != self.membership
        if changes_members and self.membership != self.committed_membership:
            return newest
        return state

    def _is_held_by_majority(self, state: ClusterState, ballot: Ballot, voters: set[str]) -> bool:
        holders = [voter for voter in voters if self._reported_states[voter].ballot == ballot]
        return has_majority_of_each(Membership.from_state(state).quorum_sets, holders)

    def _begin_accepts(self, newest: ClusterState, state: ClusterState) -> SendAccepts:
        """Begin the accept phase, which needs a majority of each quorum set of both states."""
        before, after = Membership.from_state(newest), Membership.from_state(state)
        self._accepts = VoteTally(tuple(dict.fromkeys(before.quorum_sets + after.quorum_sets)))
        for member in self._promises.refusals:
            self._accepts.add(member, False, {})
        return SendAccepts(frozenset(self._reported_states) | (after.all_members - self.recipients))
