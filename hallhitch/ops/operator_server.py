"""The operators' HTTP address: one call on each connection, beside the traffic.

Invariants:
- It holds at most `max_connections` connections, a share of the descriptors of its own.
- A caller that has not sent its call completely is dropped for a new one: it keeps nobody else from being answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

import structlog

from hallhitch.core.deadlines import Deadlines
from hallhitch.core.invariants import COUNTS
from hallhitch.net.http import Malformed, Message, RequestReader, encode_response, path_of
from hallhitch.net.sockets import Listener, configure_socket, shut_down
from hallhitch.net.timeouts import DeadlineTimeout

READ_TIMEOUT_MS: Final = 5000.0  # for a caller to send its call
WRITE_TIMEOUT_MS: Final = 1000.0  # for a caller to read its answer
LINGER_MS: Final = 250.0  # to read on behind an answer, so that a reset does not overtake it
READ_SIZE_BYTES: Final = 4096
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class OperatorReply:
    """The answer to an operator's call."""

    status: int
    body: str = ""
    content_type: str = "text/plain; charset=utf-8"


OperatorCalls = Mapping[tuple[str, str], Callable[[], OperatorReply]]  # by method and path


class OperatorServer:
    """Answers operators' calls; owns their connections and the tasks that serve them."""

    def __init__(
        self, calls: OperatorCalls, deadlines: Deadlines, loop: asyncio.AbstractEventLoop, max_connections: int
    ) -> None:
        self._max_connections = max_connections
        self._calls = calls
        self._deadlines = deadlines
        self._loop = loop
        self._has_call: dict[asyncio.Task[None], bool] = {}  # oldest connection first; was its call received
        self._listening = Listener(self._admit, deadlines, loop)

    def open(self, listener: socket.socket) -> None:
        """Start answering calls."""
        self._listening.open(listener)

    def close(self) -> None:
        """Stop listening and cancel the calls in progress."""
        self._listening.close()
        for task in self._has_call:
            task.cancel()

    def _admit(self, sock: socket.socket) -> None:
        if len(self._has_call) >= self._max_connections:
            COUNTS["ops_shed"] += 1
            oldest_incomplete = next((task for task, has_call in self._has_call.items() if not has_call), None)
            if oldest_incomplete is None:
                return sock.close()
            self._has_call.pop(oldest_incomplete)
            oldest_incomplete.cancel()
        task = self._loop.create_task(self._serve(configure_socket(sock)))
        self._has_call[task] = False
        task.add_done_callback(lambda done: self._has_call.pop(done, None))
        return None

    async def _serve(self, sock: socket.socket) -> None:
        """Answer the call of one connection."""
        with contextlib.suppress(OSError, asyncio.CancelledError), contextlib.closing(sock):
            try:
                reply = await self._reply_to_call(sock)
                if reply is not None:
                    async with DeadlineTimeout(self._deadlines, WRITE_TIMEOUT_MS):
                        await self._loop.sock_sendall(sock, encode_reply(reply))
                    sock.shutdown(socket.SHUT_WR)
                    async with DeadlineTimeout(self._deadlines, LINGER_MS):
                        while await self._loop.sock_recv(sock, READ_SIZE_BYTES):
                            pass
            finally:
                shut_down(sock)

    async def _reply_to_call(self, sock: socket.socket) -> OperatorReply | None:
        """Read a call and return its answer, None if the caller has disconnected."""
        reader = RequestReader()
        try:
            async with DeadlineTimeout(self._deadlines, READ_TIMEOUT_MS):
                request = await self._read_request(sock, reader)
        except Malformed as error:
            return OperatorReply(error.status, "unreadable\n")
        except TimeoutError:
            return OperatorReply(408, "the call did not come whole\n")
        finally:
            reader.close()
        if request is None:
            return None
        task = asyncio.current_task()
        if task in self._has_call:
            self._has_call[task] = True
        return self._dispatch(request.method.decode("latin-1"), path_of(request.target).decode("latin-1"))

    async def _read_request(self, sock: socket.socket, reader: RequestReader) -> Message | None:
        while True:
            data = await self._loop.sock_recv(sock, READ_SIZE_BYTES)
            requests = reader.feed(data)
            if requests:
                return requests[0]
            if not data:
                return None

    def _dispatch(self, method: str, path: str) -> OperatorReply:
        call = self._calls.get((method, path))
        if call is not None:
            try:
                return call()
            except Exception as error:  # noqa: BLE001  an outer edge: logged, and the process goes on
                COUNTS["actor_failed"] += 1
                log.error("actor failed", actor="second address", exc_info=error)  # noqa: TRY400
                return OperatorReply(500, "failed\n")
        if any(path == known_path for _, known_path in self._calls):
            return OperatorReply(405, "another method\n")
        return OperatorReply(404, "no such call\n")


def encode_reply(reply: OperatorReply) -> bytes:
    """Return an answer as bytes; the connection closes after it."""
    headers = f"Content-Type: {reply.content_type}\r\n".encode()
    return encode_response(reply.status, reply.body.encode(), headers=headers, close=True)
