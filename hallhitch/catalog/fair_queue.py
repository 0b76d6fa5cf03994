"""Weighted fair queueing of one gateway's processor time among tenants. No I/O, no clock.

It runs before the decision module and does not depend on servers or quotas. Times are in ms of one clock, costs in ms
of processor time.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from itertools import count
from typing import Final

PROCESSOR_SHARE: Final = 0.8  # of one core; the rest is for reading and rejecting requests, timers and the feed
MAX_BURST_MS: Final = 20.0  # processor time that an idle gateway accumulates; a burst up to it starts at once
COST_SMOOTHING: Final = 0.1  # weight of a new sample in a tenant's average cost
INITIAL_COST_MS: Final = 1.0  # average cost of a tenant's requests before the first sample
MIN_COST_MS: Final = 0.01  # lower bound of a sample, so that the average stays above 0
MIN_RETRY_AFTER_MS: Final = 50.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """Request that is admitted now, and its estimated cost."""

    id: int
    cost_ms: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """Request that cannot start before its deadline, or whose tenant was removed."""

    id: int
    retry_after_ms: float


@dataclass(slots=True)
class _QueuedRequest:
    id: int
    cost_ms: float
    deadline_ms: float  # latest useful start


@dataclass(slots=True)
class _TenantQueue:
    """One tenant's waiting requests and virtual start time."""

    weight: float
    virtual_start: float = 0.0  # virtual time up to which the tenant has been served
    queued_cost_ms: float = 0.0  # sum over the waiting requests
    average_cost_ms: float = INITIAL_COST_MS  # moving average per request
    waiting: deque[_QueuedRequest] = field(default_factory=deque)


