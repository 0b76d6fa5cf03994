"""The listener for clients: it admits connections, enforces their time-outs and drains them at shutdown.

Invariant: at most `max_connections` client connections are open. At the limit, the connection that has been idle (or
else lingering) longest is closed to make room for a new one.

Points in time are monotonic milliseconds.
"""

from __future__ import annotations

import asyncio
from typing import Final

from hallhitch.net.http import Message
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.planes.data.client_connection import ClientConnection, ClientTimers
from hallhitch.planes.data.context import DataPlaneContext
from hallhitch.planes.data.http_readers import BodyMemory

# How long a connection waits for the client to close it after the last reply was sent. A client that reads at all has
# read the reply by then.
LINGER_TIMEOUT_MS: Final = 1000.0
# The idle time-out after the listener is closed; a client that sends another request within it still gets a reply.
IDLE_TIMEOUT_WHEN_CLOSED_MS: Final = 1000.0
# The keep-alive time announced to clients is shorter than the idle time-out by this margin, so that a client does not
# send a request while the gateway closes the connection.
KEEP_ALIVE_MARGIN_S: Final = 1
# Connections that the kernel completes before they are accepted; large enough that a burst is not refused while the
# event loop is busy.
LISTEN_BACKLOG: Final = 4096


class HttpListener:
    """Owns the listening socket, the client connections and the request tasks of one gateway."""

    def __init__(
        self, context: DataPlaneContext, address: tuple[str, int], max_connections: int, body_memory: BodyMemory
    ) -> None:
        """`start` listens on `address`; `body_memory` limits the memory for long buffered bodies."""
        self.context = context
        self.body_memory = body_memory
        self.max_connections = max_connections
        self.connections: set[ClientConnection] = set()
        self.timers = ClientTimers()
        self.request_tasks: set[asyncio.Task[None]] = set()
        self.keep_alive_line = b""
        self.port = 0  # set by `start`
        self._address = address
        self._request_error_log = RateLimitedLog(ComponentLogger("frontend"))
        self._server: asyncio.Server | None = None
        self._is_drained = asyncio.Event()  # set when the last connection or request task ends
        self._is_closed = False

    async def start(self) -> None:
        """Listen for clients.

        Raises:
            OSError: the address cannot be bound.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ClientConnection(self), *self._address, reuse_address=True, backlog=LISTEN_BACKLOG
        )
        self.port = int(self._server.sockets[0].getsockname()[1])

    def on_config_changed(self) -> None:
        """Update the Keep-Alive header that announces the configured idle time-out to clients."""
        timeout_s = int(self.context.limits.idle_timeout_ms / 1000) - KEEP_ALIVE_MARGIN_S
        self.keep_alive_line = b"Keep-Alive: timeout=%d\r\n" % timeout_s if timeout_s > 0 else b""

    # Called by the connections.

    def admit(self, connection: ClientConnection) -> bool:
        """Add a new connection, closing an idle one at the limit if there is one; return whether it was added."""
        self.context.count("client_connections")
        if len(self.connections) >= self.max_connections:
            evicted = next(iter(self.timers.idle_since or self.timers.lingering_since), None)
            if evicted is None:
                self.context.count("client_connections_refused")
                return False
            evicted.abort()
            self.on_connection_closed(evicted)
        self.connections.add(connection)
        self.timers.idle_since[connection] = self.context.clock()
        return True

    def start_request(self, connection: ClientConnection, request: Message, received_at: float) -> None:
        """Start a task that handles the request."""
        self.context.count("requests")
        task = asyncio.get_running_loop().create_task(connection.handle_request(request, received_at))
        self.request_tasks.add(task)
        task.add_done_callback(self._on_request_done)

    def _on_request_done(self, task: asyncio.Task[None]) -> None:
        self.request_tasks.discard(task)
        self._check_drained()

    def on_request_failed(self, error: Exception) -> None:
        """Log an unexpected exception that ended a request, rate-limited."""
        self._request_error_log.exception(self.context.clock(), "request failed", error)

    def on_connection_closed(self, connection: ClientConnection) -> None:
        """Remove a closed connection and its timers."""
        self.connections.discard(connection)
        self.timers.remove(connection)
        self._check_drained()

    # Time-outs.

    def enforce_timeouts(self, now: float) -> None:
        """Enforce the time-outs of all connections; to be called several times per second."""
        self._close_idle(now)
        self._reject_slow_requests(now)
        self._abort_blocked(now)
        self._abort_lingering(now)

    def _close_idle(self, now: float) -> None:
        timeout_ms = self.context.limits.idle_timeout_ms
        if self._is_closed:
            timeout_ms = min(IDLE_TIMEOUT_WHEN_CLOSED_MS, timeout_ms)
        for connection, since in list(self.timers.idle_since.items()):
            if now - since < timeout_ms:
                break
            del self.timers.idle_since[connection]
            connection.close()

    def _reject_slow_requests(self, now: float) -> None:
        limits = self.context.limits
        for connection, since in list(self.timers.reading_since.items()):
            timeout_ms = limits.head_timeout_ms if connection.is_reading_head else limits.idle_timeout_ms
            if now - since >= timeout_ms:
                del self.timers.reading_since[connection]
                connection.on_read_timeout()

    def _abort_blocked(self, now: float) -> None:
        timeout_ms = self.context.limits.idle_timeout_ms
        for connection, since in list(self.timers.write_blocked_since.items()):
            if now - since >= timeout_ms:
                connection.abort()

    def _abort_lingering(self, now: float) -> None:
        lingering_since = self.timers.lingering_since
        for connection, since in list(lingering_since.items()):
            if now - since < LINGER_TIMEOUT_MS:
                break
            if connection.has_unsent_bytes:
                # On a slow link the reply may take longer than the time-out to send, so the time-out restarts.
                del lingering_since[connection]
                lingering_since[connection] = now
            else:
                connection.abort()

    # Shutdown.

    def start_draining(self, drain_deadline: float) -> None:
        """Close each connection after its next reply, so that its client connects to another gateway.

        Every request gets its reply by `drain_deadline`: one whose own deadline is later is rejected unless it was
        admitted before.
        """
        self.context.drain_deadline = drain_deadline
        for connection in self.connections:
            connection.on_draining()

    def close_listener(self) -> None:
        """Stop accepting connections; idle ones are closed after IDLE_TIMEOUT_WHEN_CLOSED_MS."""
        self._is_closed = True
        if self._server is not None:
            self._server.close()

    async def wait_drained(self, until: float) -> bool:
        """Wait until all connections are closed and all requests are done, or `until` has passed; return whether so.

        A non-idempotent request whose client has disconnected has no connection any more, but still runs.
        """
        self._is_drained.clear()
        self._check_drained()
        try:
            async with asyncio.timeout(max(0.0, until - self.context.clock()) / 1000):
                await self._is_drained.wait()
        except TimeoutError:
            pass
        return not self.connections and not self.request_tasks

    def _check_drained(self) -> None:
        if not self.connections and not self.request_tasks:
            self._is_drained.set()

    def close(self) -> None:
        """Close the listener and all connections immediately."""
        self.close_listener()
        for connection in list(self.connections):
            connection.abort()
