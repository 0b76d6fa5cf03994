"""What the stand-ins have seen on their sockets, as plain records: all that the checker of the rules reads.

Moments are steady ms of the one process that holds the whole world, so they compare. This module never does I/O.
"""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

Config = Mapping[str, Any]  # a configuration as the operator sends it
FOREVER = float("inf")


@dataclass(slots=True)
class Try:
    """One try of a client, and what came of it: a request of its own."""

    id: str
    at: float  # when it was sent
    region: str
    zone: str
    gateway: str  # the machine that the client connected to, by name
    method: str
    host: str
    path: str  # with its query
    key: str  # the tenant's key, "" = none
    body: int  # digest of what was sent
    deadline: float  # ms it gave
    probe: bool = False  # sent to learn what is in force: earns nothing
    ended: float | None = None
    status: int = 0  # 0 = the connection closed, or nothing came
    seal: str = ""
    echo: str = ""  # the id that the answer bore
    answer: int = 0  # digest of the answer's body
    whole: bool = False


@dataclass(slots=True)
class Arrival:
    """One request at a backend; `begun` stays None where the backend turned it away."""

    number: int
    id: str
    at: float
    instance: str
    service: str
    zone: str
    region: str
    sender: str  # the process that sent it on, by name
    method: str
    path: str
    tenant: str
    key: str  # an Authorization that came through
    body: int
    begun: float | None = None
    status: int = 0  # of its answer; 0 = none was sent
    seal: str = ""
    answer: int = 0  # digest of the answer's body
    broke: bool = False  # the backend itself broke off, or sent what is no answer


@dataclass(frozen=True, slots=True)
class Order:
    """One order of the operator, sent at `at` and acknowledged at `acked` (None: never)."""

    at: float
    kind: Literal["config", "evacuate", "return"]
    acked: float | None
    version: int = -1
    config: Config = field(default_factory=dict)
    zone: str = ""
    status: int = 0


@dataclass(frozen=True, slots=True)
class ReadBack:
    """What the operator read at the end; None = nothing came."""

    at: float
    config: Config | None


@dataclass(frozen=True, slots=True)
class Shown:
    """From when the platform's list shows a life as draining or gone."""

    at: float
    instance: str


@dataclass(frozen=True, slots=True)
class Cold:
    """A backend was cold from `at` to `ends` and bears `rate` requests a second meanwhile."""

    at: float
    ends: float
    instance: str
    rate: float


@dataclass(frozen=True, slots=True)
class Span:
    """Trouble: of one machine by name, of the core ("core"), or of the platform ("platform")."""

    at: float
    ends: float
    whom: str
    what: str


@dataclass(slots=True)
class Records:
    """All of one run."""

    tries: list[Try] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    reads: list[ReadBack] = field(default_factory=list)
    shown: list[Shown] = field(default_factory=list)
    colds: list[Cold] = field(default_factory=list)
    troubles: list[Span] = field(default_factory=list)
    lives: list[tuple[float, str]] = field(default_factory=list)  # starts of processes, by name
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))


@dataclass(frozen=True, slots=True)
class Figures:
    """The bounds of the rules, times in ms."""

    contact: float = 5000.0
    drain: float = 3000.0
    config: float = 3000.0
    back: float = 250.0  # downgradeSlack
    evacuation: float = 5000.0
    retry_ratio: float = 0.2
    retry_window: float = 10_000.0
    retry_slack: float = 58.0
    quota_window: float = 5000.0
    quota_over: float = 0.1
    quota_slack: float = 20.0
    cold_over: float = 1.5
    cold_slack: float = 5.0


@dataclass(frozen=True, slots=True)
class Broken:
    """A rule that was broken, and what shows it."""

    rule: str
    what: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.what}"
