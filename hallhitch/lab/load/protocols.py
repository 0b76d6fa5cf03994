"""The protocols of generated load: the platform's HTTP protocol, and the limit server's TAKE command."""

from __future__ import annotations

import asyncio
import ipaddress
import itertools
import time
from dataclasses import dataclass
from typing import Protocol

from hallhitch.lab.errors import LabError
from hallhitch.lab.load.trace_format import TraceRequest


class NotLoopbackError(LabError, ValueError):
    """The address is not a loopback address; load is never sent to servers on other machines."""

    def __init__(self, address: str) -> None:
        super().__init__(f"{address} is not a loopback address")
        self.address = address


@dataclass(frozen=True, slots=True)
class Reply:
    """The parts of a server's reply that the generator uses."""

    status: str
    is_connection_kept: bool


class LoadProtocol(Protocol):
    """Encodes requests and reads replies."""

    def encode(self, request: TraceRequest) -> bytes:
        """Encode a request."""

    async def read_reply(self, reader: asyncio.StreamReader) -> Reply:
        """Read the reply to a request."""


class HttpProtocol:
    """The platform's HTTP protocol."""

    def __init__(self, gateways: int) -> None:
        self._ids = itertools.count(time.monotonic_ns() & 0xFFFFFFFFFFFF)
        self._gateways = gateways

    def encode(self, request: TraceRequest) -> bytes:
        """Encode a request."""
        id = next(self._ids)
        lines = [
            f"{'POST' if request.body else 'GET'} /{request.klass}/{request.customer} HTTP/1.1",
            f"Host: {request.tenant or 'service.internal'}",
            f"Req-Id: {id:016x}",
            f"X-Contract: {request.plan}",
            f"Req-Deadline-Ms: {request.deadline_ms}",
            f"X-Metering: units={request.units:g},spread={self._gateways},first=0",
        ]
        if request.body:
            lines += [f"Idempotency-Key: k{id:x}", f"Content-Length: {request.body}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + b"x" * request.body

    async def read_reply(self, reader: asyncio.StreamReader) -> Reply:
        """Read a response."""
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = head.partition(b"content-length:")[2].partition(b"\r\n")[0].strip()
        if length:
            await reader.readexactly(int(length))
        code = int(head[9:12])
        status = "served" if code == 200 else "refused" if code in (429, 503) else f"failed {code}"
        return Reply(status, b"connection: close" not in head)


class RespProtocol:
    """The limit server's TAKE command over RESP."""

    def encode(self, request: TraceRequest) -> bytes:
        """Encode a request as a TAKE command."""
        arguments = (
            "TAKE",
            request.customer,
            request.klass,
            request.plan,
            f"{request.units:g}",
            str(request.deadline_ms),
        )
        encoded = b"".join(b"$%d\r\n%s\r\n" % (len(word), word.encode()) for word in arguments)
        return b"*%d\r\n" % len(arguments) + encoded

    async def read_reply(self, reader: asyncio.StreamReader) -> Reply:
        """Read a reply, which is an array of two integers or an error."""
        first_line = (await reader.readuntil(b"\r\n"))[:-2]
        if first_line != b"*2":
            return Reply(f"failed {first_line.split()[0].decode(errors='replace')}", True)
        is_granted = (await reader.readuntil(b"\r\n"))[:-2] == b":1"
        await reader.readuntil(b"\r\n")
        return Reply("served" if is_granted else "refused", True)


def parse_loopback_address(address: str) -> tuple[str, int]:
    """Split a loopback address into host and port.

    Raises:
        NotLoopbackError: the host is not a loopback address.
        ValueError: the host is not an IP address, or the port is not a number.
    """
    host, _, port = address.rpartition(":")
    if not ipaddress.ip_address(host.strip("[]")).is_loopback:
        raise NotLoopbackError(address)
    return host.strip("[]"), int(port)
