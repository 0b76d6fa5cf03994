"""One number stands for one content: lost answers, orders sent again, two operators, what is remembered."""

from __future__ import annotations

import asyncio
import itertools
import json

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, run_scenario
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
from hallhitch.planes.control.pending_changes import PendingChange
from hallhitch.planes.control.proposal import Proposal
from tests.system.control.control_fleet import (
    call_operator,
    config_body,
    describe_config,
    evacuated_zones,
    replace_config,
)

NUMBER, STEPS = 7, 6  # three prepares and three accepts of one ballot
CONTENTS = {"A": b"a", "B": b"b"}


class Small:
    """Three replicas and the ballots of two operators' orders, message by message; one message may be lost."""

    def __init__(self) -> None:
        self.replicas = {name: AcceptorState(name, state=initial_state("abc")) for name in "abc"}
        self.told: dict[str, set[ConfigOutcome]] = {who: set() for who in CONTENTS}

    def ballot(self, who: str, at: int) -> Proposal:
        """An order's next try."""
        change = state_transitions.replace_config(NUMBER, CONTENTS[who])
        first = initial_state("abc")
        return Proposal(
            Ballot(at, who), BallotedState(state=first), BallotedState(), change, Membership.from_state(first)
        )

    def step(self, who: str, proposal: Proposal, step: int, lost: str = "") -> None:
        """One message and its answer: a prepare for the first three steps, an accept for the others."""
        name, accepting = "abc"[step % 3], step >= 3
        if lost == "request" or (accepting and proposal.state is None):
            return
        if not accepting:
            self.replicas[name], promise = self.replicas[name].prepare(proposal.prepare_message())
            if not lost:
                proposal.on_promise(name, promise)
            return
        self.replicas[name], accepted = self.replicas[name].accept(proposal.accept_message(name))
        if not lost and proposal.on_accepted(name, accepted) and proposal.state is not None:
            self.told[who].add(config_outcome(proposal.state, NUMBER, content_digest(CONTENTS[who])))

    def again(self, who: str, at: int, quorum: tuple[str, ...]) -> None:
        """The order is sent again, by another machine that reaches these."""
        proposal = self.ballot(who, at)
        for step in range(STEPS):
            if "abc"[step % 3] in quorum:
                self.step(who, proposal, step)


@pytest.mark.parametrize("quorum", list(itertools.combinations("abc", 2)), ids="".join)
def test_two_orders_on_one_number_with_one_lost_message(quorum: tuple[str, ...]) -> None:
    """Every place of B's two phases in A's ballot, each message lost on its way there or back, then both sent again."""
    losses = [("", -1, ""), *itertools.product("AB", range(STEPS), ("request", "answer"))]
    winners = set()
    for first, second in itertools.combinations_with_replacement(range(STEPS + 1), 2):
        places = sorted([(first, "B", step) for step in range(3)] + [(second, "B", step) for step in range(3, STEPS)])
        for loser, lost_step, way in losses:
            small = Small()
            ballots = {who: small.ballot(who, 1) for who in CONTENTS}
            schedule = [(who, step) for _, who, step in places]
            for step in reversed(range(STEPS)):
                schedule.insert(sum(place <= step for place, _, _ in places), ("A", step))
            for who, step in schedule:
                small.step(who, ballots[who], step, way if (who, step) == (loser, lost_step) else "")
            for at, who in enumerate("ABAB", start=2):
                small.again(who, at, quorum)
            assert sorted(next(iter(told)).value for told in small.told.values()) == ["conflict", "recorded"]
            assert all(len(told) == 1 for told in small.told.values())  # the same answer at any time, and never refused
            winners |= {who for who, told in small.told.items() if told == {ConfigOutcome.RECORDED}}
    assert winners == {"A", "B"}


def test_an_order_sent_again_is_acknowledged_beside_newer_ones_through_every_machine() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        machines = await fleet.bootstrap()
        for version in (3, 5, 9, 12):
            assert await replace_config(machines[version % 3], version, f"first {version}") == 200
        for restarted in (False, True):
            for machine in machines:
                if restarted:
                    await machine.lose_power()
                    await machine.start()
                    await asyncio.sleep(3)
                for version in (3, 5, 9, 12):
                    status, answer = await call_operator(machine, "config.replace", _sent(version, f"first {version}"))
                    assert (status, answer["outcome"], answer["configVersion"]) == (200, "recorded", 12)
                    status, answer = await call_operator(machine, "config.replace", _sent(version, "another"))
                    assert status == 409 and answer["configVersion"] == 12
                status, answer = await call_operator(machine, "config.replace", _sent(7, "never seen"))
                assert (status, answer["outcome"], answer["configVersion"]) == (200, "superseded", 12)
                assert await describe_config(machine) == (12, "first 12")

    run_scenario(scene)


def test_an_order_whose_caller_gave_up_is_acknowledged_when_it_is_sent_again() -> None:
    """Its ballot goes on or not: whatever became of it, the same content is taken, another one never."""

    async def scene(fleet: CoordinatorCluster) -> None:
        machines = await fleet.bootstrap()
        for version in range(1, 30):
            first = asyncio.ensure_future(replace_config(machines[version % 3], version, "mine"))
            await asyncio.sleep(fleet.rng.random() / 80)
            first.cancel()
            other = replace_config(machines[(version + 1) % 3], version, "other")
            statuses = await asyncio.gather(replace_config(machines[(version + 2) % 3], version, "mine"), other)
            assert sorted(statuses) == [200, 409]
            repeated = [
                await replace_config(machine, version, mark) for mark in ("mine", "other") for machine in machines
            ]
            assert repeated == [statuses[0]] * 3 + [statuses[1]] * 3

    for seed in range(4):
        run_scenario(scene, seed)


