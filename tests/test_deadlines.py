"""The timer heap: order of callbacks, cancellation, size of the heap, and number of wake-ups."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from functools import partial
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.core.deadlines import MAX_CANCELLED, Deadlines


class FakeLoop:
    """A fake event loop: a clock in ms, and timers rounded to whole ms as the real loop rounds them."""

    def __init__(self) -> None:
        self.now = 0.0
        self.timers: list[tuple[float, Any, list[bool]]] = []
        self.wake_count = 0

    def call_soon(self, callback: Callable[..., Any], /, *args: Any) -> Any:
        """Fail, as deadlines never call it."""
        raise AssertionError

    def call_later(self, delay: float, callback: Callable[..., Any], /, *args: Any) -> Any:
        """Add a timer and return its handle."""
        is_cancelled = [False]
        self.timers.append((self.now + round(delay * 1000), callback, is_cancelled))

        class Handle:
            def cancel(self) -> None:
                is_cancelled[0] = True

        return Handle()

    def run(self, until: float) -> None:
        """Advance the clock and run the timers that come due."""
        while due := [timer for timer in self.timers if timer[0] <= until and not timer[2][0]]:
            first = min(due, key=lambda timer: timer[0])
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.wake_count += 1
            assert self.wake_count < 1000, "the timer fires again and again before the deadline"
            first[1]()
        self.now = until


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.floats(0, 100)),
        st.tuples(st.just("cancel"), st.integers(0, 50)),
        st.tuples(st.just("advance"), st.floats(0, 30)),
    ),
    max_size=80,
)


class DeadlinesTest(unittest.TestCase):
    """Which callbacks run, and when."""

    @given(STEPS)
    def test_callbacks_run_in_order_of_time(self, steps: list[tuple[str, Any]]) -> None:
        """Compares with a plain dict: no deadline is lost, early, out of order, or run after its cancellation."""
        loop, ran = FakeLoop(), list[int]()
        deadlines = Deadlines(lambda: loop.now, loop)
        pending: dict[int, tuple[float, int, Any]] = {}
        expected: list[int] = []
        for number, (step, value) in enumerate(steps):
            if step == "add":
                when = loop.now + value
                pending[number] = when, number, deadlines.call_at(when, partial(ran.append, number))
            elif step == "cancel" and value in pending:
                deadlines.cancel(pending.pop(value)[2])
            elif step == "advance":
                loop.run(loop.now + value)
                deadlines.run_due()
                for _, due, _ in sorted(entry[:2] + (0,) for entry in pending.values() if entry[0] <= loop.now):
                    expected.append(due)
                    del pending[due]
                self.assertEqual(ran, expected)
            self.assertEqual(len(deadlines), len(pending))

    def test_cancelled_deadlines_do_not_accumulate(self) -> None:
        """Guards against memory that grows with every request, as nearly all deadlines are cancelled."""
        loop = FakeLoop()
        deadlines = Deadlines(lambda: loop.now, loop)
        live = [deadlines.call_after(10_000.0 + n, lambda: None) for n in range(100)]
        for n in range(20_000):
            deadlines.cancel(deadlines.call_after(5000.0 + n % 7, lambda: None))
            self.assertLessEqual(len(deadlines._heap), 2 * (len(live) + MAX_CANCELLED))
        self.assertEqual(len(deadlines), len(live))

    def test_callback_cancels_other_due_deadlines(self) -> None:
        """Guards against running deadlines that an earlier callback of the same run has cancelled.

        Enough of them are cancelled to rebuild the heap while `run_due` iterates over it.
        """
        loop, ran = FakeLoop(), list[str]()
        deadlines = Deadlines(lambda: loop.now, loop)
        others = [deadlines.call_at(5.0, lambda: ran.append("cancelled")) for _ in range(MAX_CANCELLED + 10)]

        def cancel_others() -> None:
            for other in others:
                deadlines.cancel(other)

        deadlines.call_at(1.0, cancel_others)
        deadlines.call_at(6.0, lambda: ran.append("kept"))
        loop.now = 10.0
        deadlines.run_due()
        self.assertEqual(ran, ["kept"])

    def test_each_deadline_wakes_the_loop_once(self) -> None:
        """Guards against timers rounded down, which fire early and are set again until the deadline has come."""
        loop, ran = FakeLoop(), list[float]()
        deadlines = Deadlines(lambda: loop.now, loop)
        for n in range(20):
            deadlines.call_at(10.4 * n + 0.4, lambda: ran.append(loop.now))
        loop.run(300.0)
        self.assertEqual(len(ran), 20)
        self.assertLessEqual(loop.wake_count, 21)
