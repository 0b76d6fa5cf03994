"""Tests of a proposal against acceptors, in fixed and in exhaustive schedules without random faults."""

from __future__ import annotations

import itertools

from hallhitch.messages.system_pb2 import AcceptorQuery, ClusterState
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot, BallotedState
from hallhitch.planes.control.membership import Membership, initial_state
from hallhitch.planes.control.proposal import Proposal, SendAccepts
from hallhitch.planes.control.recovery_quorum import RecoveryQuorum
from hallhitch.planes.control.state_transitions import StateTransition


def new_proposal(
    ballot: Ballot,
    newest_known: ClusterState,
    transition: StateTransition,
    committed: Membership | None = None,
) -> Proposal:
    """Return a proposal of a process that holds no state; by default, the members of `newest_known` are committed."""
    membership = Membership.from_state(newest_known) if committed is None else committed
    return Proposal(ballot, BallotedState(state=newest_known), BallotedState(), transition, membership)


def test_only_one_of_two_concurrent_contents_of_one_version_is_committed_and_it_stays() -> None:
    """Run two proposers, each with any two replicas for its prepares and any two for its accepts, in every order."""
    pairs, initial, outcomes = list(itertools.combinations("abc", 2)), initial_state("abc"), set()
    for steps_of_a in itertools.combinations(range(8), 4):
        for quorums in itertools.product(pairs[:1], pairs, pairs, pairs):  # by symmetry, one first pair is enough
            replicas = {name: AcceptorState(name, state=initial) for name in "abc"}
            proposals = {
                proposer: new_proposal(
                    Ballot(1, proposer), initial, state_transitions.replace_config(7, proposer.encode())
                )
                for proposer in "AB"
            }
            recipients = {"A": iter(quorums[0] + quorums[1]), "B": iter(quorums[2] + quorums[3])}
            acknowledged = set[bytes]()
            for step in range(8):
                proposer = "A" if step in steps_of_a else "B"
                proposal, name = proposals[proposer], next(recipients[proposer])
                if proposal.state is not None:
                    replicas[name], accepted = replicas[name].accept(proposal.accept_message(name))
                    if proposal.on_accepted(name, accepted):
                        acknowledged.add(proposal.state.config)
                else:
                    replicas[name], promise = replicas[name].prepare(proposal.prepare_message())
                    proposal.on_promise(name, promise)
            assert len(acknowledged) <= 1
            for quorum in pairs:
                later = new_proposal(Ballot(2, "C"), initial, state_transitions.replace_config(7, b"C"))
                for name in quorum:
                    later.on_promise(name, replicas[name].prepare(later.prepare_message())[1])
                assert later.state is not None
                assert not acknowledged or {later.state.config} == acknowledged
            outcomes.add(tuple(sorted(acknowledged)))
    assert outcomes == {(b"A",), (b"B",)}  # the higher ballot is never refused, so one is committed


def test_state_is_omitted_from_messages_to_replicas_that_hold_it() -> None:
    held = initial_state("abc")
    held.config, held.serial = b"x" * 1000, 1
    ballot = Ballot(3, "a#1")
    replicas = {name: AcceptorState(name, ballot, ballot, held) for name in "abc"}
    proposal = Proposal(
        Ballot(4, "b#1"),
        BallotedState(state=held),
        BallotedState(ballot, held),
        state_transitions.evacuate_zone("z"),
        Membership.from_state(held),
    )
    for name in "ab":
        replicas[name], promise = replicas[name].prepare(proposal.prepare_message())
        assert promise.ByteSize() < 200
        proposal.on_promise(name, promise)
    for name in "ab":
        assert proposal.accept_message(name).ByteSize() < 200
        replicas[name], accepted = replicas[name].accept(proposal.accept_message(name))
        assert accepted.ok and replicas[name].state.config == held.config and "z" in replicas[name].state.evacuations
    assert proposal.accept_message("c").state.config == held.config  # it has not promised yet
    assert Membership.from_state(held).all_members == set("abc")


