"""A bare pass-through: the gateway's socket calls and parser, and no decision.

`python -m benchmarks.passthrough PORT BACKEND...` listens on loopback and forwards each request to the next backend on
a kept connection.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import sys
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

import uvloop

from hallhitch.net.http import Message, RequestReader, ResponseReader, encode_response
from hallhitch.net.sockets import configure_socket, open_listener

BUFFER_BYTES: Final = 16_384
FORWARDED_HEADERS: Final = (b"req-id", b"idempotency-key", b"req-deadline-ms")


@dataclass
class BackendPool:
    """A backend's address and its idle connections."""

    address: tuple[str, int]
    idle: deque[socket.socket] = field(default_factory=deque)


def encode_request(request: Message) -> bytes:
    """Return the request as a backend gets it."""
    lines = [b"%s %s HTTP/1.1\r\nHost: service.internal" % (request.method, request.target)]
    lines += [name.title() + b": " + request.headers[name] for name in FORWARDED_HEADERS if name in request.headers]
    if request.body or request.method != b"GET":
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


async def forward(request: Message, pool: BackendPool) -> Message:
    """Send one request to a backend and return its reply."""
    loop = asyncio.get_running_loop()
    if pool.idle:
        connection = pool.idle.pop()
    else:
        connection = configure_socket(socket.socket())
        await loop.sock_connect(connection, pool.address)
    await loop.sock_sendall(connection, encode_request(request))
    reader = ResponseReader()
    buffer = bytearray(BUFFER_BYTES)
    while True:
        size = await loop.sock_recv_into(connection, buffer)
        replies = reader.feed(memoryview(buffer)[:size])
        if replies:
            pool.idle.append(connection)
            return replies[0]


async def serve_client(connection: socket.socket, pools: Iterator[BackendPool]) -> None:
    """Serve one client's connection until it ends."""
    loop = asyncio.get_running_loop()
    reader = RequestReader()
    buffer = bytearray(BUFFER_BYTES)
    while size := await loop.sock_recv_into(connection, buffer):
        for request in reader.feed(memoryview(buffer)[:size]):
            reply = await forward(request, next(pools))
            await loop.sock_sendall(connection, encode_response(reply.status, reply.body))
    connection.close()


def parse_pool(address: str) -> BackendPool:
    """Return an empty pool for a backend's HOST:PORT."""
    host, _, port = address.partition(":")
    return BackendPool((host, int(port)))


async def serve(port: int, addresses: list[str]) -> None:
    """Accept connections until the process ends."""
    loop = asyncio.get_running_loop()
    listener = open_listener(("127.0.0.1", port))
    pools = itertools.cycle([parse_pool(address) for address in addresses])
    tasks = set[asyncio.Task[None]]()
    print("serving", flush=True)
    while True:
        connection, _ = await loop.sock_accept(listener)
        task = loop.create_task(serve_client(configure_socket(connection), pools))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), sys.argv[2:]))
