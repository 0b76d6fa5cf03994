"""What a run was worth, from its log and its traffic: service, and what each part of it came to."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import numpy as np
from msgspec import Struct

from hallhitch.lab.journal import Event
from hallhitch.lab.traffic import Traffic

WINDOW = 1_000.0  # ms of a point of the curves
LATE_WORTH = 0.2  # share of its worth that an answer after the aim still earns


class Figures(Struct, frozen=True):
    """Figures of a run. Shares are of first tries inside quotas unless named otherwise."""

    service: float  # worth earned, less what went over quotas cost, over the worth that could be earned
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


def beyond(events: list[Event], plans: dict[str, Any]) -> dict[int, bool]:
    """Tries sent on, and whether each was beyond its quota over all gateways: a store for each client."""
    customer: dict[int, tuple[str, str]] = {}
    stores: dict[str, tuple[float, float]] = {}
    found: dict[int, bool] = {}
    for event in events:
        if event[1] == "ask":
            customer[event[2]] = event[4], event[5]
        elif event[1] == "arrive" and event[2] not in found:
            name, plan = customer[event[2]]
            rate, burst = plans[plan][0], plans[plan][1]
            store, at = stores.get(name, (burst, 0.0))
            store = min(burst, store + (event[0] - at) / 1000 * rate)
            found[event[2]] = store < 1
            stores[name] = (store - 1 if store >= 1 else store), event[0]
    return found


def figures(events: list[Event], traffic: Traffic, counter_calls: int) -> Figures:
    """All figures of a run."""
    world = events[0]
    classes, plans, seconds = world[2], world[3], world[5]
    over = beyond(events, plans)
    asks: dict[int, Event] = {}
    answers: dict[int, Event] = {}
    outcomes: dict[str, int] = defaultdict(int)
    effects: dict[str, int] = defaultdict(int)
    sends = 0
    for event in events:
        name = event[1]
        if name == "ask":
            asks[event[2]] = event
        elif name == "answer":
            answers[event[2]] = event
        elif name == "done":
            outcomes[event[4]] += 1
        elif name == "send":
            sends += 1
        elif name == "run" and event[5]:
            effects[event[4]] += 1
    # A client's tries belong to its first, by the key that they share.
    inside = {i.key: i for i in traffic.intents if i.inside}
    worth = {
        i.key: classes[list(classes)[i.klass]][2] * plans[list(plans)[i.customer.plan]][2] for i in traffic.intents
    }
    begun: dict[str, float] = {}
    earned: dict[str, float] = defaultdict(float)
    status: dict[str, str] = {}
    served_ms: list[float] = []
    cost = 0.0
    missed = 0
    for id, ask in asks.items():
        key = ask[7]
        begun.setdefault(key, ask[0])
        answer = answers.get(id)
        if over.get(id):
            cost += worth[key] * plans[ask[5]][4]
        if answer is None:
            continue
        if answer[3] == "served":
            took = answer[0] - begun[key]
            served_ms.append(answer[0] - ask[0])
            value = worth[key] * (1.0 if took <= classes[ask[6]][0] else LATE_WORTH)
            if over.get(id):
                value *= plans[ask[5]][3]
            earned[key] = max(earned[key], value)
            status[key] = "in time" if took <= classes[ask[6]][0] else "late"
            missed += classes[ask[6]][3] != "safe" and not effects.get(key)
        elif status.get(key) not in ("in time", "late"):
            status[key] = answer[3]
    # What one that saw all tries would let in, and of the rest what it earns at most: no part counts above 1.
    asked = (
        sum(worth[i.key] * (1.0 if i.inside else plans[list(plans)[i.customer.plan]][3]) for i in traffic.intents)
        or 1.0
    )
    count = len(inside) or 1

    def part(word: str) -> float:
        return sum(status.get(key) == word for key in inside) / count

    def service_of(chosen: list[str]) -> float:
        total = sum(worth[key] for key in chosen)
        return sum(min(earned[key], worth[key]) for key in chosen) / total if total else 1.0

    by_class = {name: service_of([k for k, i in inside.items() if i.klass == n]) for n, name in enumerate(classes)}
    by_plan = {name: service_of([k for k, i in inside.items() if i.customer.plan == n]) for n, name in enumerate(plans)}
    curve: list[float] = []
    slots: dict[int, list[str]] = defaultdict(list)
    for key, intent in inside.items():
        slots[int(intent.at / WINDOW)].append(key)
    for second in range(int(seconds * 1000 / WINDOW)):
        curve.append(round(service_of(slots.get(second, [])), 4))
    all_earned = sum(earned.values())
    tries = len(over) or 1
    return Figures(
        service=(all_earned - cost) / asked,
        in_time=part("in time"),
        late=part("late"),
        refused=part("refused"),
        failed=part("failed"),
        unanswered=sum(key not in status for key in inside) / count,
        beyond_units=sum(over.values()) / count,
        beyond_cost=cost / asked,
        attempts=sends / tries,
        resets=outcomes["reset"] / max(1, sends),
        errors=outcomes["error"] / max(1, sends),
        full=outcomes["full"] / max(1, sends),
        timeouts=outcomes["timeout"] / max(1, sends),
        duplicates=sum(n > 1 for n in effects.values()),
        missed=missed,
        counter_calls=counter_calls / max(1, len(traffic.intents)),
        by_class=by_class,
        by_plan=by_plan,
        curve=curve,
        p50=float(np.percentile(served_ms, 50)) if served_ms else 0.0,
        p99=float(np.percentile(served_ms, 99)) if served_ms else 0.0,
    )
