"""The states of a gateway and what moves it."""

from __future__ import annotations

import unittest
from itertools import product

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.ops.state import NEXT, Call, Drain, State


class Table(unittest.TestCase):
    """The table of transitions."""

    def test_every_call_is_told_in_every_state(self) -> None:
        """Guards against a call that fails in a state nobody thought of."""
        self.assertEqual(set(NEXT), set(product(State, Call)))

    @given(st.lists(st.sampled_from(Call)))
    def test_the_last_drain_call_rules_and_no_end_is_taken_back(self, calls: list[Call]) -> None:
        """Guards against a state that depends on how often or in which order its calls came."""
        drain = Drain()
        for call in calls:
            drain.take(call)
        told = [call for call in calls if call is not Call.TERM]
        self.assertEqual(drain.welcome, not told or told[-1] is Call.REJOIN)
        self.assertEqual(drain.ending, Call.TERM in calls)
        self.assertFalse(drain.take(calls[-1]) if calls else False, "a call again changes nothing")
