"""Figures of a run, computed from its journal and its traffic: service, and the ratios that explain it.

Service is the value earned, less the cost of tries beyond quotas, divided by the value that could be earned. A request
earns its value once, however many tries its client makes.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any, Final

import numpy as np
from msgspec import Struct

from hallhitch.lab.journal import Event
from hallhitch.lab.traffic import PlannedRequest, Traffic

CURVE_STEP_MS: Final = 1_000.0
LATE_VALUE_RATIO: Final = 0.2  # of a request's value, earned by an answer after the latency target
IN_TIME, LATE = "in time", "late"


class Figures(Struct, frozen=True):
    """Figures of a run. Ratios are to the requests within quotas, unless a comment says otherwise."""

    service: float  # value earned less the cost of tries beyond quotas, divided by the value that could be earned
    in_time: float
    late: float
    refused: float
    failed: float
    unanswered: float
    beyond_units: float  # forwarded tries beyond quotas, divided by the requests within quotas
    beyond_cost: float  # cost of these tries, as a ratio of the value that could be earned
    attempts: float  # per forwarded try
    resets: float  # ratio of attempts; `errors`, `full` and `timeouts` likewise
    errors: float
    full: float
    timeouts: float
    duplicates: int  # keys whose request took effect more than once
    missed: int  # tries of classes other than `safe` that were answered as served but never took effect
    counter_calls: float  # per planned request
    by_class: dict[str, float]  # service by class
    by_plan: dict[str, float]  # service by plan
    curve: list[float]  # service in each second of the run
    p50: float  # ms, latency of served tries; p99 likewise
    p99: float


def find_beyond_quota(events: list[Event], plans: dict[str, Any]) -> dict[int, bool]:
    """Return whether each forwarded try was beyond its quota, by one token bucket per client over all gateways."""
    customers: dict[int, tuple[str, str]] = {}
    buckets: dict[str, tuple[float, float]] = {}  # by client: tokens, and when they were last updated
    is_beyond: dict[int, bool] = {}
    for event in events:
        if event[1] == "ask":
            customers[event[2]] = event[4], event[5]
        elif event[1] == "arrive" and event[2] not in is_beyond:
            name, plan = customers[event[2]]
            rate, burst = plans[plan][0], plans[plan][1]
            tokens, updated_at = buckets.get(name, (burst, 0.0))
            tokens = min(burst, tokens + (event[0] - updated_at) / 1000 * rate)
            is_beyond[event[2]] = tokens < 1
            buckets[name] = (tokens - 1 if tokens >= 1 else tokens), event[0]
    return is_beyond


class _JournalSummary:
    """The events of a journal, indexed and counted for the figures."""

    def __init__(self, events: list[Event]) -> None:
        header = events[0]
        self.classes: dict[str, Any] = header[2]
        self.plans: dict[str, Any] = header[3]
        self.seconds: float = header[5]
        self.is_beyond_quota = find_beyond_quota(events, self.plans)
        self.asks: dict[int, Event] = {}
        self.answers: dict[int, Event] = {}
        self.outcomes: dict[str, int] = defaultdict(int)
        self.effects: dict[str, int] = defaultdict(int)  # by key: executions that took effect
        self.sends = 0
        for event in events:
            self._add(event)

    def _add(self, event: Event) -> None:
        name = event[1]
        if name == "ask":
            self.asks[event[2]] = event
        elif name == "answer":
            self.answers[event[2]] = event
        elif name == "done":
            self.outcomes[event[4]] += 1
        elif name == "send":
            self.sends += 1
        elif name == "run" and event[5]:
            self.effects[event[4]] += 1

    def outcome_ratio(self, outcome: str) -> float:
        """Return the ratio of attempts that ended with the outcome."""
        return self.outcomes[outcome] / max(1, self.sends)


class _Earnings:
    """The value that the requests of a run earned. All tries of one request share its key."""

    def __init__(self, journal: _JournalSummary, traffic: Traffic) -> None:
        self._journal = journal
        self.values = {request.key: self._value_of(request) for request in traffic.planned_requests}
        self.earned: dict[str, float] = defaultdict(float)
        self.statuses: dict[str, str] = {}
        self.served_ms: list[float] = []
        self.beyond_cost = 0.0
        self.missed = 0
        self._first_ask_at: dict[str, float] = {}
        for id, ask in journal.asks.items():
            self._add(id, ask)

    def earnable(self, request: PlannedRequest) -> float:
        """Return the value that a request could earn, reduced by its plan's factor if it is beyond its quota."""
        plan = list(self._journal.plans.values())[request.customer.plan_index]
        return self.values[request.key] * (1.0 if request.is_within_quota else plan[3])

    def service_of(self, keys: list[str]) -> float:
        """Return the service of the requests with these keys; none counts for more than its value."""
        total = sum(self.values[key] for key in keys)
        return sum(min(self.earned[key], self.values[key]) for key in keys) / total if total else 1.0

    def _value_of(self, request: PlannedRequest) -> float:
        request_class = list(self._journal.classes.values())[request.class_index]
        plan = list(self._journal.plans.values())[request.customer.plan_index]
        value: float = request_class[2] * plan[2]
        return value

    def _add(self, id: int, ask: Event) -> None:
        journal = self._journal
        key, plan = ask[7], journal.plans[ask[5]]
        self._first_ask_at.setdefault(key, ask[0])
        is_beyond = journal.is_beyond_quota.get(id, False)
        if is_beyond:
            self.beyond_cost += self.values[key] * plan[4]
        answer = journal.answers.get(id)
        if answer is None:
            return
        if answer[3] == "served":
            self._add_served(ask, answer, plan[3] if is_beyond else 1.0)
        elif self.statuses.get(key) not in (IN_TIME, LATE):
            self.statuses[key] = answer[3]

    def _add_served(self, ask: Event, answer: Event, quota_ratio: float) -> None:
        key, request_class = ask[7], self._journal.classes[ask[6]]
        self.served_ms.append(answer[0] - ask[0])
        is_in_time = answer[0] - self._first_ask_at[key] <= request_class[0]
        value = self.values[key] * (1.0 if is_in_time else LATE_VALUE_RATIO)
        self.earned[key] = max(self.earned[key], value * quota_ratio)
        self.statuses[key] = IN_TIME if is_in_time else LATE
        self.missed += request_class[3] != "safe" and not self._journal.effects.get(key)


