"""The journal of a run: its events in order, as the checker and the figures read them.

One line an event: a JSON array of time (ms since the run began, to the microsecond), the event's name and its fields
in the order of `EVENTS`. Virtual runs and runs on sockets write the same lines.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from hallhitch.lab.errors import LabError

EVENTS: dict[str, tuple[str, ...]] = {
    "world": ("classes", "plans", "cold", "seconds"),
    "gateway": ("gateway", "state"),  # up, killed, stopped, resumed, reloaded
    "node": ("node", "state", "cell", "capacity", "cold_ms"),  # up, drain, down, fell
    "told": ("gateway", "node", "state"),  # what discovery told a gateway: up, drain, gone
    "ask": ("id", "gateway", "customer", "plan", "class", "key", "ends", "first"),  # first: no client's retry
    "send": ("id", "number", "gateway", "node"),
    "arrive": ("id", "number", "node", "work"),  # whole, at the node: from here on it is out and may run
    "run": ("id", "node", "key", "effect"),  # effect: it changed something, and was no repeat that was dropped
    "done": ("id", "number", "outcome"),
    "answer": ("id", "status", "echo"),  # served, refused or failed; echo: whose answer it is, as the node wrote it
    "leave": ("id",),
    "fault": ("kind", "state", "whom"),
}
Event = tuple[Any, ...]  # time, name, fields in the order of `EVENTS`
_encode = msgspec.json.Encoder().encode


class JournalError(LabError, ValueError):
    """A journal that cannot be read: names the line."""

    def __init__(self, line_number: int, reason: object) -> None:
        super().__init__(f"line {line_number}: {reason}")
        self.line_number = line_number


class Journal:
    """The events of a run, with times relative to its start."""

    def __init__(self, start: float = 0.0) -> None:
        self.events: list[Event] = []
        self.started_at = start

    def add(self, now: float, name: str, *fields: Any) -> None:
        """Add an event."""
        self.events.append((round(now - self.started_at, 3), name, *fields))

    def encoded_lines(self) -> Iterator[bytes]:
        """Encode the events as lines of JSON."""
        for event in self.events:
            yield _encode(event) + b"\n"


def read_journal(lines: Iterable[bytes]) -> list[Event]:
    """Read the events of a journal.

    Raises:
        JournalError: a line is no event.
    """
    events = []
    for number, line in enumerate(lines, 1):
        try:
            event = tuple(msgspec.json.decode(line))
            if len(event) != 2 + len(EVENTS[event[1]]) or not isinstance(event[0], int | float):
                raise ValueError("another form")
        except (KeyError, IndexError, TypeError, ValueError) as error:
            raise JournalError(number, error) from error
        events.append(event)
    return events
