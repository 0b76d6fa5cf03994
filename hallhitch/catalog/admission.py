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

RESERVE = 0.1  # share of all places that only tenants under their own share may take
PROCESSOR = 0.8  # share of one core that is handed out: the rest is for reading, refusing, timers and the feed
SAVED_MOST = 20.0  # ms of processor time that an idle gateway may have saved up: bursts begin at once up to here
LEARN = 0.1  # weight of a new sample in a tenant's usual cost
ADVICE_LEAST = 50.0  # ms: sooner nobody need come back


class Places:
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
        self._weight = 0.0  # of all that hold any

    def held(self, tenant: str) -> int:
        """How many places a tenant holds."""
        return self._held.get(tenant, 0)

    def share(self, tenant: str, weight: float) -> float:
        """The places that are a tenant's own, among those who hold any."""
        others = self._weight - self._weights.get(tenant, 0.0)
        return self.total * (1 - RESERVE) * weight / (others + weight)

    def take(self, tenant: str, weight: float, most: int) -> bool:
        """One more place, if the tenant may have it; `most` is its own limit, whatever is free."""
        held = self.held(tenant)
        if held >= most or not self.free:
            return False
        if held + 1 > self.share(tenant, weight) and self.free <= RESERVE * self.total:
            return False
        self._weight += weight - self._weights.get(tenant, 0.0)
        self._weights[tenant], self._held[tenant] = weight, held + 1
        self.free -= 1
        return True

    def give(self, tenant: str) -> None:
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
        self._weight = self._weight - weight if self._held else 0.0  # from nothing again: rounding does not add up


@dataclass(frozen=True, slots=True)
class Begin:
    """This request is handed on now; `cost` is what was planned for it, in ms of processor time."""

    id: int
    cost: float


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """This request can't be served in time: come back in so many ms."""

    id: int
    advice: float


@dataclass(slots=True)
class _Waiting:
    id: int
    cost: float
    ends: float  # the last moment at which its beginning is of use


@dataclass(slots=True)
class _Queue:
    """One tenant's requests that wait, and where it stands in fair time."""

    weight: float
    tag: float = 0.0  # fair time up to which it has had its share
    cost: float = 0.0  # of all that waits
    usual: float = 1.0  # ms of processor time a request, learned
    waiting: deque[_Waiting] = field(default_factory=deque)


