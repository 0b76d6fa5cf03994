"""Tests of the checker: it finds a violation of each invariant and none in a valid history. Also tests shrinking."""

from __future__ import annotations

import pytest

from hallhitch.lab.simulation.faults import Fault, FaultKind
from hallhitch.lab.simulation.invariants import find_violations
from hallhitch.lab.simulation.operation_history import (
    DrainObservation,
    Interval,
    Invariant,
    MemberAddition,
    Observation,
    Operation,
    OperationHistory,
    OperationKind,
    violated_invariants,
)
from hallhitch.lab.simulation.schedule import Schedule, draw_schedule, is_tolerable
from hallhitch.lab.simulation.shrink import shrink_schedule

CONFIG_APPLY_BOUND_S = 5.0


def history(*events: Operation | Observation | MemberAddition | DrainObservation) -> OperationHistory:
    """Return a history without faults, with one gateway that runs throughout."""
    result = OperationHistory(CONFIG_APPLY_BOUND_S, 10.0, 5.0, converged_by_s=40.0)
    result.gateway_lifetimes["gateway#1"] = Interval(0.0, float("inf"))
    for event in events:
        if isinstance(event, Operation):
            result.operations.append(event)
        elif isinstance(event, MemberAddition):
            result.member_additions.append(event)
        elif isinstance(event, DrainObservation):
            result.drains_listed_at_s[event.instance] = event.listed_at_s
            result.drain_observations.append(event)
        else:
            result.gateway_observations.append(event)
    return result


def write(version: int, invoked_at_s: float, content: str = "a", status: int = 200) -> Operation:
    """Return a write that completed after 0.1 s."""
    return Operation(
        "one",
        OperationKind.REPLACE_CONFIG,
        invoked_at_s,
        version,
        content,
        completed_at_s=invoked_at_s + 0.1,
        status=status,
    )


def read(version: int, invoked_at_s: float, content: str = "a") -> Operation:
    """Return a read that returned this version and content."""
    return Operation(
        "one",
        OperationKind.DESCRIBE_CONFIG,
        invoked_at_s,
        version,
        content,
        completed_at_s=invoked_at_s + 0.1,
        status=200,
    )


def evacuation_change(
    kind: OperationKind, invoked_at_s: float, completed_at_s: float, client: str = "one"
) -> Operation:
    """Return an acknowledged start or stop of the evacuation of zone z."""
    return Operation(client, kind, invoked_at_s, zone="z", completed_at_s=completed_at_s, status=200)


def observed(
    serial: int, version: int, at_s: float, content: str = "a", zones: frozenset[str] = frozenset()
) -> Observation:
    """Return an observation of the gateway."""
    return Observation("gateway#1", at_s, 0.0, serial, version, content, zones)


START = evacuation_change(OperationKind.START_EVACUATION, 1.0, 1.1)
STOP = evacuation_change(OperationKind.STOP_EVACUATION, 2.0, 2.1)
INCOMPLETE_WRITE = Operation("one", OperationKind.REPLACE_CONFIG, 1.0, 1, "a")
SUPERSEDED_BY_ITSELF = Operation(
    "one",
    OperationKind.REPLACE_CONFIG,
    1.0,
    2,
    "a",
    completed_at_s=1.1,
    status=200,
    is_superseded=True,
    committed_version=2,
)
VIOLATING_HISTORIES = {
    Invariant.DURABILITY: history(write(1, 1.0), write(2, 2.0), observed(2, 2, 2.1), read(1, 3.0)),
    Invariant.SINGLE_CONTENT: history(write(1, 1.0), write(1, 1.0, "b"), observed(1, 1, 1.1), read(1, 3.0, "b")),
    Invariant.SINGLE_STATE: history(write(1, 1.0), write(2, 1.0), observed(1, 1, 1.1), observed(1, 2, 1.2)),
    Invariant.SINGLE_ACKNOWLEDGED_CONTENT: history(write(1, 1.0), write(1, 1.0, "b"), observed(1, 1, 1.1)),
    Invariant.SUPERSEDED_BY_NEWER: history(SUPERSEDED_BY_ITSELF),
    Invariant.NO_FALSE_REJECTION: history(write(1, 1.0, status=409), observed(1, 1, 1.1)),
    Invariant.MONOTONIC_READS: history(write(2, 1.0), write(3, 2.0), observed(3, 3, 2.1), observed(2, 2, 2.2)),
    Invariant.BOUNDED_STALENESS: history(write(1, 1.0), write(2, 2.0), observed(1, 1, 9.0), observed(2, 2, 9.1)),
    Invariant.PROPAGATION_TIME: history(write(1, 6.0), observed(1, 1, 12.0)),
    Invariant.DRAIN_PROPAGATION: history(DrainObservation("gateway#1", "b", 6.0, 11.1)),
    Invariant.AVAILABILITY: history(INCOMPLETE_WRITE),
    Invariant.MEMBERS_HOLD_STATE: history(MemberAddition("d", 3.0, False)),
    Invariant.EVACUATION_ORDER: history(START, STOP, observed(2, -1, 2.2), observed(3, -1, 9.0, zones=frozenset("z"))),
    Invariant.CONVERGENCE: history(write(1, 1.0), write(2, 2.0), observed(1, 1, 1.1)),
}


def test_checker_finds_a_drain_that_a_gateway_never_learns_of() -> None:
    result = history()
    result.drains_listed_at_s["b"] = 6.0
    assert violated_invariants(find_violations(result)) == {Invariant.DRAIN_PROPAGATION}


@pytest.mark.parametrize("invariant", VIOLATING_HISTORIES)
def test_checker_finds_violation_of_each_invariant(invariant: Invariant) -> None:
    assert invariant in violated_invariants(find_violations(VIOLATING_HISTORIES[invariant]))


def test_valid_history_has_no_violations() -> None:
    valid_history = history(
        write(1, 6.0),
        write(1, 6.2, "b", status=409),
        write(3, 7.0),
        evacuation_change(OperationKind.START_EVACUATION, 8.0, 8.1, client="two"),
        evacuation_change(OperationKind.STOP_EVACUATION, 9.0, 9.1, client="two"),
        observed(1, 1, 6.1),
        observed(2, 3, 7.1),
        observed(3, 3, 8.1, zones=frozenset("z")),
        observed(4, 3, 9.1),
        read(3, 10.0),
        MemberAddition("d", 11.0, True),
        DrainObservation("gateway#1", "b", 6.0, 10.9),
    )
    assert not find_violations(valid_history)


def test_shrinking_keeps_only_required_faults() -> None:
    faults = tuple(Fault(FaultKind.KILL, float(at_s), 1.0, at_s % 3) for at_s in range(12))
    required_faults = {faults[3], faults[7]}
    smallest = shrink_schedule(
        Schedule(1, 1, 3, 1, faults, 20.0), lambda candidate: required_faults <= set(candidate.faults)
    )
    assert set(smallest.faults) == required_faults


def test_drawn_schedules_lose_no_more_machines_than_tolerated() -> None:
    for seed in range(300):
        schedule = draw_schedule(seed)
        assert is_tolerable(list(schedule.faults), schedule)
        for fault in schedule.faults:
            active = [
                candidate
                for candidate in schedule.faults
                if candidate.starts_at_s <= fault.starts_at_s <= candidate.recovered_at_s(schedule.catch_up_s)
            ]
            lost_slots = {
                candidate.slot
                for candidate in active
                if "gateway" not in candidate.kind.value and "all" not in candidate.kind.value
            }
            assert len(lost_slots) <= schedule.tolerated_losses