def _sent(version: int, mark: str) -> bytes:
    """What `put` sends, written another way."""
    return json.dumps(json.loads(config_body(version, mark)), indent=version % 3, sort_keys=True).encode()


@pytest.mark.parametrize(
    ("one", "other", "same"),
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
def test_the_same_meaning_is_the_same_content(one: str, other: str, same: bool) -> None:
    assert (canonical_digest(one.encode()) == canonical_digest(other.encode())) is same


def test_what_is_remembered_stays_small_and_travels_once() -> None:
    state, at = initial_state("abc"), Ballot(1, "a#1")
    for version in range(1, 1001):
        state = state_transitions.replace_config(10**12 + version, b"x" * 100, content_digest(b"%d" % version))(state)
    assert len(state.config_digests) == MAX_CONFIG_DIGESTS and state.ByteSize() < 9000
    for version, found in ((1000, "recorded"), (745, "recorded"), (744, "superseded"), (1001, "absent")):
        assert config_outcome(state, 10**12 + version, content_digest(b"%d" % version)).value == found
    assert config_outcome(state, 10**12 + 745, b"other") is ConfigOutcome.CONFLICT
    for change, most in (
        (state_transitions.replace_config(10**13, b"y" * 50), 250),
        (state_transitions.evacuate_zone("z"), 200),
    ):
        replicas = {name: AcceptorState(name, at, at, state) for name in "ab"}
        proposal = Proposal(
            Ballot(2, "b#1"), BallotedState(state=state), BallotedState(at, state), change, Membership.from_state(state)
        )
        for name in replicas:
            replicas[name], promise = replicas[name].prepare(proposal.prepare_message())
            proposal.on_promise(name, promise)
        for name in replicas:
            assert proposal.accept_message(name).ByteSize() < most
            replicas[name], accepted = replicas[name].accept(proposal.accept_message(name))
            assert accepted.ok and replicas[name].state == proposal.state == change(state)
        assert proposal.accept_message("c").state == proposal.state  # nothing was heard of it: it gets the whole


def test_a_change_of_members_that_may_not_be_made_drops_no_order_beside_it() -> None:
    """Both are in one ballot, on top of members of which this process does not know that a majority took them."""

    async def scene(fleet: CoordinatorCluster) -> None:
        a, b, _ = await fleet.bootstrap()
        assert await replace_config(a, 1) == 200 and a.plane is not None
        fifth = state_transitions.add_member("10.0.0.5:7000", a.plane._proposer.committed_membership)
        a.plane._proposer.committed_membership = Membership()
        after, _ = await asyncio.gather(
            a.plane.propose(state_transitions.replace_config(2, b"x"), 800), a.plane.propose(fifth, 800)
        )
        assert after.config_version == 2 and len(after.members) == 3
        assert b.plane is not None and (await b.plane.propose(state_transitions.identity, 800)).config_version == 2

    run_scenario(scene)


@pytest.mark.parametrize("step", range(12))
def test_an_evacuation_whose_machine_stood_still_in_its_ballot_does_not_come_after_its_stop(step: int) -> None:
    """The answers of the others wait in its sockets for 30 s; by whatever is read first then, the order has ended."""

    async def scene(fleet: CoordinatorCluster) -> None:
        a, b, _ = await fleet.bootstrap()
        await asyncio.sleep(1)
        started = asyncio.ensure_future(call_operator(a, "evacuations.start&of=viti-a"))
        await asyncio.sleep(step * 0.0004)
        fleet.loop.suspend(30)
        while (await call_operator(b, "evacuations.stop&of=viti-a"))[0] != 200:
            await asyncio.sleep(0.1)
        assert (await started)[0] in (200, 503)
        await asyncio.sleep(3)
        assert await evacuated_zones(a) == await evacuated_zones(b) == set()

    run_scenario(scene)


def test_change_past_its_deadline_is_not_applied_before_its_timeout_has_run() -> None:
    async def scenario(fleet: CoordinatorCluster) -> None:
        machine, *_ = await fleet.bootstrap()
        assert machine.plane is not None
        proposer, state = machine.plane._proposer, machine.plane._acceptor.state.state
        evacuate = state_transitions.evacuate_zone("viti-a")
        for deadline_ms, evacuated in ((fleet.clock() + 1, ["viti-a"]), (fleet.clock(), [])):
            pending = PendingChange(evacuate, 0.0, deadline_ms, fleet.loop.create_future())
            proposer._pending._waiting = [pending]
            proposal = proposer._propose(None)
            assert list(proposer._apply_pending(proposal, state).evacuations) == evacuated
        proposer._pending._waiting = []

    run_scenario(scenario)


def test_evacuations_sent_again_by_several_callers() -> None:
    """Each start is given up, sent again through others and acknowledged; once its stop is, it does not come back."""

    async def scene(fleet: CoordinatorCluster) -> None:
        machines = await fleet.bootstrap()
        for turn in range(10):
            for name, expected in (("start", {"viti-a"}), ("stop", set[str]())):
                given_up = [
                    asyncio.ensure_future(call_operator(machine, f"evacuations.{name}&of=viti-a"))
                    for machine in machines[:2]
                ]
                await asyncio.sleep(fleet.rng.random() / 100)
                for one in given_up:
                    one.cancel()
                again = (
                    call_operator(machine, f"evacuations.{name}&of=viti-a")
                    for machine in (machines[2], machines[turn % 2])
                )
                assert [status for status, _ in await asyncio.gather(*again)] == [200, 200]
                assert await evacuated_zones(machines[turn % 3]) == expected
            await asyncio.sleep(3)
            assert await evacuated_zones(machines[turn % 3]) == set()

    for seed in range(4):
        run_scenario(scene, seed)
