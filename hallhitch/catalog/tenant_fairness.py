"""Whose turn it is: one gateway's places and processor time, shared among tenants by weight. No I/O, no clock.

Taken before the decision module's: it knows no server and no quota, and answers two questions. May this tenant have one
more connection, handshake or open request (`Places`)? And whose request is handed to the module next (`Turns`)?

A tenant that floods, errs, sends slowly or holds what it has uses up its own share. What it may have beyond that is
what nobody else wants, and never the last tenth. Times are ms of one clock, costs ms of processor time.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from itertools import count

RESERVED_SLOT_RATIO = 0.1  # share of all places that only tenants under their own share may take
PROCESSOR_SHARE = 0.8  # share of one core that is handed out: the rest is for reading, refusing, timers and the feed
MAX_SAVED_MS = 20.0  # ms of processor time that an idle gateway may have saved up: bursts begin at once up to here
COST_SMOOTHING = 0.1  # weight of a new sample in a tenant's usual cost
MIN_RETRY_AFTER_MS = 50.0  # ms: sooner nobody need come back


class TenantSlots:
    """So many places (connections, handshakes under way, open requests) for all tenants.

    A tenant's share is its weight's part of all places but the reserve, among those that hold any. Up to its share it
    has a place while there is one; beyond it only while more than RESERVE of all places are free. A tenant that comes
    while others hold more than their share gets those of the reserve at once, and the others as they come free.
    Cost: O(1) a call; memory grows with the tenants that hold any.
    """

    def __init__(self, total: int) -> None:
        if total < 1:
            raise ValueError(f"no places to share: {total}")
        self.total, self.free = total, total
        self._held: dict[str, int] = {}
        self._weights: dict[str, float] = {}
        self._total_weight = 0.0  # of all that hold any

    def held(self, tenant: str) -> int:
        """How many places a tenant holds."""
        return self._held.get(tenant, 0)

    def share(self, tenant: str, weight: float) -> float:
        """The places that are a tenant's own, among those who hold any."""
        others = self._total_weight - self._weights.get(tenant, 0.0)
        return self.total * (1 - RESERVED_SLOT_RATIO) * weight / (others + weight)

    def acquire(self, tenant: str, weight: float, most: int) -> bool:
        """One more place, if the tenant may have it; `most` is its own limit, whatever is free."""
        held = self.held(tenant)
        if held >= most or not self.free:
            return False
        if held + 1 > self.share(tenant, weight) and self.free <= RESERVED_SLOT_RATIO * self.total:
            return False
        self._total_weight += weight - self._weights.get(tenant, 0.0)
        self._weights[tenant], self._held[tenant] = weight, held + 1
        self.free -= 1
        return True

    def release(self, tenant: str) -> None:
        """A place comes free; ValueError if the tenant held none: places must not be made."""
        held = self.held(tenant)
        if not held:
            raise ValueError(f"{tenant} holds no place")
        self.free += 1
        if held > 1:
            self._held[tenant] = held - 1
            return
        del self._held[tenant]
        weight = self._weights.pop(tenant)
        self._total_weight = (
            self._total_weight - weight if self._held else 0.0
        )  # from nothing again: rounding does not add up


@dataclass(frozen=True, slots=True)
class Admitted:
    """This request is handed on now; `cost` is what was planned for it, in ms of processor time."""

    id: int
    cost_ms: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """This request can't be served in time: come back in so many ms."""

    id: int
    retry_after_ms: float


@dataclass(slots=True)
class _QueuedRequest:
    id: int
    cost_ms: float
    deadline_ms: float  # the last moment at which its beginning is of use


@dataclass(slots=True)
class _TenantQueue:
    """One tenant's requests that wait, and where it stands in fair time."""

    weight: float
    virtual_start: float = 0.0  # fair time up to which it has had its share
    queued_cost_ms: float = 0.0  # of all that waits
    average_cost_ms: float = 1.0  # ms of processor time a request, learned
    waiting: deque[_QueuedRequest] = field(default_factory=deque)


