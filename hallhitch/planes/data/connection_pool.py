"""The connections to one incarnation of a backend, and the attempts that wait for a connection.

Invariants:
- A connection is in `idle` if and only if no attempt is in flight on it; the list is ordered by `idle_since`, latest
  last.
- An attempt in `_queue` has not been written; it leaves the queue when it is sent on a connection or ends.
- No connection carries two attempts of one request: a retry at the same backend takes another connection.
- A retired pool opens no connection and starts no attempt; attempts in flight run to their end.

Points in time are monotonic milliseconds; durations are in milliseconds.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol

from hallhitch.planes.data.backend_connection import BackendConnection
from hallhitch.planes.data.http_readers import BodyMemory
from hallhitch.planes.data.idle_reuse import IdleReuseLimit
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.data.upstream_attempt import UpstreamAttempt, UpstreamRequest
from hallhitch.planes.values import Backend

# Longer than the round trips within a region and across regions; a backend that takes longer counts as unreachable.
CONNECT_TIMEOUT_SAME_REGION_MS: Final = 150.0
CONNECT_TIMEOUT_OTHER_REGION_MS: Final = 500.0
# Added to a connect time-out: in a busy event loop the completion may already be pending behind other events.
EVENT_LOOP_LAG_ALLOWANCE_MS: Final = 15.0
# How long an attempt waits for a connection if none may be opened; afterwards another backend is tried.
CONNECTION_WAIT_MS: Final = 30.0
# An attempt times out this long after its deadline, when its backend should have stopped long ago.
OVERDUE_GRACE_MS: Final = 1500.0
# A streamed response may exceed its deadline as long as bytes arrive at least this often.
STREAM_STALL_TIMEOUT_MS: Final = 10_000.0
# With less time left, an attempt is not written, because this is the resolution of the deadline field.
MIN_REMAINING_MS: Final = 1.0


class ConnectionPoolOwner(Protocol):
    """The state and limits that the pools of all backends share."""

    clock: Callable[[], float]
    region: str  # the region of this gateway
    body_memory: BodyMemory
    open_count: int  # open connections
    opening_count: int  # connections that are being opened
    connect_tasks: set[asyncio.Task[None]]

    def count(self, event: str) -> None:
        """Increment the counter of an event."""

    def on_response_after_refusal(self, backend: Backend, request_id: bytes, status: int) -> None:
        """Report that a backend responded to a request that it had refused, as if it had run it."""

    def idle_reuse_limit_of(self, service: str) -> IdleReuseLimit:
        """Return the idle time up to which connections to a service's backends are reused."""

    def max_connections_to(self, service: str) -> int:
        """Return the maximum number of connections from this gateway to one backend of a service."""

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened, closing an idle one if necessary."""

    def remove_if_drained(self, pool: ConnectionPool) -> None:
        """Remove a retired pool once it has no more connections."""


class ConnectionPool:
    """Opens, reuses and closes the connections to one incarnation of a backend."""

    def __init__(self, owner: ConnectionPoolOwner, backend: Backend) -> None:
        self.backend = backend
        self.idle: list[BackendConnection] = []
        self.connections: set[BackendConnection] = set()
        self.opening_count = 0
        self.is_retired = False
        self._owner = owner
        self._queue: deque[UpstreamAttempt] = deque()

    @property
    def idle_reuse_limit(self) -> IdleReuseLimit:
        """The idle time up to which connections to the service's backends are reused."""
        return self._owner.idle_reuse_limit_of(self.backend.service)

    # Attempts.

    def send(self, attempt: UpstreamAttempt) -> None:  # noqa: PLR0911  one return per case
        """Send an attempt on an idle or a new connection; it may have ended when this returns."""
        if self.is_retired:
            return attempt.end(self._owner.clock(), Outcome.CANCELLED)
        connection = self._take_idle(attempt.request, attempt.request.is_non_idempotent)
        if connection is not None:
            return connection.send_attempt(attempt)
        self._queue.append(attempt)
        if self.opening_count >= len(self._queue):
            return None
        if self._may_open():
            self._open()
            return None
        # No connection may be opened: a non-idempotent request then accepts one that has been idle for longer.
        connection = self._take_idle(attempt.request, False)
        if connection is not None:
            self._queue.remove(attempt)
            connection.send_attempt(attempt)
            return None
        if not self.opening_count:
            asyncio.get_running_loop().call_later(CONNECTION_WAIT_MS / 1000, self.cancel_queued, attempt)
            return None
        return None

    def cancel_queued(self, attempt: UpstreamAttempt) -> bool:
        """End an attempt as CANCELLED if it is still queued; return whether it was."""
        if attempt.written_at is None and not attempt.is_ended and attempt in self._queue:
            self._queue.remove(attempt)
            attempt.end(self._owner.clock(), Outcome.CANCELLED)
            return True
        return False

    def _take_idle(self, request: UpstreamRequest, is_non_idempotent: bool) -> BackendConnection | None:
        """Take the connection that became idle last and may carry the request.

        It has carried no attempt of the request, and the backend has probably not closed it yet.
        """
        now, idle_reuse_limit = self._owner.clock(), self.idle_reuse_limit
        for connection in reversed(self.idle):
            if not connection.is_usable():
                connection.close()
                continue
            if now - connection.idle_since > idle_reuse_limit.max_idle_ms(
                now, connection.keep_alive_ms, is_non_idempotent
            ):
                return None  # the other connections have been idle for even longer
            if not request.has_used(connection):
                self.idle.remove(connection)
                return connection
        return None

    def _take_queued(self, connection: BackendConnection) -> UpstreamAttempt | None:
        """Take the attempt that has waited longest, of those that the connection may carry."""
        for attempt in self._queue:
            if not attempt.request.has_used(connection):
                self._queue.remove(attempt)
                return attempt
        return None

    # Opening connections.

    def _may_open(self) -> bool:
        count = len(self.connections) + self.opening_count
        return count < self._owner.max_connections_to(self.backend.service) and self._owner.ensure_capacity()

    def _open(self) -> None:
        self.opening_count += 1
        self._owner.opening_count += 1
        self._owner.count("opened")
        task = asyncio.get_running_loop().create_task(self._connect())
        self._owner.connect_tasks.add(task)
        task.add_done_callback(self._owner.connect_tasks.discard)

    async def _connect(self) -> None:
        """Open one connection and send the attempt that has waited longest on it."""
        connection: BackendConnection | None = None
        try:
            connection = await self._create_connection()
        except (OSError, UnicodeError):
            pass  # refused, no route, or no name of a host: handled as unreachable below
        finally:
            self.opening_count -= 1
            self._owner.opening_count -= 1
        if connection is not None and connection.is_usable():
            self.on_connection_free(connection)
        else:
            self._on_connect_failed()

    async def _create_connection(self) -> BackendConnection | None:
        """Connect to the backend; return None after the connect time-out.

        Raises:
            OSError: the connection was refused or there is no route.
        """
        loop, owner, backend = asyncio.get_running_loop(), self._owner, self.backend
        is_same_region = backend.region == owner.region
        timeout_ms = CONNECT_TIMEOUT_SAME_REGION_MS if is_same_region else CONNECT_TIMEOUT_OTHER_REGION_MS
        connecting = loop.create_task(
            loop.create_connection(
                lambda: BackendConnection(self, owner.clock, owner.body_memory), backend.host, backend.port
            )
        )
        done, _ = await asyncio.wait((connecting,), timeout=timeout_ms / 1000)
        if not done:
            await asyncio.wait((connecting,), timeout=EVENT_LOOP_LAG_ALLOWANCE_MS / 1000)
        if connecting.done():
            return connecting.result()[1]
        connecting.cancel()
        return None

    def _on_connect_failed(self) -> None:
        """End the queued attempts that exceed the number of connections still being opened."""
        now = self._owner.clock()
        self._owner.count("unreachable")
        while len(self._queue) > self.opening_count:
            self._queue.popleft().end(now, Outcome.UNREACHABLE)

    # Called by the connections.

    def count(self, event: str) -> None:
        """Increment the counter of an event."""
        self._owner.count(event)

    def on_response_after_refusal(self, request_id: bytes, status: int) -> None:
        """Report that the backend responded to a request that it had refused, as if it had run it."""
        self._owner.on_response_after_refusal(self.backend, request_id, status)

    def on_connection_made(self, connection: BackendConnection) -> None:
        """Count a connection as open."""
        self.connections.add(connection)
        self._owner.open_count += 1

    def on_connection_free(self, connection: BackendConnection) -> None:
        """Send the attempt that has waited longest on a free connection, or keep the connection idle."""
        now = self._owner.clock()
        while (attempt := self._take_queued(connection)) is not None:
            if self.is_retired or attempt.request.deadline_ms - now < MIN_REMAINING_MS:
                attempt.end(now, Outcome.CANCELLED)
                continue
            return connection.send_attempt(attempt)
        if self.is_retired:
            return connection.close()
        connection.idle_since = now
        self.idle.append(connection)
        return None

    def on_connection_closed(self, connection: BackendConnection) -> None:
        """Remove a closed connection, and open another one if attempts are queued."""
        if connection in self.connections:
            self.connections.remove(connection)
            self._owner.open_count -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self._owner.remove_if_drained(self)
        if self._queue and not self.opening_count and self._may_open():
            self._open()

    # Called by the pools.

    def retire(self) -> None:
        """Stop sending attempts because the backend is draining or removed; attempts in flight run to their end."""
        self.is_retired = True
        for connection in list(self.idle):
            connection.close()
        now = self._owner.clock()
        while self._queue:
            self._queue.popleft().end(now, Outcome.CANCELLED)
        self._owner.remove_if_drained(self)

    def close(self) -> None:
        """Close all connections, including those with an attempt in flight."""
        self.retire()
        for connection in list(self.connections):
            connection.close()

    def enforce_timeouts(self, now: float) -> None:
        """Close connections that were idle for too long, and time out overdue attempts."""
        while self.idle and self._is_idle_too_long(self.idle[0], now):
            self.idle[0].close()
        for connection in [connection for connection in self.connections if connection.attempt is not None]:
            attempt = connection.attempt
            if attempt is None or now <= attempt.request.deadline_ms + OVERDUE_GRACE_MS:
                continue
            if connection.body_flow is None or now - connection.received_at > STREAM_STALL_TIMEOUT_MS:
                connection.time_out()

    def _is_idle_too_long(self, connection: BackendConnection, now: float) -> bool:
        return now - connection.idle_since > self.idle_reuse_limit.max_idle_ms(now, connection.keep_alive_ms, False)
