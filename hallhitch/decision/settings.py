"""Parser of the settings object, which the simulator's first message and a gateway's settings file share."""

from __future__ import annotations

import math
from typing import Any

from hallhitch.decision import api

EFFECTS = {"pure": api.SAFE, "token": api.KEYED, "side_effect": api.UNSAFE}


class WireError(Exception):
    """Input that does not follow its format; the text names the field."""


def need(message: Any, name: str, kind: Any = (int, float)) -> Any:
    """Return a required field of the given type.

    Raises:
        WireError: the field is missing, has another type or is not finite.
    """
    if not isinstance(message, dict):
        raise WireError(f"expected an object with field '{name}'")
    value = message.get(name)
    if (isinstance(value, bool) and kind is not bool) or not isinstance(value, kind):
        raise WireError(f"field '{name}' is missing or of the wrong type")
    if isinstance(value, float) and not math.isfinite(value):
        raise WireError(f"field '{name}' is not a finite number")
    return value


def word(message: Any, name: str, words: dict[str, str]) -> str:
    """Return what a required field stands for, whose value is a key of `words`."""
    value = need(message, name, str)
    if value not in words:
        raise WireError(f"field '{name}' has the unknown value '{value}'")
    return words[value]


def number(message: dict[str, Any], name: str, default: float = 0.0) -> float:
    """Return an optional number; a null or absent field means the default."""
    return default if message.get(name) is None else float(need(message, name))


def section(message: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an optional object; a null or absent field means an empty one."""
    return {} if message.get(name) is None else need(message, name, dict)


def settings_of(info: dict[str, Any]) -> api.Settings:
    """Parse the settings object."""
    family, limits, safety = section(info, "family-info"), section(info, "limits"), section(info, "safety")
    classes = tuple(
        api.RequestClass(
            name=need(c, "name", str),
            aim=need(c, "aim"),
            deadline=need(c, "deadline"),
            worth=number(c, "worth", 1.0),
            effect=word(c, "repeat", EFFECTS),
            group=c.get("group") or "all",
            repeat_window=number(c, "window"),
        )
        for c in need(info, "classes", list)
    )
    plans = tuple(
        api.Plan(
            name=need(p, "name", str),
            rate=number(p, "per-second"),
            burst=number(p, "peak-units"),
            open_limit=int(number(p, "concurrency")),
            price=number(p, "worth-factor", 1.0),
            beyond_worth=number(p, "beyond-earns"),
            beyond_cost=number(p, "overrun-cost"),
            ceiling_rate=number(p, "never-over-rate"),
            ceiling_burst=number(p, "hard-burst"),
        )
        for p in info.get("tiers-of-service") or []
    )
    return api.Settings(
        gateways=need(info, "balancers", int),
        classes=classes,
        plans=plans,
        has_counter=bool(family.get("shared-counter")),
        counter_timeout=number(family, "counter-timeout", 50.0),
        postpaid=bool(family.get("post-paid")),
        most_units=number(family, "units-top", 1.0),
        push_list=info.get("discovery", "push") == "push",
        attempts=int(number(limits, "send-cap", 1.0)),
        second_copies=bool(limits.get("second-copies")),
        can_cancel=bool(limits.get("cancel")),
        can_advise=bool(limits.get("retry-after")),
        max_advice=number(limits, "max-retry-after"),
        connect_timeout=number(limits, "connect-timeout", 250.0),
        keepalive=number(limits, "keepalive", 15_000.0),
        cold_time=number(safety, "cold"),
        cold_from=number(safety, "cold-from", 1.0),
        fall_time=number(safety, "fall", 1000.0),
        fall_multiple=number(safety, "fall-multiple", 1.0),
        index=int(number(info, "index")),
    )
