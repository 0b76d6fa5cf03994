"""The endpoint list, the platform's list of backends: how to parse it, when to read it and how to merge a new one.

The module performs no I/O and reads no clock. Any coordinator may read the list, so reading requires no lease.
Normally only the first of the live coordinators in a rendezvous order reads it (highest random weight hashing, Thaler
and Ravishankar 1996). The next ones in the order take over one by one as the latest list that they know gets older.

Invariants:
- A list replaces any list that was read earlier. Several simultaneous readers cost only additional calls.
- A backend that was listed as draining stays draining, even if it was temporarily absent from the list.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, Final

from hallhitch.node.durations import parse_duration_ms
from hallhitch.planes.discovery.errors import MalformedPageError
from hallhitch.planes.values import Backend

# Difference within which two end times of a slow start count as equal. The list contains the remaining duration, so the
# computed end varies from one read to the next.
SLOW_START_TOLERANCE_MS: Final = 400.0
# How much longer each rank waits than the one before, as a ratio of the read interval. Coordinators learn of each read
# at once, so this covers the read itself and a round trip between regions.
READER_STAGGER_RATIO: Final = 0.4
# Later ranks wait no longer than this one, so that the wait is bounded for any number of coordinators.
MAX_STAGGERED_RANK: Final = 3


@dataclass(frozen=True, slots=True)
class ListedBackend:
    """One entry of the endpoint list."""

    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    warming_until_ms: float  # by the monotonic clock of the process that holds this value; 0 = warm

    def to_backend(self, region: str) -> Backend:
        """Convert the entry to the type that the other planes use, given the region of its zone."""
        return Backend(
            instance=self.instance,
            service=self.service,
            host=self.host,
            port=self.port,
            zone=self.zone,
            region=region,
            slots=self.slots,
            is_draining=self.is_draining,
            warming_until_ms=self.warming_until_ms,
        )


@dataclass(frozen=True, slots=True)
class Page:
    """One page of the endpoint list."""

    entries: tuple[ListedBackend, ...]
    next_token: str | None  # None on the last page


def parse_page(body: bytes, now: float) -> Page:
    """Parse a page that was received at `now` (monotonic ms).

    The page contains its entries either as a list of objects or as column names with rows of values.

    Raises:
        MalformedPageError: the page does not have the platform's format.
    """
    try:
        table = json.loads(body)
        backends = tuple(_parse_backend(row, now) for row in _rows(table["instances"]))
        return Page(backends, _parse_token(table.get("nextPageToken")))
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise MalformedPageError(f"malformed page: {type(error).__name__} {error}") from error


def _parse_token(value: object) -> str | None:
    if value is not None and not isinstance(value, str):
        raise TypeError("nextPageToken is not a string")
    return value or None


def _rows(instances: Any) -> Iterable[Mapping[str, Any]]:
    if isinstance(instances, dict):
        names = instances["columnNames"]
        return (dict(zip(names, row, strict=True)) for row in instances["rowValues"])
    rows: Iterable[Mapping[str, Any]] = instances
    return rows


def _parse_backend(row: Mapping[str, Any], now: float) -> ListedBackend:
    host, _, port = row["address"].rpartition(":")
    warmup_ms = parse_duration_ms(row["coldRemaining"]) if row.get("coldRemaining") else 0.0
    return ListedBackend(
        instance=row["instanceId"],
        service=row["targetService"],
        host=host,
        port=int(port),
        zone=row.get("zone") or "",
        slots=int(row.get("slotCount") or 1),
        is_draining=row.get("state") == "draining",
        warming_until_ms=now + warmup_ms if warmup_ms > 0 else 0.0,
    )


def reconcile_list(
    known: Mapping[str, ListedBackend], latest: Iterable[ListedBackend], drained: Container[str] = ()
) -> dict[str, ListedBackend]:
    """Return the latest list by instance, reconciled with the list known before.

    The end of a slow start changes only if it moves by more than the tolerance. A backend stays draining if it was
    draining in `known`, or if it is in `drained` because it was draining before it was absent: one page of the platform
    may lag behind another.
    """
    reconciled = {}
    for backend in latest:
        previous = known.get(backend.instance)
        if previous is not None and _is_same_slow_start(backend, previous):
            backend = replace(backend, warming_until_ms=previous.warming_until_ms)
        was_draining = backend.instance in drained or (previous is not None and previous.is_draining)
        if was_draining and not backend.is_draining:
            backend = replace(backend, is_draining=True)
        reconciled[backend.instance] = backend
    return reconciled


def _is_same_slow_start(backend: ListedBackend, previous: ListedBackend) -> bool:
    if not backend.warming_until_ms:
        return False
    return abs(backend.warming_until_ms - previous.warming_until_ms) < SLOW_START_TOLERANCE_MS


def reader_rank(address: str, live: Sequence[str]) -> int:
    """Return the rank, from 0, of the coordinator at `address` among the `live` ones in the order of readers."""
    order = sorted({address, *live}, key=lambda name: hashlib.sha256(b"list " + name.encode()).digest())
    return order.index(address)


def is_read_due(list_age_ms: float, rank: int, interval_ms: float, read_duration_ms: float = 0.0) -> bool:
    """Return whether a coordinator of this rank has to read the list, given the age of the latest one it knows.

    All ranks but the first also wait for the time that a read takes, so that a long list is not read twice.
    """
    if rank == 0:
        return list_age_ms >= interval_ms
    stagger = READER_STAGGER_RATIO * min(rank, MAX_STAGGERED_RANK)
    return list_age_ms >= interval_ms * (1 + stagger) + read_duration_ms
