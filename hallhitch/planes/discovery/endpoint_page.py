"""Reads the pages of the platform's endpoint list, each row apart from the others.

A row of which a part cannot be read is put aside alone; all other rows of the list take effect with the same read.
Invariants:
- A backend whose row says `draining` is draining, whatever else the row contains.
- A backend whose row cannot be read whole gets no new request that may run only once.
- Of such a backend, what is known stays as it was. If nothing is known, it is used only if its instance, its service,
  its address and its zone can be read, and then as if it were small and warming up.
- A page is malformed if it is no table, or if it has no column with the instances.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any, Final, NamedTuple

from hallhitch.node.durations import parse_duration_ms
from hallhitch.node.texts import is_text, is_visible_ascii
from hallhitch.planes.discovery.endpoint_list import ListedBackend
from hallhitch.planes.discovery.errors import MalformedPageError

MAX_PORT: Final = 65535
MAX_SLOTS: Final = 2**32 - 1  # of the field in protocol messages
MAX_INTEGER_DIGITS: Final = 20
UNREADABLE_SLOTS: Final = 1
# For how long a backend that is not known yet counts as warming up if its row does not tell: longer than services take.
UNREADABLE_SLOW_START_MS: Final = 30_000.0
INSTANCE_COLUMN: Final = "instanceId"
READY: Final = "ready"
DRAINING: Final = "draining"


@dataclass(frozen=True, slots=True)
class UnreadableRow:
    """A row of which `fields` cannot be read; "row" among them means that it does not fit the columns.

    `instance` is empty if that cannot be read. `backend` is what the row tells, with stand-ins for `slotCount` and
    `coldRemaining`; None if it does not tell where the backend is and what it serves.
    """

    instance: str
    fields: tuple[str, ...]
    is_draining: bool = False
    backend: ListedBackend | None = None


class _Row(NamedTuple):
    """The fields of a row by name, and whether the row has as many as the table has columns."""

    fields: Mapping[str, Any]
    is_whole: bool


@dataclass(frozen=True, slots=True)
class Page:
    """One page of the endpoint list."""

    backends: tuple[ListedBackend, ...]
    unreadable_rows: tuple[UnreadableRow, ...]
    next_token: str | None  # None on the last page


def parse_page(body: bytes, now: float) -> Page:
    """Parse a page that was received at `now` (monotonic ms).

    The page contains its entries either as a list of objects or as column names with rows of values.

    Raises:
        MalformedPageError: the page does not have the platform's format.
    """
    try:
        # Bytes that are no UTF-8 become surrogates, which `is_text` refuses where they stand.
        table = json.loads(body.decode("utf-8-sig", "surrogateescape"), parse_int=_parse_integer)
        rows = [_parse_row(row, now) for row in _rows(table["instances"])]
        token = _parse_token(table.get("nextPageToken"))
    except (KeyError, TypeError, AttributeError, ValueError, RecursionError) as error:
        raise MalformedPageError(f"malformed page: {type(error).__name__} {error}") from error
    return Page(
        tuple(row for row in rows if isinstance(row, ListedBackend)),
        tuple(row for row in rows if isinstance(row, UnreadableRow)),
        token,
    )


def resolve_unreadable(rows: Iterable[UnreadableRow], known: Mapping[str, ListedBackend]) -> Iterator[ListedBackend]:
    """Yield the backends of rows that could not be read whole, given those that are known by instance."""
    for row in rows:
        previous = known.get(row.instance)
        backend = row.backend or previous
        if backend is None:
            continue
        if previous is not None and "slotCount" in row.fields:
            backend = replace(backend, slots=previous.slots)
        if previous is not None and "coldRemaining" in row.fields:
            backend = replace(backend, warming_until_ms=previous.warming_until_ms)
        yield replace(backend, is_draining=row.is_draining or backend.is_draining, is_idempotent_only=True)


def _parse_integer(text: str) -> float:
    """Return an integer; a float if it has more digits than any field, as `int` refuses very long ones."""
    return int(text) if len(text) <= MAX_INTEGER_DIGITS else float(text)


def _parse_token(value: object) -> str | None:
    if value is not None and not isinstance(value, str):
        raise TypeError("nextPageToken is not a string")
    return value or None


def _rows(instances: Any) -> Iterator[_Row]:
    if not isinstance(instances, dict):
        if not isinstance(instances, list):
            raise TypeError("instances is neither a table nor a list")
        if instances and not any(isinstance(row, dict) and INSTANCE_COLUMN in row for row in instances):
            raise KeyError(INSTANCE_COLUMN)
        yield from (_Row(row, True) if isinstance(row, dict) else _Row({}, False) for row in instances)
        return
    names, values = instances["columnNames"], instances["rowValues"]
    if not isinstance(names, list) or not isinstance(values, list):
        raise TypeError("columnNames or rowValues is not a list")
    if values and INSTANCE_COLUMN not in names:
        raise KeyError(INSTANCE_COLUMN)
    for row in values:
        cells = row if isinstance(row, list) else []
        yield _Row(dict(zip(names, cells, strict=False)), len(cells) == len(names))


def _parse_row(row: _Row, now: float) -> ListedBackend | UnreadableRow:
    fields = row.fields
    instance, service, zone = fields.get(INSTANCE_COLUMN), fields.get("targetService"), fields.get("zone") or ""
    address, state = _parse_address(fields.get("address")), fields.get("state") or READY
    slots, warmup_ms = _parse_slots(fields.get("slotCount") or 1), _parse_duration_ms(fields.get("coldRemaining"))
    has_instance, has_service, has_zone = is_visible_ascii(instance), is_text(service), not zone or is_text(zone)
    backend = None
    if row.is_whole and has_instance and has_service and has_zone and address is not None:
        slow_start_ms = UNREADABLE_SLOW_START_MS if warmup_ms is None else warmup_ms
        backend = ListedBackend(
            instance=str(instance),
            service=str(service),
            host=address[0],
            port=address[1],
            zone=zone,
            slots=slots or UNREADABLE_SLOTS,
            is_draining=state == DRAINING,
            warming_until_ms=now + slow_start_ms if slow_start_ms > 0 else 0.0,
        )
        if slots is not None and warmup_ms is not None and state in (READY, DRAINING):
            return backend
    is_readable = {
        "row": row.is_whole,
        INSTANCE_COLUMN: has_instance,
        "targetService": has_service,
        "address": address is not None,
        "zone": has_zone,
        "slotCount": slots is not None,
        "coldRemaining": warmup_ms is not None,
        "state": state in (READY, DRAINING),
    }
    unreadable = tuple(name for name, readable in is_readable.items() if not readable)
    return UnreadableRow(str(instance) if has_instance else "", unreadable, state == DRAINING, backend)


def _parse_address(value: object) -> tuple[str, int] | None:
    if not is_visible_ascii(value):
        return None
    host, _, port = value.rpartition(":")
    is_valid = bool(host) and port.isdecimal() and 0 < int(port) <= MAX_PORT
    return (host, int(port)) if is_valid else None


def _parse_slots(value: object) -> int | None:
    if type(value) is float and value.is_integer():
        value = int(value)
    return value if type(value) is int and 0 < value <= MAX_SLOTS else None


def _parse_duration_ms(value: object) -> float | None:
    if not value:
        return 0.0
    try:
        duration_ms = parse_duration_ms(value)
    except ValueError:
        return None
    return duration_ms if math.isfinite(duration_ms) else None
