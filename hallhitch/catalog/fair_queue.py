"""Fair queueing of one gateway's processor time over tenants, by weight. No I/O, no clock.

It runs before the decision module and knows no server and no quota. Times are ms of one clock, costs ms of processor
time.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from itertools import count
from typing import Final

PROCESSOR_SHARE: Final = 0.8  # of one core; the rest is for reading, rejecting, timers and the feed
MAX_SAVED_MS: Final = 20.0  # processor time that an idle gateway saves up: a burst starts at once up to here
COST_SMOOTHING: Final = 0.1  # weight of a new sample in a tenant's average cost
INITIAL_COST_MS: Final = 1.0  # average cost of a tenant's requests before the first sample
MIN_COST_MS: Final = 0.01  # least sample, so that the average stays above 0
MIN_RETRY_AFTER_MS: Final = 50.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """Request that is admitted now, with the cost planned for it."""

    id: int
    cost_ms: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """Request that cannot be served in time."""

    id: int
    retry_after_ms: float


@dataclass(slots=True)
class _QueuedRequest:
    id: int
    cost_ms: float
    deadline_ms: float  # starting it later is of no use


@dataclass(slots=True)
class _TenantQueue:
    """One tenant's waiting requests, and its virtual time."""

    weight: float
    virtual_start: float = 0.0  # virtual time up to which it has had its share
    queued_cost_ms: float = 0.0  # of all that waits
    average_cost_ms: float = INITIAL_COST_MS  # a request, learned
    waiting: deque[_QueuedRequest] = field(default_factory=deque)


class FairQueue:
    """Start-time fair queueing of processor time over tenants (Goyal, Vin and Cheng, 1996).

    Virtual time advances by cost over weight for the tenant that is dispatched, and the tenant with the earliest
    virtual start goes first: over any time in which two tenants both have requests waiting, what each was served by
    weight differs by at most one request of each. A tenant that was idle starts at the present virtual time: it
    saved nothing up, and owes nothing.

    Requests are admitted at once while processor time is left. Otherwise they wait, no longer than their deadline: a
    request that its tenant's share of the processor cannot reach in time is rejected when it comes. Cost: O(log n) a
    request for n tenants that wait. Memory: what `TenantSlots` lets in.
    """

    def __init__(self, now_ms: float, processor_share: float = PROCESSOR_SHARE) -> None:
        self._processor_share = processor_share
        self._refilled_at_ms = now_ms
        self._saved_ms = MAX_SAVED_MS  # processor time to hand out; below 0 after a request that cost more
        self._virtual_time = 0.0
        self._queues: dict[str, _TenantQueue] = {}
        self._heap: list[tuple[float, int, str]] = []  # (virtual start, sequence, tenant) of those that wait
        self._sequence = count()
        self._queued_weight = 0.0  # of the tenants in the heap

    def enqueue(
        self, now_ms: float, tenant: str, weight: float, id: int, max_wait_ms: float
    ) -> list[Admitted | Rejected]:
        """Add a request that is of use if it starts within `max_wait_ms`; return what is decided now."""
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
        """Return how long one more request of a tenant would wait at most, if all that wait now go on waiting."""
        self._refill(now_ms)
        is_time_left = self._saved_ms > 0 and not self._heap
        if is_time_left:
            return 0.0
        owed_ms = -min(0.0, self._saved_ms)
        queue = self._queues.get(tenant)
        if queue is None:
            return owed_ms / self._processor_share
        weight = self._queued_weight + (0.0 if queue.waiting else queue.weight)
        return (queue.queued_cost_ms * weight / queue.weight + owed_ms) / self._processor_share

    def dispatch(self, now_ms: float) -> list[Admitted | Rejected]:
        """Admit the requests whose turn it is, and reject those whose deadline passed while they waited."""
        self._refill(now_ms)
        decided: list[Admitted | Rejected] = []
        while self._heap and self._saved_ms > 0:
            virtual_start, _, tenant = heapq.heappop(self._heap)
            queue = self._queues[tenant]
            if queue.virtual_start > virtual_start:  # it has paid for something meanwhile
                heapq.heappush(self._heap, (queue.virtual_start, next(self._sequence), tenant))
                continue
            request = queue.waiting.popleft()
            queue.queued_cost_ms = max(0.0, queue.queued_cost_ms - request.cost_ms)
            if request.deadline_ms < now_ms:  # costs its tenant nothing
                retry_after_ms = max(MIN_RETRY_AFTER_MS, queue.queued_cost_ms / self._processor_share)
                decided.append(Rejected(request.id, retry_after_ms))
            else:
                decided.append(Admitted(request.id, request.cost_ms))
                self._virtual_time = max(self._virtual_time, virtual_start)
                queue.virtual_start = virtual_start + request.cost_ms / queue.weight
                self._saved_ms -= request.cost_ms
            self._requeue(tenant, queue)
        return decided

    def cancel(self, tenant: str, id: int) -> bool:
        """Remove a waiting request whose client has gone; False where it does not wait any more."""
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
        """Return when to call `dispatch` again; None if no request waits."""
        self._refill(now_ms)
        return now_ms + max(0.0, -self._saved_ms) / self._processor_share if self._heap else None

    def record_cost(self, tenant: str, cost_ms: float, planned_ms: float) -> None:
        """Charge a tenant what something cost beyond its plan, which is 0 for rejected or unreadable requests."""
        queue = self._queues.get(tenant)
        if queue is None or not math.isfinite(cost_ms) or cost_ms < 0:
            return
        queue.virtual_start += (cost_ms - planned_ms) / queue.weight
        self._saved_ms -= cost_ms - planned_ms
        if planned_ms:
            queue.average_cost_ms += COST_SMOOTHING * (max(MIN_COST_MS, cost_ms) - queue.average_cost_ms)

    def average_cost_ms(self, tenant: str) -> float:
        """Return the cost with which a tenant's request is planned."""
        queue = self._queues.get(tenant)
        return queue.average_cost_ms if queue else INITIAL_COST_MS

    def remove_tenant(self, tenant: str) -> list[Rejected]:
        """Remove a tenant that is off or deleted, and reject its waiting requests."""
        queue = self._queues.pop(tenant, None)
        if queue is None:
            return []
        if queue.waiting:
            self._unqueue(tenant, queue)
        return [Rejected(request.id, MIN_RETRY_AFTER_MS) for request in queue.waiting]

    def _unqueue(self, tenant: str, queue: _TenantQueue) -> None:
        """Take a tenant out of the heap, out of its turn."""
        self._heap = [item for item in self._heap if item[2] != tenant]
        heapq.heapify(self._heap)
        self._subtract_weight(queue)

    def _subtract_weight(self, queue: _TenantQueue) -> None:
        # Zero where no tenant waits, so that rounding errors do not add up.
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
        earned_ms = (now_ms - self._refilled_at_ms) * self._processor_share
        self._saved_ms = min(MAX_SAVED_MS, self._saved_ms + earned_ms)
        self._refilled_at_ms = now_ms
