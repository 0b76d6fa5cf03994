"""The port through which the core starts and cancels attempts; it owns all servers and limits their connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from hallhitch.core.deadlines import Deadlines, Scheduler
from hallhitch.core.invariants import COUNTS
from hallhitch.core.ports import Attempt
from hallhitch.decision import api
from hallhitch.net.sockets import shut_down
from hallhitch.net.upstream.context import (
    AttemptReports,
    Routes,
    UpstreamAttempt,
    UpstreamContext,
    close_connection,
)
from hallhitch.net.upstream.idle_times import IdleTimeStatistics
from hallhitch.net.upstream.server import UpstreamServer

# Share of the servers' keep-alive time after which an idle connection is closed here, before the server closes it.
MAX_IDLE_RATIO: Final = 0.4
PRUNE_INTERVAL_MS: Final = 1000.0


def ignore_attempt_written() -> None:
    """Do nothing."""


class UpstreamClient:
    """Owns the attempts in flight and the connections to all servers."""

    def __init__(  # noqa: PLR0913  the parts that a gateway wires together
        self,
        routes: Routes,
        reports: AttemptReports,
        deadlines: Deadlines,
        scheduler: Scheduler,
        settings: api.Settings,
        max_connections: int,
        on_attempt_written: Callable[[], None] = ignore_attempt_written,
    ) -> None:
        self._context = UpstreamContext(routes, reports, deadlines, on_attempt_written, self._has_room)
        self._scheduler = scheduler
        self._max_connections = max_connections
        self._has_sibling = False
        self._servers: dict[str, UpstreamServer] = {}
        self.apply_settings(settings)
        self._prune()

    @property
    def idle_times(self) -> IdleTimeStatistics:
        """The statistics of how long idle connections stay usable."""
        return self._context.idle_times

    def apply_settings(self, settings: api.Settings) -> None:
        """Use new time-outs from now on."""
        self._context.connect_timeout_ms = settings.connect_timeout
        self._max_idle_ms = settings.keepalive * MAX_IDLE_RATIO

    def on_sibling_changed(self, is_running: bool, is_serving: bool) -> None:
        """Halve the limit while another process of this gateway is running, which does the same."""
        self._has_sibling = is_running

    def start(self, attempt: Attempt) -> None:
        """Start an attempt; its end is reported in any case."""
        context, name = self._context, attempt.server
        running = UpstreamAttempt(attempt)
        context.in_flight[attempt.exchange_id, attempt.number] = running
        running.deadline = context.deadlines.call_at(attempt.ends_at, lambda: self._end_attempt(running, "timeout"))
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = UpstreamServer(context, name, self._scheduler)
        if not server.post(running):
            context.end(running, "unreachable")

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt and shut its connection down, before anything more is written on it."""
        running = self._context.in_flight.get((attempt.exchange_id, attempt.number))
        if running is not None:
            self._end_attempt(running, "cancelled")

    def _end_attempt(self, running: UpstreamAttempt, outcome: str) -> None:
        if running.connection is not None:
            shut_down(running.connection.sock)
        self._context.end(running, outcome)
        if running.task is not None:
            running.task.cancel()

    def _has_room(self) -> bool:
        """Return whether one more connection may be opened; at the limit, close the one that was idle for longest."""
        context = self._context
        descriptors = context.connecting + len(context.in_flight) + context.streaming
        descriptors += sum(len(server.idle) for server in self._servers.values())
        if descriptors < (self._max_connections // 2 if self._has_sibling else self._max_connections):
            return True
        with_idle = (server for server in self._servers.values() if server.idle)
        longest_idle = min(with_idle, key=lambda server: server.idle[0].idle_since, default=None)
        if longest_idle is None:
            return False
        COUNTS["hop_idle_shed"] += 1
        close_connection(longest_idle.idle.popleft())
        return True

    def _prune(self) -> None:
        """Close connections that were idle for too long, and all idle ones to servers that accept no new work."""
        context = self._context
        idle_since_limit = context.deadlines.clock() - min(self._max_idle_ms, context.idle_times.max_idle_ms())
        for name, server in list(self._servers.items()):
            is_up = context.routes.is_up(name)
            location = context.routes.location_of(name)
            while server.idle and (
                not is_up or server.idle[0].idle_since < idle_since_limit or server.idle[0].location != location
            ):
                close_connection(server.idle.popleft())
            if location is None and not any(running.attempt.server == name for running in context.in_flight.values()):
                del self._servers[name]
        context.deadlines.call_after(PRUNE_INTERVAL_MS, self._prune)
