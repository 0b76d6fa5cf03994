"""Parser of the settings object, which the simulator's first message and a gateway's settings file share."""

from __future__ import annotations

import math
from typing import Any

from hallhitch.decision import api

EFFECTS = {"pure": api.SAFE, "token": api.KEYED, "side_effect": api.UNSAFE}


class WireError(Exception):
    """Input that does not follow its format; the text names the field."""


def require(message: Any, name: str, kind: Any = (int, float)) -> Any:
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


def require_choice(message: Any, name: str, choices: dict[str, str]) -> str:
    """Return what a required field stands for, whose value is a key of `choices`."""
    value = require(message, name, str)
    if value not in choices:
        raise WireError(f"field '{name}' has the unknown value '{value}'")
    return choices[value]


def optional_number(message: dict[str, Any], name: str, default: float = 0.0) -> float:
    """Return an optional number; a null or absent field means the default."""
    return default if message.get(name) is None else float(require(message, name))


def optional_section(message: dict[str, Any], name: str) -> dict[str, Any]:
    """Return an optional object; a null or absent field means an empty one."""
    return {} if message.get(name) is None else require(message, name, dict)


def parse_settings(info: dict[str, Any]) -> api.Settings:
    """Parse the settings object."""
    family, limits, safety = (
        optional_section(info, "family-info"),
        optional_section(info, "limits"),
        optional_section(info, "safety"),
    )
    classes = tuple(
        api.RequestClass(
            name=require(c, "name", str),
            aim=require(c, "aim"),
            deadline=require(c, "deadline"),
            worth=optional_number(c, "worth", 1.0),
            effect=require_choice(c, "repeat", EFFECTS),
            group=c.get("group") or "all",
            repeat_window=optional_number(c, "window"),
        )
        for c in require(info, "classes", list)
    )
    plans = tuple(
        api.Plan(
            name=require(p, "name", str),
            rate=optional_number(p, "per-second"),
            burst=optional_number(p, "peak-units"),
            open_limit=int(optional_number(p, "concurrency")),
            price=optional_number(p, "worth-factor", 1.0),
            beyond_worth=optional_number(p, "beyond-earns"),
            beyond_cost=optional_number(p, "overrun-cost"),
            ceiling_rate=optional_number(p, "never-over-rate"),
            ceiling_burst=optional_number(p, "hard-burst"),
        )
        for p in info.get("tiers-of-service") or []
    )
    return api.Settings(
        gateways=require(info, "balancers", int),
        classes=classes,
        plans=plans,
        has_counter=bool(family.get("shared-counter")),
        counter_timeout=optional_number(family, "counter-timeout", 50.0),
        postpaid=bool(family.get("post-paid")),
        max_units=optional_number(family, "units-top", 1.0),
        push_list=info.get("discovery", "push") == "push",
        attempts=int(optional_number(limits, "send-cap", 1.0)),
        can_hedge=bool(limits.get("second-copies")),
        can_cancel=bool(limits.get("cancel")),
        can_advise=bool(limits.get("retry-after")),
        max_advice=optional_number(limits, "max-retry-after"),
        connect_timeout=optional_number(limits, "connect-timeout", 250.0),
        keepalive=optional_number(limits, "keepalive", 15_000.0),
        cold_time=optional_number(safety, "cold"),
        cold_from=optional_number(safety, "cold-from", 1.0),
        fall_time=optional_number(safety, "fall", 1000.0),
        fall_multiple=optional_number(safety, "fall-multiple", 1.0),
        index=int(optional_number(info, "index")),
    )
