"""Tests of contention among proposers: waits for competing ballots, latency of concurrent changes, and slow disks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from benchmarks.order_latency import CASES, Conditions, measure
from hallhitch.lab.simulation.in_memory_storage import InMemoryStorage
from hallhitch.lab.simulation.virtual_time import VirtualLoop
from hallhitch.messages.system_pb2 import Accept, Envelope, Prepare
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.acceptor import DurableAcceptor, consume_exception
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.contention import (
    MAX_COMPETING_TIMEOUT_MS,
    MIN_COMPETING_TIMEOUT_MS,
    CompetingBallots,
    PhaseDuration,
)
from hallhitch.planes.control.membership import initial_state
from hallhitch.planes.control.state_store import StateStore


def test_competing_ballot_is_waited_for_between_its_prepare_and_its_accept() -> None:
    competing_ballots = CompetingBallots("a:1")
    assert competing_ballots.wait_ms(0, 100) == 0
    competing_ballots.record_prepare(Ballot(2, "a:1#x"), 10)  # from the replica's own proposer
    assert competing_ballots.wait_ms(10, 100) == 0
    competing_ballots.record_prepare(Ballot(3, "b:1#x"), 20)
    # The wait ends after the timeout, because the proposer of that ballot may have failed.
    assert competing_ballots.wait_ms(40, 100) == 80 and competing_ballots.wait_ms(121, 100) == 0
    competing_ballots.record_prepare(Ballot(3, "b:1#x"), 90)  # a duplicate prepare does not extend the wait
    competing_ballots.record_prepare(Ballot(2, "c:1#x"), 90)  # a lower ballot is preempted by the higher one
    assert competing_ballots.wait_ms(100, 100) == 20
    assert not competing_ballots.record_accept(Ballot(2, "c:1#x")) and competing_ballots.wait_ms(100, 100) == 20
    assert competing_ballots.record_accept(Ballot(3, "b:1#x")) and competing_ballots.wait_ms(100, 100) == 0
    assert not competing_ballots.record_accept(Ballot(3, "b:1#x"))


def test_competing_timeout_follows_measured_phases_within_its_bounds() -> None:
    phase = PhaseDuration()
    for duration_ms, least_ms, most_ms in (
        (1000, MAX_COMPETING_TIMEOUT_MS, MAX_COMPETING_TIMEOUT_MS),
        (50, 100, MAX_COMPETING_TIMEOUT_MS),
        (1, MIN_COMPETING_TIMEOUT_MS, MAX_COMPETING_TIMEOUT_MS),
    ):
        phase.observe(duration_ms)
        assert least_ms <= phase.competing_timeout_ms <= most_ms
    for _ in range(60):
        phase.observe(1)
    assert phase.competing_timeout_ms == MIN_COMPETING_TIMEOUT_MS


@pytest.mark.parametrize(("members", "losses", "delay_ms"), [(3, 1, 35.0), (3, 1, 55.0), (5, 2, 35.0)])
@pytest.mark.parametrize("fault", ["", ", member partitioned", ", member's inbound blocked", ", slow disk"])
def test_eight_concurrent_changes_are_acknowledged_within_a_second(
    fault: str, members: int, losses: int, delay_ms: float
) -> None:
    case = CASES[f"8 concurrent{fault}"]
    conditions = Conditions(members, losses, delay_ms, routes=5, bytes_per_ms=250.0)
    for seed in range(2):
        statistics = measure(case, conditions, seed)
        assert len(statistics.waits_ms) == 80 and max(statistics.waits_ms) <= 1000


def test_ballot_preempted_while_it_waits_for_the_disk_is_not_written() -> None:
    loop = VirtualLoop()
    initial = initial_state("abc")
    written: list[AcceptorState] = []

    async def run_slowly(call: Callable[[], None]) -> None:
        await asyncio.sleep(0.1)
        call()

    async def scenario() -> None:
        store = StateStore(InMemoryStorage(), "a")
        save = store.save

        def record_and_save(state: AcceptorState) -> None:
            written.append(state)
            save(state)

        store.save = record_and_save  # type: ignore[method-assign]
        acceptor = DurableAcceptor("a", store, run_slowly, lambda: loop.time() * 1000)
        acceptor.state = AcceptorState("a", state=initial)
        requests = []
        for number in range(1, 9):
            ballot = Ballot(number, f"{'bc'[number % 2]}#1").to_message()
            state = state_transitions.replace_config(number, b"x")(initial)
            requests += [
                Envelope(prepare=Prepare(ballot=ballot)),
                Envelope(accept=Accept(ballot=ballot, state=state)),
            ]
        answers = await asyncio.gather(*(acceptor.handle(request) for request in requests))
        assert [answer.promise.ok or answer.accepted.ok for answer in answers] == [False] * 14 + [True, True]
        assert len(written) == 2 and acceptor.state.state.config_version == 8
        assert all(answer.promise.promised.round == 8 for answer in answers[:14:2])

    loop.run_until_complete(scenario())
    loop.close()


def test_no_queue_grows_while_the_disk_hangs() -> None:
    loop = VirtualLoop()

    async def hang(call: Callable[[], None]) -> None:
        await asyncio.sleep(60)
        call()

    async def scenario() -> None:
        acceptor = DurableAcceptor("a", StateStore(InMemoryStorage(), "a"), hang, lambda: loop.time() * 1000)
        acceptor.state = AcceptorState("a", state=initial_state("abc"))
        most_tasks = 0
        for number in range(1, 300):
            prepare = Envelope(prepare=Prepare(ballot=Ballot(number, "b#1").to_message()))
            asyncio.ensure_future(acceptor.handle(prepare)).add_done_callback(consume_exception)
            await asyncio.sleep(0.1)
            most_tasks = max(most_tasks, len(asyncio.all_tasks()))
        assert most_tasks < 40  # two tasks for each request of the last 1.5 s
        await asyncio.sleep(60)
        assert acceptor.state.promised.round == 1 and not acceptor.is_busy

    loop.run_until_complete(scenario())
    loop.close()
