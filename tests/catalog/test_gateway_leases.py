"""Leases of gateways: which gateways are counted, and the progress of a version."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.catalog.errors import GatewayNameTaken
from hallhitch.catalog.gateway_leases import LEASE_MS, MAX_GATEWAYS, NAME_RETENTION_MS, GatewayLeases

OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["renew", "release", "advance"]),
        st.sampled_from("abc"),
        st.sampled_from("12"),
        st.integers(0, 9),
    ),
    max_size=60,
)


class GatewayLeaseTable(unittest.TestCase):
    """Renewal, expiry, release and progress in one table."""

    @given(OPERATIONS)
    def test_leases_match_a_reference_model(self, operations: list[tuple[str, str, str, int]]) -> None:
        """Guards against a gateway that is counted after its lease, counted twice, or lost while it renews."""
        table, now = GatewayLeases(), 0.0
        leases: dict[str, tuple[str, int, float]] = {}
        for operation, name, instance, value in operations:
            held = leases.get(name)
            if operation == "advance":
                now += value * LEASE_MS / 6
            elif operation == "renew":
                is_taken = held is not None and held[0] != instance and held[2] > now
                if is_taken:
                    with self.assertRaises(GatewayNameTaken):
                        table.renew(name, instance, (1, value), now)
                else:
                    self.assertTrue(table.renew(name, instance, (1, value), now))
                    leases[name] = (instance, value, now + LEASE_MS)
            else:
                is_holder = held is not None and held[0] == instance
                self.assertEqual(table.release(name, instance), is_holder)
                if is_holder:
                    del leases[name]
            active = {n: lease for n, lease in leases.items() if lease[2] > now}
            self.assertEqual(
                [(g.name, g.instance, g.version) for g in table.active(now)],
                [(n, lease[0], (1, lease[1])) for n, lease in sorted(active.items())],
            )
            progress = table.progress((1, 5), now)
            self.assertEqual(
                (progress.applied, progress.counted), (sum(lease[1] >= 5 for lease in active.values()), len(active))
            )

    def test_progress_counts_gateways_that_applied_a_version(self) -> None:
        """Guards against a version reported as complete before every active gateway applied it."""
        table = GatewayLeases()
        self.assertEqual(table.progress((1, 4), 0.0).state, "pending")
        table.renew("a", "1", (1, 3), 0.0)
        table.renew("b", "1", (1, 3), 0.0)
        self.assertEqual(table.progress((1, 4), 1.0).state, "pending")
        table.renew("a", "1", (1, 4), 2.0)
        self.assertEqual(table.progress((1, 4), 3.0).state, "partial")
        self.assertEqual(table.progress((1, 4), LEASE_MS + 1.0).state, "complete", "b is no longer counted")
        self.assertEqual([g.name for g in table.expired(LEASE_MS + 1.0)], ["b"])
        table.renew("b", "1", (1, 3), LEASE_MS + 1.5)
        self.assertEqual(table.progress((1, 4), LEASE_MS + 1.6).state, "partial", "b is counted again")
        table.renew("b", "1", (2, 1), LEASE_MS + 1.7)
        self.assertEqual(table.progress((1, 4), LEASE_MS + 1.8).state, "complete", "a later epoch includes the version")
        self.assertEqual(table.expired(LEASE_MS + NAME_RETENTION_MS + 5.0 + LEASE_MS), [])

    def test_a_restarted_gateway_regains_its_name_within_one_lease(self) -> None:
        """Guards against a name that stays taken by a process that crashed."""
        table = GatewayLeases()
        table.renew("a", "1", (1, 1), 0.0)
        with self.assertRaisesRegex(GatewayNameTaken, "15000 ms"):
            table.renew("a", "2", (1, 1), 0.0)
        self.assertTrue(table.renew("a", "2", (1, 1), LEASE_MS))
        self.assertFalse(table.release("a", "1"), "the other instance holds the lease now")

    def test_the_number_of_leases_is_bounded(self) -> None:
        """Guards against unbounded memory when a gateway uses a new name at each start."""
        table = GatewayLeases()
        for n in range(MAX_GATEWAYS):
            self.assertTrue(table.renew(f"g{n}", "1", (1, 1), float(n) / 1000))
        self.assertFalse(table.renew("late", "1", (1, 1), 10.0))
        self.assertTrue(table.renew("late", "1", (1, 1), LEASE_MS + 0.5), "a name whose lease expired is evicted")
        self.assertLessEqual(len(table._gateways), MAX_GATEWAYS)