class Turns:
    """Start-time fair queueing of processor time over tenants (Goyal, Vin and Cheng, 1996).

    Fair time goes on by cost over weight for whoever has a turn, and the tenant that is least far goes first: over any
    time in which two tenants both have requests waiting, what each was served by weight differs by one request of each
    at most. One that was idle begins at the present fair time: it saved nothing up, and owes nothing.

    Requests begin at once while processor time is left. Otherwise they wait, for no longer than they are of use: one
    whose tenant's share of the processor cannot reach it in time is turned away when it comes. Cost: O(log n) a request
    for n tenants that wait. Memory: what `Places` lets in.
    """

    def __init__(self, now: float, processor: float = PROCESSOR) -> None:
        self._processor, self._at, self._saved = processor, now, SAVED_MOST
        self._fair = 0.0
        self._queues: dict[str, _Queue] = {}
        self._heap: list[tuple[float, int, str]] = []  # tenants with requests waiting, least far first
        self._number = count()
        self._weight = 0.0  # of those

    def offer(self, now: float, tenant: str, weight: float, id: int, left: float) -> list[Begin | TurnedAway]:
        """A request has come that is of use if it begins within `left` ms; what is decided at once, of any request."""
        queue = self._queues.get(tenant)
        if queue is None:
            queue = self._queues[tenant] = _Queue(weight, self._fair)
        if queue.waiting:
            self._weight += weight - queue.weight
        queue.weight = weight
        wait = self.wait(now, tenant)
        if wait > left:
            return [TurnedAway(id, max(ADVICE_LEAST, wait)), *self.turn(now)]
        if not queue.waiting:
            queue.tag = max(queue.tag, self._fair)
            heapq.heappush(self._heap, (queue.tag, next(self._number), tenant))
            self._weight += weight
        queue.waiting.append(_Waiting(id, queue.usual, now + left))
        queue.cost += queue.usual
        return self.turn(now)

    def wait(self, now: float, tenant: str) -> float:
        """ms until one more request of a tenant would begin, at most, if all that wait now go on waiting."""
        self._refill(now)
        queue = self._queues.get(tenant)
        if queue is None:
            return 0.0 if self._saved > 0 and not self._heap else -min(0.0, self._saved) / self._processor
        if not self._heap and self._saved > 0:
            return 0.0
        weight = self._weight + (0.0 if queue.waiting else queue.weight)
        ahead = queue.cost * weight / queue.weight - min(0.0, self._saved)
        return ahead / self._processor

    def turn(self, now: float) -> list[Begin | TurnedAway]:
        """Whose turn it is by now: what begins, and what has waited past its use."""
        self._refill(now)
        done: list[Begin | TurnedAway] = []
        while self._heap and self._saved > 0:
            tag, _, tenant = heapq.heappop(self._heap)
            queue = self._queues[tenant]
            if queue.tag > tag:  # it has paid for something meanwhile
                heapq.heappush(self._heap, (queue.tag, next(self._number), tenant))
                continue
            first = queue.waiting.popleft()
            queue.cost = max(0.0, queue.cost - first.cost)
            if first.ends < now:  # costs its tenant nothing
                done.append(TurnedAway(first.id, max(ADVICE_LEAST, queue.cost / self._processor)))
            else:
                done.append(Begin(first.id, first.cost))
                self._fair = max(self._fair, tag)
                queue.tag = tag + first.cost / queue.weight
                self._saved -= first.cost
            self._requeue(tenant, queue)
        return done

    def withdraw(self, tenant: str, id: int) -> bool:
        """The client of a request that waits has gone; False where it does not wait any more."""
        queue = self._queues.get(tenant)
        found = next((one for one in queue.waiting if one.id == id), None) if queue else None
        if queue is None or found is None:
            return False
        queue.waiting.remove(found)
        queue.cost = max(0.0, queue.cost - found.cost)
        if not queue.waiting:
            self._unqueue(tenant, queue)
        return True

    def next_at(self, now: float) -> float | None:
        """When to call `turn` again; None if nobody waits."""
        self._refill(now)
        return now + max(0.0, -self._saved) / self._processor if self._heap else None

    def spent(self, tenant: str, cost: float, planned: float) -> None:
        """What something did cost: the tenant pays the difference to what was planned, which is nothing for a request
        that was turned away or could not be read."""
        queue = self._queues.get(tenant)
        if queue is None or not math.isfinite(cost) or cost < 0:
            return
        queue.tag += (cost - planned) / queue.weight
        self._saved -= cost - planned
        if planned:
            queue.usual += LEARN * (max(0.01, cost) - queue.usual)

    def usual(self, tenant: str) -> float:
        """ms of processor time that a tenant's request is planned with."""
        queue = self._queues.get(tenant)
        return queue.usual if queue else 1.0

    def forget(self, tenant: str) -> list[TurnedAway]:
        """A tenant is off or gone: all of its requests that wait are turned away."""
        queue = self._queues.pop(tenant, None)
        if queue is None:
            return []
        if queue.waiting:
            self._unqueue(tenant, queue)
        return [TurnedAway(one.id, ADVICE_LEAST) for one in queue.waiting]

    def _unqueue(self, tenant: str, queue: _Queue) -> None:
        """A tenant has nothing waiting any more, out of its turn."""
        self._heap = [one for one in self._heap if one[2] != tenant]
        heapq.heapify(self._heap)
        self._rest(queue)

    def _rest(self, queue: _Queue) -> None:
        """Those that wait weigh so much less; nothing where nobody waits, so that rounding does not add up."""
        self._weight = max(0.0, self._weight - queue.weight) if self._heap else 0.0

    def _requeue(self, tenant: str, queue: _Queue) -> None:
        if queue.waiting:
            heapq.heappush(self._heap, (queue.tag, next(self._number), tenant))
        else:
            queue.cost = 0.0
            self._rest(queue)

    def _refill(self, now: float) -> None:
        if now > self._at:
            self._saved = min(SAVED_MOST, self._saved + (now - self._at) * self._processor)
            self._at = now
