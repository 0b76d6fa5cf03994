"""The states of a gateway and the commands that change them."""

from __future__ import annotations

import unittest
from itertools import product

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.ops.lifecycle import TRANSITIONS, Command, GatewayState, Lifecycle


class Table(unittest.TestCase):
    """The table of transitions."""

    def test_every_command_has_a_transition_in_every_state(self) -> None:
        """Guards against a command that fails in a state without a transition."""
        self.assertEqual(set(TRANSITIONS), set(product(GatewayState, Command)))

    @given(st.lists(st.sampled_from(Command)))
    def test_the_last_drain_command_decides_and_a_termination_is_final(self, commands: list[Command]) -> None:
        """Guards against a state that depends on how often or in which order its commands came."""
        lifecycle = Lifecycle()
        for command in commands:
            lifecycle.apply(command)
        reversible = [command for command in commands if command is not Command.TERMINATE]
        self.assertEqual(lifecycle.is_healthy, not reversible or reversible[-1] is Command.REJOIN)
        self.assertEqual(lifecycle.is_stopping, Command.TERMINATE in commands)
        self.assertFalse(lifecycle.apply(commands[-1]) if commands else False, "a repeated command changes nothing")
