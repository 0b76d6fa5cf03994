"""The state machine of a gateway's lifecycle."""

from __future__ import annotations

import unittest
from itertools import product

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.ops.lifecycle import TRANSITIONS, Command, GatewayState, Lifecycle


class TransitionTable(unittest.TestCase):
    """The transition table."""

    def test_every_command_has_a_transition_in_every_state(self) -> None:
        """Guards against a command that raises because its state has no transition for it."""
        self.assertEqual(set(TRANSITIONS), set(product(GatewayState, Command)))

    @given(st.lists(st.sampled_from(Command)))
    def test_the_last_drain_command_decides_and_a_termination_is_final(self, commands: list[Command]) -> None:
        """Guards against a state that depends on how often commands are repeated, or on when SIGTERM arrives."""
        lifecycle = Lifecycle()
        for command in commands:
            lifecycle.apply(command)
        drain_commands = [command for command in commands if command is not Command.TERMINATE]
        self.assertEqual(lifecycle.is_healthy, not drain_commands or drain_commands[-1] is Command.REJOIN)
        self.assertEqual(lifecycle.is_stopping, Command.TERMINATE in commands)
        self.assertFalse(
            lifecycle.apply(commands[-1]) if commands else False, "a repeated command must not change the state"
        )
