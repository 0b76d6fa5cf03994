"""What one process of a gateway learned, left in a file for the next: small, versioned, checked, never trusted.

It holds what takes traffic to learn and is true of the fleet, whoever asks: how long answers take, what servers bear,
how long idle connections live. Nothing of customers: the counter knows those.
"""

from __future__ import annotations

import json
import math
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Protocol

NAME = "hallhitch.learned"
VERSION = 1
SIZE_MOST = 65_536  # bytes; what is larger was not written here
AGE_MOST = 10_000.0  # ms after which it says nothing of now


class Learner(Protocol):
    """What of the module is handed over."""

    work: dict[str, float]
    learned: dict[str, float]
    failing: dict[str, float]
    depth: float
    asks: float


def write(folder: str, gateway: Learner, now: float) -> None:
    """Leave what was learned by `now` (Unix ms); a file that cannot be written is none."""
    text = json.dumps({
        "version": VERSION, "at": now, "depth": gateway.depth, "asks": gateway.asks,
        "classes": {name: [gateway.work[name], gateway.learned[name], gateway.failing[name]] for name in gateway.work},
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
                    for work, when, failing in told["classes"].values()))
        return told if sound else None
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def take(told: Mapping[str, Any], gateway: Learner) -> None:
    """Go on from there, for the classes that there are now."""
    gateway.depth, gateway.asks = told["depth"], told["asks"]
    for name, (work, when, failing) in told["classes"].items():
        if name in gateway.work:
            gateway.work[name], gateway.learned[name], gateway.failing[name] = work, when, failing


def number(value: Any) -> float:
    """A finite number, or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(value)
    return float(value)
