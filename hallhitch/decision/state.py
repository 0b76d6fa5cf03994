"""Records that the decision module keeps between events; they decide nothing.

Times are milliseconds of the clock that `Gateway.handle` is given. A store of a quota is a token bucket.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from hallhitch.decision import api


@dataclass(slots=True)
class Customer:
    """What this gateway knows of one customer: the token buckets of its quota and of its ceiling."""

    name: str
    plan: api.Plan
    tokens: float  # left of the quota, as the counter's totals tell
    ceiling_tokens: float  # left of the hard ceiling, if the plan has one
    refilled_at: float
    total_read_at: float  # when a total of the counter was last read
    spread: float = 1.0  # gateways over which the customer's requests are spread
    window: int = 0  # counter name of its current window
    is_counted: bool = True  # whether there is a counter and a limit to count for
    refill_ms: float = 0.0  # time in which an empty quota bucket fills
    risk: float = 0.0  # cost of a unit passed beyond the quota, relative to the worth of one within it
    others: float = 0.0  # units per ms that other gateways add, learned from totals
    others_guess: float = 0.0  # units taken off for other gateways since the last total
    pending: float = 0.0  # to be added, or taken back if negative, with the next call
    local_tokens: float = 0.0  # what this gateway may pass by its own traffic alone, without a total
    local_share: float = 1.0  # share of the quota that `local_tokens` refills with
    in_flight: int = 0


@dataclass(slots=True)
class QuotaWindow:
    """One window of a customer on the counter, and the calls in flight for it, oldest first."""

    customer: Customer
    started_at: float
    last_total: float = 0.0
    pending_calls: deque[tuple[int, float]] = field(default_factory=deque)  # request id (0: none waits), amount


@dataclass(slots=True, eq=False)
class Server:
    """One server as this gateway sees it."""

    entry: api.ServerEntry
    heard_at: float
    slowness: float = 1.0  # answer time relative to the fleet's, at the same concurrency
    ejected: dict[str, float] = field(default_factory=dict)  # after failures, by plan; policy.ALL = every plan
    warming_until: float = 0.0  # slow start: no send before this
    fails: int = 0  # in a row
    rank: int = 0  # of this gateway in the server's order of all gateways (rendezvous)
    is_connected: bool = False  # whether a connection to it is believed open
    error_ratio: float = 0.0
    queue_length: float = 0.0  # as the server reported it
    queue_at: float = 0.0
    in_flight: set[tuple[int, int]] = field(default_factory=set)  # (request id, attempt number)
    served_at: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class Attempt:
    """One attempt; `state` is 'out', 'maybe' (it may have run) or 'never' (it provably did not)."""

    entry: api.ServerEntry
    sent_at: float
    concurrency: int  # attempts in flight at that server from here, this one included
    was_connected: bool  # whether a connection was believed open when it was sent
    state: str = "out"


@dataclass(slots=True)
class OpenRequest:
    """A request that still owes its client a final answer."""

    request: api.Request
    customer: Customer
    kind: api.RequestClass
    deadline: float
    is_within_quota: bool = True
    counted: float = 0.0  # that its own call added to the count
    is_streaming: bool = False
    attempts: list[Attempt] = field(default_factory=list)
