"""A recording proxy on loopback in front of a gateway: it relays bytes unchanged both ways and records each request.

It records a request with the time at which it had arrived completely, in ms since the first request, and never records
responses.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import IO, Final

import msgspec

from hallhitch.lab.load.protocols import parse_loopback_address
from hallhitch.lab.load.trace_format import TraceRequest
from hallhitch.lab.load.trace_import import REQUEST_PATH
from hallhitch.net.http import Malformed, Message, RequestReader

READ_BYTES: Final = 65_536


def parse_trace_request(message: Message, at_ms: float) -> TraceRequest | None:
    """Parse a request of the platform's protocol; None if it has no class, customer or valid headers."""
    path = REQUEST_PATH.fullmatch(message.target.decode("latin-1"))
    headers = message.headers
    if path is None or b"x-contract" not in headers:
        return None
    metering = dict(part.strip().partition(b"=")[::2] for part in headers.get(b"x-metering", b"").split(b","))
    try:
        return TraceRequest(
            at_ms,
            path[1],
            path[2].lower(),
            headers[b"x-contract"].decode("latin-1"),
            float(metering.get(b"units", b"1")),
            int(headers[b"req-deadline-ms"]),
            len(message.body),
        )
    except (KeyError, ValueError):
        return None


class TraceRecorder:
    """The recording proxy.

    A connection whose bytes are not HTTP requests is still relayed, and counted in `unreadable_connections`. Requests
    that name no class and customer are relayed and counted in `skipped`.
    """

    def __init__(self, gateway_address: str, file: IO[bytes]) -> None:
        self._gateway_address = parse_loopback_address(gateway_address)
        self._file = file
        self._first_request_at: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.recorded = 0
        self.skipped = 0
        self.unreadable_connections = 0
        self.address = ""

    async def start(self, address: str) -> None:
        """Start listening.

        Raises:
            OSError: the address cannot be bound.
            ValueError: the address is not a loopback address.
        """
        host, port = parse_loopback_address(address)
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Close the listener and the connections, and flush the file."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._file.flush()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay a connection, in a task that `stop` cancels."""
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        upstream_writer: asyncio.StreamWriter | None = None
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self._gateway_address)
            directions = [
                asyncio.ensure_future(self._forward_requests(reader, upstream_writer)),
                asyncio.ensure_future(self._forward(upstream_reader, writer)),
            ]
            try:
                await asyncio.gather(*directions)
            finally:
                for direction in directions:
                    direction.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            if upstream_writer is not None:
                upstream_writer.transport.abort()

    async def _forward_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward a client's data, and record its requests as long as they can be parsed."""
        parser: RequestReader | None = RequestReader()
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            if parser is not None and not self._record(parser, data):
                parser = None
            await writer.drain()
        self._forward_end(writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
        self._forward_end(writer)

    def _forward_end(self, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            writer.write_eof()

    def _record(self, parser: RequestReader, data: bytes) -> bool:
        """Record the requests that this data completes; returns whether the connection can still be parsed."""
        try:
            messages = parser.feed(data)
        except Malformed:
            self.unreadable_connections += 1
            return False
        for message in messages:
            now = time.monotonic() * 1000
            if self._first_request_at is None:
                self._first_request_at = now
            request = parse_trace_request(message, round(now - self._first_request_at, 3))
            if request is None:
                self.skipped += 1
                continue
            self._file.write(msgspec.json.encode(request) + b"\n")
            self.recorded += 1
        return True
