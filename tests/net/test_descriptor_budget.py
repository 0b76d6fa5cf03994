"""The division of file descriptors among their uses."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.net.descriptor_budget import MIN_DESCRIPTORS, divide_descriptors


class DescriptorShares(unittest.TestCase):
    """Divisions of any number of descriptors."""

    @given(st.integers(MIN_DESCRIPTORS, 100_000), st.booleans())
    def test_each_use_has_a_share_and_all_shares_fit(self, descriptors: int, has_operators: bool) -> None:
        """Guards against running out of descriptors in a flood, and against a share too small for normal clients."""
        shares = divide_descriptors(descriptors, has_operators)
        own = descriptors - shares.upstream - shares.clients - shares.spare - shares.operators
        self.assertGreaterEqual(own, 16, "for the process itself")
        self.assertGreaterEqual(shares.clients, descriptors // 3)
        self.assertGreaterEqual(shares.upstream, 16)
        self.assertEqual(shares.operators > 0, has_operators)
