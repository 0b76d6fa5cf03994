"""The block of ports that one emulator uses, as offsets from its first port."""

from __future__ import annotations

import os
import socket
from typing import Final

INTERNAL_OFFSET: Final = 0  # start of the range that a node may use for calls between processes
INTERNAL_PORT_COUNT: Final = 8
OPERATOR_OFFSET: Final = 8
DIRECTORY_OFFSET: Final = 9
FRONTEND_OFFSET: Final = 10
READINESS_OFFSET: Final = 11
LIST_OFFSET: Final = 12
BACKEND_OFFSET: Final = 13
PORTS_PER_EMULATOR: Final = 16
FIRST_PORT: Final = 12_000
LAST_PORT: Final = 31_000  # below the range of ephemeral ports on Linux
PID_STRIDE: Final = 7  # keeps the blocks of processes with consecutive pids apart


def reserve_ports() -> tuple[int, socket.socket]:
    """Return the first port of a free block and a socket bound to it, which reserves the block until it is closed.

    Raises:
        OSError: No block is free.
    """
    block_count = (LAST_PORT - FIRST_PORT) // PORTS_PER_EMULATOR
    for step in range(block_count):
        base_port = FIRST_PORT + (os.getpid() * PID_STRIDE + step) % block_count * PORTS_PER_EMULATOR
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", base_port))
            return base_port, reservation  # noqa: TRY300  the usual case is read first
        except OSError:
            reservation.close()
    raise OSError("no block of ports is free for another emulator")
