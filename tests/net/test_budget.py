"""How descriptors are divided."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.net.budget import LEAST, budget


class Shares(unittest.TestCase):
    """Any number of descriptors."""

    @given(st.integers(LEAST, 100_000), st.booleans())
    def test_nobody_is_left_out_and_nothing_is_given_twice(self, sockets: int, ops: bool) -> None:
        """Guards against a limit that is passed in a flood, and against usual clients without room."""
        b = budget(sockets, ops)
        own = sockets - b.hops - b.clients - b.spare - b.ops
        self.assertGreaterEqual(own, 16, "what the process itself holds")
        self.assertGreaterEqual(b.clients, sockets // 3)
        self.assertGreaterEqual(b.hops, 16)
        self.assertEqual(b.ops > 0, ops)
