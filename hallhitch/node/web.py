"""A small HTTP/1.1 server for calls that are few: the operator's, the directory's, readiness. Not for traffic."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import cast

import httptools

from hallhitch.node.clock import now
from hallhitch.node.logs import ComponentLogger, RateLimitedLog

HEAD_MOST = 64 * 1024
REASONS = {
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
Reply = tuple[int, Mapping[str, str], bytes]
Answerer = Callable[[str, str, bytes], "Reply | Awaitable[Reply]"]  # method, target, body


class _Connection(asyncio.Protocol):
    """One caller, one call at a time in order."""

    def __init__(self, web: Web) -> None:
        self._web = web
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._body, self._size = b"", bytearray(), 0
        self._queue: list[tuple[str, str, bytes, bool]] = []
        self._busy = False
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's own are none by name
        self._web.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._transport = None
        self._web.connections.discard(self)
        if self._task is not None:
            self._task.cancel()  # whoever asked is gone, and asks elsewhere: a late order dies with its caller

    def data_received(self, data: bytes) -> None:
        self._size += len(data)
        try:
            if self._size > self._web.most + HEAD_MOST:
                raise httptools.HttpParserError("too long")
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            status = 413 if self._size > self._web.most else 400
            self._write((status, {}, b'{"errorMessage":"the call cannot be read"}'), False)

    # Called by the parser.

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._queue.append(
            (
                self._parser.get_method().decode("latin-1"),
                self._url.decode("latin-1"),
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )
        self._url, self._body, self._size = b"", bytearray(), 0
        if not self._busy:
            self._next()

    def _next(self) -> None:
        while self._queue and not self._busy and self._transport is not None:
            method, target, body, keep = self._queue.pop(0)
            try:
                reply = self._web.answerer(method, target, body)
            except Exception as error:
                reply = self._web.failed(error)
            if isinstance(reply, tuple):
                self._write(reply, keep)
            else:
                self._busy = True
                task = self._task = asyncio.ensure_future(self._later(reply, keep))
                self._web.tasks.add(task)
                task.add_done_callback(self._web.tasks.discard)

    async def _later(self, reply: Awaitable[Reply], keep: bool) -> None:
        try:
            answer = await reply
        except Exception as error:
            answer = self._web.failed(error)
        self._busy = False
        self._write(answer, keep)
        self._next()

    def _write(self, reply: Reply, keep: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        status, headers, body = reply
        keep = keep and not self._web.closing
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if not keep:
            lines.append("Connection: close")
        self._transport.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        if not keep:
            self._transport.close()


class Web:
    """One listening address and what answers there."""

    def __init__(self, name: str, answerer: Answerer, most: int = 1024 * 1024) -> None:
        """`most` bounds a call's body, in bytes."""
        self.answerer, self.most, self.closing = answerer, most, False
        self.connections: set[_Connection] = set()
        self.tasks: set[asyncio.Future[None]] = set()
        self._rarely = RateLimitedLog(ComponentLogger(name))
        self._server: asyncio.Server | None = None

    async def serve(self, address: tuple[str, int]) -> None:
        """Listen."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), *address, reuse_address=True, backlog=512
        )

    def failed(self, error: Exception) -> Reply:
        """A call on which we failed."""
        self._rarely.warning(now(), f"a call failed: {type(error).__name__}: {error}")
        return 500, {}, b'{"errorMessage":"internal error"}'

    async def close(self) -> None:
        """Take nothing more, and let calls under way end."""
        self.closing = True
        if self._server is not None:
            self._server.close()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=1.0)
