"""The platform's list of backends: read page by page, one reader for all. What is on it is decided here, no I/O.

Reading is a duty without a lease: the coordinator that comes first in the rendezvous order of those alive reads;
another one does when the newest list it knows has grown old, the later in the order the later. Two readers at once cost
calls and nothing else: of two lists the one read later holds, everywhere.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from hallhitch.node.durations import parse_duration_ms

COLD_MOVES = 400.0  # ms by which a foreseen end of coldness may move and be the same: it is read off a relative time


@dataclass(frozen=True, slots=True)
class Listed:
    """One entry of the list; `cold_until` in steady ms of who read it."""

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool
    cold_until: float


@dataclass(frozen=True, slots=True)
class Page:
    """One page of the list; `following` is the token of the next one, None on the last."""

    entries: tuple[Listed, ...]
    following: str | None


def read_page(body: bytes, now: float) -> Page:
    """A page as the platform sends it; raises ValueError with what is wrong."""
    try:
        table = json.loads(body)
        instances = table["instances"]
        rows: Iterable[Mapping[str, Any]]
        if isinstance(instances, dict):
            names = instances["columnNames"]
            rows = (dict(zip(names, row, strict=True)) for row in instances["rowValues"])
        else:
            rows = instances
        return Page(tuple(entry(row, now) for row in rows), table.get("nextPageToken") or None)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"no page of a list: {type(error).__name__} {error}") from None


def entry(row: Mapping[str, Any], now: float) -> Listed:
    """One backend of a page."""
    host, _, port = row["address"].rpartition(":")
    cold = parse_duration_ms(row["coldRemaining"]) if row.get("coldRemaining") else 0.0
    return Listed(
        row["instanceId"],
        row["targetService"],
        host,
        int(port),
        row.get("zone") or "",
        int(row.get("slotCount") or 1),
        row.get("state") == "draining",
        now + cold if cold > 0 else 0.0,
    )


def settle(known: Mapping[str, Listed], read: Iterable[Listed], drained: Container[str] = ()) -> dict[str, Listed]:
    """The list as it stands after a reading: what moved by nothing but the clock's grain stays the same.

    A backend that drains never serves again, so a page that lags behind another does not take that back; nor if it was
    gone from the list meanwhile (`drained`: those seen draining before).
    """
    settled = {}
    for new in read:
        old = known.get(new.instance)
        if old is not None and new.cold_until and abs(new.cold_until - old.cold_until) < COLD_MOVES:
            new = replace(new, cold_until=old.cold_until)
        seen_draining = new.instance in drained or (old is not None and old.draining)
        if seen_draining and not new.draining:
            new = replace(new, draining=True)
        settled[new.instance] = new
    return settled


def turn(own: str, alive: Sequence[str]) -> int:
    """This process's place among those who may read the list, from 0."""
    order = sorted({own, *alive}, key=lambda name: hashlib.sha256(b"list " + name.encode()).digest())
    return order.index(own)


def due(age: float, place: int, every: float) -> bool:
    """Whether one at this place reads a list that is so old (ms), where it is to be read so often (ms)."""
    return age >= every * (1 + 1.2 * place)
