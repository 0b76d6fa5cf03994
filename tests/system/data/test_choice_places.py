"""Where a request may go at all, and what it meets when nothing has room."""

from __future__ import annotations

import pytest

from hallhitch.planes.data.interfaces import Enqueue, Fail, Forward, Outcome, Reject
from hallhitch.planes.values import RequestKind
from tests.system.data.choice_rig import START, Rig, backend, gateway


def chosen(rig: Rig, count: int, **how: object) -> set[str]:
    """The backends that so many requests at once go to."""
    steps = [rig.open(START, **how)[1] for _ in range(count)]  # type: ignore[arg-type]
    return {step.backend.instance for step in steps if isinstance(step, Forward)}


@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT, RequestKind.DOWNLOAD])
def test_a_draining_an_evacuated_and_a_homeless_backend_get_nothing(kind: str) -> None:
    rig = Rig(
        backend("drains", draining=True), backend("emptied", "a2"), backend("far", "b1"), evacuated=frozenset({"a2"})
    )
    assert chosen(rig, 40, kind=kind, homes=frozenset({"a"})) == set()
    assert chosen(rig, 40, kind=kind) == {"far"}


def test_own_region_first_and_another_only_when_it_has_no_room() -> None:
    rig = Rig(backend("near", slots=6), backend("far", "b1", slots=6))
    assert chosen(rig, 4) == {"near"}
    assert chosen(rig, 10) == {"near", "far"}


def test_a_download_stays_in_its_region_however_full() -> None:
    rig = Rig(backend("near"), backend("far", "b1"))
    assert chosen(rig, 30, kind=RequestKind.DOWNLOAD) == {"near"}


def test_never_a_backend_tried_before() -> None:
    for seed in range(50):
        rig = Rig(*(backend(f"i{n}") for n in range(4)), seed=seed)
        run, step = rig.open(START, attempts=4)
        seen = []
        while isinstance(step, Forward):
            seen.append(step.backend.instance)
            rig.end(START, run, step, Outcome.SERVER_ERROR)
            step = rig.choice.next_action(START, run)
        assert step == Fail(502)
        assert len(seen) == len(set(seen)) == 4


def test_hold_then_refuse_within_a_quarter_of_the_target() -> None:
    rig = Rig(backend("near"))
    for _ in range(20):
        rig.open(START)
    run, step = rig.open(START)
    now = START
    while isinstance(step, Enqueue):
        assert step.recheck_after_ms > 0
        now += step.recheck_after_ms
        step = rig.choice.next_action(now, run)
    assert isinstance(step, Reject)
    assert START < now <= START + 100.0
    assert 0 < step.retry_after_ms < 1000.0


def test_a_slot_that_comes_free_goes_to_the_higher_priority() -> None:
    rig = Rig(backend("near"))
    busy = []
    for _ in range(20):
        run, step = rig.open(START, RequestKind.NON_IDEMPOTENT)
        if isinstance(step, Forward):
            busy.append((run, step))
        else:
            rig.choice.finish_request(START, run)
    low, step = rig.open(START, RequestKind.NON_IDEMPOTENT, priority=2)
    high, other = rig.open(START, RequestKind.NON_IDEMPOTENT, priority=0)
    assert isinstance(step, Enqueue) and isinstance(other, Enqueue)
    rig.end(START + 9, *busy[0], Outcome.OK)
    assert isinstance(rig.choice.next_action(START + 10, low), Enqueue)
    assert isinstance(rig.choice.next_action(START + 10, high), Forward)
    rig.end(START + 11, *busy[1], Outcome.OK)
    assert isinstance(rig.choice.next_action(START + 12, low), Forward)


def test_unsafe_requests_of_all_gateways_together_never_fill_a_queue() -> None:
    """Many gateways, one after the other, send all that they would to the same few backends."""
    fleet = [gateway(f"g{n}", "a1" if n % 2 else "a2") for n in range(6)]
    entries = [backend(f"i{n}", "a1" if n % 2 else "a2") for n in range(8)]
    there = dict.fromkeys((e.instance for e in entries), 0)
    for own in range(6):
        rig = Rig(*entries, gateways=(*fleet[own:], *fleet[:own]), seed=own)
        for _ in range(60):
            _, step = rig.open(START, RequestKind.NON_IDEMPOTENT)
            if isinstance(step, Forward):
                there[step.backend.instance] += 1
    assert max(there.values()) <= 3 * 3  # its slots over three times: a queue holds more than twice the slots
    assert min(there.values()) >= 3
