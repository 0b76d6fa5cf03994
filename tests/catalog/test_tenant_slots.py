"""Slots shared among tenants: properties, and a flood by one tenant."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.catalog.tenant_slots import RESERVED_SLOT_RATIO, TenantSlots

TENANTS = {"a": 1.0, "b": 2.0, "c": 0.5}
OPERATIONS = st.lists(
    st.tuples(st.sampled_from(["acquire", "release"]), st.sampled_from(sorted(TENANTS))), max_size=120
)


class Slots(unittest.TestCase):
    """Shares, reserve and release of slots."""

    @given(OPERATIONS, st.integers(1, 30), st.integers(1, 30))
    def test_random_operations_respect_shares_and_reserve(
        self, operations: list[tuple[str, str]], total: int, limit: int
    ) -> None:
        """Guards against a wrong count of slots, and a tenant kept from its share by one that exceeds its own."""
        slots, held = TenantSlots(total), Counter[str]()
        for operation, tenant in operations:
            if operation == "release" and held[tenant]:
                slots.release(tenant)
                held[tenant] -= 1
            elif operation == "acquire":
                free, share = slots.free, slots.share(tenant, TENANTS[tenant])
                acquired = slots.acquire(tenant, TENANTS[tenant], limit)
                is_within_share = held[tenant] + 1 <= share
                self.assertEqual(
                    acquired,
                    held[tenant] < limit and free > 0 and (is_within_share or free > RESERVED_SLOT_RATIO * total),
                )
                held[tenant] += acquired
            self.assertEqual(slots.free, total - sum(held.values()))
            self.assertEqual({t: slots.held(t) for t in TENANTS}, {t: held[t] for t in TENANTS})
            weights = sum(TENANTS[t] for t in TENANTS if held[t])
            self.assertAlmostEqual(slots._total_weight, weights)

    def test_a_flood_leaves_the_reserve_to_a_late_tenant(self) -> None:
        """Guards against a tenant that takes all slots before another acquires its first."""
        slots = TenantSlots(100)
        self.assertEqual(sum(slots.acquire("flood", 1.0, 1000) for _ in range(500)), 90, "all but the reserve")
        self.assertEqual(sum(slots.acquire("quiet", 1.0, 1000) for _ in range(50)), 10)
        for _ in range(89):  # released slots go to the quiet tenant until each has its share
            slots.release("flood")
            slots.acquire("flood", 1.0, 1000)
            slots.acquire("quiet", 1.0, 1000)
        self.assertGreaterEqual(slots.held("quiet"), 45)

    def test_releasing_an_unheld_slot_is_an_error(self) -> None:
        """Guards against a slot that is released twice."""
        slots = TenantSlots(2)
        with self.assertRaises(ValueError):
            slots.release("a")
        with self.assertRaises(ValueError):
            TenantSlots(0)
