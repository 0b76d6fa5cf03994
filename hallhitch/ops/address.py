"""The second address: operators' calls over HTTP, one on each connection, beside the traffic.

It owns its own few descriptors. Who says nothing, or half a call, never stands in the way of a whole call.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import structlog

from hallhitch.core.deadlines import Deadlines
from hallhitch.core.invariants import COUNTS
from hallhitch.net.http import Malformed, RequestReader, answer, path_of
from hallhitch.net.sockets import Listening, Within, cut, tune

LISTEN = 5000.0  # ms that a caller may take over its call
WRITE = 1000.0  # ms for a caller to take its answer
LINGER = 250.0  # ms to go on reading behind an answer, so that it arrives
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Reply:
    """What a call is answered with."""

    status: int
    body: str = ""
    kind: str = "text/plain; charset=utf-8"


Calls = Mapping[tuple[str, str], Callable[[], Reply]]  # by method and path


class SecondAddress:
    """Answers operators' calls."""

    def __init__(self, calls: Calls, deadlines: Deadlines, loop: asyncio.AbstractEventLoop, most: int) -> None:
        """Hold `most` callers at once; past that the oldest that has not made its call makes room."""
        self._most = most
        self._calls, self._deadlines, self._loop = calls, deadlines, loop
        self._callers: dict[asyncio.Task[None], bool] = {}  # oldest first; whether the call has come whole
        self._listening = Listening(self._admit, deadlines, loop)

    def open(self, listener: socket.socket) -> None:
        """Answer from now on."""
        self._listening.open(listener)

    def close(self) -> None:
        """Answer nobody any more."""
        self._listening.close()
        for task in self._callers:
            task.cancel()

    def _admit(self, sock: socket.socket) -> None:
        if len(self._callers) >= self._most:
            COUNTS["ops_shed"] += 1
            oldest = next((task for task, whole in self._callers.items() if not whole), None)
            if oldest is None:
                return sock.close()
            self._callers.pop(oldest)
            oldest.cancel()
        task = self._loop.create_task(self._serve(tune(sock)))
        self._callers[task] = False
        task.add_done_callback(lambda done: self._callers.pop(done, None))

    async def _serve(self, sock: socket.socket) -> None:
        """One call."""
        with contextlib.suppress(OSError, asyncio.CancelledError), contextlib.closing(sock):
            try:
                reply = await self._heard(sock)
                if reply is not None:
                    async with Within(self._deadlines, WRITE):
                        await self._loop.sock_sendall(sock, written(reply))
                    sock.shutdown(socket.SHUT_WR)
                    async with Within(self._deadlines, LINGER):
                        while await self._loop.sock_recv(sock, 4096):
                            pass
            finally:
                cut(sock)

    async def _heard(self, sock: socket.socket) -> Reply | None:
        """What to answer; None where the caller has gone."""
        reader = RequestReader()
        try:
            async with Within(self._deadlines, LISTEN):
                while not (whole := reader.feed(data := await self._loop.sock_recv(sock, 4096))):
                    if not data:
                        return None
        except Malformed as error:
            return Reply(error.status, "unreadable\n")
        except TimeoutError:
            return Reply(408, "the call did not come whole\n")
        finally:
            reader.close()
        task = asyncio.current_task()
        if task in self._callers:
            self._callers[task] = True
        return self._answer(whole[0].method.decode("latin-1"), path_of(whole[0].target).decode("latin-1"))

    def _answer(self, method: str, path: str) -> Reply:
        call = self._calls.get((method, path))
        if call is not None:
            try:
                return call()
            except Exception as error:
                COUNTS["actor_failed"] += 1
                log.error("actor failed", actor="second address", exc_info=error)
                return Reply(500, "failed\n")
        if any(path == known for _, known in self._calls):
            return Reply(405, "another method\n")
        return Reply(404, "no such call\n")


def written(reply: Reply) -> bytes:
    """An answer as bytes; the connection ends with it."""
    return answer(reply.status, reply.body.encode(), headers=f"Content-Type: {reply.kind}\r\n".encode(), close=True)
