"""The operators' HTTP endpoint, separate from client traffic; it answers one request per connection.

Invariants:
- At most `max_connections` connections are open; file descriptors are reserved for them.
- At that limit, the oldest connection whose request is incomplete is closed in favor of a new one, so that silent
  callers cannot block the endpoint.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

import structlog

from hallhitch.core.deadlines import Deadlines
from hallhitch.core.invariants import COUNTS
from hallhitch.net.http import Malformed, Message, RequestReader, encode_response, path_of
from hallhitch.net.sockets import Listener, configure_socket, shut_down
from hallhitch.net.timeouts import DeadlineTimeout

READ_TIMEOUT_MS: Final = 5000.0  # for a caller to send its whole request
WRITE_TIMEOUT_MS: Final = 1000.0  # for a caller to read the reply
LINGER_MS: Final = 250.0  # to read on after the reply: closing with unread data sends a reset, which may overtake it
READ_SIZE_BYTES: Final = 4096
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class OperatorReply:
    """The HTTP response to an operator's request."""

    status: int
    body: str = ""
    content_type: str = "text/plain; charset=utf-8"


OperatorHandlers = Mapping[tuple[str, str], Callable[[], OperatorReply]]  # by method and path


class OperatorServer:
    """Answers operators' requests; owns their connections and the tasks that serve them."""

    def __init__(
        self, handlers: OperatorHandlers, deadlines: Deadlines, loop: asyncio.AbstractEventLoop, max_connections: int
    ) -> None:
        self._max_connections = max_connections
        self._handlers = handlers
        self._deadlines = deadlines
        self._loop = loop
        # Whether the request of each connection was received completely; oldest connection first.
        self._is_request_complete: dict[asyncio.Task[None], bool] = {}
        self._listener = Listener(self._accept, deadlines, loop)

    def open(self, listener: socket.socket) -> None:
        """Start accepting connections."""
        self._listener.open(listener)

    def close(self) -> None:
        """Stop listening and cancel the requests in progress."""
        self._listener.close()
        for task in self._is_request_complete:
            task.cancel()

    def _accept(self, sock: socket.socket) -> None:
        if len(self._is_request_complete) >= self._max_connections:
            COUNTS["ops_shed"] += 1
            oldest_incomplete = next(
                (task for task, is_complete in self._is_request_complete.items() if not is_complete), None
            )
            if oldest_incomplete is None:
                return sock.close()
            self._is_request_complete.pop(oldest_incomplete)
            oldest_incomplete.cancel()
        task = self._loop.create_task(self._serve(configure_socket(sock)))
        self._is_request_complete[task] = False
        task.add_done_callback(lambda done: self._is_request_complete.pop(done, None))
        return None

    async def _serve(self, sock: socket.socket) -> None:
        """Answer the request of one connection and close it."""
        with contextlib.suppress(OSError, asyncio.CancelledError), contextlib.closing(sock):
            try:
                reply = await self._reply_to_request(sock)
                if reply is not None:
                    async with DeadlineTimeout(self._deadlines, WRITE_TIMEOUT_MS):
                        await self._loop.sock_sendall(sock, encode_reply(reply))
                    sock.shutdown(socket.SHUT_WR)
                    async with DeadlineTimeout(self._deadlines, LINGER_MS):
                        while await self._loop.sock_recv(sock, READ_SIZE_BYTES):
                            pass
            finally:
                shut_down(sock)

    async def _reply_to_request(self, sock: socket.socket) -> OperatorReply | None:
        """Read a request and return the reply, or None if the caller has disconnected."""
        reader = RequestReader()
        try:
            async with DeadlineTimeout(self._deadlines, READ_TIMEOUT_MS):
                request = await self._read_request(sock, reader)
        except Malformed as error:
            return OperatorReply(error.status, "unreadable\n")
        except TimeoutError:
            return OperatorReply(408, "the call did not come whole\n")
        finally:
            reader.close()
        if request is None:
            return None
        task = asyncio.current_task()
        if task in self._is_request_complete:
            self._is_request_complete[task] = True
        return self._dispatch(request.method.decode("latin-1"), path_of(request.target).decode("latin-1"))

    async def _read_request(self, sock: socket.socket, reader: RequestReader) -> Message | None:
        while True:
            data = await self._loop.sock_recv(sock, READ_SIZE_BYTES)
            requests = reader.feed(data)
            if requests:
                return requests[0]
            if not data:
                return None

    def _dispatch(self, method: str, path: str) -> OperatorReply:
        handler = self._handlers.get((method, path))
        if handler is not None:
            try:
                return handler()
            except Exception as error:  # noqa: BLE001  a top-level handler: logs and goes on
                COUNTS["actor_failed"] += 1
                log.error("actor failed", actor="operator server", exc_info=error)  # noqa: TRY400
                return OperatorReply(500, "failed\n")
        if any(path == known_path for _, known_path in self._handlers):
            return OperatorReply(405, "another method\n")
        return OperatorReply(404, "no such call\n")


def encode_reply(reply: OperatorReply) -> bytes:
    """Encode a reply as an HTTP response that closes the connection."""
    headers = f"Content-Type: {reply.content_type}\r\n".encode()
    return encode_response(reply.status, reply.body.encode(), headers=headers, close=True)
