"""Damped counts for placement and budgets over schedules of joins, failures and departures."""

from __future__ import annotations

import itertools
import random

import pytest

from hallhitch.membership.damped_view import DampedView, DampingSettings, GatewayCounts
from hallhitch.membership.records import MemberRecord, MemberState

EVALUATION_INTERVAL_MS = 200.0


def record(
    name: str,
    state: MemberState = MemberState.ALIVE,
    instance: int = 1,
    gateway_id: int = 0,
    address: str = "",
) -> MemberRecord:
    return MemberRecord(name, instance, 0, state, address or f"127.0.0.1:{instance}", gateway_id or instance)


def names(first: int, end: int) -> list[str]:
    return [f"g{number}" for number in range(first, end)]


class Schedule:
    """A damped view that is evaluated over time, with the counts that it returned."""

    def __init__(self, local_name: str = "g0", configured_count: int = 10) -> None:
        self.local = record(local_name)
        self.now = 1_000.0
        self.view = DampedView(self.local, configured_count, DampingSettings(), self.now)
        self.returned: list[tuple[float, GatewayCounts]] = []
        self.states: dict[str, MemberState] = {}

    def advance(self, seconds: float) -> Schedule:
        ends_at = self.now + seconds * 1000
        while self.now < ends_at:
            self.now += EVALUATION_INTERVAL_MS
            others = [record(name, state, 10 + i) for i, (name, state) in enumerate(sorted(self.states.items()))]
            counts = self.view.evaluate([self.local, *others], self.now)
            if counts is not None:
                self.returned.append((self.now, counts))
        return self

    def set_state(self, state: MemberState, *member_names: str) -> Schedule:
        self.states |= dict.fromkeys(member_names, state)
        return self

    @property
    def last(self) -> tuple[int, int]:
        """The last counts for placement and budgets."""
        return self.returned[-1][1].placement_count, self.returned[-1][1].budget_count


def settled_schedule(count: int = 10) -> Schedule:
    schedule = Schedule(configured_count=count).set_state(MemberState.ALIVE, *names(1, count)).advance(70)
    assert schedule.last == (count, count)
    return schedule


def test_configured_count_holds_before_another_gateway_is_seen() -> None:
    assert Schedule(configured_count=200).advance(120).returned == []


def test_next_evaluation_is_never_due_at_once() -> None:
    """Sums of times are rounded; an evaluation must never be scheduled for the current time, or the gateway spins."""
    rng = random.Random(1)
    for _ in range(100):
        now = 1e6
        view = DampedView(record("g0"), 2, DampingSettings(), now)
        records = [record("g0"), record("g1", instance=2)]
        view.evaluate(records, now)
        now = 2**20 - rng.uniform(0, 2_000)  # sums beyond this power of two are rounded more coarsely
        records.append(record("g2", instance=3))
        while "g2" not in view.ranking.gateways:
            view.evaluate(records, now)
            assert view.wake_at > now
            now = min(view.wake_at, now + 1e6)


def test_suspicion_changes_no_count() -> None:
    schedule = settled_schedule()
    returned_before = len(schedule.returned)
    schedule.set_state(MemberState.SUSPECT, "g3", "g4").advance(30)
    assert len(schedule.returned) == returned_before


def test_failed_members_count_for_budgets_until_they_have_faded() -> None:
    schedule = settled_schedule(20)
    schedule.set_state(MemberState.FAILED, *names(6, 20)).advance(2)
    assert schedule.last == (6, 20)
    schedule.advance(12)
    assert schedule.last[1] == 20
    schedule.advance(25)
    assert 6 < schedule.last[1] < 20
    schedule.advance(25)
    assert schedule.last == (6, 6)


def test_departed_member_stops_counting_at_once() -> None:
    schedule = settled_schedule()
    schedule.set_state(MemberState.LEFT, "g9").advance(1.5)
    assert schedule.last == (9, 9)


@pytest.mark.parametrize("local_name", ["g0", "g5"])
def test_returning_members_are_readmitted_in_steps(local_name: str) -> None:
    """A healed partition must not cause a burst of new connections."""
    others = set(names(0, 60)) - {local_name}
    schedule = Schedule(local_name, configured_count=60).set_state(MemberState.ALIVE, *others).advance(70)
    schedule.set_state(MemberState.FAILED, *names(30, 60)).advance(20)
    assert schedule.last[0] == 30
    healed_at, returned_before = schedule.now, len(schedule.returned)
    schedule.set_state(MemberState.ALIVE, *names(30, 60)).advance(40)
    steps = [(time, counts.placement_count) for time, counts in schedule.returned[returned_before:]]
    assert next(time for time, count in steps if count > 30) - healed_at >= 5_000
    sizes = [30, *(count for _, count in steps)]
    assert max((after - before) / before for before, after in itertools.pairwise(sizes)) <= 0.1
    assert steps[-1][0] - healed_at < 15_000
    assert schedule.last == (60, 60)


def test_rolling_restart_changes_placement_at_most_once_a_step() -> None:
    schedule = settled_schedule(100)
    returned_before = len(schedule.returned)
    for tenth in range(10):
        restarted = names(max(1, tenth * 10), tenth * 10 + 10)
        schedule.set_state(MemberState.LEFT, *restarted).advance(1)
        schedule.set_state(MemberState.ALIVE, *restarted).advance(9)
    schedule.advance(10)
    returned = schedule.returned[returned_before:]
    assert min(after - before for (before, _), (after, _) in itertools.pairwise(returned)) >= 200
    assert min(counts.budget_count for _, counts in returned) >= 90
    assert schedule.last == (100, 100)


@pytest.mark.parametrize(
    ("records", "placement_names"),
    [
        pytest.param(
            [record("g1", instance=5, gateway_id=5), record("g1", instance=6, gateway_id=6)],
            ["g1", "g1/6"],
            id="two-gateways-with-one-name",
        ),
        pytest.param(
            [record("g1", instance=5, gateway_id=9), record("g1", instance=6, gateway_id=9)],
            ["g1"],
            id="two-processes-of-one-gateway",
        ),
        pytest.param(
            [record("g1", instance=5, address="127.0.0.1:1"), record("g1", instance=6, address="127.0.0.1:1")],
            ["g1"],
            id="restart-at-the-same-address",
        ),
    ],
)
def test_each_gateway_has_one_placement_name(records: list[MemberRecord], placement_names: list[str]) -> None:
    assert sorted(DampedView.placement_states(records)) == placement_names
