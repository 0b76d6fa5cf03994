"""The state machines of a few members under all interleavings of events up to a given depth.

Further tests inject a fault into the state machine and check that the violated property is detected.
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

QUIESCENCE_SAMPLE_INTERVAL = 97  # one of this many worlds is also run until nothing is in progress


def explore(size: WorldSize) -> int:
    """Visit each world that is reachable within the depth once; return the number of worlds."""
    visited: set[tuple[object, ...]] = set()
    pending = [(SmallWorld(size.members), 0)]
    while pending:
        world, depth = pending.pop()
        fingerprint = world.fingerprint()
        if fingerprint in visited:
            continue
        visited.add(fingerprint)
        if len(visited) % QUIESCENCE_SAMPLE_INTERVAL == 1:
            world.clone().run_until_quiet()
        if depth < size.depth:
            for event in world.next_events():
                successor = world.clone()
                event(successor)
                pending.append((successor, depth + 1))
    return len(visited)


def world_with_false_accusation() -> SmallWorld:
    """Return a world in which member 0 has received an accusation of member 1, which is running."""
    world = SmallWorld(3)
    accusation = MemberRecord("m1", 102, 0, MemberState.SUSPECT, member_address(1), 2, accuser=7)
    world.member(0).view.merge(accusation, world.now)
    world.finish_step(0)
    return world


def world_after_partition() -> SmallWorld:
    """Return a world in which each member has all others as failed, and no message is in flight."""
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


def merge_without_precedence(self: MemberView, record: MemberRecord, now: float) -> None:
    """Fault: each received record replaces the known one, regardless of precedence."""
    member = self.table.by_key.get(record.key)
    if member is not None and record.key != self.local.key and record.precedence != member.record.precedence:
        self.set_record(member, record, now)
    else:
        correct_merge(self, record, now)


def do_nothing(*arguments: object) -> None:
    """Fault: a step is skipped."""


@pytest.mark.parametrize(("size", "minimum"), [(WorldSize(3, depth=7), 5_000), (WorldSize(4, depth=5), 1_000)])
def test_all_interleavings_keep_states_and_converge_to_one_view(size: WorldSize, minimum: int) -> None:
    """No order of events revives a dead instance, keeps a refuted accusation or leaves members with different views."""
    assert explore(size) > minimum


@pytest.mark.parametrize("make_world", [world_with_false_accusation, world_after_partition])
def test_correct_state_machine_converges_to_one_view(make_world: Callable[[], SmallWorld]) -> None:
    make_world().run_until_quiet()


@pytest.mark.parametrize(
    ("make_world", "owner", "method", "fault"),
    [
        pytest.param(
            world_with_false_accusation, MemberView, "merge", merge_without_precedence, id="merges-without-precedence"
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
