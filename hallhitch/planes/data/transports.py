"""Transport helpers that client and backend connections share.

Names that end in `_ms` are in milliseconds.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Final

# Up to this body size, one write of the concatenated head and body is cheaper than two writes.
JOINED_WRITE_MAX_BYTES: Final = 64 * 1024


class DisconnectedTransport(asyncio.Transport):
    """The placeholder transport of a protocol before `connection_made`; it drops all writes."""

    def is_closing(self) -> bool:
        """Return True: it was never open."""
        return True

    def close(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Drop the bytes."""

    def get_write_buffer_size(self) -> int:
        """Return 0: nothing is buffered."""
        return 0


DISCONNECTED: Final = DisconnectedTransport()


def configure_socket(transport: asyncio.Transport, unacknowledged_timeout_ms: int) -> None:
    """Disable Nagle's algorithm, and set how long sent data may stay unacknowledged before the connection fails.

    Without this time-out, a connection to a host that vanished would stay open until the kernel stops retransmitting,
    which takes about 15 minutes.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_timeout_ms)
