"""What all servers' connections share: ports, counters, and the table of attempts in flight."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from hallhitch.core.deadlines import Deadline, Deadlines
from hallhitch.core.ports import Attempt
from hallhitch.net.http import AnswerReader, Message
from hallhitch.net.sockets import shut_down
from hallhitch.net.upstream.idle_times import IdleTimeStatistics

Location = tuple[tuple[str, int], float]  # where a server listens, and when it started


class Routes(Protocol):
    """The part of the route table that is used here."""

    def is_up(self, server: str) -> bool:
        """Return whether a server is listed and accepts new work."""

    def location_of(self, server: str) -> Location | None:
        """Return the location of a server, None if it is not listed."""


class AttemptReports(Protocol):
    """Receives what happens to attempts; the core implements it."""

    def on_attempt_ended(self, attempt: Attempt, outcome: str, payload: object = None) -> bool:
        """Handle an attempt's end; return whether its answer was taken."""

    def on_streaming_started(self, attempt: Attempt) -> None:
        """Handle that parts of an attempt's request were dropped."""


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """One connection to a server; it carries one attempt at a time."""

    sock: socket.socket
    location: Location
    reader: AnswerReader = field(default_factory=lambda: AnswerReader(long=True))
    idle_since: float = 0.0  # 0 for a new one


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """An attempt in flight: it is over as soon as its end has been reported."""

    attempt: Attempt
    connection: UpstreamConnection | None = None
    idle_ms: float | None = None  # how long its connection stood idle before; None for a new one
    is_written: bool = False
    is_stalled: bool = False  # its answer began, and then nothing more came
    is_streamed: bool = False  # its long answer was passed on while it came
    is_over: bool = False
    task: asyncio.Task[None] | None = None
    deadline: Deadline | None = None


class UpstreamContext:
    """The ports, settings and counters that the servers share."""

    def __init__(
        self,
        routes: Routes,
        reports: AttemptReports,
        deadlines: Deadlines,
        on_attempt_written: Callable[[], None],
        has_room: Callable[[], bool],
    ) -> None:
        """`has_room` returns whether one more connection may be opened, after it made room if need be."""
        self.routes = routes
        self.reports = reports
        self.deadlines = deadlines
        self.on_attempt_written = on_attempt_written
        self.has_room = has_room
        self.idle_times = IdleTimeStatistics(deadlines.clock)
        self.connect_timeout_ms = 0.0
        self.connecting = 0  # connections that are being opened
        self.streaming = 0  # long answers that are being passed on, each on a connection
        self.in_flight: dict[tuple[int, int], UpstreamAttempt] = {}  # by exchange and number

    def end(self, running: UpstreamAttempt, outcome: str, answer: Message | None = None) -> bool:
        """Report an attempt's end, once; return whether its answer was taken."""
        if running.is_over:
            return False
        running.is_over = True
        self.deadlines.cancel(running.deadline)
        attempt = running.attempt
        del self.in_flight[attempt.exchange_id, attempt.number]
        return self.reports.on_attempt_ended(attempt, outcome, answer)


def close_connection(connection: UpstreamConnection) -> None:
    """Close a connection."""
    shut_down(connection.sock)
    connection.sock.close()
    connection.reader.close()
