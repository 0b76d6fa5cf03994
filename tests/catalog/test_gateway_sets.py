"""Clients' sets of gateways: balanced, deterministic, and stable when the membership changes."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.catalog.gateway_sets import assigned_gateways

NAMES = st.sets(st.text("abcdef0123456789", min_size=1, max_size=6), min_size=1, max_size=12)


class GatewaySets(unittest.TestCase):
    """Properties, and distributions over many clients."""

    @given(NAMES, st.integers(1, 14), st.randoms(use_true_random=False))
    def test_the_set_does_not_depend_on_the_order_of_gateways(
        self, names: set[str], spread: int, order: object
    ) -> None:
        """Guards against gateways that compute different sets because they list each other in different orders."""
        first_set = assigned_gateways("acme", "c1", sorted(names), spread)
        self.assertEqual(first_set, assigned_gateways("acme", "c1", sorted(names, reverse=True), spread))
        self.assertEqual(len(first_set), min(spread, len(names)))
        self.assertEqual(len(set(first_set)), len(first_set))

    @given(NAMES, st.integers(1, 5), st.text("xyz", min_size=1, max_size=4))
    def test_a_joining_gateway_replaces_at_most_one_member(self, names: set[str], spread: int, joining: str) -> None:
        """Guards against sets that change although none of their gateways did."""
        before, after = (assigned_gateways("acme", "c1", all_, spread) for all_ in (names, names | {joining}))
        if joining in after:
            self.assertLessEqual(len(set(before) - set(after)), 1)
        else:
            self.assertEqual(before, after)
        kept = [gateway for gateway in after if gateway != joining]
        self.assertEqual(kept, list(before)[: len(kept)], "the remaining gateways keep their order")

    def test_membership_changes_move_the_minimum_of_assignments(self) -> None:
        """Guards against a joining gateway that moves more assignments than it takes over."""
        ten = [f"gateway-{n}" for n in range(10)]
        clients = [f"{n:016x}" for n in range(4000)]
        before = {client: assigned_gateways("acme", client, ten, 3) for client in clients}
        after = {client: assigned_gateways("acme", client, [*ten, "gateway-10"], 3) for client in clients}
        moved = sum(len(set(before[c]) - set(after[c])) for c in clients) / (3 * len(clients))
        self.assertLess(abs(moved - 1 / 11), 0.012, "one assignment in eleven moves")
        loads = Counter(gateway for gateways in before.values() for gateway in gateways)
        self.assertLess(max(loads.values()) / min(loads.values()), 1.15)
        first_counts = Counter(gateways[0] for gateways in before.values())
        self.assertLess(max(first_counts.values()) / min(first_counts.values()), 1.35)

    def test_tenants_have_independent_assignments(self) -> None:
        """Guards against equal sets for clients of different tenants with the same name."""
        names = [f"gateway-{n}" for n in range(8)]
        equal_sets = sum(
            assigned_gateways("acme", f"{n}", names, 2) == assigned_gateways("bolt", f"{n}", names, 2)
            for n in range(500)
        )
        self.assertLess(equal_sets, 25)

    def test_a_spread_below_one_is_rejected(self) -> None:
        """Guards against an empty set for a client."""
        with self.assertRaises(ValueError):
            assigned_gateways("acme", "c1", ["a"], 0)
