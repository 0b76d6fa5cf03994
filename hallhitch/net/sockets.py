"""Sockets as every part of the program opens, takes and closes them."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable

import structlog

from hallhitch.core.deadlines import Deadlines
from hallhitch.core.invariants import COUNTS

ACCEPTS = 64  # connections taken in one turn, so that those already taken are served meanwhile
ACCEPT_AGAIN = 10.0  # ms to wait where the machine has no descriptor left
GONE = (errno.ECONNABORTED, errno.EPROTO)  # who was there has left again: no failure of ours
log = structlog.get_logger()


def tune(sock: socket.socket) -> socket.socket:
    """Settings of every connection."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def listen(address: tuple[str, int]) -> socket.socket:
    """A listening socket on this address only."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    sock.listen(1024)
    return sock


def inherited(number: int) -> socket.socket:
    """A listening socket that the platform holds, and other processes beside this one; OSError if it is none."""
    sock = socket.socket(fileno=number)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()  # whatever it is, it is not ours to close
        raise OSError(f"descriptor {number} is no listening socket")
    sock.setblocking(False)
    return sock


class Listening:
    """Takes connections off a listener, which other processes may take from as well.

    A callback of the loop, not a task: a connection that a cancelled task had just taken would be lost.
    """

    def __init__(
        self, admit: Callable[[socket.socket], None], deadlines: Deadlines, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._admit, self._deadlines, self._loop = admit, deadlines, loop
        self._open = False
        self._resting = self._pausing = False
        # Since when a connection that is just being taken may have waited; 0 once those that came first are taken.
        self.opened = 0.0

    @property
    def listens(self) -> bool:
        """Whether connections are taken."""
        return self._open

    def open(self, listener: socket.socket) -> None:
        """Take connections off this listener from now on."""
        self._open, self._listener, self.opened = True, listener, self._deadlines.clock()
        self._loop.add_reader(self._listener, self._ready)

    def rest(self, resting: bool) -> None:
        """Leave connections where they wait for a while, for another process that takes them too; or go on."""
        if self._open and resting != self._resting:
            self._resting = resting
            if resting:
                self._loop.remove_reader(self._listener)
            elif not self._pausing:
                self._loop.add_reader(self._listener, self._ready)

    def pause(self, delay: float) -> None:
        """Take none for some ms: what comes meanwhile waits in the listener's line."""
        if self._open and not self._pausing:
            self._pausing = True
            self._loop.remove_reader(self._listener)
            self._deadlines.call_after(delay, self._again)

    def close(self, rest: bool = False) -> None:
        """Take none any more, but for those that wait if `rest` says so.

        Only closed, never shut down: that would end it for every process that holds it.
        """
        if not self._open:
            return
        self._loop.remove_reader(self._listener)
        while rest and self._take():
            pass
        self._open = False
        self._listener.close()

    def _ready(self) -> None:
        for _ in range(ACCEPTS):
            if self._resting or self._pausing or not self._take():
                break
        self.opened = 0.0

    def _take(self) -> bool:
        try:
            sock = self._listener.accept()[0]
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno in GONE:
                return True
            COUNTS["accept_failed"] += 1
            log.warning("accept failed", error=str(error))
            self.pause(ACCEPT_AGAIN)
            return False
        self._admit(sock)
        return True

    def _again(self) -> None:
        self._pausing = False
        if self._open and not self._resting:
            self._loop.add_reader(self._listener, self._ready)


class Within:
    """Ends what runs inside it with TimeoutError after some milliseconds, by the one deadline structure."""

    def __init__(self, deadlines: Deadlines, delay: float) -> None:
        self._deadlines, self._delay, self._hit = deadlines, delay, False

    async def __aenter__(self) -> None:
        self._task = asyncio.current_task()
        self._entry = self._deadlines.call_after(self._delay, self._cancel)

    def _cancel(self) -> None:
        self._hit = True
        if self._task is not None:
            self._task.cancel()

    async def __aexit__(self, kind: type[BaseException] | None, *_: object) -> None:
        self._deadlines.cancel(self._entry)
        if self._hit and self._task is not None and self._task.uncancel() == 0:
            raise TimeoutError


async def pause(deadlines: Deadlines, delay: float) -> None:
    """Wait some milliseconds."""
    with contextlib.suppress(TimeoutError):
        async with Within(deadlines, delay):
            await asyncio.get_running_loop().create_future()


async def connect(address: tuple[str, int], deadlines: Deadlines, timeout: float) -> socket.socket:
    """A new connection, within a time-out in milliseconds; raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = tune(socket.socket(family, socket.SOCK_STREAM))
    try:
        async with Within(deadlines, timeout):
            await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


def cut(sock: socket.socket) -> None:
    """End a connection now, also where a read of it still hangs in the loop."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def alive(sock: socket.socket) -> bool:
    """Whether an idle connection is still open and silent, as it must be."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
