"""Processor time shared over tenants, as properties and as a flood beside a quiet tenant."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.catalog.fair_queue import MAX_SAVED_MS, Admitted, FairQueue, Rejected

TENANTS = {"a": 1.0, "b": 2.0, "c": 0.5}


def drain(turns: FairQueue, now: float, until: float) -> list[tuple[float, Admitted | Rejected]]:
    """Turns until a time."""
    found = []
    while (at := turns.next_dispatch_at_ms(now)) is not None and at <= until:
        now = max(now, at) + 1e-6
        found += [(now, one) for one in turns.dispatch(now)]
    return found


class ProcessorTime(unittest.TestCase):
    """Processor time."""

    def test_service_follows_weights_while_both_tenants_wait(self) -> None:
        """Guards against turns by who asks most, and by who asks first."""
        turns = FairQueue(0.0, 1.0)
        whose = {}
        for n in range(2000):
            tenant = "heavy" if n % 10 else "light"  # nine times as many requests
            whose[n] = tenant
            turns.enqueue(0.0, tenant, 3.0 if tenant == "light" else 1.0, n, 1e9)
        begun = [whose[one.id] for _, one in drain(turns, 0.0, 220.0) if isinstance(one, Admitted)]
        served = Counter(begun[:120])
        self.assertAlmostEqual(served["light"] / served["heavy"], 3.0, delta=0.25)

    def test_a_flood_does_not_delay_a_quiet_tenant(self) -> None:
        """Guards against a tenant with 100 times its share that makes another wait or be refused."""
        for cost in (1.0, 3.0):  # the flood's requests cost more than others, too
            with self.subTest(cost=cost):
                self.flood(cost)

    def flood(self, cost: float) -> None:
        """Ten seconds of a quiet tenant's 10 requests a second beside 1,000."""
        draw, turns = random.Random(7), FairQueue(0.0, 0.8)
        asks = [(n * 100.0 + draw.random() * 20, "quiet") for n in range(100)]
        asks += [(draw.random() * 10_000, "flood") for _ in range(10_000)]
        asks.sort()
        came, whose = dict[int, float](), dict[int, str]()
        waits, away = list[float](), Counter[str]()
        costs = {"quiet": 1.0, "flood": cost}

        def told(at: float, found: list[Any]) -> None:
            for one in found:
                tenant = whose[one.id]
                if isinstance(one, Admitted):
                    turns.record_cost(tenant, costs[tenant], one.cost_ms)
                    if tenant == "quiet":
                        waits.append(at - came[one.id])
                else:
                    away[tenant] += 1
                    self.assertGreater(one.retry_after_ms, 0)

        now = 0.0
        for n, (at, tenant) in enumerate(asks):
            while (due := turns.next_dispatch_at_ms(now)) is not None and due < at:
                now = max(now, due) + 1e-6
                told(now, turns.dispatch(now))
            now = max(now, at)
            came[n], whose[n] = now, tenant
            told(now, turns.enqueue(now, tenant, 1.0, n, 300.0))
        self.assertEqual(away["quiet"], 0)
        self.assertEqual(len(waits), 100)
        self.assertLess(max(waits), 4 * cost + 4, "one request of the other in the way, and its own")
        self.assertGreater(away["flood"], 1000)

    def test_requests_that_cannot_meet_their_deadline_are_rejected_at_once(self) -> None:
        """Guards against requests queued past their use, and advice that brings their clients back too soon."""
        turns = FairQueue(0.0, 0.5)
        found = [turns.enqueue(0.0, "a", 1.0, n, 100.0) for n in range(200)]
        away = [one for each in found for one in each if isinstance(one, Rejected)]
        self.assertGreater(len(away), 100)
        self.assertTrue(all(one.retry_after_ms > 100.0 for one in away))
        begun = [one for _, one in drain(turns, 0.0, 1000.0)]
        late = [one for one in begun if isinstance(one, Rejected)]
        self.assertLessEqual(len(late), 2, "whoever was let wait has its turn")

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["offer", "turn", "gone", "spent", "forget"]),
                st.sampled_from(sorted(TENANTS)),
                st.floats(0, 30),
            ),
            max_size=80,
        )
    )
    def test_each_request_is_decided_exactly_once(self, ops: list[tuple[str, str, float]]) -> None:
        """Guards against a request that is lost in the queue, begun twice, or begun once its client has gone."""
        turns, now = FairQueue(0.0), 0.0
        open_: dict[int, str] = {}

        def told(found: list[Any]) -> None:
            for one in found:
                self.assertIn(one.id, open_)
                del open_[one.id]

        for number, (what, tenant, value) in enumerate(ops):
            if what == "offer":
                open_[number] = tenant
                told(turns.enqueue(now, tenant, TENANTS[tenant], number, value * 3))
            elif what == "turn":
                now += value
                told(turns.dispatch(now))
            elif what == "gone" and open_:
                id = next(iter(open_))
                self.assertTrue(turns.cancel(open_.pop(id), id))
            elif what == "spent":
                turns.record_cost(tenant, value / 10, value / 20)
            elif what == "forget":
                told(turns.remove_tenant(tenant))
        while (at := turns.next_dispatch_at_ms(now)) is not None:
            now = max(now, at) + 0.001
            told(turns.dispatch(now))
        self.assertEqual(open_, {})
        self.assertAlmostEqual(turns._queued_weight, 0.0)

    def test_idle_tenants_accumulate_no_credit(self) -> None:
        """Guards against a tenant that, quiet for an hour, then has the gateway for itself for as long."""
        turns = FairQueue(0.0, 1.0)
        for n in range(500):
            turns.enqueue(n * 2.0, "busy", 1.0, n, 1e9)
        now, whose = 1000.0, {}
        for n in range(1000, 1200):
            whose[n] = "late" if n % 2 else "busy"
            turns.enqueue(now, whose[n], 1.0, n, 1e9)
        begun = Counter(whose[one.id] for _, one in drain(turns, now, now + MAX_SAVED_MS + 60) if one.id in whose)
        self.assertLess(abs(begun["late"] - begun["busy"]), 25)
