"""HTTP client for the platform's endpoint list, with a single connection and one request at a time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final
from urllib.parse import quote

from hallhitch.net.http import Malformed, Message, ResponseReader
from hallhitch.node.clock import now
from hallhitch.planes.discovery.endpoint_list import ListedBackend
from hallhitch.planes.discovery.endpoint_page import UnreadableRow, parse_page
from hallhitch.planes.discovery.errors import EndpointListError

MAX_PAGES: Final = 2000  # per list; ends a read if the platform repeats page tokens
READ_BYTES: Final = 65536  # maximum per read from the connection


@dataclass(frozen=True, slots=True)
class EndpointListReading:
    """The complete endpoint list and the time at which the read started (monotonic ms)."""

    started_at: float
    backends: list[ListedBackend]  # of the rows that can be read whole
    unreadable_rows: list[UnreadableRow] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    parser: ResponseReader


class PlatformClient:
    """Reads the endpoint list from the platform at one address.

    After a page that does not arrive in time the list is read from its first page again.
    """

    def __init__(self, address: tuple[str, int], page_timeout_ms: float) -> None:
        self._address = address
        self._page_timeout_ms = page_timeout_ms
        self._connection: _Connection | None = None
        self.request_count = 0

    async def read(self) -> EndpointListReading:
        """Read all pages of the list.

        Raises:
            EndpointListError: the platform did not respond in time, or its response is not a list.
        """
        reading, token = EndpointListReading(now(), []), ""
        for _ in range(MAX_PAGES):
            page = parse_page(await self._get(f"/instances?pageToken={quote(token)}" if token else "/instances"), now())
            reading.backends.extend(page.backends)
            reading.unreadable_rows.extend(page.unreadable_rows)
            if page.next_token is None:
                return _checked(reading)
            token = page.next_token
        raise EndpointListError(f"the list has more than {MAX_PAGES} pages")

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.writer.transport.abort()
            self._connection = None

    async def _get(self, target: str) -> bytes:
        is_reused = self._connection is not None
        try:
            return await self._request(target)
        except (OSError, Malformed) as error:
            if not is_reused:
                raise EndpointListError(_reason(error)) from error
        except ValueError as error:  # a host name that cannot be encoded
            raise EndpointListError(str(error)) from error
        # The platform may have closed the idle connection, or the network may have dropped it: retry over a new one.
        try:
            return await self._request(target)
        except (OSError, Malformed, ValueError) as error:
            raise EndpointListError(_reason(error)) from error

    async def _request(self, target: str) -> bytes:
        try:
            async with asyncio.timeout(self._page_timeout_ms / 1000):
                return await self._exchange(target)
        except (OSError, Malformed):
            self.close()
            raise

    async def _exchange(self, target: str) -> bytes:
        """Send a request and return the body of its response."""
        host, port = self._address
        if self._connection is None:
            reader, writer = await asyncio.open_connection(host, port)
            self._connection = _Connection(reader, writer, ResponseReader(can_stream=True))
        connection = self._connection
        self.request_count += 1
        connection.writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode("latin-1"))
        response = await _read_response(connection)
        body = await _read_body(connection, response)
        if not response.keep_alive:
            self.close()
        if response.status != 200:
            raise OSError(f"the platform responded with status {response.status}")
        return body


def _checked(reading: EndpointListReading) -> EndpointListReading:
    """Return the reading, unless its rows name no instance at all: then nothing is known, not even who is gone."""
    rows = reading.unreadable_rows
    if rows and not reading.backends and not any(row.instance for row in rows):
        raise EndpointListError("no row names an instance")
    return reading


def _reason(error: Exception) -> str:
    return "no response before the time-out" if isinstance(error, TimeoutError) else str(error)


async def _read_response(connection: _Connection) -> Message:
    """Read the head of the response, and also its body if that is short."""
    while True:
        data = await connection.reader.read(READ_BYTES)
        responses = connection.parser.feed(data) if data else connection.parser.end()
        if responses:
            return responses[0]
        if not data:
            raise ConnectionResetError("the platform closed the connection before a response")


async def _read_body(connection: _Connection, response: Message) -> bytes:
    """Return the body of the response; read the rest of a long body from the connection."""
    flow = response.flow
    if flow is None:
        return bytes(response.body)
    body = bytearray()
    while True:
        while flow.has_pieces:
            body += await flow.take()
        if flow.ended:
            return bytes(body)
        data = await connection.reader.read(READ_BYTES)
        if not data:
            raise ConnectionResetError("the platform closed the connection during a response")
        connection.parser.feed(data)
