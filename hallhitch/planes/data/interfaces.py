"""Where the data plane's parts meet: what is asked of the decisions, of the counter, and what they answer.

Decisions know no socket and no clock: every call brings the moment (steady ms).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from hallhitch.planes.values import Backend, ClusterConfig, Gateway, QuotaDecision, Route, Tenant


class Outcome(Enum):
    """How one attempt ended."""

    OK = "ok"  # a whole answer of the backend with its seal, below 500
    FAILED = "failed"  # a whole answer of 500 or more without the config that it never ran: it ran
    DECLINED = "declined"  # the backend said that it did not run it (full, late, 429)
    MOVED = "moved"  # 421: another backend has the address; it did not run
    UNREACHABLE = "unreachable"  # no connection, or nothing of it was written: it never ran
    LOST = "lost"  # the connection ended after it was written: it may have run
    SPOILT = "spoilt"  # the answer was cut short, of another id, without seal, or no answer: it may have run
    SILENT = "silent"  # nothing came until its time was over: it may have run, and may be running still
    VOID = "void"  # taken back before anything was written: it never ran

    @property
    def ran(self) -> bool:
        """Whether the request may have run there."""
        return self in (Outcome.OK, Outcome.FAILED, Outcome.LOST, Outcome.SPOILT, Outcome.SILENT)


@dataclass(slots=True)
class RequestInfo:
    """One try of a client, admitted: what the decisions need of it."""

    route: Route
    service: str  # chosen by the route's split
    homes: frozenset[str]  # regions it may be served in; empty = any
    priority: int  # 0 highest
    came: float  # when it was read whole
    ends: float  # when its client or its route gives up


@dataclass(frozen=True, slots=True)
class Forward:
    """Send it to this backend. After `patience` ms without an answer ask `next` again, leaving this one out."""

    backend: Backend
    patience: float


@dataclass(frozen=True, slots=True)
class Enqueue:
    """Nothing has room for it now: ask again after so many ms, or when an attempt of its own ends."""

    wait: float


@dataclass(frozen=True, slots=True)
class Reject:
    """It has surely not run and will not: 503 with Retry-After (ms)."""

    after: float


@dataclass(frozen=True, slots=True)
class Fail:
    """It may have run, or its time is over: 502 or 504."""

    status: int


Action = Forward | Enqueue | Reject | Fail


class Exchange(Protocol):
    """One try under way, as its driver sees it; the decisions keep their own things in it."""

    ask: RequestInfo


class Decisions(Protocol):
    """Which backend, whether again, what to turn away. One a gateway; `planes/data/choice.py`."""

    def backends(self, now: float, entries: Sequence[Backend]) -> None:
        """All backends there are, as last told (draining ones among them)."""

    def gateways(self, now: float, own: str, entries: Sequence[Gateway]) -> None:
        """All gateways that live, as last told."""

    def config(self, now: float, config: ClusterConfig) -> None:
        """The cluster configuration, whole."""

    def begin(self, now: float, ask: RequestInfo) -> Exchange:
        """A try was admitted."""

    def next(self, now: float, exchange: Exchange) -> Action:
        """What to do now: asked at first, after each attempt's end, and when patience or a hold is over."""

    def ended(self, now: float, exchange: Exchange, backend: Backend, outcome: Outcome, lag: float) -> None:
        """One attempt has ended `lag` ms after it was written (or begun, where it never was).

        SILENT is told once patience is over, and the true end again later if it comes: room at the backend is held
        until then.
        """

    def finish(self, now: float, exchange: Exchange) -> None:
        """The client has its answer, or left. Attempts still out are reported by `ended` all the same."""


class Counter(Protocol):
    """One add-and-read a request on the tenant's window count; `planes/quota/caller.py`."""

    async def take(self, tenant: Tenant, wait: float) -> QuotaDecision:
        """Add one unit and read, within `wait` ms. Never raises; never passes unchecked."""

    def give_back(self, taken: QuotaDecision) -> None:
        """The request surely never ran: its unit goes back if its name still lives."""
