"""Import of traces from access logs and from CSV tables of other tools."""

from __future__ import annotations

import csv
import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from typing import Final

import msgspec

from hallhitch.lab.load.trace_format import TraceError, TraceRequest

# The common and the combined log format, which most servers write: host, identity, user, time, request line, status and
# size; any further fields are ignored.
ACCESS_LOG_LINE: Final = re.compile(r'\S+ \S+ \S+ \[([^\]]+)\] "([A-Z]+) (\S+)(?: HTTP/[\d.]+)?" \d{3} \S+')
ACCESS_LOG_TIME: Final = "%d/%b/%Y:%H:%M:%S %z"
# In a path of the platform's protocol the first segment is the class and the last one the customer.
REQUEST_PATH: Final = re.compile(r"/([^/?#]+)/(?:[^?#]*/)?([0-9a-fA-F]{16})(?:[?#].*)?")
REQUIRED_COLUMNS: Final = {"class", "customer", "plan"}
TIME_COLUMNS: Final = {"at_ms", "time"}
OPTIONAL_COLUMNS: Final = TIME_COLUMNS | {"units", "deadline_ms", "body", "tenant"}


@dataclass(frozen=True, slots=True)
class AccessLogDefaults:
    """Values for the request fields that access logs lack."""

    plan: str
    deadline_ms: int
    body_bytes: int  # body size of a POST request


@dataclass(frozen=True, slots=True)
class ImportedTrace:
    """An imported trace, and the number of requests skipped because they name no class and customer."""

    requests: list[TraceRequest]
    skipped: int = 0


@dataclass(frozen=True, slots=True)
class _LoggedRequest:
    method: str
    klass: str
    customer: str


def import_access_log(lines: Iterable[str], defaults: AccessLogDefaults) -> ImportedTrace:
    """Import a trace from an access log.

    Access logs have a resolution of one second: the requests of each second are spread evenly over it, in their order.

    Raises:
        TraceError: a line is not in an access log format.
    """
    by_second: dict[int, list[_LoggedRequest]] = {}
    skipped = 0
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        match = ACCESS_LOG_LINE.match(line)
        if match is None:
            raise TraceError(number, "not in the common or combined log format")
        try:
            second = int(datetime.strptime(match[1], ACCESS_LOG_TIME).timestamp())
        except ValueError as error:
            raise TraceError(number, error) from error
        path = REQUEST_PATH.fullmatch(match[3])
        if path is None or match[2] not in ("GET", "POST"):
            skipped += 1
            continue
        by_second.setdefault(second, []).append(_LoggedRequest(match[2], path[1], path[2].lower()))
    return ImportedTrace(_spread(by_second, defaults), skipped)


def _spread(by_second: dict[int, list[_LoggedRequest]], defaults: AccessLogDefaults) -> list[TraceRequest]:
    """Spread the requests of each second evenly over it."""
    requests = []
    start = min(by_second, default=0)
    for second, logged_requests in sorted(by_second.items()):
        for index, logged in enumerate(logged_requests):
            at_ms = (second - start) * 1000 + 1000 * index / len(logged_requests)
            body_bytes = defaults.body_bytes if logged.method == "POST" else 0
            requests.append(
                TraceRequest(at_ms, logged.klass, logged.customer, defaults.plan, 1.0, defaults.deadline_ms, body_bytes)
            )
    return requests


def import_csv(lines: Iterable[str], default_deadline_ms: int) -> list[TraceRequest]:
    """Import a trace from a CSV table with a header.

    Required columns are class, customer, plan, and either `at_ms` or `time` (ISO 8601); units, deadline_ms, body and
    tenant (a host name) are optional. Rows may be in any order.

    Raises:
        TraceError: the header or a row is invalid.
    """
    table = csv.DictReader(lines)
    columns = set(table.fieldnames or ())
    has_required = columns >= REQUIRED_COLUMNS and len(columns & TIME_COLUMNS) == 1
    if not has_required or not columns <= REQUIRED_COLUMNS | OPTIONAL_COLUMNS:
        reason = (
            f"the header must have {', '.join(sorted(REQUIRED_COLUMNS))} and one of at_ms and time; it may have "
            f"units, deadline_ms, body and tenant; found {', '.join(sorted(columns)) or 'nothing'}"
        )
        raise TraceError(1, reason)
    requests = []
    for row in table:
        if None in row or None in row.values():
            raise TraceError(table.line_num, "the number of columns differs from the header")
        try:
            requests.append(_request_of_row(row, default_deadline_ms))
        except ValueError as error:
            raise TraceError(table.line_num, error) from error
    requests.sort(key=lambda request: request.at_ms)
    return [msgspec.structs.replace(request, at_ms=request.at_ms - requests[0].at_ms) for request in requests]


def _request_of_row(row: dict[str, str], default_deadline_ms: int) -> TraceRequest:
    at_ms = float(row["at_ms"]) if "at_ms" in row else datetime.fromisoformat(row["time"]).timestamp() * 1000
    fields = {
        "at_ms": at_ms,
        "class": row["class"],
        "customer": row["customer"],
        "plan": row["plan"],
        "units": float(row.get("units") or 1),
        "body": int(row.get("body") or 0),
        "deadline_ms": int(row.get("deadline_ms") or default_deadline_ms),
        "tenant": row.get("tenant") or "",
    }
    return msgspec.convert(fields, TraceRequest)
