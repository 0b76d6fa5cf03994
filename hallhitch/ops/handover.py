"""What one process of a gateway learned, left in a file for the next: small, versioned, checked, never trusted.

It holds what takes traffic to learn: how long answers take, what servers bear, how long connections to them may stand
idle, and of customers whose window is not over what was last read of their use. What the first process adds meanwhile,
the next one reads as others' use.
"""

from __future__ import annotations

import contextlib
import json
import math
import os
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from hallhitch.decision import api
from hallhitch.decision.state import Customer, QuotaWindow

NAME = "hallhitch.learned"
VERSION = 2
CUSTOMERS_MOST = 1000  # customers told of, those last read
SIZE_MOST = 1 << 19  # bytes; what is larger was not written here
ORDER_MOST = 64  # of an idle time in ms: more than any clock counts
AGE_MOST = 10_000.0  # ms after which it says nothing of now


class Kept(NamedTuple):
    """What is known of one customer, and of its window: a row of the file."""

    name: str
    plan: str
    key: int
    read: float
    at: float
    spread: float
    others: float
    store: float
    ceiling: float
    guess: float
    part: float
    started: float
    last: float

    def sound(self, now: float) -> bool:
        """Whether a row that was read can be one; ValueError if a number is none."""
        return (
            isinstance(self.name, str)
            and isinstance(self.plan, str)
            and isinstance(self.key, int)
            and number(self.read) <= now
            and number(self.at) <= now
            and number(self.spread) >= 1
            and number(self.others) >= 0
            and math.isfinite(sum(map(number, self[7:])))
        )


class Learner(Protocol):
    """What of the module is handed over."""

    service_ms: dict[str, float]
    learned_at: dict[str, float]
    class_error_ratio: dict[str, float]
    concurrency_limit: float
    ask_ratio: float
    config: api.Settings
    customers: dict[str, Customer]
    windows: dict[int, QuotaWindow]

    def bind_plan(self, c: Customer, plan: api.Plan) -> None: ...

    def is_stale(self, c: Customer) -> bool: ...


class Idleness(Protocol):
    """What of the hops is handed over: rows of an idle time's order, the share that breaks, and when that held."""

    def told(self) -> list[tuple[int, float, float]]: ...

    def take(self, rows: Iterable[tuple[int, float, float]]) -> None: ...


def write(folder: str, gateway: Learner, idleness: Idleness, now: float) -> bool:
    """Leave what was learned by `now` (Unix ms); whether it could be written."""
    text = json.dumps(
        {
            "version": VERSION,
            "at": now,
            "depth": gateway.concurrency_limit,
            "asks": gateway.ask_ratio,
            "classes": {
                name: [gateway.service_ms[name], gateway.learned_at[name], gateway.class_error_ratio[name]]
                for name in gateway.service_ms
            },
            "idle": idleness.told(),
            "customers": customers_of(gateway),
        }
    )
    path = Path(folder) / NAME
    beside = path.with_suffix(f".{os.getpid()}")
    try:
        beside.write_text(text)
        beside.replace(path)
        return True
    except OSError:
        with contextlib.suppress(OSError):
            beside.unlink()  # half of it would only take what room is left
        return False


def read(folder: str, now: float) -> Mapping[str, Any] | None:
    """What was left there; None where it is missing, old, of another version or damaged."""
    try:
        with open(Path(folder) / NAME, encoding="utf-8") as file:
            text = file.read(SIZE_MOST + 1)
        told = json.loads(text) if len(text) <= SIZE_MOST else None
        sound = (
            isinstance(told, dict)
            and told.get("version") == VERSION
            and 0 <= now - number(told["at"]) <= AGE_MOST
            and number(told["depth"]) >= 0
            and 0 < number(told["asks"]) <= 1
            and all(
                number(work) > 0 and number(when) <= now and 0 <= number(failing) <= 1
                for work, when, failing in told["classes"].values()
            )
            and all(
                type(order) is int and 0 <= order <= ORDER_MOST and 0 <= number(share) <= 1 and number(when) <= now
                for order, share, when in told["idle"]
            )
            and all(Kept(*row).sound(now) for row in told["customers"])
        )
        return told if sound else None
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def take(told: Mapping[str, Any], gateway: Learner, idleness: Idleness) -> None:
    """Go on from there, for the classes that there are now."""
    idleness.take(told["idle"])
    gateway.concurrency_limit, gateway.ask_ratio = told["depth"], told["asks"]
    for name, (work, when, failing) in told["classes"].items():
        if name in gateway.service_ms:
            gateway.service_ms[name], gateway.learned_at[name], gateway.class_error_ratio[name] = work, when, failing
    plans = {plan.name: plan for plan in gateway.config.plans}
    for k in (Kept(*row) for row in told["customers"]):
        plan = plans.get(k.plan)
        if plan is not None:
            c = Customer(
                k.name,
                plan,
                min(k.store, plan.burst),
                min(k.ceiling, plan.ceiling_burst),
                k.at,
                k.read,
                k.spread,
                k.key,
                others=k.others,
                others_guess=k.guess,
                local_tokens=min(k.part, plan.burst),
            )
            gateway.bind_plan(c, plan)
            gateway.customers[k.name], gateway.windows[k.key] = c, QuotaWindow(c, k.started, k.last)


def customers_of(gateway: Learner) -> list[Kept]:
    """What is known of customers, those last read; nothing of whom nothing holds any more."""
    known = [c for c in gateway.customers.values() if c.window in gateway.windows and not gateway.is_stale(c)]
    known.sort(key=lambda c: -c.total_read_at)
    return [
        Kept(
            c.name,
            c.plan.name,
            c.window,
            c.total_read_at,
            c.refilled_at,
            c.spread,
            c.others,
            c.tokens,
            c.ceiling_tokens,
            c.others_guess,
            c.local_tokens,
            gateway.windows[c.window].started_at,
            gateway.windows[c.window].last_total,
        )
        for c in known[:CUSTOMERS_MOST]
    ]


def number(value: Any) -> float:
    """A finite number, or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(value)
    return float(value)