def test_abandoned_start_of_an_evacuation_is_not_committed_after_its_stop() -> None:
    """One replica accepted the start. The stop changes nothing on the two others, but it is written nevertheless."""
    initial = initial_state("abc")
    replicas = {name: AcceptorState(name, state=initial) for name in "bc"}
    evacuated = state_transitions.evacuate_zone("z")(initial)
    replicas["a"] = AcceptorState("a", Ballot(1, "x"), Ballot(1, "x"), evacuated)
    for round_number, (transition, quorum) in enumerate(
        ((state_transitions.restore_zone("z"), "bc"), (state_transitions.recommit, "ab")), start=2
    ):
        proposal = new_proposal(Ballot(round_number, "y"), initial, transition)
        for name in quorum:
            replicas[name], promise = replicas[name].prepare(proposal.prepare_message())
            proposal.on_promise(name, promise)
        for name in quorum:
            replicas[name], accepted = replicas[name].accept(proposal.accept_message(name))
            proposal.on_accepted(name, accepted)
        assert proposal.state is not None and not proposal.state.evacuations


def test_vote_of_earlier_incarnation_does_not_count() -> None:
    """`a` promises, is wiped, and queries b, c and e before they promise, so its old promise must not count."""
    initial = initial_state("abcde")
    replicas = {name: AcceptorState(name, state=initial) for name in "abcde"}
    slow = new_proposal(Ballot(9, "d#1"), initial, state_transitions.replace_config(1, b"late"))
    promises = {name: replicas[name].prepare(slow.prepare_message())[1] for name in "ad"}
    recovery = RecoveryQuorum("a", RecoveryQuorum("a").next_incarnation())
    for name in "bce":
        assert not recovery.is_sufficient()
        replicas[name], report = replicas[name].report(AcceptorQuery(address="a", incarnation=recovery.incarnation))
        recovery.add_report(name, report)
    assert recovery.is_sufficient() and recovery.recovered_state().promised == INITIAL_BALLOT
    promises["b"] = replicas["b"].prepare(slow.prepare_message())[1]
    assert [slow.on_promise(name, promises[name]) for name in "adb"] == [None] * 3
    assert isinstance(slow.on_promise("e", replicas["e"].prepare(slow.prepare_message())[1]), SendAccepts)


def test_members_change_only_on_top_of_committed_members() -> None:
    initial = initial_state("abc")
    uncommitted = state_transitions.add_member("d", Membership.from_state(initial))(initial)
    replicas = {name: AcceptorState(name, state=initial_state("abc")) for name in "abd"}
    replicas["d"] = AcceptorState("d", Ballot(1, "x"), Ballot(1, "x"), uncommitted)
    for committed, expected in (
        (Membership.from_state(initial), Membership.from_state(uncommitted)),
        (Membership.from_state(uncommitted), Membership(3, ("a", "b", "c", "d"), (), ("a", "b", "c"))),
    ):
        proposal = new_proposal(Ballot(2, "d#1"), uncommitted, state_transitions.finish_reconfiguration, committed)
        for name, replica in replicas.items():
            proposal.on_promise(name, replica.prepare(proposal.prepare_message())[1])
        assert proposal.state is not None and Membership.from_state(proposal.state) == expected


def test_joint_change_needs_a_majority_of_the_previous_and_of_the_new_members() -> None:
    """Try every set of accepting replicas. Otherwise the previous members could commit without the new ones."""
    initial, target = initial_state("abc"), "cde"
    for size in range(6):
        for accepting in itertools.combinations("abcde", size):
            transition = state_transitions.reconfigure_members(target, Membership.from_state(initial))
            proposal = new_proposal(Ballot(1, "a#1"), initial, transition)
            replicas = {name: AcceptorState(name, state=initial) for name in "abcde"}
            for name in "abc":
                replicas[name], promise = replicas[name].prepare(proposal.prepare_message())
                proposal.on_promise(name, promise)
            is_committed = False
            for name in accepting:
                replicas[name], accepted = replicas[name].accept(proposal.accept_message(name))
                is_committed = proposal.on_accepted(name, accepted)
            assert is_committed == all(len(set(accepting) & set(members)) >= 2 for members in ("abc", target))
            assert not is_committed or (
                proposal.state is not None and list(proposal.state.previous_members) == list("abc")
            )
