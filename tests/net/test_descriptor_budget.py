"""The division of file descriptors."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.net.descriptor_budget import MIN_DESCRIPTORS, divide_descriptors


class Shares(unittest.TestCase):
    """Any number of descriptors."""

    @given(st.integers(MIN_DESCRIPTORS, 100_000), st.booleans())
    def test_each_use_has_a_share_and_all_shares_fit(self, sockets: int, ops: bool) -> None:
        """Guards against a limit that is passed in a flood, and against usual clients without room."""
        shares = divide_descriptors(sockets, ops)
        own = sockets - shares.upstream - shares.clients - shares.spare - shares.operators
        self.assertGreaterEqual(own, 16, "what the process itself holds")
        self.assertGreaterEqual(shares.clients, sockets // 3)
        self.assertGreaterEqual(shares.upstream, 16)
        self.assertEqual(shares.operators > 0, ops)
