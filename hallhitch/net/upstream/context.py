"""The state that the connections to all servers share: ports, counters, and the table of attempts in flight."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from hallhitch.core.deadlines import Deadline, Deadlines
from hallhitch.core.ports import Attempt
from hallhitch.net.http import Message, ResponseReader
from hallhitch.net.sockets import shut_down
from hallhitch.net.upstream.idle_times import IdleTimeStatistics

Location = tuple[tuple[str, int], float]  # the address of a server, and when it started


class Routes(Protocol):
    """The part of the route table that this package uses."""

    def is_up(self, server: str) -> bool:
        """Return whether a server is listed and accepts new work."""

    def location_of(self, server: str) -> Location | None:
        """Return the location of a server, or None if it is not listed."""


class AttemptReports(Protocol):
    """Receives reports about attempts; the core implements it."""

    def on_attempt_ended(self, attempt: Attempt, outcome: str, payload: object = None) -> bool:
        """Handle the end of an attempt; return whether its response will be used."""

    def on_streaming_started(self, attempt: Attempt) -> None:
        """Handle that the request is streamed: its bytes are dropped once sent, so that it cannot be repeated."""


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """One connection to a server; it carries one attempt at a time."""

    sock: socket.socket
    location: Location
    reader: ResponseReader = field(default_factory=lambda: ResponseReader(can_stream=True))
    idle_since: float = 0.0  # 0 for a new connection


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """An attempt in flight; it is over as soon as its end has been reported."""

    attempt: Attempt
    connection: UpstreamConnection | None = None
    idle_ms: float | None = None  # how long its connection had been idle; None for a new one
    is_written: bool = False
    is_stalled: bool = False  # its response began and was not completed in time
    is_streamed: bool = False  # its long response was streamed
    is_over: bool = False
    task: asyncio.Task[None] | None = None
    deadline: Deadline | None = None


class UpstreamContext:
    """The ports, settings and counters that all servers share."""

    def __init__(
        self,
        routes: Routes,
        reports: AttemptReports,
        deadlines: Deadlines,
        on_attempt_written: Callable[[], None],
        has_room: Callable[[], bool],
    ) -> None:
        """`has_room` returns whether one more connection may be opened; it may close an idle one for it."""
        self.routes = routes
        self.reports = reports
        self.deadlines = deadlines
        self.on_attempt_written = on_attempt_written
        self.has_room = has_room
        self.idle_times = IdleTimeStatistics(deadlines.clock)
        self.connect_timeout_ms = 0.0
        self.connecting = 0  # connections that are being opened
        self.streaming = 0  # long responses that are being streamed, each on a connection of its own
        self.in_flight: dict[tuple[int, int], UpstreamAttempt] = {}  # by exchange id and attempt number

    def end(self, running: UpstreamAttempt, outcome: str, response: Message | None = None) -> bool:
        """Report the end of an attempt, once; return whether its response will be used."""
        if running.is_over:
            return False
        running.is_over = True
        self.deadlines.cancel(running.deadline)
        attempt = running.attempt
        del self.in_flight[attempt.exchange_id, attempt.number]
        return self.reports.on_attempt_ended(attempt, outcome, response)


def close_connection(connection: UpstreamConnection) -> None:
    """Close a connection and release its reader."""
    shut_down(connection.sock)
    connection.sock.close()
    connection.reader.close()
