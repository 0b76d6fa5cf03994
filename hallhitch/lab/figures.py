"""The figures of a run, from its journal and its traffic: service, and what each part of it came to.

Service is the value earned, less the cost of what went beyond quotas, over the value that could be earned. A request
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
LATE_VALUE_RATIO: Final = 0.2  # of its value that an answer after the latency target still earns
IN_TIME, LATE = "in time", "late"


class Figures(Struct, frozen=True):
    """Figures of a run. Shares are of first tries inside quotas unless named otherwise."""

    service: float  # value earned, less what went over quotas cost, over the value that could be earned
    in_time: float
    late: float
    refused: float
    failed: float
    unanswered: float
    beyond_units: float  # tries sent on beyond quotas, by those asked inside
    beyond_cost: float  # of service
    attempts: float  # by try sent on
    resets: float  # share of attempts
    errors: float
    full: float
    timeouts: float
    duplicates: int  # keyed requests that took effect twice or more
    missed: int  # keyed tries answered as served whose key never took effect
    counter_calls: float  # by first try
    by_class: dict[str, float]  # service
    by_plan: dict[str, float]
    curve: list[float]  # service, second by second
    p50: float  # ms, of served answers
    p99: float


def find_beyond_quota(events: list[Event], plans: dict[str, Any]) -> dict[int, bool]:
    """Forwarded tries, and whether each was beyond its quota over all gateways: a token bucket for each client."""
    customers: dict[int, tuple[str, str]] = {}
    buckets: dict[str, tuple[float, float]] = {}  # tokens, and when they were updated
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
    """What the figures need of a journal."""

    def __init__(self, events: list[Event]) -> None:
        header = events[0]
        self.classes: dict[str, Any] = header[2]
        self.plans: dict[str, Any] = header[3]
        self.seconds: float = header[5]
        self.is_beyond_quota = find_beyond_quota(events, self.plans)
        self.asks: dict[int, Event] = {}
        self.answers: dict[int, Event] = {}
        self.outcomes: dict[str, int] = defaultdict(int)
        self.effects: dict[str, int] = defaultdict(int)  # executions with an effect, by key
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
        """Attempts that ended so, by attempt."""
        return self.outcomes[outcome] / max(1, self.sends)


class _Earnings:
    """The value that a run's requests earned. The tries of a client's request are joined by their key."""

    def __init__(self, journal: _JournalSummary, traffic: Traffic) -> None:
        self._journal = journal
        self.values = {request.key: self._value_of(request) for request in traffic.intents}
        self.earned: dict[str, float] = defaultdict(float)
        self.statuses: dict[str, str] = {}
        self.served_ms: list[float] = []
        self.beyond_cost = 0.0
        self.missed = 0
        self._first_ask_at: dict[str, float] = {}
        for id, ask in journal.asks.items():
            self._add(id, ask)

    def earnable(self, request: PlannedRequest) -> float:
        """The value that a request could earn: beyond its quota, what its plan grants for that."""
        plan = list(self._journal.plans.values())[request.customer.plan_index]
        return self.values[request.key] * (1.0 if request.is_within_quota else plan[3])

    def service_of(self, keys: list[str]) -> float:
        """Service of some requests; none counts above its value."""
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


def figures(events: list[Event], traffic: Traffic, counter_calls: int) -> Figures:
    """Compute all figures of a run."""
    journal = _JournalSummary(events)
    earnings = _Earnings(journal, traffic)
    within = {request.key: request for request in traffic.intents if request.is_within_quota}
    count = len(within) or 1
    earnable = sum(earnings.earnable(request) for request in traffic.intents) or 1.0

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
        counter_calls=counter_calls / max(1, len(traffic.intents)),
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
    """Service of the requests that were due in each second."""
    keys_by_step: dict[int, list[str]] = defaultdict(list)
    for key, request in within.items():
        keys_by_step[int(request.due_at / CURVE_STEP_MS)].append(key)
    steps = range(int(seconds * 1000 / CURVE_STEP_MS))
    return [round(earnings.service_of(keys_by_step.get(step, [])), 4) for step in steps]


def _percentile(values: list[float], percent: float) -> float:
    return float(np.percentile(values, percent)) if values else 0.0
