"""Each configuration version has one content: canonical digests, outcomes despite lost messages, bounded digests."""

from __future__ import annotations

import itertools
from typing import Final, Literal

import pytest

from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import Ballot, BallotedState
from hallhitch.planes.control.config_digests import (
    MAX_CONFIG_DIGESTS,
    ConfigOutcome,
    canonical_digest,
    config_outcome,
    content_digest,
)
from hallhitch.planes.control.membership import Membership, initial_state
from hallhitch.planes.control.proposal import Proposal

VERSION: Final = 7
STEPS: Final = 6  # three prepares and three accepts of one ballot
CONTENTS: Final = {"A": b"a", "B": b"b"}  # by operator
Loss = Literal["", "request", "reply"]


class RacingOperators:
    """Three acceptors and the ballots of two operators' changes, run message by message; messages may be lost."""

    def __init__(self) -> None:
        self.acceptors = {name: AcceptorState(name, state=initial_state("abc")) for name in "abc"}
        self.outcomes: dict[str, set[ConfigOutcome]] = {operator: set() for operator in CONTENTS}

    def new_proposal(self, operator: str, round_number: int) -> Proposal:
        """Begin a ballot for an operator's change."""
        founding = initial_state("abc")
        return Proposal(
            Ballot(round_number, operator),
            BallotedState(state=founding),
            BallotedState(),
            state_transitions.replace_config(VERSION, CONTENTS[operator]),
            Membership.from_state(founding),
        )

    def step(self, operator: str, proposal: Proposal, step: int, loss: Loss = "") -> None:
        """Exchange one message and its reply: a prepare in the first three steps, an accept in the others."""
        name, is_accept = "abc"[step % 3], step >= 3
        if loss == "request" or (is_accept and proposal.state is None):
            return
        if not is_accept:
            self.acceptors[name], promise = self.acceptors[name].prepare(proposal.prepare_message())
            if not loss:
                proposal.on_promise(name, promise)
            return
        self.acceptors[name], accepted = self.acceptors[name].accept(proposal.accept_message(name))
        if not loss and proposal.on_accepted(name, accepted) and proposal.state is not None:
            digest = content_digest(CONTENTS[operator])
            self.outcomes[operator].add(config_outcome(proposal.state, VERSION, digest))

    def resend(self, operator: str, round_number: int, quorum: tuple[str, ...]) -> None:
        """Send the change again through another machine, which reaches only this quorum."""
        proposal = self.new_proposal(operator, round_number)
        for step in range(STEPS):
            if "abc"[step % 3] in quorum:
                self.step(operator, proposal, step)


@pytest.mark.parametrize("quorum", list(itertools.combinations("abc", 2)), ids="".join)
def test_two_changes_of_one_version_with_one_lost_message(quorum: tuple[str, ...]) -> None:
    """Runs B's two phases at every position within A's ballot, loses each message or its reply, and resends both."""
    no_loss: tuple[str, int, Loss] = ("", -1, "")
    loss_kinds: tuple[Loss, ...] = ("request", "reply")
    losses = [no_loss, *itertools.product("AB", range(STEPS), loss_kinds)]
    recorded_operators = set()
    for first, second in itertools.combinations_with_replacement(range(STEPS + 1), 2):
        positions = sorted(
            [(first, "B", step) for step in range(3)] + [(second, "B", step) for step in range(3, STEPS)]
        )
        for losing_operator, lost_step, loss in losses:
            race = RacingOperators()
            proposals = {operator: race.new_proposal(operator, 1) for operator in CONTENTS}
            schedule = [(operator, step) for _, operator, step in positions]
            for step in reversed(range(STEPS)):
                schedule.insert(sum(position <= step for position, _, _ in positions), ("A", step))
            for operator, step in schedule:
                is_lost = (operator, step) == (losing_operator, lost_step)
                race.step(operator, proposals[operator], step, loss if is_lost else "")
            for round_number, operator in enumerate("ABAB", start=2):
                race.resend(operator, round_number, quorum)
            outcomes = race.outcomes.values()
            assert sorted(next(iter(outcome)).value for outcome in outcomes) == ["conflict", "recorded"]
            assert all(len(outcome) == 1 for outcome in outcomes)  # no resend changed the outcome
            recorded_operators |= {
                operator for operator, outcome in race.outcomes.items() if outcome == {ConfigOutcome.RECORDED}
            }
    assert recorded_operators == {"A", "B"}


@pytest.mark.parametrize(
    ("first", "second", "is_same"),
    [
        ('{"a": 1, "b": [1, {"c": null}]}', ' {"b":[1.0,{"c":null}],\n"a":1e0}', True),
        ('{"a": "\\u00e9"}', '{"a": "é"}', True),
        ('{"a": 1}', '{"a": "1"}', False),
        ('{"a": 1}', '{"a": true}', False),
        ('{"a": [1, 2]}', '{"a": [2, 1]}', False),
        ('{"a": null}', "{}", False),
        ('{"a": 9007199254740993}', '{"a": 9007199254740992}', False),
        ('{"a": 0.1}', '{"a": 0.10000000000000001}', True),
    ],
)
def test_contents_of_the_same_meaning_have_the_same_digest(first: str, second: str, is_same: bool) -> None:
    assert (canonical_digest(first.encode()) == canonical_digest(second.encode())) is is_same


def test_digests_are_bounded_and_sent_once() -> None:
    state, ballot = initial_state("abc"), Ballot(1, "a#1")
    for version in range(1, 1001):
        state = state_transitions.replace_config(10**12 + version, b"x" * 100, content_digest(b"%d" % version))(state)
    assert len(state.config_digests) == MAX_CONFIG_DIGESTS and state.ByteSize() < 9000
    for version, outcome in ((1000, "recorded"), (745, "recorded"), (744, "superseded"), (1001, "absent")):
        assert config_outcome(state, 10**12 + version, content_digest(b"%d" % version)).value == outcome
    assert config_outcome(state, 10**12 + 745, b"other") is ConfigOutcome.CONFLICT
    for transition, max_accept_bytes in (
        (state_transitions.replace_config(10**13, b"y" * 50), 250),
        (state_transitions.evacuate_zone("z"), 200),
    ):
        acceptors = {name: AcceptorState(name, ballot, ballot, state) for name in "ab"}
        proposal = Proposal(
            Ballot(2, "b#1"),
            BallotedState(state=state),
            BallotedState(ballot, state),
            transition,
            Membership.from_state(state),
        )
        for name in acceptors:
            acceptors[name], promise = acceptors[name].prepare(proposal.prepare_message())
            proposal.on_promise(name, promise)
        for name in acceptors:
            assert proposal.accept_message(name).ByteSize() < max_accept_bytes
            acceptors[name], accepted = acceptors[name].accept(proposal.accept_message(name))
            assert accepted.ok and acceptors[name].state == proposal.state == transition(state)
        assert proposal.accept_message("c").state == proposal.state  # "c" has not promised, so it gets the full state
