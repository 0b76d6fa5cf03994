"""The members' datagrams on one UDP socket: read in bounded turns, checked, counted. It decides nothing.

A send that the machine has no room for is dropped and counted, as any datagram may be.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Callable

import structlog

from hallhitch.core.addresses import format_address, parse_address
from hallhitch.core.invariants import COUNTS
from hallhitch.membership.messages import SIZE_MOST, Datagram, Unreadable, decode, encode

TURN = 64  # datagrams read in one turn, so that requests are served between
log = structlog.get_logger()


class Link:
    """Sends and receives."""

    def __init__(
        self,
        cluster: str,
        allowed: Callable[[str], bool],
        most: int,
        clock: Callable[[], float],
        loop: asyncio.AbstractEventLoop,
        hear: Callable[[Datagram], None],
        heard: Callable[[], None],
    ) -> None:
        """`hear` gets each message, `heard` is called at the end of a turn; at most `most` a second are read."""
        self._cluster, self._allowed, self._most, self._clock, self._loop = cluster, allowed, most, clock, loop
        self._hear, self._heard = hear, heard
        self._sock: socket.socket | None = None
        self._left, self._filled = float(most), clock()
        self._buffer = bytearray(SIZE_MOST + 1)
        self.received = self.sent = self.bytes_in = self.bytes_out = 0
        self.dropped: Counter[str] = Counter()  # by reason

    def open(self, address: tuple[str, int]) -> str:
        """Listen there; the address that it is. OSError if it cannot be had."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        self.close()
        self._sock = sock
        self._loop.add_reader(sock, self._ready)
        return format_address(sock.getsockname())

    def close(self) -> None:
        """Neither send nor receive any more."""
        if self._sock is not None:
            self._loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None

    def send(self, address: str, message: Datagram) -> None:
        """Send, or drop."""
        data = encode(message)
        if self._sock is None or len(data) > SIZE_MOST:
            self.dropped["unsent"] += 1
            return
        with contextlib.suppress(OSError):
            self._sock.sendto(data, parse_address(address))
            self.sent += 1
            self.bytes_out += len(data)
            return
        self.dropped["unsent"] += 1

    def _ready(self) -> None:
        now = self._clock()
        self._left = min(float(self._most), self._left + (now - self._filled) / 1000 * self._most)
        self._filled = now
        for _ in range(TURN):
            if self._sock is None:
                return
            try:
                size, source = self._sock.recvfrom_into(self._buffer)
            except BlockingIOError:
                break
            except OSError:  # somebody's port was closed: told here, of a datagram sent before
                continue
            self._take(size, format_address(source))
        self._heard()

    def _take(self, size: int, source: str) -> None:
        if not self._allowed(source):
            self.dropped["network"] += 1
            return
        if self._left < 1:
            self.dropped["flood"] += 1
            return
        self._left -= 1
        try:
            message = decode(bytes(memoryview(self._buffer)[:size]), self._cluster)
        except Unreadable as error:
            self.dropped[str(error)] += 1
            return
        self.received += 1
        self.bytes_in += size
        try:
            self._hear(message)
        except Exception as error:  # whatever a datagram says, the gateway serves on
            COUNTS["actor_failed"] += 1
            log.error("actor failed", actor="members", exc_info=error)
