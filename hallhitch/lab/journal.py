"""The journal of a run: its events in order of time, from which the checker and the figures are computed.

Each line is one event: a JSON array of the time (ms since the start of the run, rounded to a microsecond), the event's
name and its fields in the order of `EVENTS`. Runs in virtual time and runs on sockets write the same format.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from hallhitch.lab.errors import LabError

EVENTS: dict[str, tuple[str, ...]] = {
    "world": ("classes", "plans", "cold", "seconds"),
    "gateway": ("gateway", "state"),  # up, killed, stopped, resumed, reloaded
    "node": ("node", "state", "cell", "capacity", "cold_ms"),  # up, drain, down, fell (overloaded during warm-up)
    "told": ("gateway", "node", "state"),  # update that a gateway received from discovery: up, drain, gone
    "ask": ("id", "gateway", "customer", "plan", "class", "key", "ends", "first"),  # first: not a retry by the client
    "send": ("id", "number", "gateway", "node"),
    "arrive": ("id", "number", "node", "work"),  # the node received it completely: from here on it may run
    "run": ("id", "node", "key", "effect"),  # effect: it changed state (not for safe classes and deduplicated retries)
    "done": ("id", "number", "outcome"),
    "answer": ("id", "status", "echo"),  # served, refused or failed; echo: request id in the node's answer
    "leave": ("id",),
    "fault": ("kind", "state", "whom"),
}
Event = tuple[Any, ...]  # time, name, fields in the order of `EVENTS`
_encode = msgspec.json.Encoder().encode


class JournalError(LabError, ValueError):
    """A line of a journal that cannot be decoded, with its number."""

    def __init__(self, line_number: int, reason: object) -> None:
        super().__init__(f"line {line_number}: {reason}")
        self.line_number = line_number


class Journal:
    """Collects the events of a run, with times relative to its start."""

    def __init__(self, start: float = 0.0) -> None:
        self.events: list[Event] = []
        self.started_at = start

    def add(self, now: float, name: str, *fields: Any) -> None:
        """Append an event; `fields` are in the order of `EVENTS[name]`."""
        self.events.append((round(now - self.started_at, 3), name, *fields))

    def encoded_lines(self) -> Iterator[bytes]:
        """Yield each event as one line of JSON."""
        for event in self.events:
            yield _encode(event) + b"\n"


def read_journal(lines: Iterable[bytes]) -> list[Event]:
    """Decode the events of a journal.

    Raises:
        JournalError: a line is not a known event with all of its fields.
    """
    events = []
    for number, line in enumerate(lines, 1):
        try:
            event = tuple(msgspec.json.decode(line))
            if len(event) != 2 + len(EVENTS[event[1]]) or not isinstance(event[0], int | float):
                raise ValueError("not an event: wrong number of fields or no time")
        except (KeyError, IndexError, TypeError, ValueError) as error:
            raise JournalError(number, error) from error
        events.append(event)
    return events
