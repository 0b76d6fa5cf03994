"""The trace format: one request per line as a JSON object, ordered by time."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec
from msgspec import Struct

from hallhitch.lab.errors import LabError


class TraceError(LabError, ValueError):
    """A trace cannot be read; the message names the line."""

    def __init__(self, line_number: int, reason: object) -> None:
        super().__init__(f"line {line_number}: {reason}")
        self.line_number = line_number


class TraceRequest(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One request of a trace: a line of JSON with these fields."""

    at_ms: float  # since the first request
    klass: str = msgspec.field(name="class")
    customer: str
    plan: str
    units: float = 1.0
    deadline_ms: int = 4000
    body: int = 0  # bytes
    tenant: str = ""  # host name of the tenant; empty on the platform


def read_trace(lines: Iterable[bytes]) -> list[TraceRequest]:
    """Read a trace.

    Raises:
        TraceError: a line is not a valid request, or its time is earlier than that of the previous line.
    """
    requests: list[TraceRequest] = []
    for number, line in enumerate(lines, 1):
        try:
            request = msgspec.json.decode(line, type=TraceRequest)
        except ValueError as error:
            raise TraceError(number, error) from error
        if requests and request.at_ms < requests[-1].at_ms:
            raise TraceError(number, "at_ms is less than in the previous line")
        requests.append(request)
    return requests


def write_trace(requests: Iterable[TraceRequest]) -> Iterator[bytes]:
    """Encode requests as the lines of a trace."""
    for request in requests:
        yield msgspec.json.encode(request) + b"\n"
