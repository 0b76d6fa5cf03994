"""The state machines of a few members under all interleavings to a stated depth.

Each property is seen to fail on a state machine with a fault put into it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from msgspec.structs import replace

from hallhitch.lab.fleet.cluster import member_address
from hallhitch.membership import update_queue
from hallhitch.membership.member_view import MemberView
from hallhitch.membership.records import MemberRecord, MemberState
from hallhitch.membership.view_exchange import ViewExchange
from tests.membership.small_world import SmallWorld, WorldSize

QUIESCENCE_SAMPLE = 97  # each so many-th world is also run until it is quiet


def walk(size: WorldSize) -> int:
    """Visit each world that interleavings up to the depth lead to once; return how many there are."""
    visited: set[tuple[object, ...]] = set()
    pending = [(SmallWorld(size.members), 0)]
    while pending:
        world, depth = pending.pop()
        fingerprint = world.fingerprint()
        if fingerprint in visited:
            continue
        visited.add(fingerprint)
        if len(visited) % QUIESCENCE_SAMPLE == 1:
            world.clone().run_until_quiet()
        if depth < size.depth:
            for event in world.next_events():
                successor = world.clone()
                event(successor)
                pending.append((successor, depth + 1))
    return len(visited)


def world_with_false_accusation() -> SmallWorld:
    """Member 0 has received an accusation of member 1, which runs."""
    world = SmallWorld(3)
    accusation = MemberRecord("m1", 102, 0, MemberState.SUSPECT, member_address(1), 2, accuser=7)
    world.member(0).view.merge(accusation, world.now)
    world.finish_step(0)
    return world


def world_after_partition() -> SmallWorld:
    """All members hold all others failed, and no message is in flight."""
    world = SmallWorld(3)
    for number in world.members:
        view = world.member(number).view
        for member in view.table.by_key.values():
            failed = replace(member.record, state=MemberState.FAILED, accuser=7)
            view.set_record(member, failed, world.now)
        world.finish_step(number)
    world.in_flight.clear()
    return world


correct_merge = MemberView.merge


def merge_whatever_comes_last(self: MemberView, record: MemberRecord, now: float) -> None:
    """Fault: a record holds without regard to precedence."""
    member = self.table.by_key.get(record.key)
    if member is not None and record.key != self.local.key and record.precedence != member.record.precedence:
        self.set_record(member, record, now)
    else:
        correct_merge(self, record, now)


def do_nothing(*arguments: object) -> None:
    """Fault: a step is left out."""


@pytest.mark.parametrize(("size", "least"), [(WorldSize(3, depth=7), 5_000), (WorldSize(4, depth=5), 1_000)])
def test_all_interleavings_keep_states_and_end_in_one_view(size: WorldSize, least: int) -> None:
    """No order of events brings a dead instance back, keeps a refuted accusation, or leaves two views apart."""
    assert walk(size) > least


@pytest.mark.parametrize("make_world", [world_with_false_accusation, world_after_partition])
def test_correct_state_machine_comes_to_one_view(make_world: Callable[[], SmallWorld]) -> None:
    make_world().run_until_quiet()


@pytest.mark.parametrize(
    ("make_world", "owner", "method", "fault"),
    [
        pytest.param(
            world_with_false_accusation, MemberView, "merge", merge_whatever_comes_last, id="merges-whatever-comes-last"
        ),
        pytest.param(world_with_false_accusation, MemberView, "refute", do_nothing, id="never-refutes"),
        pytest.param(world_after_partition, ViewExchange, "begin", do_nothing, id="never-exchanges-views"),
    ],
)
def test_faulty_state_machine_is_detected(
    monkeypatch: pytest.MonkeyPatch, make_world: Callable[[], SmallWorld], owner: type[Any], method: str, fault: object
) -> None:
    monkeypatch.setattr(owner, method, fault)
    with pytest.raises(AssertionError):
        make_world().run_until_quiet()


def test_updates_sent_without_bound_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(update_queue, "TRANSMISSION_FACTOR", 1e9)
    with pytest.raises(AssertionError):
        SmallWorld(3).run_until_quiet()
