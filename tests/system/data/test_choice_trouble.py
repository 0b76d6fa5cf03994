"""After an attempt: again or not, elsewhere or not, and how backends are set aside and return."""

from __future__ import annotations

import pytest

from hallhitch.planes.data.interfaces import Enqueue, Fail, Forward, Outcome, Reject
from hallhitch.planes.values import RequestKind
from tests.system.data.choice_rig import START, Rig, backend


@pytest.mark.parametrize(
    "outcome", [Outcome.CONNECTION_LOST, Outcome.INVALID_RESPONSE, Outcome.SERVER_ERROR, Outcome.TIMED_OUT]
)
def test_unsafe_never_again_after_it_may_have_run(outcome: Outcome) -> None:
    rig = Rig(*(backend(f"i{n}") for n in range(4)))
    run, step = rig.open(START, RequestKind.NON_IDEMPOTENT)
    assert isinstance(step, Forward) and step.hedge_delay_ms == 2000.0
    assert rig.choice.next_action(START + 100, run) == Enqueue(1900.0)
    rig.end(START + 200, run, step, outcome)
    assert rig.choice.next_action(START + 200, run) == Fail(504 if outcome is Outcome.TIMED_OUT else 502)


@pytest.mark.parametrize("outcome", [Outcome.DECLINED, Outcome.MISDIRECTED, Outcome.UNREACHABLE, Outcome.CANCELLED])
def test_unsafe_goes_elsewhere_after_it_surely_never_ran(outcome: Outcome) -> None:
    rig = Rig(*(backend(f"i{n}") for n in range(4)))
    run, step = rig.open(START, RequestKind.NON_IDEMPOTENT)
    rig.end(START + 5, run, step, outcome)
    again = rig.choice.next_action(START + 5, run)
    assert isinstance(step, Forward) and isinstance(again, Forward) and again.backend != step.backend


def test_without_time_what_never_ran_is_refused_and_what_may_have_run_fails() -> None:
    rig = Rig(backend("i0"), backend("i1"))
    run, step = rig.open(START)
    rig.end(START + 1, run, step, Outcome.UNREACHABLE)
    assert isinstance(rig.choice.next_action(START + 1999, run), Reject)
    run, step = rig.open(START)
    rig.end(START + 1, run, step, Outcome.CONNECTION_LOST)
    assert rig.choice.next_action(START + 1999, run) == Fail(504)


def test_a_repeatable_one_is_not_failed_while_an_attempt_is_out() -> None:
    rig = Rig(*(backend(f"i{n}") for n in range(4)))
    run, first = rig.open(START)
    assert isinstance(first, Forward) and first.hedge_delay_ms < 400.0
    rig.end(START + first.hedge_delay_ms, run, first, Outcome.TIMED_OUT)
    second = rig.choice.next_action(START + first.hedge_delay_ms, run)
    assert isinstance(second, Forward) and second.backend != first.backend
    rig.end(START + 300, run, second, Outcome.CONNECTION_LOST)
    assert isinstance(rig.choice.next_action(START + 300, run), Enqueue)
    rig.end(START + 400, run, first, Outcome.OK)


def test_a_crash_costs_one_strike_and_a_dead_port_sets_aside_until_a_trial_succeeds() -> None:
    rig = Rig(backend("dead"), backend("well"))
    now = START
    while rig.fail(now, Outcome.UNREACHABLE) != "dead":
        rig = Rig(backend("dead"), backend("well"), seed=rig.choice._rng.randrange(10**6))
    taken = []
    for step in range(200):  # three seconds of requests, the dead one still dead
        now = START + 15.0 * (step + 1)
        run, at = rig.open(now)
        assert isinstance(at, Forward)
        taken.append(at.backend.instance)
        rig.end(now, run, at, Outcome.UNREACHABLE if at.backend.instance == "dead" else Outcome.OK)
    assert 1 <= taken.count("dead") <= 6
    for step in range(600):  # it is back: trials find it, and it gets its part again
        run, at = rig.open(now + 10.0 * step)
        assert isinstance(at, Forward)
        taken.append(at.backend.instance)
        rig.end(now + 10.0 * step, run, at, Outcome.OK)
    assert taken[-100:].count("dead") >= 20


def test_connections_that_never_come_up_set_a_backend_aside() -> None:
    rig = Rig(backend("dark"), backend("well"))
    void, now = 0, START
    for _ in range(60):
        now += 20.0
        run, step = rig.open(now)
        assert isinstance(step, Forward)
        if step.backend.instance == "dark":
            void += 1
            now += step.hedge_delay_ms
            rig.end(now, run, step, Outcome.CANCELLED, step.hedge_delay_ms)
            rig.choice.finish_request(now, run)
        else:
            rig.end(now, run, step, Outcome.OK, 50.0)
    assert 1 <= void <= 8


def test_several_connections_lost_at_once_do_not_set_a_backend_aside() -> None:
    rig = Rig(backend("only", slots=8))
    lost = [rig.open(START) for _ in range(5)]
    for run, step in lost:
        rig.end(START + 10, run, step, Outcome.CONNECTION_LOST)
        rig.choice.finish_request(START + 10, run)
    run, step = rig.open(START + 20)
    assert isinstance(step, Forward)
    rig.end(START + 30, run, step, Outcome.OK)
    assert isinstance(rig.open(START + 31, RequestKind.NON_IDEMPOTENT)[1], Forward)


def test_all_set_aside_at_once_still_serves() -> None:
    rig = Rig(*(backend(f"i{n}") for n in range(3)))
    for _ in range(12):
        rig.fail(START, Outcome.UNREACHABLE)
    assert isinstance(rig.open(START + 1)[1], Forward)
    assert isinstance(rig.open(START + 1, RequestKind.NON_IDEMPOTENT)[1], Forward)


def test_unsafe_avoids_a_backend_whose_last_end_was_bad() -> None:
    for seed in range(30):
        rig = Rig(backend("i0"), backend("i1"), seed=seed)
        bad = rig.fail(START, Outcome.INVALID_RESPONSE)
        _, step = rig.open(START + 100, RequestKind.NON_IDEMPOTENT)
        assert isinstance(step, Forward) and step.backend.instance != bad


def test_a_full_backend_is_left_alone_for_a_moment() -> None:
    rig = Rig(backend("i0"), backend("i1"))
    full = rig.fail(START, Outcome.DECLINED)
    assert {rig.fail(START + 5, Outcome.OK) for _ in range(2)} == {"i0", "i1"} - {full}