def compute_figures(events: list[Event], traffic: Traffic, counter_calls: int) -> Figures:
    """Compute all figures of a run."""
    journal = _JournalSummary(events)
    earnings = _Earnings(journal, traffic)
    within = {request.key: request for request in traffic.planned_requests if request.is_within_quota}
    count = len(within) or 1
    earnable = sum(earnings.earnable(request) for request in traffic.planned_requests) or 1.0

    def status_ratio(status: str) -> float:
        return sum(earnings.statuses.get(key) == status for key in within) / count

    return Figures(
        service=(sum(earnings.earned.values()) - earnings.beyond_cost) / earnable,
        in_time=status_ratio(IN_TIME),
        late=status_ratio(LATE),
        refused=status_ratio("refused"),
        failed=status_ratio("failed"),
        unanswered=sum(key not in earnings.statuses for key in within) / count,
        beyond_units=sum(journal.is_beyond_quota.values()) / count,
        beyond_cost=earnings.beyond_cost / earnable,
        attempts=journal.sends / (len(journal.is_beyond_quota) or 1),
        resets=journal.outcome_ratio("reset"),
        errors=journal.outcome_ratio("error"),
        full=journal.outcome_ratio("full"),
        timeouts=journal.outcome_ratio("timeout"),
        duplicates=sum(executions > 1 for executions in journal.effects.values()),
        missed=earnings.missed,
        counter_calls=counter_calls / max(1, len(traffic.planned_requests)),
        by_class={
            name: earnings.service_of([key for key, request in within.items() if request.class_index == index])
            for index, name in enumerate(journal.classes)
        },
        by_plan={
            name: earnings.service_of([key for key, request in within.items() if request.customer.plan_index == index])
            for index, name in enumerate(journal.plans)
        },
        curve=_service_curve(earnings, within, journal.seconds),
        p50=_percentile(earnings.served_ms, 50),
        p99=_percentile(earnings.served_ms, 99),
    )


def _service_curve(earnings: _Earnings, within: dict[str, PlannedRequest], seconds: float) -> list[float]:
    """Return the service of the requests due in each step of the run."""
    keys_by_step: dict[int, list[str]] = defaultdict(list)
    for key, request in within.items():
        keys_by_step[int(request.due_at / CURVE_STEP_MS)].append(key)
    steps = range(int(seconds * 1000 / CURVE_STEP_MS))
    return [round(earnings.service_of(keys_by_step.get(step, [])), 4) for step in steps]


def _percentile(values: list[float], percent: float) -> float:
    return float(np.percentile(values, percent)) if values else 0.0