class FairQueue:
    """Start-time fair queueing of processor time over tenants (Goyal, Vin and Cheng, 1996).

    Dispatching a request advances its tenant's virtual start by cost over weight, and the tenant with the earliest
    virtual start goes first. While two tenants both have requests waiting, the service that they receive, divided by
    weight, differs by at most one request of each. A tenant that was idle starts at the current virtual time, without
    credit or debt.

    Requests are admitted at once while processor time is available. Otherwise they wait until their deadline at most;
    a request that its tenant's share of the processor cannot serve in time is rejected on arrival. Cost: O(log n) per
    request for n tenants with waiting requests. Memory: bounded by the slots of `TenantSlots`.
    """

    def __init__(self, now_ms: float, processor_share: float = PROCESSOR_SHARE) -> None:
        self._processor_share = processor_share
        self._refilled_at_ms = now_ms
        self._available_ms = MAX_BURST_MS  # processor time left for requests; negative after an underestimated one
        self._virtual_time = 0.0
        self._queues: dict[str, _TenantQueue] = {}
        self._heap: list[tuple[float, int, str]] = []  # (virtual start, sequence, tenant) of waiting tenants
        self._sequence = count()
        self._queued_weight = 0.0  # of the tenants in the heap

    def enqueue(
        self, now_ms: float, tenant: str, weight: float, id: int, max_wait_ms: float
    ) -> list[Admitted | Rejected]:
        """Add a request that must start within `max_wait_ms`; return the decisions that are due now."""
        queue = self._queues.get(tenant)
        if queue is None:
            queue = self._queues[tenant] = _TenantQueue(weight, self._virtual_time)
        if queue.waiting:
            self._queued_weight += weight - queue.weight
        queue.weight = weight
        wait_ms = self.estimated_wait_ms(now_ms, tenant)
        if wait_ms > max_wait_ms:
            return [Rejected(id, max(MIN_RETRY_AFTER_MS, wait_ms)), *self.dispatch(now_ms)]
        if not queue.waiting:
            queue.virtual_start = max(queue.virtual_start, self._virtual_time)
            heapq.heappush(self._heap, (queue.virtual_start, next(self._sequence), tenant))
            self._queued_weight += weight
        queue.waiting.append(_QueuedRequest(id, queue.average_cost_ms, now_ms + max_wait_ms))
        queue.queued_cost_ms += queue.average_cost_ms
        return self.dispatch(now_ms)

    def estimated_wait_ms(self, now_ms: float, tenant: str) -> float:
        """Return the longest wait of one more request of a tenant, if all tenants that wait now keep waiting."""
        self._refill(now_ms)
        can_start_now = self._available_ms > 0 and not self._heap
        if can_start_now:
            return 0.0
        deficit_ms = -min(0.0, self._available_ms)
        queue = self._queues.get(tenant)
        if queue is None:
            return deficit_ms / self._processor_share
        weight = self._queued_weight + (0.0 if queue.waiting else queue.weight)
        return (queue.queued_cost_ms * weight / queue.weight + deficit_ms) / self._processor_share

    def dispatch(self, now_ms: float) -> list[Admitted | Rejected]:
        """Admit requests in fair order while processor time is available, and reject those past their deadline."""
        self._refill(now_ms)
        decisions: list[Admitted | Rejected] = []
        while self._heap and self._available_ms > 0:
            virtual_start, _, tenant = heapq.heappop(self._heap)
            queue = self._queues[tenant]
            if queue.virtual_start > virtual_start:  # `record_cost` charged the tenant after the push
                heapq.heappush(self._heap, (queue.virtual_start, next(self._sequence), tenant))
                continue
            request = queue.waiting.popleft()
            queue.queued_cost_ms = max(0.0, queue.queued_cost_ms - request.cost_ms)
            if request.deadline_ms < now_ms:  # an expired request is not charged to its tenant
                retry_after_ms = max(MIN_RETRY_AFTER_MS, queue.queued_cost_ms / self._processor_share)
                decisions.append(Rejected(request.id, retry_after_ms))
            else:
                decisions.append(Admitted(request.id, request.cost_ms))
                self._virtual_time = max(self._virtual_time, virtual_start)
                queue.virtual_start = virtual_start + request.cost_ms / queue.weight
                self._available_ms -= request.cost_ms
            self._requeue(tenant, queue)
        return decisions

    def cancel(self, tenant: str, id: int) -> bool:
        """Remove a waiting request whose client disconnected; return False if it is not waiting any more."""
        queue = self._queues.get(tenant)
        if queue is None:
            return False
        request = next((request for request in queue.waiting if request.id == id), None)
        if request is None:
            return False
        queue.waiting.remove(request)
        queue.queued_cost_ms = max(0.0, queue.queued_cost_ms - request.cost_ms)
        if not queue.waiting:
            self._unqueue(tenant, queue)
        return True

    def next_dispatch_at_ms(self, now_ms: float) -> float | None:
        """Return the time of the next call of `dispatch`, or None if no request waits."""
        self._refill(now_ms)
        return now_ms + max(0.0, -self._available_ms) / self._processor_share if self._heap else None

    def record_cost(self, tenant: str, cost_ms: float, estimated_ms: float) -> None:
        """Charge a tenant for cost beyond the estimate, which is 0 for rejected and malformed requests."""
        queue = self._queues.get(tenant)
        if queue is None or not math.isfinite(cost_ms) or cost_ms < 0:
            return
        queue.virtual_start += (cost_ms - estimated_ms) / queue.weight
        self._available_ms -= cost_ms - estimated_ms
        if estimated_ms:
            queue.average_cost_ms += COST_SMOOTHING * (max(MIN_COST_MS, cost_ms) - queue.average_cost_ms)

    def average_cost_ms(self, tenant: str) -> float:
        """Return the estimated cost of a request of a tenant."""
        queue = self._queues.get(tenant)
        return queue.average_cost_ms if queue else INITIAL_COST_MS

    def remove_tenant(self, tenant: str) -> list[Rejected]:
        """Remove a disabled or deleted tenant, and reject its waiting requests."""
        queue = self._queues.pop(tenant, None)
        if queue is None:
            return []
        if queue.waiting:
            self._unqueue(tenant, queue)
        return [Rejected(request.id, MIN_RETRY_AFTER_MS) for request in queue.waiting]

    def _unqueue(self, tenant: str, queue: _TenantQueue) -> None:
        """Remove a tenant from any place of the heap."""
        self._heap = [item for item in self._heap if item[2] != tenant]
        heapq.heapify(self._heap)
        self._subtract_weight(queue)

    def _subtract_weight(self, queue: _TenantQueue) -> None:
        # Reset to zero when no tenant waits, so that rounding errors do not accumulate.
        self._queued_weight = max(0.0, self._queued_weight - queue.weight) if self._heap else 0.0

    def _requeue(self, tenant: str, queue: _TenantQueue) -> None:
        if queue.waiting:
            heapq.heappush(self._heap, (queue.virtual_start, next(self._sequence), tenant))
            return
        queue.queued_cost_ms = 0.0
        self._subtract_weight(queue)

    def _refill(self, now_ms: float) -> None:
        if now_ms <= self._refilled_at_ms:
            return
        refill_ms = (now_ms - self._refilled_at_ms) * self._processor_share
        self._available_ms = min(MAX_BURST_MS, self._available_ms + refill_ms)
        self._refilled_at_ms = now_ms
