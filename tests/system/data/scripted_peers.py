"""HTTP clients and backends that a test controls message by message."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

SEAL_LINE = b"Hallhitch-Response-Seal: s\r\n"


class ReceivedHead(NamedTuple):
    """The head of a received message."""

    start_line: bytes
    fields: dict[bytes, bytes]  # names in lower case

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split()[1])


class ReceivedMessage(NamedTuple):
    """A message that was received completely."""

    start_line: bytes
    fields: dict[bytes, bytes]  # names in lower case
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split()[1])


class Peer:
    """One end of a connection: reads HTTP messages and writes bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.request_id = b""  # of the message that was read last

    async def read_head(self) -> ReceivedHead:
        """Read the head of the next message.

        Raises:
            asyncio.IncompleteReadError: the connection was closed.
        """
        start_line, *lines = (await self.reader.readuntil(b"\r\n\r\n"))[:-4].split(b"\r\n")
        fields = {name.lower(): value for name, _, value in (line.partition(b": ") for line in lines)}
        self.request_id = fields.get(b"hallhitch-request-id", self.request_id)
        return ReceivedHead(start_line, fields)

    async def read_message(self) -> ReceivedMessage:
        """Read the next message with its body."""
        start_line, fields = await self.read_head()
        if b"chunked" in fields.get(b"transfer-encoding", b""):
            return ReceivedMessage(start_line, fields, await self._read_chunks())
        length = int(fields.get(b"content-length", b"0"))
        return ReceivedMessage(start_line, fields, await self.reader.readexactly(length))

    async def _read_chunks(self) -> bytes:
        body = b""
        while size := int((await self.reader.readuntil(b"\r\n"))[:-2], 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return body

    def write(self, data: bytes) -> None:
        """Write bytes unchanged."""
        self.writer.write(data)

    def respond(
        self, status: int = 200, body: bytes = b"", field_lines: bytes = SEAL_LINE, request_id: bytes | None = None
    ) -> None:
        """Write a response; its default request id is that of the last request that was read."""
        self.write(
            b"HTTP/1.1 %d X\r\nHallhitch-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, self.request_id if request_id is None else request_id, field_lines, len(body), body)
        )

    def reset(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()


Script = Callable[[Peer], Awaitable[None]]
ResponseAction = Callable[[Peer], None]


class ScriptedBackend:
    """A backend that records requests and performs the listed responses in order, repeating the last one."""

    def __init__(self, *responses: ResponseAction, is_paused: bool = False) -> None:
        """If `is_paused`, it does not respond until `may_respond` is set."""
        self.responses = responses
        self.requests: list[ReceivedMessage] = []
        self.connection_count = 0
        self.request_received = asyncio.Event()
        self.may_respond = asyncio.Event()
        if not is_paused:
            self.may_respond.set()

    async def __call__(self, peer: Peer) -> None:
        """Serve one connection."""
        self.connection_count += 1
        while True:
            self.requests.append(await peer.read_message())
            respond = self.responses[min(len(self.requests), len(self.responses)) - 1]
            self.request_received.set()
            await self.may_respond.wait()
            respond(peer)


def respond_with(body: bytes = b"ok", status: int = 200, field_lines: bytes = SEAL_LINE) -> ResponseAction:
    """Return an action that writes this response."""
    return lambda peer: peer.respond(status, body, field_lines)


def write_and_close(data: bytes) -> ResponseAction:
    """Return an action that writes these bytes and closes the connection."""

    def act(peer: Peer) -> None:
        peer.write(data)
        peer.writer.close()

    return act


def encode_request(
    path: str = "/x", request_id: str = "id-1", field_lines: str = "", method: str = "GET", body: bytes = b""
) -> bytes:
    """Return the bytes of a request to shop.example."""
    length_line = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nHallhitch-Request-Id: {request_id}\r\n"
        f"{length_line}{field_lines}\r\n"
    ).encode() + body
