"""A bare pass-through: the gateway's socket calls and parser, and no decision. `python -m benchmarks.passthrough PORT
NODE...` listens on loopback and sends each request to the next node on a kept connection."""

from __future__ import annotations

import asyncio
import itertools
import socket
import sys
from collections import deque

import uvloop

from hallhitch.net.http import AnswerReader, Message, RequestReader, answer
from hallhitch.net.sockets import configure_socket, open_listener

BUFFER = 16_384


def head_of(request: Message) -> bytes:
    """The request as it goes to a node."""
    lines = [b"%s %s HTTP/1.1\r\nHost: service.internal" % (request.method, request.target)]
    for name in (b"req-id", b"idempotency-key", b"req-deadline-ms"):
        if name in request.headers:
            lines.append(name.title() + b": " + request.headers[name])
    if request.body or request.method != b"GET":
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


async def forward(request: Message, address: tuple[str, int], idle: deque[socket.socket]) -> Message:
    """One request to a node, and its answer."""
    loop = asyncio.get_running_loop()
    if idle:
        sock = idle.pop()
    else:
        sock = configure_socket(socket.socket())
        await loop.sock_connect(sock, address)
    await loop.sock_sendall(sock, head_of(request))
    reader, buffer = AnswerReader(), bytearray(BUFFER)
    while True:
        size = await loop.sock_recv_into(sock, buffer)
        found = reader.feed(memoryview(buffer)[:size])
        if found:
            idle.append(sock)
            return found[0]


async def client(sock: socket.socket, nodes: itertools.cycle[tuple[tuple[str, int], deque[socket.socket]]]) -> None:
    """One client's connection."""
    loop, reader, buffer = asyncio.get_running_loop(), RequestReader(), bytearray(BUFFER)
    while size := await loop.sock_recv_into(sock, buffer):
        for request in reader.feed(memoryview(buffer)[:size]):
            found = await forward(request, *next(nodes))
            await loop.sock_sendall(sock, answer(found.status, found.body))
    sock.close()


async def serve(port: int, addresses: list[str]) -> None:
    """Accept for ever."""
    loop, listener = asyncio.get_running_loop(), open_listener(("127.0.0.1", port))
    pools: list[tuple[tuple[str, int], deque[socket.socket]]] = []
    for address in addresses:
        host, _, at = address.partition(":")
        pools.append(((host, int(at)), deque()))
    nodes, tasks = itertools.cycle(pools), set()
    print("serving", flush=True)
    while True:
        sock, _ = await loop.sock_accept(listener)
        task = loop.create_task(client(configure_socket(sock), nodes))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), sys.argv[2:]))
