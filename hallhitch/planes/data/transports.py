"""What client and backend connections have in common as asyncio transports.

Units: milliseconds where a name says `_ms`.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Final

# Up to here copying a body behind its head is cheaper than a second write.
JOINED_WRITE_MAX_BYTES: Final = 64 * 1024


class DisconnectedTransport(asyncio.Transport):
    """The transport of a protocol before `connection_made`: closing, and nothing can be written to it."""

    def is_closing(self) -> bool:
        """Return True: it never was open."""
        return True

    def close(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Drop the bytes."""

    def get_write_buffer_size(self) -> int:
        """Return 0: nothing waits."""
        return 0


DISCONNECTED: Final = DisconnectedTransport()


def configure_socket(transport: asyncio.Transport, unacknowledged_timeout_ms: int) -> None:
    """Send small writes at once, and fail the connection once the peer's host has acknowledged nothing for so long.

    Without the second, a peer whose host vanished would hold its connection until the kernel's retransmissions end,
    about a quarter of an hour.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_timeout_ms)
