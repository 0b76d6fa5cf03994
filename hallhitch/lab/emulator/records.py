"""What the emulated parties saw on their sockets, as plain records: all that the checker of the rules reads.

Times are steady ms of the single process that holds the emulator, so that they compare. No I/O.
"""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final, Literal

Config = Mapping[str, Any]  # a configuration as the operator sends it
FOREVER_MS: Final = float("inf")


@dataclass(slots=True)
class ClientAttempt:
    """One attempt of a client and what came of it; each attempt is a request of its own."""

    id: str
    sent_at_ms: float
    region: str
    zone: str
    gateway: str  # the machine that the client connected to, by name
    method: str
    host: str
    path: str  # with its query
    api_key: str  # "" = none
    body_digest: int
    deadline_ms: float  # from `sent_at_ms`
    is_probe: bool = False  # sent to learn what is in force: earns nothing
    ended_at_ms: float | None = None
    left_at_ms: float | None = None  # when its client closed the connection without waiting for the response
    status: int = 0  # 0 = the connection closed, or nothing came
    seal: str = ""
    echoed_id: str = ""  # that the response bore
    response_digest: int = 0
    is_complete: bool = False


@dataclass(slots=True)
class BackendArrival:
    """One request at a backend; `started_at_ms` stays None where the backend declined it."""

    number: int
    id: str
    arrived_at_ms: float
    instance: str
    service: str
    zone: str
    region: str
    sender: str  # the process that forwarded it, by name
    method: str
    path: str
    tenant: str
    authorization: str  # a header that must not get here
    body_digest: int
    started_at_ms: float | None = None
    planned_end_ms: float | None = None  # when its execution ends if nobody stops it
    stopped_at_ms: float | None = None  # when its execution ended
    status: int = 0  # of its response; 0 = none was sent
    seal: str = ""
    response_digest: int = 0
    is_broken_off: bool = False  # the backend itself broke off, or sent what is no response


@dataclass(frozen=True, slots=True)
class OperatorOperation:
    """One write of the operator; `acknowledged_at_ms` is None where it never was."""

    sent_at_ms: float
    kind: Literal["config", "evacuate", "return"]
    acknowledged_at_ms: float | None
    version: int = -1
    config: Config = field(default_factory=dict)
    zone: str = ""
    status: int = 0


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """A configuration that the operator read; None = no response."""

    read_at_ms: float
    config: Config | None


@dataclass(frozen=True, slots=True)
class ListingChange:
    """From when the platform's list shows an instance as draining or gone."""

    listed_at_ms: float
    instance: str


@dataclass(frozen=True, slots=True)
class ColdPeriod:
    """A backend was cold, and bears so many requests a second meanwhile."""

    begin_ms: float
    end_ms: float
    instance: str
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """A fault of a machine by name, of any coordinator ("core"), or of the platform's list ("platform")."""

    begin_ms: float
    end_ms: float
    target: str
    fault: str


@dataclass(slots=True)
class Records:
    """All records of one run."""

    attempts: list[ClientAttempt] = field(default_factory=list)
    arrivals: list[BackendArrival] = field(default_factory=list)
    operations: list[OperatorOperation] = field(default_factory=list)
    config_reads: list[ConfigRead] = field(default_factory=list)
    listing_changes: list[ListingChange] = field(default_factory=list)
    cold_periods: list[ColdPeriod] = field(default_factory=list)
    fault_intervals: list[FaultInterval] = field(default_factory=list)
    process_starts: list[tuple[float, str]] = field(default_factory=list)  # (when, machine)
    arrival_numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))


@dataclass(frozen=True, slots=True)
class CheckBounds:
    """The bounds of the rules; names are those of the settings."""

    contact_window_ms: float = 5000.0
    drain_timeout_ms: float = 3000.0
    config_apply_ms: float = 3000.0
    downgrade_slack_ms: float = 250.0
    evacuation_ms: float = 5000.0
    retry_budget_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_budget_slack: float = 58.0
    quota_window_ms: float = 5000.0
    quota_overshoot_ratio: float = 0.1
    quota_slack: float = 20.0
    cold_overshoot_ratio: float = 1.5
    cold_slack: float = 5.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that did not hold, and what shows it."""

    rule: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"
