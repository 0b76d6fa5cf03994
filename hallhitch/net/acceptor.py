"""Accepting clients within the descriptor budget, and closing connections: at the limit, when late, when draining.

Invariants:
- At most `max_clients` connections are served; `spare` more may be open, whose requests are only rejected.
- A connection that is closed to make room for a new one has no open request.
- A client that connects gets a response or waits in the listen backlog; it is closed without a response only if the
  spare connections are used up.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Callable
from typing import Final

from hallhitch.core.deadlines import Deadline, Deadlines
from hallhitch.core.invariants import COUNTS
from hallhitch.net.client_connection import REQUEST_TIMEOUT_MS, ClientConnection
from hallhitch.net.sockets import Listener, configure_socket

DEFAULT_MAX_IDLE_MS: Final = 10_000.0
PROTECTED_IDLE_MS: Final = 2000.0  # idle time up to which a connection is closed only if no other one can be
FIRST_REQUEST_GRACE_MS: Final = 20.0  # time to send, for a new connection; at the limit nothing is accepted meanwhile
RESUMED_GRACE_MS: Final = 1000.0  # extra silence for a client that continued its request after a pause
CHECK_INTERVAL_MS: Final = 250.0  # between checks of connections without an open request
ACCEPT_AFTER_SIGTERM_MS: Final = 500.0  # for which connections are still accepted after SIGTERM
# After SIGTERM, before idle connections are closed, if another process accepts new ones. Nearly all connections end
# with a response in this time, so that no request is sent just as its connection is closed.
SHARED_IDLE_AFTER_SIGTERM_MS: Final = 2000.0
END_IDLE_INTERVAL_MS: Final = 50.0
DRAIN_NEW_CLIENT_MS: Final = 200.0  # for a client that connects during a drain to send its request
DRAIN_DELAY_MS: Final = 500.0  # before idle connections are closed, so that health checks fail first
DRAIN_DURATION_MS: Final = 800.0  # over which idle connections are closed
DRAIN_INTERVAL_MS: Final = 40.0


def do_nothing() -> None:
    """Do nothing."""


class Acceptor:
    """Accepts clients and owns their connections; at the limit it closes one connection for each new one."""

    max_idle_ms = DEFAULT_MAX_IDLE_MS

    def __init__(
        self,
        deadlines: Deadlines,
        scheduler: asyncio.AbstractEventLoop,
        max_clients: int,
        spare: int,
        is_shared: bool = False,
    ) -> None:
        """Serve `max_clients` connections, and accept `spare` more whose requests are only rejected.

        `is_shared` says that other processes accept connections from the same listening socket.
        """
        self.deadlines = deadlines
        self.scheduler = scheduler
        self._max_clients = max_clients
        self._spare = spare
        self._is_shared = is_shared
        self._has_sibling = False  # another process of this gateway is running
        self._is_sibling_serving = False
        self._listener = Listener(self.admit, deadlines, scheduler)
        self._connections: dict[ClientConnection, asyncio.Task[None]] = {}
        self._shed: set[ClientConnection] = set()  # closed to make room, and not ended yet
        # Connections without an open request, by the time since which they have none, oldest first: those that never
        # had a request accepted, and all others.
        self._never_served: dict[ClientConnection, float] = {}
        self._idle: dict[ClientConnection, float] = {}
        self.uploading: set[ClientConnection] = set()  # whose long request is forwarded while it is received
        self.check_sibling: Callable[[], None] = do_nothing  # results in a call of on_sibling_changed
        self.is_closing = False  # the process is stopping
        self.is_draining = False  # clients are to move to other gateways; the process keeps running
        self._all_closed = asyncio.Event()
        self._next_drain_step: Deadline | None = None

    def make_connection(self, sock: socket.socket, spare: bool) -> ClientConnection:
        """Return the actor of a new connection; a `spare` one only rejects its requests."""
        raise NotImplementedError

    @property
    def is_leaving(self) -> bool:
        """Whether each connection is closed after its next response."""
        return self.is_closing or self.is_draining

    @property
    def max_clients(self) -> int:
        """The limit of served connections, halved while another process of this gateway is running."""
        return self._max_clients // 2 if self._has_sibling else self._max_clients

    # Accepting.

    def open(self, listener: socket.socket) -> None:
        """Accept clients from now on."""
        self._listener.open(listener)
        self.deadlines.call_after(CHECK_INTERVAL_MS, self._check_late)

    def admit(self, sock: socket.socket) -> None:
        """Accept a connection; at the limit, close another one for it."""
        if self._has_sibling and not self._is_sibling_serving and self._kept >= self.max_clients:
            self.check_sibling()
        # A connection accepted before the sibling was known to be serving may exceed the limit by one: none is
        # closed for it.
        if self._kept >= self.max_clients + self._is_sibling_serving:
            self._make_room()
        if len(self._connections) >= self.max_clients + self._spare:
            COUNTS["clients_full"] += 1
            sock.close()
            return
        connection = self.make_connection(configure_socket(sock), self._kept > self.max_clients)
        connection.waiting_since = self._listener.opened_at
        self._connections[connection] = asyncio.get_running_loop().create_task(connection.run())
        self._never_served[connection] = self.deadlines.clock()
        self._update_suspension()

    def on_sibling_changed(self, is_running: bool, is_serving: bool) -> None:
        """Halve the limit while another process of this gateway is running, which does the same."""
        self._has_sibling = is_running
        self._is_sibling_serving = is_serving
        self._update_suspension()

    @property
    def _kept(self) -> int:
        """The number of connections, without those that are being closed to make room."""
        return len(self._connections) - len(self._shed)

    def _make_room(self) -> None:
        connection = self._connection_to_close()
        if connection is None:
            return
        is_new = connection in self._never_served
        is_about_to_send = is_new and self.deadlines.clock() - connection.received_at < FIRST_REQUEST_GRACE_MS
        if not connection.is_silent or is_about_to_send:
            # A request has arrived or is about to; it is read first, and the new connection exceeds the limit.
            self._listener.pause(FIRST_REQUEST_GRACE_MS)
            return
        COUNTS["new_shed" if is_new else "idle_shed"] += 1
        self.on_active(connection)
        self._shed.add(connection)
        connection.close()

    def _connection_to_close(self) -> ClientConnection | None:
        """Return the connection whose closing costs its client least, None if every one has an open request."""
        # First choice: one that has been idle for a while after a response, as clients expect it to end at any time.
        # Then the one that has been silent for longest, within its first request or before it, so that a slow client
        # that still sends can continue. Last choice: one that got a response just now.
        now, longest_idle = self.deadlines.clock(), next(iter(self._idle), None)
        if longest_idle is not None and now - self._idle[longest_idle] > PROTECTED_IDLE_MS:
            return longest_idle
        longest_silent = min(
            self._never_served,
            key=lambda connection: connection.received_at + (RESUMED_GRACE_MS if connection.is_resumed else 0.0),
            default=None,
        )
        return longest_idle if longest_silent is None else longest_silent

    def _update_suspension(self) -> None:
        # While a sibling is serving, this process accepts no more than its half: the sibling accepts the others.
        # Without one, clients past the spare connections wait in the backlog until a connection ends, because a close
        # without a response would tell them nothing.
        limit = self.max_clients + (0 if self._is_sibling_serving else self._spare)
        self._listener.set_suspended(len(self._connections) >= limit)

    # Called by connections.

    def on_active(self, connection: ClientConnection) -> None:
        """Handle that a connection has an open request."""
        self._never_served.pop(connection, None)
        self._idle.pop(connection, None)

    def on_idle(self, connection: ClientConnection) -> None:
        """Handle that a connection has no open request any more."""
        if connection in self._connections:
            idle = self._idle if connection.had_accepted_request else self._never_served
            idle[connection] = self.deadlines.clock()

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""
        self._connections.pop(connection, None)
        self._shed.discard(connection)
        self.uploading.discard(connection)
        self._update_suspension()
        self.on_active(connection)
        if self.is_closing and not self._listener.is_listening:
            self._check_all_closed()

    def cancel(self, connection: ClientConnection) -> None:
        """Cancel a connection's task."""
        if connection in self._connections:
            self._connections[connection].cancel()

    # Time-outs.

    def _check_late(self) -> None:
        """Close connections that were idle, or had a request partly received, for too long."""
        now = self.deadlines.clock()
        for connection, since in list(self._idle.items()):
            if connection.is_late(now):
                self._close_late(connection)
            elif now - since > self.max_idle_ms:
                self.on_active(connection)
                connection.close()
        for connection, since in list(self._never_served.items()):
            if now - since <= REQUEST_TIMEOUT_MS:
                break
            if not connection.is_partial or connection.is_late(now):
                self._close_late(connection)
        for connection in [uploading for uploading in self.uploading if uploading.is_late(now)]:
            self._close_late(connection)
        self.deadlines.call_after(CHECK_INTERVAL_MS, self._check_late)

    def _close_late(self, connection: ClientConnection) -> None:
        self.on_active(connection)
        COUNTS["request_overdue"] += 1
        if connection.is_partial:
            connection.on_overdue()
        else:
            connection.close()

    # Draining and stopping.

    def start_draining(self) -> None:
        """Move clients to other gateways: close each connection after its next response, or once it is idle."""
        if not self.is_draining:
            self.is_draining = True
            self.deadlines.cancel(self._next_drain_step)
            self._next_drain_step = self.deadlines.call_after(
                DRAIN_DELAY_MS, lambda: self._drain_step(DRAIN_DURATION_MS / DRAIN_INTERVAL_MS)
            )

    def stop_draining(self) -> None:
        """Keep connections open again."""
        self.is_draining = False
        self.deadlines.cancel(self._next_drain_step)

    def _drain_step(self, steps: float) -> None:
        """Close a share of the idle connections, so that all are closed after `steps` more steps."""
        connected_before = self.deadlines.clock() - DRAIN_NEW_CLIENT_MS
        idle = [
            connection
            for connection in self._connections
            if connection.is_idle and connection.received_at < connected_before
        ]
        for connection in idle[: math.ceil(len(idle) / max(1.0, steps))]:
            connection.close_if_silent()
        self._next_drain_step = self.deadlines.call_after(DRAIN_INTERVAL_MS, lambda: self._drain_step(steps - 1))

    def stop(self) -> None:
        """Begin to stop: accept for a while longer, then finish the open requests."""
        if self.is_closing:
            return
        self.is_closing = True
        if self._is_shared:  # the other process accepts what waits in the backlog
            self._listener.close()
            self._check_all_closed()
            self.deadlines.call_after(SHARED_IDLE_AFTER_SIGTERM_MS, self._close_idle)
        else:
            self.deadlines.call_after(ACCEPT_AFTER_SIGTERM_MS, self._stop_listening)

    async def wait_closed(self) -> None:
        """Wait until the last connection has ended."""
        await self._all_closed.wait()

    def _stop_listening(self) -> None:
        self._listener.close(accept_waiting=True)
        self._check_all_closed()
        self._close_idle()

    def _check_all_closed(self) -> None:
        if not self._connections:
            self._all_closed.set()

    def _close_idle(self) -> None:
        for connection in [connection for connection in self._connections if connection.is_idle]:
            connection.close_if_silent()
        if self._connections:
            self.deadlines.call_after(END_IDLE_INTERVAL_MS, self._close_idle)
