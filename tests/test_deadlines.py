"""The one structure of all deadlines: order, drops, its size, and how often it wakes the program."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from functools import partial
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.core.deadlines import MAX_CANCELLED, Deadlines


class Loop:
    """A clock in ms, and timers that round to whole ones as the loop's do."""

    def __init__(self) -> None:
        self.now = 0.0
        self.timers: list[tuple[float, Any, list[bool]]] = []
        self.woken = 0

    def call_soon(self, callback: Callable[..., Any], /, *args: Any) -> Any:
        """Not used by deadlines."""
        raise AssertionError

    def call_later(self, delay: float, callback: Callable[..., Any], /, *args: Any) -> Any:
        """A timer."""
        off = [False]
        self.timers.append((self.now + round(delay * 1000), callback, off))

        class Handle:
            def cancel(self) -> None:
                off[0] = True

        return Handle()

    def run(self, until: float) -> None:
        """Let time pass."""
        while due := [one for one in self.timers if one[0] <= until and not one[2][0]]:
            first = min(due, key=lambda one: one[0])
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.woken += 1
            assert self.woken < 1000, "it turns in haste"
            first[1]()
        self.now = until


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("at"), st.floats(0, 100)),
        st.tuples(st.just("drop"), st.integers(0, 50)),
        st.tuples(st.just("pass"), st.floats(0, 30)),
    ),
    max_size=80,
)


class Order(unittest.TestCase):
    """What is done, and when."""

    @given(STEPS)
    def test_like_a_sorted_list(self, steps: list[tuple[str, Any]]) -> None:
        """Guards against a deadline that is lost, early, out of order, or acted on after it was dropped."""
        loop, done = Loop(), list[int]()
        deadlines = Deadlines(lambda: loop.now, loop)
        plan: dict[int, tuple[float, int, Any]] = {}
        expected: list[int] = []
        for number, (what, value) in enumerate(steps):
            if what == "at":
                when = loop.now + value
                plan[number] = when, number, deadlines.call_at(when, partial(done.append, number))
            elif what == "drop" and value in plan:
                deadlines.cancel(plan.pop(value)[2])
            elif what == "pass":
                loop.run(loop.now + value)
                deadlines.run_due()
                for _, due, _ in sorted(one[:2] + (0,) for one in plan.values() if one[0] <= loop.now):
                    expected.append(due)
                    del plan[due]
                self.assertEqual(done, expected)
            self.assertEqual(len(deadlines), len(plan))

    def test_dropped_ones_do_not_pile_up(self) -> None:
        """Guards against memory that grows with requests whose deadlines were all dropped."""
        loop = Loop()
        deadlines = Deadlines(lambda: loop.now, loop)
        live = [deadlines.call_after(10_000.0 + n, lambda: None) for n in range(100)]
        for n in range(20_000):
            deadlines.cancel(deadlines.call_after(5000.0 + n % 7, lambda: None))
            self.assertLessEqual(len(deadlines._heap), 2 * (len(live) + MAX_CANCELLED))
        self.assertEqual(len(deadlines), len(live))

    def test_a_drop_while_sweeping(self) -> None:
        """Guards against a sweep that acts on what an act of its own has dropped."""
        loop, done = Loop(), list[str]()
        deadlines = Deadlines(lambda: loop.now, loop)
        others = [deadlines.call_at(5.0, lambda: done.append("dropped")) for _ in range(MAX_CANCELLED + 10)]

        def drop() -> None:
            for other in others:
                deadlines.cancel(other)

        deadlines.call_at(1.0, drop)
        deadlines.call_at(6.0, lambda: done.append("kept"))
        loop.now = 10.0
        deadlines.run_due()
        self.assertEqual(done, ["kept"])

    def test_one_wake_for_one_deadline(self) -> None:
        """Guards against a timer that rounds down and turns in haste until the deadline has come."""
        loop, done = Loop(), list[float]()
        deadlines = Deadlines(lambda: loop.now, loop)
        for n in range(20):
            deadlines.call_at(10.4 * n + 0.4, lambda: done.append(loop.now))
        loop.run(300.0)
        self.assertEqual(len(done), 20)
        self.assertLessEqual(loop.woken, 21)
