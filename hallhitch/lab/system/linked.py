"""Runs one of the system's programs, unchanged, with its calls to the others led over the rig's relays.

`python -O -m hallhitch.lab.system.linked MODULE NUMBER HOST PORT`: the program, the process's number, its own host, the
port at which the system's processes reach each other. Only where a connection goes is changed: a relay stands at the
image of each other machine. It says + once the other side has taken the connection, - where it was refused, and nothing
while the link is cut; so opening one takes a round trip, is refused or hangs as it would without a relay.
"""

from __future__ import annotations

import functools
import runpy
import socket
import sys
from typing import Any

STEP = 10  # the images that one process sees lie between two multiples of it
CALLERS = 24  # processes that may have images
TAKEN, REFUSED = b"+", b"-"


def image(host: str, caller: int) -> str:
    """Where the relay from a caller to a host stands: 127.REGION.ZONE.MACHINE, its region shifted.

    >>> image("127.2.0.3", 4)
    '127.42.0.3'
    """
    first, region, rest = host.split(".", 2)
    return f"{first}.{STEP * caller + int(region)}.{rest}"


def real(host: str) -> tuple[int, str]:
    """The caller and the host that an image is made of.

    >>> real("127.42.0.3")
    (4, '127.2.0.3')
    """
    first, region, rest = host.split(".", 2)
    return int(region) // STEP, f"{first}.{int(region) % STEP}.{rest}"


async def connected(loop: Any, host: str, port: int, caller: int) -> socket.socket:
    """A connection to a host over the relay; raises OSError as a plain one would."""
    sock = socket.socket()
    try:
        sock.setblocking(False)
        await loop.sock_connect(sock, (image(host, caller), port))
        told = await loop.sock_recv(sock, 1)
        if told == TAKEN:
            return sock
        raise (
            ConnectionRefusedError(f"{host}:{port} refuses")
            if told == REFUSED
            else ConnectionResetError(f"{host}:{port} reset")
        )
    except BaseException:
        sock.close()
        raise


def main() -> None:
    """Run the program."""
    import uvloop

    module, caller, own, internal = sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4])

    class Loop(uvloop.Loop):
        """The program's loop."""

        async def create_connection(
            self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
        ) -> Any:
            """As ever, but over the relay to the system's others."""
            if port == internal and host not in (None, own):
                more["sock"] = await connected(self, host, port, caller)
                host = port = None
            return await super().create_connection(protocol_factory, host, port, **more)

    uvloop.run = functools.partial(uvloop.run, loop_factory=Loop)
    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
