"""Records of what the emulated parties saw on their sockets: the only input of the rules.

All times are monotonic milliseconds of the one process that runs the emulator, so they are comparable. No I/O.
"""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final, Literal

Config = Mapping[str, Any]  # a configuration document as the operator sends it
FOREVER_MS: Final = float("inf")


@dataclass(slots=True)
class ClientAttempt:
    """One attempt of a client and its outcome; each attempt has a request id of its own."""

    id: str
    sent_at_ms: float
    region: str
    zone: str
    gateway: str  # name of the machine that the client connected to
    method: str
    host: str
    path: str  # including the query string
    api_key: str  # "" if the request has none
    body_digest: int
    deadline_ms: float  # relative to `sent_at_ms`
    is_probe: bool = False  # sent to check the state of a gateway, not as part of the workload
    ended_at_ms: float | None = None
    left_at_ms: float | None = None  # when the client closed the connection without waiting for the response
    status: int = 0  # 0 if the connection closed or no response arrived
    seal: str = ""
    echoed_id: str = ""  # the request id in the response
    response_digest: int = 0
    is_complete: bool = False


@dataclass(slots=True)
class BackendArrival:
    """One request at a backend; `started_at_ms` stays None if the backend declined it."""

    number: int
    id: str
    arrived_at_ms: float
    instance: str
    service: str
    zone: str
    region: str
    sender: str  # name of the process that forwarded it
    method: str
    path: str
    tenant: str
    authorization: str  # a header that a gateway must not forward
    body_digest: int
    started_at_ms: float | None = None
    planned_end_ms: float | None = None  # when the execution ends unless it is cancelled
    stopped_at_ms: float | None = None  # when the execution ended or was cancelled
    status: int = 0  # of the response; 0 if none was sent
    seal: str = ""
    response_digest: int = 0
    is_broken_off: bool = False  # the backend sent no response, an incomplete or an invalid one


@dataclass(frozen=True, slots=True)
class OperatorOperation:
    """One write of the operator; `acknowledged_at_ms` is None if it was not acknowledged."""

    sent_at_ms: float
    kind: Literal["config", "evacuate", "return"]
    acknowledged_at_ms: float | None
    version: int = -1
    config: Config = field(default_factory=dict)
    zone: str = ""
    status: int = 0
    is_valid: bool = True  # whether the system has to accept it


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """The configuration that the operator read, or None if there was no response."""

    read_at_ms: float
    config: Config | None


@dataclass(frozen=True, slots=True)
class ListingChange:
    """The moment from which the platform's instance list shows an instance as draining or gone."""

    listed_at_ms: float
    instance: str


@dataclass(frozen=True, slots=True)
class ColdPeriod:
    """A period in which a backend was cold and could handle `rate_per_s` requests per second."""

    begin_ms: float
    end_ms: float
    instance: str
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """A fault of a machine (by name), of any coordinator ("core") or of the platform's instance list ("platform")."""

    begin_ms: float
    end_ms: float
    target: str
    fault: str


@dataclass(frozen=True, slots=True)
class Termination:
    """The moment at which a machine's process got SIGTERM."""

    at_ms: float
    machine: str


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
    terminations: list[Termination] = field(default_factory=list)
    process_starts: list[tuple[float, str]] = field(default_factory=list)  # (time in ms, machine name)
    arrival_numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))


@dataclass(frozen=True, slots=True)
class CheckBounds:
    """The bounds of the rules, named after the settings that they correspond to."""

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
    grace_period_ms: float = 6000.0
    loss_slack_ms: float = 200.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule, with the evidence for it."""

    rule: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"
