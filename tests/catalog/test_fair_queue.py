"""Fair queueing of processor time: properties, and a flood by one tenant beside a quiet one."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from hallhitch.catalog.fair_queue import MAX_BURST_MS, Admitted, FairQueue, Rejected

TENANTS = {"a": 1.0, "b": 2.0, "c": 0.5}


def drain(queue: FairQueue, now: float, until: float) -> list[tuple[float, Admitted | Rejected]]:
    """Dispatch all requests that are due until a time."""
    decisions = []
    while (at := queue.next_dispatch_at_ms(now)) is not None and at <= until:
        now = max(now, at) + 1e-6
        decisions += [(now, decision) for decision in queue.dispatch(now)]
    return decisions


class ProcessorTime(unittest.TestCase):
    """Shares, deadlines and rejections."""

    def test_service_follows_weights_while_both_tenants_wait(self) -> None:
        """Guards against service in proportion to the number of requests or in order of arrival."""
        queue = FairQueue(0.0, 1.0)
        tenant_by_id = {}
        for n in range(2000):
            tenant = "heavy" if n % 10 else "light"  # nine times as many requests
            tenant_by_id[n] = tenant
            queue.enqueue(0.0, tenant, 3.0 if tenant == "light" else 1.0, n, 1e9)
        started = [
            tenant_by_id[decision.id] for _, decision in drain(queue, 0.0, 220.0) if isinstance(decision, Admitted)
        ]
        served = Counter(started[:120])
        self.assertAlmostEqual(served["light"] / served["heavy"], 3.0, delta=0.25)

    def test_a_flood_does_not_delay_a_quiet_tenant(self) -> None:
        """Guards against a tenant at 100 times its share that delays another or causes its rejection."""
        for cost in (1.0, 3.0):  # the requests of the flood may also cost more
            with self.subTest(cost=cost):
                self.run_flood(cost)

    def run_flood(self, cost: float) -> None:
        """Run ten seconds of a quiet tenant at 10 requests per second beside a flood of 1,000 per second."""
        rng, queue = random.Random(7), FairQueue(0.0, 0.8)
        requests = [(n * 100.0 + rng.random() * 20, "quiet") for n in range(100)]
        requests += [(rng.random() * 10_000, "flood") for _ in range(10_000)]
        requests.sort()
        arrived_at_ms, tenant_by_id = dict[int, float](), dict[int, str]()
        waits, rejected_count = list[float](), Counter[str]()
        costs = {"quiet": 1.0, "flood": cost}

        def record_decisions(at: float, decisions: list[Any]) -> None:
            for decision in decisions:
                tenant = tenant_by_id[decision.id]
                if isinstance(decision, Admitted):
                    queue.record_cost(tenant, costs[tenant], decision.cost_ms)
                    if tenant == "quiet":
                        waits.append(at - arrived_at_ms[decision.id])
                else:
                    rejected_count[tenant] += 1
                    self.assertGreater(decision.retry_after_ms, 0)

        now = 0.0
        for n, (at, tenant) in enumerate(requests):
            while (due := queue.next_dispatch_at_ms(now)) is not None and due < at:
                now = max(now, due) + 1e-6
                record_decisions(now, queue.dispatch(now))
            now = max(now, at)
            arrived_at_ms[n], tenant_by_id[n] = now, tenant
            record_decisions(now, queue.enqueue(now, tenant, 1.0, n, 300.0))
        self.assertEqual(rejected_count["quiet"], 0)
        self.assertEqual(len(waits), 100)
        self.assertLess(max(waits), 4 * cost + 4, "at most one request of the other tenant runs first")
        self.assertGreater(rejected_count["flood"], 1000)

    def test_requests_that_cannot_meet_their_deadline_are_rejected_at_once(self) -> None:
        """Guards against requests that wait past their deadline, and a Retry-After that is too short."""
        queue = FairQueue(0.0, 0.5)
        decisions = [queue.enqueue(0.0, "a", 1.0, n, 100.0) for n in range(200)]
        rejected = [decision for each in decisions for decision in each if isinstance(decision, Rejected)]
        self.assertGreater(len(rejected), 100)
        self.assertTrue(all(decision.retry_after_ms > 100.0 for decision in rejected))
        started = [decision for _, decision in drain(queue, 0.0, 1000.0)]
        expired = [decision for decision in started if isinstance(decision, Rejected)]
        self.assertLessEqual(len(expired), 2, "queued requests start before their deadline")

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["enqueue", "dispatch", "cancel", "record_cost", "remove_tenant"]),
                st.sampled_from(sorted(TENANTS)),
                st.floats(0, 30),
            ),
            max_size=80,
        )
    )
    def test_each_request_is_decided_exactly_once(self, operations: list[tuple[str, str, float]]) -> None:
        """Guards against a request that is lost, started twice, or started after its client disconnected."""
        queue, now = FairQueue(0.0), 0.0
        pending: dict[int, str] = {}

        def record_decisions(decisions: list[Any]) -> None:
            for decision in decisions:
                self.assertIn(decision.id, pending)
                del pending[decision.id]

        for number, (operation, tenant, value) in enumerate(operations):
            if operation == "enqueue":
                pending[number] = tenant
                record_decisions(queue.enqueue(now, tenant, TENANTS[tenant], number, value * 3))
            elif operation == "dispatch":
                now += value
                record_decisions(queue.dispatch(now))
            elif operation == "cancel" and pending:
                id = next(iter(pending))
                self.assertTrue(queue.cancel(pending.pop(id), id))
            elif operation == "record_cost":
                queue.record_cost(tenant, value / 10, value / 20)
            elif operation == "remove_tenant":
                record_decisions(queue.remove_tenant(tenant))
        while (at := queue.next_dispatch_at_ms(now)) is not None:
            now = max(now, at) + 0.001
            record_decisions(queue.dispatch(now))
        self.assertEqual(pending, {})
        self.assertAlmostEqual(queue._queued_weight, 0.0)

    def test_idle_tenants_accumulate_no_credit(self) -> None:
        """Guards against a tenant that gains priority from the time in which it was idle."""
        queue = FairQueue(0.0, 1.0)
        for n in range(500):
            queue.enqueue(n * 2.0, "busy", 1.0, n, 1e9)
        now, tenant_by_id = 1000.0, {}
        for n in range(1000, 1200):
            tenant_by_id[n] = "late" if n % 2 else "busy"
            queue.enqueue(now, tenant_by_id[n], 1.0, n, 1e9)
        started = Counter(
            tenant_by_id[decision.id]
            for _, decision in drain(queue, now, now + MAX_BURST_MS + 60)
            if decision.id in tenant_by_id
        )
        self.assertLess(abs(started["late"] - started["busy"]), 25)
