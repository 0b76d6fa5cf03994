"""The judge itself: each rule is found broken where it is, and a proper history breaks none; schedules get smaller."""

from __future__ import annotations

import pytest

from hallhitch.lab.simulation.faults import Fault, Kind, Schedule, bearable, draw
from hallhitch.lab.simulation.history import Call, History, Order, Seat, Sight, Span, rules
from hallhitch.lab.simulation.shrink import shrink

BOUND = 5.0


def history(*events: Call | Sight | Seat) -> History:
    """A history with one gateway that lives all the while, and no trouble."""
    made = History(BOUND, 10.0, 5.0, final=40.0)
    made.lives["gateway#1"] = Span(0.0, float("inf"))
    for event in events:
        if isinstance(event, Call):
            made.calls.append(event)
        elif isinstance(event, Seat):
            made.seats.append(event)
        else:
            made.gateways.append(event)
    return made


def put(version: int, begin: float, content: str = "a", status: int = 200) -> Call:
    """An order, answered after a tenth of a second."""
    return Call("one", Order.REPLACE, begin, version, content, end=begin + 0.1, status=status)


def read(version: int, begin: float, content: str = "a") -> Call:
    """A read and what it found."""
    return Call("one", Order.DESCRIBE, begin, version, content, end=begin + 0.1, status=200)


def saw(serial: int, version: int, at: float, content: str = "a", zones: frozenset[str] = frozenset()) -> Sight:
    """What the gateway came to know."""
    return Sight("gateway#1", at, 0.0, serial, version, content, zones)


START = Call("one", Order.START, 1.0, zone="z", end=1.1, status=200)
STOP = Call("one", Order.STOP, 2.0, zone="z", end=2.1, status=200)
GONE = Call("one", Order.REPLACE, 1.0, 1, "a")  # never answered
BROKEN = {
    "lost": history(put(1, 1.0), put(2, 2.0), saw(2, 2, 2.1), read(1, 3.0)),
    "one content": history(put(1, 1.0), put(1, 1.0, "b"), saw(1, 1, 1.1), read(1, 3.0, "b")),
    "one state": history(put(1, 1.0), put(2, 1.0), saw(1, 1, 1.1), saw(1, 2, 1.2)),
    "one confirmation": history(put(1, 1.0), put(1, 1.0, "b"), saw(1, 1, 1.1)),
    "overtaken": history(Call("one", Order.REPLACE, 1.0, 2, "a", end=1.1, status=200, overtaken=True, in_force=2)),
    "refused": history(put(1, 1.0, status=409), saw(1, 1, 1.1)),
    "back": history(put(2, 1.0), put(3, 2.0), saw(3, 3, 2.1), saw(2, 2, 2.2)),
    "old state": history(put(1, 1.0), put(2, 2.0), saw(1, 1, 9.0), saw(2, 2, 9.1)),
    "in force": history(put(1, 6.0), saw(1, 1, 12.0)),
    "majority": history(GONE),
    "empty seat": history(Seat("d", 3.0, False)),
    "evacuation": history(START, STOP, saw(2, -1, 2.2), saw(3, -1, 9.0, zones=frozenset("z"))),
    "late": history(put(1, 1.0), put(2, 2.0), saw(1, 1, 1.1)),
}


@pytest.mark.parametrize("rule", BROKEN)
def test_a_broken_rule_is_found(rule: str) -> None:
    assert rule in rules(BROKEN[rule].violations())


def test_a_proper_history_breaks_none() -> None:
    proper = history(
        put(1, 6.0),
        put(1, 6.2, "b", status=409),
        put(3, 7.0),
        Call("two", Order.START, 8.0, zone="z", end=8.1, status=200),
        Call("two", Order.STOP, 9.0, zone="z", end=9.1, status=200),
        saw(1, 1, 6.1),
        saw(2, 3, 7.1),
        saw(3, 3, 8.1, zones=frozenset("z")),
        saw(4, 3, 9.1),
        read(3, 10.0),
        Seat("d", 11.0, True),
    )
    assert not proper.violations()


def test_shrinking_leaves_what_is_needed() -> None:
    faults = tuple(Fault(Kind.KILL, float(at), 1.0, at % 3) for at in range(12))
    needed = {faults[3], faults[7]}
    smallest = shrink(Schedule(1, 1, 3, 1, faults, 20.0), lambda one: needed <= set(one.faults))
    assert set(smallest.faults) == needed


def test_no_drawn_schedule_loses_more_than_has_to_be_borne() -> None:
    for seed in range(300):
        schedule = draw(seed)
        assert bearable(list(schedule.faults), schedule)
        for fault in schedule.faults:
            moment = [one for one in schedule.faults if one.at <= fault.at <= one.lost_until(schedule.catch_up)]
            machines = {one.slot for one in moment if "gateway" not in one.kind.value and "all" not in one.kind.value}
            assert len(machines) <= schedule.losses
