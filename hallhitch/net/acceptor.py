"""Listening for clients within the budget of descriptors, and how long their connections may stay.

Invariants:
- At most `max_clients` connections are kept, and `spare` ones more that are only answered with a rejection.
- Where a connection has to be closed for a new one, it is one without a request in progress.
- A client that connects is answered or waits in the listener's backlog; it is not closed without an answer unless the
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
PROTECTED_IDLE_MS: Final = 2000.0  # for which an idle connection is spared while others may be closed
FIRST_REQUEST_GRACE_MS: Final = 20.0  # for a new connection to send, while nothing is accepted at the limit
RESUMED_GRACE_MS: Final = 1000.0  # more of silence for a client that went on with a request after a pause
CHECK_INTERVAL_MS: Final = 250.0  # between checks of the connections with nothing open
ACCEPT_AFTER_SIGTERM_MS: Final = 500.0  # to accept on after SIGTERM
# After SIGTERM, for idle connections where another process accepts new ones: nearly all end with an answer meanwhile,
# so that no request crosses the end of its connection.
SHARED_IDLE_AFTER_SIGTERM_MS: Final = 2000.0
END_IDLE_INTERVAL_MS: Final = 50.0
DRAIN_NEW_CLIENT_MS: Final = 200.0  # for a client that connected during a drain to send a request
DRAIN_DELAY_MS: Final = 500.0  # before idle connections are closed: health checks have to fail first
DRAIN_DURATION_MS: Final = 800.0  # over which they are closed
DRAIN_INTERVAL_MS: Final = 40.0


def do_nothing() -> None:
    """Do nothing."""


class Acceptor:
    """Accepts clients; at the limit it closes first who never had a request accepted, then idle connections."""

    max_idle_ms = DEFAULT_MAX_IDLE_MS

    def __init__(
        self,
        deadlines: Deadlines,
        scheduler: asyncio.AbstractEventLoop,
        max_clients: int,
        spare: int,
        is_shared: bool = False,
    ) -> None:
        """Accept `max_clients`, and `spare` ones more that are only rejected.

        `is_shared` says that other processes accept connections of the same listener.
        """
        self.deadlines = deadlines
        self.scheduler = scheduler
        self._max_clients = max_clients
        self._spare = spare
        self._is_shared = is_shared
        self._has_sibling = False  # another process of this gateway runs
        self._is_sibling_serving = False
        self._listener = Listener(self.admit, deadlines, scheduler)
        self._connections: dict[ClientConnection, asyncio.Task[None]] = {}
        self._closing: set[ClientConnection] = set()  # closed for others and not gone yet
        # Connections with nothing open and since when, the longest first: those that never had a request accepted,
        # and the others.
        self._new: dict[ClientConnection, float] = {}
        self._idle: dict[ClientConnection, float] = {}
        self.uploading: set[ClientConnection] = set()  # whose long request is forwarded while it is received
        self.check_sibling: Callable[[], None] = do_nothing  # leads to on_sibling_changed
        self.is_closing = False  # the process is stopping
        self.is_draining = False  # clients are sent to other gateways, and the process keeps running
        self._all_closed = asyncio.Event()
        self._next_drain_step: Deadline | None = None

    def make_connection(self, sock: socket.socket, spare: bool) -> ClientConnection:
        """Return the actor of a new connection; a spare one is only rejected."""
        raise NotImplementedError

    @property
    def is_leaving(self) -> bool:
        """Whether connections end with their next answer."""
        return self.is_closing or self.is_draining

    @property
    def max_clients(self) -> int:
        """The connections to keep: half of them while another process of this gateway runs."""
        return self._max_clients // 2 if self._has_sibling else self._max_clients

    # Accepting.

    def open(self, listener: socket.socket) -> None:
        """Accept clients from now on."""
        self._listener.open(listener)
        self.deadlines.call_after(CHECK_INTERVAL_MS, self._check_late)

    def admit(self, sock: socket.socket) -> None:
        """Accept a connection, closing another one for it at the limit."""
        if self._has_sibling and not self._is_sibling_serving and self._kept >= self.max_clients:
            self.check_sibling()
        # One that came before the sibling was known to accept clients is one more, at nobody's cost.
        if self._kept >= self.max_clients + self._is_sibling_serving:
            self._make_room()
        if len(self._connections) >= self.max_clients + self._spare:
            COUNTS["clients_full"] += 1
            sock.close()
            return
        connection = self.make_connection(configure_socket(sock), self._kept > self.max_clients)
        connection.waiting_since = self._listener.opened_at
        self._connections[connection] = asyncio.get_running_loop().create_task(connection.run())
        self._new[connection] = self.deadlines.clock()
        self._update_resting()

    def on_sibling_changed(self, is_running: bool, is_serving: bool) -> None:
        """Keep to half of the connections while another process of this gateway runs, as it does too."""
        self._has_sibling = is_running
        self._is_sibling_serving = is_serving
        self._update_resting()

    @property
    def _kept(self) -> int:
        """The connections, but for those that are being closed for others."""
        return len(self._connections) - len(self._closing)

    def _make_room(self) -> None:
        connection = self._connection_to_close()
        if connection is None:
            return
        is_new = connection in self._new
        is_about_to_send = is_new and self.deadlines.clock() - connection.received_at < FIRST_REQUEST_GRACE_MS
        if not connection.is_silent or is_about_to_send:
            # What has come, or is about to, is read first; the new connection is one more.
            self._listener.pause(FIRST_REQUEST_GRACE_MS)
            return
        COUNTS["new_shed" if is_new else "idle_shed"] += 1
        self.on_active(connection)
        self._closing.add(connection)
        connection.close()

    def _connection_to_close(self) -> ClientConnection | None:
        """Return the connection that is owed least, and of these the one that has waited longest."""
        # First one that was idle for a while after an answer, as it may end at any time. Then the one that was silent
        # for longest, within a request or before it: a slow client goes on. Last one that had an answer just now.
        now, longest_idle = self.deadlines.clock(), next(iter(self._idle), None)
        if longest_idle is not None and now - self._idle[longest_idle] > PROTECTED_IDLE_MS:
            return longest_idle
        longest_silent = min(
            self._new,
            key=lambda connection: connection.received_at + (RESUMED_GRACE_MS if connection.is_resumed else 0.0),
            default=None,
        )
        return longest_idle if longest_silent is None else longest_silent

    def _update_resting(self) -> None:
        # Beyond its half a process rejects nobody, but leaves clients to the other one. Where not even a rejection can
        # be sent, clients wait in the backlog until a connection has ended: a close would tell them nothing.
        limit = self.max_clients + (0 if self._is_sibling_serving else self._spare)
        self._listener.set_resting(len(self._connections) >= limit)

    # Called by connections.

    def on_active(self, connection: ClientConnection) -> None:
        """Handle that a connection has a request open."""
        self._new.pop(connection, None)
        self._idle.pop(connection, None)

    def on_idle(self, connection: ClientConnection) -> None:
        """Handle that a connection has nothing open any more."""
        if connection in self._connections:
            idle = self._idle if connection.had_accepted_request else self._new
            idle[connection] = self.deadlines.clock()

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""
        self._connections.pop(connection, None)
        self._closing.discard(connection)
        self.uploading.discard(connection)
        self._update_resting()
        self.on_active(connection)
        if self.is_closing and not self._listener.is_listening:
            self._check_all_closed()

    def cancel(self, connection: ClientConnection) -> None:
        """Cancel a connection's task."""
        if connection in self._connections:
            self._connections[connection].cancel()

    # Time-outs.

    def _check_late(self) -> None:
        """Close connections that were silent, or have a request partly received, for too long."""
        now = self.deadlines.clock()
        for connection, since in list(self._idle.items()):
            if connection.is_late(now):
                self._close_late(connection)
            elif now - since > self.max_idle_ms:
                self.on_active(connection)
                connection.close()
        for connection, since in list(self._new.items()):
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
        """Send clients to other gateways: a connection ends with its next answer, or once it was idle for a while."""
        if not self.is_draining:
            self.is_draining = True
            self.deadlines.cancel(self._next_drain_step)
            self._next_drain_step = self.deadlines.call_after(
                DRAIN_DELAY_MS, lambda: self._drain_step(DRAIN_DURATION_MS / DRAIN_INTERVAL_MS)
            )

    def stop_draining(self) -> None:
        """Keep clients again."""
        self.is_draining = False
        self.deadlines.cancel(self._next_drain_step)

    def _drain_step(self, steps: float) -> None:
        """Close a share of the idle connections; all that are left after so many steps."""
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
        """Begin to stop: accept on for a while, then finish open requests."""
        if self.is_closing:
            return
        self.is_closing = True
        if self._is_shared:  # what waits in the backlog is left to the other process
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
