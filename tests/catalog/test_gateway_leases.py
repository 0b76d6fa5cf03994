"""Leases: who is counted, who is not, and how far a change has come."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.catalog.errors import GatewayNameTaken
from hallhitch.catalog.gateway_leases import LEASE_MS, MAX_GATEWAYS, NAME_RETENTION_MS, GatewayLeases

OPS = st.lists(
    st.tuples(
        st.sampled_from(["renew", "leave", "pass"]), st.sampled_from("abc"), st.sampled_from("12"), st.integers(0, 9)
    ),
    max_size=60,
)


class GatewayLeaseTable(unittest.TestCase):
    """One table."""

    @given(OPS)
    def test_leases_match_a_reference_model(self, ops: list[tuple[str, str, str, int]]) -> None:
        """Guards against a gateway counted past its lease, under two instances, or dropped while it renews."""
        table, now = GatewayLeases(), 0.0
        leases: dict[str, tuple[str, int, float]] = {}
        for what, name, instance, value in ops:
            held = leases.get(name)
            if what == "pass":
                now += value * LEASE_MS / 6
            elif what == "renew":
                other = held is not None and held[0] != instance and held[2] > now
                if other:
                    with self.assertRaises(GatewayNameTaken):
                        table.renew(name, instance, (1, value), now)
                else:
                    self.assertTrue(table.renew(name, instance, (1, value), now))
                    leases[name] = (instance, value, now + LEASE_MS)
            else:
                own = held is not None and held[0] == instance
                self.assertEqual(table.release(name, instance), own)
                if own:
                    del leases[name]
            alive = {n: told for n, told in leases.items() if told[2] > now}
            self.assertEqual(
                [(g.name, g.instance, g.version) for g in table.active(now)],
                [(n, told[0], (1, told[1])) for n, told in sorted(alive.items())],
            )
            progress = table.progress((1, 5), now)
            self.assertEqual(
                (progress.applied, progress.counted), (sum(told[1] >= 5 for told in alive.values()), len(alive))
            )

    def test_progress_counts_gateways_that_applied_a_version(self) -> None:
        """Guards against a change called complete while a gateway that is there has not applied it."""
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
        self.assertEqual(table.progress((1, 4), LEASE_MS + 1.6).state, "partial", "and is again")
        table.renew("b", "1", (2, 1), LEASE_MS + 1.7)
        self.assertEqual(table.progress((1, 4), LEASE_MS + 1.8).state, "complete", "a later epoch is past it")
        self.assertEqual(table.expired(LEASE_MS + NAME_RETENTION_MS + 5.0 + LEASE_MS), [])

    def test_a_restarted_gateway_regains_its_name_within_one_lease(self) -> None:
        """Guards against a name lost for ever to a process that is gone."""
        table = GatewayLeases()
        table.renew("a", "1", (1, 1), 0.0)
        with self.assertRaisesRegex(GatewayNameTaken, "15000 ms"):
            table.renew("a", "2", (1, 1), 0.0)
        self.assertTrue(table.renew("a", "2", (1, 1), LEASE_MS))
        self.assertFalse(table.release("a", "1"), "it is the other's now")

    def test_the_number_of_leases_is_bounded(self) -> None:
        """Guards against names without end from a gateway that draws a new one at each start."""
        table = GatewayLeases()
        for n in range(MAX_GATEWAYS):
            self.assertTrue(table.renew(f"g{n}", "1", (1, 1), float(n) / 1000))
        self.assertFalse(table.renew("late", "1", (1, 1), 10.0))
        self.assertTrue(table.renew("late", "1", (1, 1), LEASE_MS + 0.5), "one whose lease ran out makes room")
        self.assertLessEqual(len(table._gateways), MAX_GATEWAYS)
