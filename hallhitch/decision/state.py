"""Records that the decision module keeps between events; the policy that uses them is in `policy.py`.

Times are milliseconds of the clock that `Gateway.handle` is given. Quotas and ceilings are token buckets.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from hallhitch.decision import api


@dataclass(slots=True)
class Customer:
    """The quota state of one customer as this gateway knows it."""

    name: str
    plan: api.Plan
    tokens: float  # left of the quota by the last total of the counter; negative if overdrawn
    ceiling_tokens: float  # left of the hard ceiling, if the plan has one
    refilled_at: float
    total_read_at: float  # when the last total of the counter was read
    spread: float = 1.0  # number of gateways that share the customer's requests
    window: int = 0  # name on the counter of its current window
    is_counted: bool = True  # whether a counter exists and the plan has a limit
    refill_ms: float = 0.0  # time in which an empty quota bucket refills
    risk: float = 0.0  # net cost of a unit beyond the quota, relative to the worth of one within it
    others: float = 0.0  # units per ms that other gateways use, estimated from totals
    others_guess: float = 0.0  # units subtracted for other gateways since the last total, by that estimate
    pending: float = 0.0  # units that the next counter call adds, or takes back if negative
    local_tokens: float = 0.0  # what this gateway may admit from its own traffic without a total
    local_share: float = 1.0  # share of the quota with which `local_tokens` refills
    in_flight: int = 0  # attempts


@dataclass(slots=True)
class QuotaWindow:
    """One quota window of a customer on the counter, with the calls in flight for it."""

    customer: Customer
    started_at: float
    last_total: float = 0.0
    # Oldest first: the id of the request that waits for the reply, or 0 if none does, and the amount added.
    pending_calls: deque[tuple[int, float]] = field(default_factory=deque)


@dataclass(slots=True, eq=False)
class Server:
    """One server as this gateway sees it."""

    entry: api.ServerEntry
    heard_at: float  # last response, or first send after an idle time
    slowness: float = 1.0  # response time relative to the fleet's at the same concurrency
    ejected: dict[str, float] = field(default_factory=dict)  # end of ejection, by plan or policy.ALL_PLANS
    warming_until: float = 0.0  # slow start: no attempt before this
    fails: int = 0  # consecutive failures
    rank: int = 0  # of this gateway in the server's own order of all gateways (rendezvous hashing)
    is_connected: bool = False  # whether a connection is presumed open
    error_ratio: float = 0.0
    queue_length: float = 0.0  # as last reported by the server
    queue_at: float = 0.0  # when that was reported
    in_flight: set[tuple[int, int]] = field(default_factory=set)  # (request id, attempt number)
    served_at: deque[float] = field(default_factory=deque)  # responses within the last `fall_time`


@dataclass(slots=True)
class Attempt:
    """One attempt; `state` is 'out' (in flight), 'maybe' (it may have run) or 'never' (it provably did not)."""

    entry: api.ServerEntry
    sent_at: float
    concurrency: int  # attempts of this gateway in flight at that server, this one included
    was_connected: bool  # whether a connection was presumed open when it was sent
    state: str = "out"


@dataclass(slots=True)
class OpenRequest:
    """A request that has not received its final answer."""

    arrival: api.Request
    customer: Customer
    kind: api.RequestClass
    deadline: float
    is_within_quota: bool = True
    counted: float = 0.0  # units that its own counter call added
    is_streaming: bool = False  # then its attempts are neither cancelled nor retried
    attempts: list[Attempt] = field(default_factory=list)
