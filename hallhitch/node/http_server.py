"""A small HTTP/1.1 server for low request rates: operator API, directory, readiness, metrics. Not for client traffic.

Invariants:
- The calls of one connection are handled one at a time, in order.
- A call is cancelled when its connection is lost, because its caller may already have called another process.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Final, NamedTuple, cast

import httptools

from hallhitch.node.clock import now
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.node.settings import HostPort

MAX_HEAD_BYTES: Final = 64 * 1024
DEFAULT_MAX_BODY_BYTES: Final = 1024 * 1024
LISTEN_BACKLOG: Final = 512  # connections
CLOSE_TIMEOUT_S: Final = 1.0  # callers give up after one second
REASON_PHRASES: Final = {
    200: "OK",
    307: "Temporary Redirect",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class HttpReply(NamedTuple):
    """Status, headers and body of a reply; Content-Length and Connection are added when it is written."""

    status: int
    headers: Mapping[str, str]
    body: bytes


HttpHandler = Callable[[str, str, bytes], "HttpReply | Awaitable[HttpReply]"]  # method, target, body


@dataclass(frozen=True, slots=True)
class _Request:
    method: str
    target: str
    body: bytes
    is_keep_alive: bool


class _Connection(asyncio.Protocol):
    """One connection from a caller."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body = bytearray()
        self._received_bytes = 0  # of the request being read
        self._requests: deque[_Request] = deque()
        self._is_busy = False
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Future[None] | None = None

    # Event loop callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports do not derive from asyncio's
        self._server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        max_body_bytes = self._server.max_body_bytes
        self._received_bytes += len(data)
        try:
            if self._received_bytes > max_body_bytes + MAX_HEAD_BYTES:
                raise httptools.HttpParserError("too long")
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            status = 413 if self._received_bytes > max_body_bytes else 400
            self._write(HttpReply(status, {}, b'{"errorMessage":"the call cannot be read"}'), False)

    # Parser callbacks.

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._requests.append(
            _Request(
                self._parser.get_method().decode("latin-1"),
                self._target.decode("latin-1"),
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )
        self._target = b""
        self._body = bytearray()
        self._received_bytes = 0
        if not self._is_busy:
            self._handle_queued()

    def _handle_queued(self) -> None:
        while self._requests and not self._is_busy and self._transport is not None:
            request = self._requests.popleft()
            reply = self._server.handle(request)
            if isinstance(reply, HttpReply):
                self._write(reply, request.is_keep_alive)
            else:
                self._is_busy = True
                self._task = self._server.start_task(self._reply_when_done(reply, request.is_keep_alive))

    async def _reply_when_done(self, pending_reply: Awaitable[HttpReply], is_keep_alive: bool) -> None:
        try:
            reply = await pending_reply
        except Exception as error:  # noqa: BLE001  top-level handler: logs the error, and the process continues
            reply = self._server.error_reply(error)
        self._is_busy = False
        self._write(reply, is_keep_alive)
        self._handle_queued()

    def _write(self, reply: HttpReply, is_keep_alive: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        is_kept_open = is_keep_alive and not self._server.is_closing
        self._transport.write(_encode(reply, is_kept_open))
        if not is_kept_open:
            self._transport.close()


class HttpServer:
    """Serves one address with one handler; owns its connections and the calls in progress."""

    def __init__(self, name: str, handler: HttpHandler, max_body_bytes: int = DEFAULT_MAX_BODY_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self.is_closing = False
        self.connections: set[_Connection] = set()
        self._handler = handler
        self._tasks: set[asyncio.Future[None]] = set()
        self._failure_log = RateLimitedLog(ComponentLogger(name))
        self._server: asyncio.Server | None = None

    async def serve(self, address: HostPort) -> None:
        """Listen on the address."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), *address, reuse_address=True, backlog=LISTEN_BACKLOG
        )

    def handle(self, request: _Request) -> HttpReply | Awaitable[HttpReply]:
        """Return the handler's reply, or an awaitable of it; an exception becomes a reply with status 500."""
        try:
            return self._handler(request.method, request.target, request.body)
        except Exception as error:  # noqa: BLE001  top-level handler: logs the error, and the process continues
            return self.error_reply(error)

    def start_task(self, work: Awaitable[None]) -> asyncio.Future[None]:
        """Start a task that this server owns."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def error_reply(self, error: Exception) -> HttpReply:
        """Return the reply to a call whose handler raised, and log the exception at most once a second."""
        self._failure_log.exception(now(), "call handler raised", error, error=f"{type(error).__name__}: {error}")
        return HttpReply(500, {}, b'{"errorMessage":"internal error"}')

    async def close(self) -> None:
        """Stop listening, and wait for the calls in progress for at most CLOSE_TIMEOUT_S."""
        self.is_closing = True
        if self._server is not None:
            self._server.close()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)


def _encode(reply: HttpReply, is_kept_open: bool) -> bytes:
    lines = [
        f"HTTP/1.1 {reply.status} {REASON_PHRASES.get(reply.status, 'Status')}",
        f"Content-Length: {len(reply.body)}",
    ]
    lines += [f"{name}: {value}" for name, value in reply.headers.items()]
    if not is_kept_open:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + reply.body
