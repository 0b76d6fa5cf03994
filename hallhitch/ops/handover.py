"""What one process of a gateway learned, left in a file for the next: small, versioned, checked, never trusted.

It holds what takes traffic to learn: how long answers take, what servers bear, and of customers whose window is not
over what was last read of their use. What the first process adds meanwhile, the next one reads as others' use.
"""

from __future__ import annotations

import json
import math
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Protocol

from hallhitch.decision import api
from hallhitch.decision.state import Customer, Name

NAME = "hallhitch.learned"
VERSION = 1
CUSTOMERS_MOST = 1000  # customers told of, those last read
SIZE_MOST = 1 << 19  # bytes; what is larger was not written here
AGE_MOST = 10_000.0  # ms after which it says nothing of now


class Learner(Protocol):
    """What of the module is handed over."""

    work: dict[str, float]
    learned: dict[str, float]
    failing: dict[str, float]
    depth: float
    asks: float
    set: api.Settings
    customers: dict[str, Customer]
    names: dict[int, Name]

    def bind(self, c: Customer, plan: api.Plan) -> None: ...

    def stranger(self, c: Customer) -> bool: ...


def write(folder: str, gateway: Learner, now: float) -> None:
    """Leave what was learned by `now` (Unix ms); a file that cannot be written is none."""
    text = json.dumps({
        "version": VERSION, "at": now, "depth": gateway.depth, "asks": gateway.asks,
        "classes": {name: [gateway.work[name], gateway.learned[name], gateway.failing[name]] for name in gateway.work},
        "customers": customers_of(gateway),
    })
    path = Path(folder) / NAME
    try:
        beside = path.with_suffix(f".{os.getpid()}")
        beside.write_text(text)
        beside.replace(path)
    except OSError:
        return


def read(folder: str, now: float) -> Mapping[str, Any] | None:
    """What was left there; None where it is missing, old, of another version or damaged."""
    try:
        with open(Path(folder) / NAME, encoding="utf-8") as file:
            text = file.read(SIZE_MOST + 1)
        told = json.loads(text) if len(text) <= SIZE_MOST else None
        sound = (
            isinstance(told, dict) and told.get("version") == VERSION and 0 <= now - number(told["at"]) <= AGE_MOST
            and number(told["depth"]) >= 0 and 0 < number(told["asks"]) <= 1
            and all(number(work) > 0 and number(when) <= now and 0 <= number(failing) <= 1
                    for work, when, failing in told["classes"].values())
            and all(isinstance(name, str) and isinstance(plan, str) and isinstance(key, int)
                    and number(read) <= now and number(at) <= now and number(spread) >= 1 and number(others) >= 0
                    and math.isfinite(number(store) + number(ceiling) + number(guess) + number(part)
                                      + number(started) + number(last))
                    for name, plan, key, read, at, spread, others, store, ceiling, guess, part, started, last
                    in told["customers"]))
        return told if sound else None
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def take(told: Mapping[str, Any], gateway: Learner) -> None:
    """Go on from there, for the classes that there are now."""
    gateway.depth, gateway.asks = told["depth"], told["asks"]
    for name, (work, when, failing) in told["classes"].items():
        if name in gateway.work:
            gateway.work[name], gateway.learned[name], gateway.failing[name] = work, when, failing
    plans = {plan.name: plan for plan in gateway.set.plans}
    for name, plan, key, read, at, spread, others, store, ceiling, guess, part, started, last in told["customers"]:
        if plan in plans:
            c = Customer(name, plans[plan], min(store, plans[plan].burst), min(ceiling, plans[plan].ceiling_burst), at,
                         read, spread, key, others=others, guess=guess, part=min(part, plans[plan].burst))
            gateway.bind(c, plans[plan])
            gateway.customers[name], gateway.names[key] = c, Name(c, started, last)


def customers_of(gateway: Learner) -> list[list[Any]]:
    """What is known of customers, those last read; nothing of whom nothing holds any more."""
    known = [c for c in gateway.customers.values() if c.key in gateway.names and not gateway.stranger(c)]
    known.sort(key=lambda c: -c.read)
    return [[c.name, c.plan.name, c.key, c.read, c.at, c.spread, c.others, c.store, c.ceiling, c.guess, c.part,
             gateway.names[c.key].started, gateway.names[c.key].last] for c in known[:CUSTOMERS_MOST]]


def number(value: Any) -> float:
    """A finite number, or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(value)
    return float(value)