class FairQueue:
    """Start-time fair queueing of processor time over tenants (Goyal, Vin and Cheng, 1996).

    Fair time goes on by cost over weight for whoever has a turn, and the tenant that is least far goes first: over any
    time in which two tenants both have requests waiting, what each was served by weight differs by one request of each
    at most. One that was idle begins at the present fair time: it saved nothing up, and owes nothing.

    Requests begin at once while processor time is left. Otherwise they wait, for no longer than they are of use: one
    whose tenant's share of the processor cannot reach it in time is turned away when it comes. Cost: O(log n) a request
    for n tenants that wait. Memory: what `Places` lets in.
    """

    def __init__(self, now: float, processor: float = PROCESSOR_SHARE) -> None:
        self._processor_share, self._refilled_at_ms, self._saved_ms = processor, now, MAX_SAVED_MS
        self._virtual_time = 0.0
        self._queues: dict[str, _TenantQueue] = {}
        self._heap: list[tuple[float, int, str]] = []  # tenants with requests waiting, least far first
        self._sequence = count()
        self._queued_weight = 0.0  # of those

    def enqueue(self, now: float, tenant: str, weight: float, id: int, left: float) -> list[Admitted | Rejected]:
        """A request has come that is of use if it begins within `left` ms; what is decided at once, of any request."""
        queue = self._queues.get(tenant)
        if queue is None:
            queue = self._queues[tenant] = _TenantQueue(weight, self._virtual_time)
        if queue.waiting:
            self._queued_weight += weight - queue.weight
        queue.weight = weight
        wait = self.estimated_wait_ms(now, tenant)
        if wait > left:
            return [Rejected(id, max(MIN_RETRY_AFTER_MS, wait)), *self.dispatch(now)]
        if not queue.waiting:
            queue.virtual_start = max(queue.virtual_start, self._virtual_time)
            heapq.heappush(self._heap, (queue.virtual_start, next(self._sequence), tenant))
            self._queued_weight += weight
        queue.waiting.append(_QueuedRequest(id, queue.average_cost_ms, now + left))
        queue.queued_cost_ms += queue.average_cost_ms
        return self.dispatch(now)

    def estimated_wait_ms(self, now: float, tenant: str) -> float:
        """ms until one more request of a tenant would begin, at most, if all that wait now go on waiting."""
        self._refill(now)
        queue = self._queues.get(tenant)
        if queue is None:
            return 0.0 if self._saved_ms > 0 and not self._heap else -min(0.0, self._saved_ms) / self._processor_share
        if not self._heap and self._saved_ms > 0:
            return 0.0
        weight = self._queued_weight + (0.0 if queue.waiting else queue.weight)
        ahead = queue.queued_cost_ms * weight / queue.weight - min(0.0, self._saved_ms)
        return ahead / self._processor_share

    def dispatch(self, now: float) -> list[Admitted | Rejected]:
        """Whose turn it is by now: what begins, and what has waited past its use."""
        self._refill(now)
        done: list[Admitted | Rejected] = []
        while self._heap and self._saved_ms > 0:
            tag, _, tenant = heapq.heappop(self._heap)
            queue = self._queues[tenant]
            if queue.virtual_start > tag:  # it has paid for something meanwhile
                heapq.heappush(self._heap, (queue.virtual_start, next(self._sequence), tenant))
                continue
            first = queue.waiting.popleft()
            queue.queued_cost_ms = max(0.0, queue.queued_cost_ms - first.cost_ms)
            if first.deadline_ms < now:  # costs its tenant nothing
                done.append(Rejected(first.id, max(MIN_RETRY_AFTER_MS, queue.queued_cost_ms / self._processor_share)))
            else:
                done.append(Admitted(first.id, first.cost_ms))
                self._virtual_time = max(self._virtual_time, tag)
                queue.virtual_start = tag + first.cost_ms / queue.weight
                self._saved_ms -= first.cost_ms
            self._requeue(tenant, queue)
        return done

    def cancel(self, tenant: str, id: int) -> bool:
        """The client of a request that waits has gone; False where it does not wait any more."""
        queue = self._queues.get(tenant)
        found = next((one for one in queue.waiting if one.id == id), None) if queue else None
        if queue is None or found is None:
            return False
        queue.waiting.remove(found)
        queue.queued_cost_ms = max(0.0, queue.queued_cost_ms - found.cost_ms)
        if not queue.waiting:
            self._unqueue(tenant, queue)
        return True

    def next_dispatch_at_ms(self, now: float) -> float | None:
        """When to call `turn` again; None if nobody waits."""
        self._refill(now)
        return now + max(0.0, -self._saved_ms) / self._processor_share if self._heap else None

    def record_cost(self, tenant: str, cost: float, planned: float) -> None:
        """What something did cost: the tenant pays the difference to what was planned, which is nothing for a request
        that was turned away or could not be read."""
        queue = self._queues.get(tenant)
        if queue is None or not math.isfinite(cost) or cost < 0:
            return
        queue.virtual_start += (cost - planned) / queue.weight
        self._saved_ms -= cost - planned
        if planned:
            queue.average_cost_ms += COST_SMOOTHING * (max(0.01, cost) - queue.average_cost_ms)

    def average_cost_ms(self, tenant: str) -> float:
        """ms of processor time that a tenant's request is planned with."""
        queue = self._queues.get(tenant)
        return queue.average_cost_ms if queue else 1.0

    def remove_tenant(self, tenant: str) -> list[Rejected]:
        """A tenant is off or gone: all of its requests that wait are turned away."""
        queue = self._queues.pop(tenant, None)
        if queue is None:
            return []
        if queue.waiting:
            self._unqueue(tenant, queue)
        return [Rejected(one.id, MIN_RETRY_AFTER_MS) for one in queue.waiting]

    def _unqueue(self, tenant: str, queue: _TenantQueue) -> None:
        """A tenant has nothing waiting any more, out of its turn."""
        self._heap = [one for one in self._heap if one[2] != tenant]
        heapq.heapify(self._heap)
        self._subtract_weight(queue)

    def _subtract_weight(self, queue: _TenantQueue) -> None:
        """Those that wait weigh so much less; nothing where nobody waits, so that rounding does not add up."""
        self._queued_weight = max(0.0, self._queued_weight - queue.weight) if self._heap else 0.0

    def _requeue(self, tenant: str, queue: _TenantQueue) -> None:
        if queue.waiting:
            heapq.heappush(self._heap, (queue.virtual_start, next(self._sequence), tenant))
        else:
            queue.queued_cost_ms = 0.0
            self._subtract_weight(queue)

    def _refill(self, now: float) -> None:
        if now > self._refilled_at_ms:
            self._saved_ms = min(MAX_SAVED_MS, self._saved_ms + (now - self._refilled_at_ms) * self._processor_share)
            self._refilled_at_ms = now
