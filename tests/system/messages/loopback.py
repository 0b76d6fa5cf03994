"""Helpers for tests over loopback: start processes, exchange raw frames, script servers, count handled calls."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from hallhitch.messages.addressing import cluster_id
from hallhitch.messages.frames import HEADER_BYTES
from hallhitch.messages.peer_links import PeerLinks
from hallhitch.messages.system_pb2 import CountRequest, CountResponse, Envelope

CLUSTER = "x"
CALLER_INCARNATION, SERVER_INCARNATION = 11, 22
CALLER_ADDRESS, SERVER_ADDRESS = "10.0.0.1:7000", "10.0.0.2:7000"
LONG_TIMEOUT_MS = 10_000  # long enough for any reply or error to arrive
SHORT_TIMEOUT_MS = 5  # for calls that get no reply

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class CountingHandler:
    """A handler that counts the calls for each tenant."""

    def __init__(self) -> None:
        self.handled: Counter[str] = Counter()

    def __call__(self, envelope: Envelope) -> Envelope:
        self.handled[envelope.count_request.tenant] += 1
        return Envelope(count_response=CountResponse(is_lease_holder=True))


def count_call() -> Envelope:
    """Return a call without content."""
    return Envelope(count_request=CountRequest())


async def start(links: PeerLinks) -> str:
    """Make a process listen on a free port; return its address."""
    await links.serve("127.0.0.1:0")
    assert links._server is not None
    return f"127.0.0.1:{links._server.sockets[0].getsockname()[1]}"


async def start_scripted(serve: Serve, limit: int = 2**16) -> tuple[asyncio.Server, str]:
    """Start a server that exchanges raw frames; return the server and its address."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=limit)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a raw connection."""
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


def encode_frame(**fields: object) -> bytes:
    """Return an encoded call of the test caller, with the given envelope fields set."""
    envelope = Envelope(
        cluster=cluster_id(CLUSTER),
        sender_incarnation=CALLER_INCARNATION,
        count_request=CountRequest(tenant="t"),
    )
    for name, value in fields.items():
        setattr(envelope, name, value)
    data = envelope.SerializeToString()
    return len(data).to_bytes(HEADER_BYTES, "big") + data


async def read_frame(reader: asyncio.StreamReader) -> Envelope:
    """Read a short frame."""
    size = int.from_bytes(await reader.readexactly(HEADER_BYTES), "big")
    return Envelope.FromString(await reader.readexactly(size))


async def wait_until(condition: Callable[[], bool]) -> None:
    """Run the event loop until the condition holds."""
    while not condition():
        await asyncio.sleep(0)
