"""Opening, accepting and closing of sockets, for all parts of the gateway."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable
from typing import Final

import structlog

from hallhitch.core.deadlines import Deadlines
from hallhitch.core.invariants import COUNTS
from hallhitch.net.timeouts import DeadlineTimeout

LISTEN_BACKLOG: Final = 1024
MAX_ACCEPTS_PER_TURN: Final = 64  # per iteration of the event loop, so that accepted connections are served meanwhile
ACCEPT_RETRY_MS: Final = 10.0  # after accept failed, for example because no descriptor is left
CLIENT_GONE_ERRNOS: Final = (errno.ECONNABORTED, errno.EPROTO)  # the client disconnected before it was accepted
log = structlog.get_logger()


def configure_socket(sock: socket.socket) -> socket.socket:
    """Make a connection non-blocking without Nagle's algorithm, and return it."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def open_listener(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking socket that listens on this address."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(LISTEN_BACKLOG)
    return sock


def inherit_listener(descriptor: int) -> socket.socket:
    """Return the listening socket that the platform passed on; other processes may share it.

    Raises:
        OSError: the descriptor is not a listening socket.
    """
    sock = socket.socket(fileno=descriptor)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()  # another part owns the descriptor and closes it
        raise OSError(f"descriptor {descriptor} is not a listening socket")
    sock.setblocking(False)
    return sock


async def connect(address: tuple[str, int], deadlines: Deadlines, timeout_ms: float) -> socket.socket:
    """Open a connection.

    Raises:
        OSError: the address cannot be reached; TimeoutError, a subclass, if `timeout_ms` passed.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = configure_socket(socket.socket(family, socket.SOCK_STREAM))
    try:
        async with DeadlineTimeout(deadlines, timeout_ms):
            await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


def shut_down(sock: socket.socket) -> None:
    """Shut a connection down in both directions; a read that is pending in the event loop ends as well."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def is_open_and_silent(sock: socket.socket) -> bool:
    """Return whether an idle connection is still open and has nothing to read."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class Listener:
    """Accepts connections from a listening socket, which other processes may share.

    It uses an event-loop callback instead of a task, because a cancelled task would lose a connection that it had just
    accepted.
    """

    def __init__(
        self, admit: Callable[[socket.socket], None], deadlines: Deadlines, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._on_accepted = admit
        self._deadlines = deadlines
        self._loop = loop
        self._is_open = False
        self._is_suspended = False
        self._is_paused = False
        # The earliest time from which a connection accepted now may have waited; 0 once the backlog was accepted.
        self.opened_at = 0.0

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._is_open

    def open(self, listener: socket.socket) -> None:
        """Accept connections from this socket from now on."""
        self._is_open = True
        self._listener = listener
        self.opened_at = self._deadlines.clock()
        self._loop.add_reader(self._listener, self._on_ready)

    def set_suspended(self, is_suspended: bool) -> None:
        """Stop accepting, so that connections wait or another process accepts them, or accept again."""
        if self._is_open and is_suspended != self._is_suspended:
            self._is_suspended = is_suspended
            if is_suspended:
                self._loop.remove_reader(self._listener)
            elif not self._is_paused:
                self._loop.add_reader(self._listener, self._on_ready)

    def pause(self, delay_ms: float) -> None:
        """Accept nothing for `delay_ms`: connections wait in the backlog."""
        if self._is_open and not self._is_paused:
            self._is_paused = True
            self._loop.remove_reader(self._listener)
            self._deadlines.call_after(delay_ms, self._resume)

    def close(self, accept_waiting: bool = False) -> None:
        """Stop listening; if `accept_waiting`, accept the connections in the backlog first.

        The socket is closed, not shut down, as a shutdown would affect every process that shares it.
        """
        if not self._is_open:
            return
        self._loop.remove_reader(self._listener)
        while accept_waiting and self._accept():
            pass
        self._is_open = False
        self._listener.close()

    def _on_ready(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self._is_suspended or self._is_paused or not self._accept():
                break
        self.opened_at = 0.0

    def _accept(self) -> bool:
        """Accept one connection; return whether another one may be waiting."""
        try:
            sock = self._listener.accept()[0]
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno in CLIENT_GONE_ERRNOS:
                return True
            COUNTS["accept_failed"] += 1
            log.warning("accept failed", error=str(error))
            self.pause(ACCEPT_RETRY_MS)
            return False
        self._on_accepted(sock)
        return True

    def _resume(self) -> None:
        self._is_paused = False
        if self._is_open and not self._is_suspended:
            self._loop.add_reader(self._listener, self._on_ready)
