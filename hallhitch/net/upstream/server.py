"""One server: an actor that runs the attempts in its mailbox, and the pool of its idle connections."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

from hallhitch.core.actor import Actor
from hallhitch.core.deadlines import Scheduler
from hallhitch.core.invariants import COUNTS
from hallhitch.net.flow import Broken
from hallhitch.net.http import Malformed, Message
from hallhitch.net.sockets import connect, is_open_and_silent, shut_down
from hallhitch.net.timeouts import sleep_ms
from hallhitch.net.upstream.context import UpstreamAttempt, UpstreamConnection, UpstreamContext, close_connection
from hallhitch.net.upstream.receive import Result, receive_response
from hallhitch.net.upstream.request_head import encode_head

# Minimum time between two attempts on a connection, in which excess bytes of the first response become visible.
REUSE_DELAY_MS: Final = 2.0


class UpstreamServer(Actor[UpstreamAttempt]):
    """Runs the attempts of one server; its mailbox holds attempts to start."""

    def __init__(self, context: UpstreamContext, server: str, scheduler: Scheduler) -> None:
        super().__init__(f"hop {server}", scheduler)
        self._context = context
        self.server = server
        self.idle: deque[UpstreamConnection] = deque()  # the connection that was used last at the right end

    def handle(self, message: UpstreamAttempt) -> None:
        """Start an attempt."""
        if not message.is_over:
            message.task = asyncio.get_running_loop().create_task(self._run_attempt(message))

    def on_message_failed(self, message: UpstreamAttempt) -> None:
        """Report an attempt that could not be started."""
        self._context.end(message, "unreachable")

    async def _run_attempt(self, running: UpstreamAttempt) -> None:
        """Run one attempt to its end and report its outcome, whatever fails."""
        try:
            outcome, response = await self._send_attempt(running)
        except asyncio.CancelledError:
            outcome, response = "cancelled", None  # the canceller has reported the outcome already
        except Malformed:
            # The request ran, and the server continues: its next response may be valid. Reported as a reset, it would
            # eject the server, and even all servers if their responses are all malformed in the same way.
            COUNTS["answer_spoilt"] += 1
            outcome, response = "error", None
        except Exception as error:  # noqa: BLE001  top level of the task: logged, and the process continues
            if not isinstance(error, OSError):
                self.record_failure(error)
            outcome, response = "reset" if running.is_written else "unreachable", None
        if running.is_written and outcome != "cancelled":
            self._context.idle_times.observe(running.idle_ms, outcome == "reset")
        connection, running.connection = running.connection, None
        is_reusable = response is not None and response.keep_alive and (running.is_streamed or not running.is_over)
        if connection is not None and not (is_reusable and self._return_to_pool(connection)):
            close_connection(connection)
        self._context.end(running, outcome, response)

    async def _send_attempt(self, running: UpstreamAttempt) -> Result:
        attempt, loop = running.attempt, asyncio.get_running_loop()
        running.connection = connection = await self._take_from_pool() or await self._open()
        if connection.idle_since:
            running.idle_ms = self._context.deadlines.clock() - connection.idle_since
        # Connecting took time, in which the grounds for this attempt may have changed; they are checked again.
        remaining_ms = attempt.ends_at - self._context.deadlines.clock()
        if not attempt.is_wanted or remaining_ms < 1 or not self._context.routes.is_up(self.server):
            return "void", None
        request = attempt.payload
        assert isinstance(request, Message)
        upload_task = None
        if request.flow is None:
            await loop.sock_sendall(connection.sock, encode_head(request, remaining_ms) + request.body)
            self._on_written(running)
        else:
            upload_task = loop.create_task(self._upload(running, connection, request, remaining_ms))
        try:
            outcome, response = await receive_response(self._context, running, connection)
        finally:
            if upload_task is not None:
                upload_task.cancel()
        if response is not None and not running.is_written:
            response.keep_alive = False
        return outcome, response

    def _on_written(self, running: UpstreamAttempt) -> None:
        running.is_written = True
        self._context.on_attempt_written()

    async def _upload(
        self, running: UpstreamAttempt, connection: UpstreamConnection, request: Message, remaining_ms: float
    ) -> None:
        """Forward a long request as it is received; the server's time is counted from the last byte sent."""
        loop, flow = asyncio.get_running_loop(), request.flow
        assert flow is not None
        self._context.reports.on_streaming_started(running.attempt)
        try:
            async for data in flow.encode_message(encode_head(request, remaining_ms), chunked=request.length is None):
                await loop.sock_sendall(connection.sock, data)
        except (OSError, Broken):
            return shut_down(connection.sock)
        running.attempt.sent_at = self._context.deadlines.clock()
        self._on_written(running)
        return None

    # Connection pool.

    async def _take_from_pool(self) -> UpstreamConnection | None:
        """Return the usable idle connection that was used last; close those that are not usable."""
        location, clock = self._context.routes.location_of(self.server), self._context.deadlines.clock
        max_idle_ms = self._context.idle_times.max_idle_ms()
        while self.idle:
            connection = self.idle.pop()
            try:
                idle_ms = clock() - connection.idle_since
                if idle_ms < REUSE_DELAY_MS and connection.location == location:
                    await sleep_ms(self._context.deadlines, REUSE_DELAY_MS - idle_ms)
                if idle_ms <= max_idle_ms and connection.location == location and is_open_and_silent(connection.sock):
                    return connection
            except BaseException:
                close_connection(connection)
                raise
            close_connection(connection)
        return None

    async def _open(self) -> UpstreamConnection:
        """Open a connection.

        Raises:
            OSError: the connection limit is reached, or the server is not listed or cannot be reached.
        """
        if not self._context.has_room():
            raise OSError("no descriptor left for a connection to a server")
        self._context.connecting += 1
        try:
            location = self._context.routes.location_of(self.server)
            if location is None:
                raise OSError("the server is not listed any more")
            sock = await connect(location[0], self._context.deadlines, self._context.connect_timeout_ms)
            return UpstreamConnection(sock, location)
        finally:
            self._context.connecting -= 1
            COUNTS["hop_connects"] += 1

    def _return_to_pool(self, connection: UpstreamConnection) -> bool:
        """Add an idle connection to the pool; return False if its server accepts no new work."""
        if not self._context.routes.is_up(self.server):
            return False
        # Whether the connection is still open and silent is checked when it is used again.
        connection.idle_since = self._context.deadlines.clock()
        self.idle.append(connection)
        return True
