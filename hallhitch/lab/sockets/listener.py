"""Utilities of the emulated parties on loopback: a clock, a listener, a task owner and a search for a free port."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from hallhitch.lab.http_messages import Reader, Writer


class LoopTime:
    """The clock of the models, in Unix ms; it advances with the monotonic clock and schedules on the running loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._unix_offset_ms = time.time() * 1000 - time.monotonic() * 1000

    @property
    def now(self) -> float:
        """The current time in Unix ms."""
        return self._unix_offset_ms + time.monotonic() * 1000

    def after(self, delay: float, callback: Callable[..., object], /, *args: object) -> object:
        """Schedule a callback after a delay in ms."""
        return self._loop.call_later(max(0.0, delay) / 1000, callback, *args)


class Listener:
    """A listener on loopback; stopping it also aborts its open connections."""

    def __init__(self, serve: Callable[[Reader, Writer], Awaitable[None]]) -> None:
        self._serve = serve
        self._writers = set[Writer]()
        self.address = ""

    async def start(self) -> Listener:
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    def stop(self) -> None:
        """Close the listener and abort the open connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _on_connection(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, EOFError, asyncio.LimitOverrunError, ValueError, asyncio.CancelledError):
            await self._serve(reader, writer)
        self._writers.discard(writer)
        writer.transport.abort()


class TaskOwner:
    """Keeps references to the background tasks of a run, so that they can be cancelled together."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine as a task of this owner."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def free_port() -> int:
    """Return a TCP port of 127.0.0.1 that no socket is bound to at the moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])
