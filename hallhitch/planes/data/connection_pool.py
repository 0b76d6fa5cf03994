"""The connections to one incarnation of a backend, and the attempts that wait for one.

Invariants:
- A connection is in `idle` if and only if it carries nothing; the list is ordered by `idle_since`, the latest last.
- An attempt in `_queue` was not written; each attempt leaves the queue by being carried or by ending.
- A retired pool opens no connection and starts no attempt; attempts in flight end by themselves.

Times are steady milliseconds, durations milliseconds.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol

from hallhitch.planes.data.backend_connection import BackendConnection
from hallhitch.planes.data.http_readers import BodyMemory
from hallhitch.planes.data.idle_reuse import IdleReuse
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.data.upstream_attempt import UpstreamAttempt
from hallhitch.planes.values import Backend

# Above the round trips within a region and across regions: a backend that takes longer counts as unreachable.
CONNECT_TIMEOUT_SAME_REGION_MS: Final = 150.0
CONNECT_TIMEOUT_OTHER_REGION_MS: Final = 500.0
# Added to a connect time-out: the event may be there already, behind others in a busy event loop.
EVENT_LOOP_LAG_ALLOWANCE_MS: Final = 15.0
# How long an attempt waits for a connection when none may be opened; then another backend is tried.
CONNECTION_WAIT_MS: Final = 30.0
# Past its deadline by so much, an attempt is given up: its backend should have stopped long ago.
OVERDUE_GRACE_MS: Final = 1500.0
# A streamed response may take longer than its deadline as long as bytes come at least this often.
STREAM_STALL_TIMEOUT_MS: Final = 10_000.0
MIN_REMAINING_MS: Final = 1.0  # with less time left an attempt is not written: the deadline field has this resolution


class ConnectionPoolOwner(Protocol):
    """What the pools of all backends share."""

    clock: Callable[[], float]
    region: str  # of this gateway
    body_memory: BodyMemory
    open_count: int  # connections that are open
    opening_count: int  # connections that are being opened
    connect_tasks: set[asyncio.Task[None]]

    def count(self, event: str) -> None:
        """Add one to an event count."""

    def idle_reuse_of(self, service: str) -> IdleReuse:
        """Return what is known of how long a service's backends keep idle connections."""

    def max_connections_to(self, service: str) -> int:
        """Return how many connections this gateway may have to one backend of a service."""

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened, after closing an idle one if need be."""

    def forget_if_drained(self, pool: ConnectionPool) -> None:
        """Forget a retired pool that has no connection any more."""


class ConnectionPool:
    """The connections to one incarnation of a backend."""

    def __init__(self, owner: ConnectionPoolOwner, backend: Backend) -> None:
        self.backend = backend
        self.idle: list[BackendConnection] = []
        self.connections: set[BackendConnection] = set()
        self.opening_count = 0
        self.is_retired = False
        self._owner = owner
        self._queue: deque[UpstreamAttempt] = deque()

    @property
    def idle_reuse(self) -> IdleReuse:
        """What is known of how long the service's backends keep idle connections."""
        return self._owner.idle_reuse_of(self.backend.service)

    # Attempts.

    def send(self, attempt: UpstreamAttempt) -> None:  # noqa: PLR0911  a reply for each case
        """Carry an attempt on an idle connection or a new one; it may have ended when this returns."""
        if self.is_retired:
            return attempt.end(self._owner.clock(), Outcome.CANCELLED)
        connection = self._take_idle(attempt.request.is_unsafe)
        if connection is not None:
            return connection.carry(attempt)
        self._queue.append(attempt)
        if self.opening_count >= len(self._queue):
            return None
        if self._may_open():
            self._open()
            return None
        # An unsafe request may be given a connection that was idle for longer: better than none.
        connection = self._take_idle(False)
        if connection is not None:
            self._queue.remove(attempt)
            connection.carry(attempt)
            return None
        if not self.opening_count:
            asyncio.get_running_loop().call_later(CONNECTION_WAIT_MS / 1000, self.withdraw, attempt)
            return None
        return None

    def withdraw(self, attempt: UpstreamAttempt) -> bool:
        """End an attempt as CANCELLED if it is still queued; return whether it was."""
        if attempt.written_at is None and not attempt.is_ended and attempt in self._queue:
            self._queue.remove(attempt)
            attempt.end(self._owner.clock(), Outcome.CANCELLED)
            return True
        return False

    def _take_idle(self, is_unsafe: bool) -> BackendConnection | None:
        """Take the connection that became idle last, if the backend probably keeps it still."""
        now, idle_reuse = self._owner.clock(), self.idle_reuse
        while self.idle:
            connection = self.idle[-1]
            if connection.is_usable():
                if now - connection.idle_since > idle_reuse.max_idle_ms(now, connection.keep_alive_ms, is_unsafe):
                    return None  # the others have been idle for longer
                return self.idle.pop()
            connection.close()
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
        """Open one connection and give it to the attempt that waits longest."""
        connection: BackendConnection | None = None
        try:
            connection = await self._create_connection()
        except OSError:
            pass  # refused or no route: unreachable, as below
        finally:
            self.opening_count -= 1
            self._owner.opening_count -= 1
        if connection is not None and connection.is_usable():
            self.on_connection_free(connection)
        else:
            self._on_connect_failed()

    async def _create_connection(self) -> BackendConnection | None:
        """Connect to the backend; None if that takes too long.

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
        """End the attempts for which no other connection is being opened."""
        now = self._owner.clock()
        self._owner.count("unreachable")
        while len(self._queue) > self.opening_count:
            self._queue.popleft().end(now, Outcome.UNREACHABLE)

    # Called by the connections.

    def on_connection_made(self, connection: BackendConnection) -> None:
        """Count a connection as open."""
        self.connections.add(connection)
        self._owner.open_count += 1

    def on_connection_free(self, connection: BackendConnection) -> None:
        """Give a connection that carries nothing to the attempt that waits longest, or keep it idle."""
        now = self._owner.clock()
        while self._queue:
            attempt = self._queue.popleft()
            if self.is_retired or attempt.request.deadline_ms - now < MIN_REMAINING_MS:
                attempt.end(now, Outcome.CANCELLED)
                continue
            return connection.carry(attempt)
        if self.is_retired:
            return connection.close()
        connection.idle_since = now
        self.idle.append(connection)
        return None

    def on_connection_closed(self, connection: BackendConnection) -> None:
        """Forget a connection, and open another if attempts wait for one."""
        if connection in self.connections:
            self.connections.remove(connection)
            self._owner.open_count -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self._owner.forget_if_drained(self)
        if self._queue and not self.opening_count and self._may_open():
            self._open()

    # Called by the pools.

    def retire(self) -> None:
        """Start nothing more, because the backend is draining or gone; what is in flight ends by itself."""
        self.is_retired = True
        for connection in list(self.idle):
            connection.close()
        now = self._owner.clock()
        while self._queue:
            self._queue.popleft().end(now, Outcome.CANCELLED)
        self._owner.forget_if_drained(self)

    def close(self) -> None:
        """Close all connections, whatever they carry."""
        self.retire()
        for connection in list(self.connections):
            connection.close()

    def expire_idle(self, now: float) -> None:
        """Close connections that were idle for too long, and give up attempts that do not end."""
        while self.idle and self._is_idle_too_long(self.idle[0], now):
            self.idle[0].close()
        for connection in [connection for connection in self.connections if connection.attempt is not None]:
            attempt = connection.attempt
            if attempt is None or now <= attempt.request.deadline_ms + OVERDUE_GRACE_MS:
                continue
            if connection.body_flow is None or now - connection.received_at > STREAM_STALL_TIMEOUT_MS:
                connection.give_up()

    def _is_idle_too_long(self, connection: BackendConnection, now: float) -> bool:
        return now - connection.idle_since > self.idle_reuse.max_idle_ms(now, connection.keep_alive_ms, False)
