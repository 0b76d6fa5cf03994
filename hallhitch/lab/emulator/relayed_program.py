"""Run one of the system's programs unchanged, with its calls to the others led over relays.

`python -O -m hallhitch.lab.emulator.relayed_program MODULE NUMBER HOST PORT`: the program, the number of the process,
its own host, and the port at which the system's processes reach each other. Only where a connection goes is changed: a
relay listens at the image of each other machine (`link_relays`). It sends one byte once the other side has accepted the
connection or refused it, and nothing while the link is cut; so opening a connection takes a round trip, is refused or
hangs as it would without a relay.
"""

from __future__ import annotations

import asyncio
import functools
import runpy
import socket
import sys
from typing import Any, Final

IMAGES_PER_CALLER: Final = 10  # the second number of an address is 10 x CALLER + REGION
MAX_CALLERS: Final = 24  # that second number is at most 255
CONNECTED: Final = b"+"
REFUSED: Final = b"-"


def image_of(host: str, caller: int) -> str:
    """Return where the relay from a caller to a host listens: 127.REGION.ZONE.MACHINE, its region shifted.

    >>> image_of("127.2.0.3", 4)
    '127.42.0.3'
    """
    first, region, rest = host.split(".", 2)
    return f"{first}.{IMAGES_PER_CALLER * caller + int(region)}.{rest}"


def parse_image(host: str) -> tuple[int, str]:
    """Return the caller and the host of an image.

    >>> parse_image("127.42.0.3")
    (4, '127.2.0.3')
    """
    first, region, rest = host.split(".", 2)
    return int(region) // IMAGES_PER_CALLER, f"{first}.{int(region) % IMAGES_PER_CALLER}.{rest}"


async def connect_over_relay(loop: asyncio.AbstractEventLoop, host: str, port: int, caller: int) -> socket.socket:
    """Return a connection to a host over the relay.

    Raises:
        OSError: As without a relay: the host refuses, or the connection is reset.
    """
    sock = socket.socket()
    try:
        sock.setblocking(False)
        await loop.sock_connect(sock, (image_of(host, caller), port))
        outcome = await loop.sock_recv(sock, 1)
        if outcome == CONNECTED:
            return sock
        if outcome == REFUSED:
            raise ConnectionRefusedError(f"{host}:{port} refuses")
        raise ConnectionResetError(f"{host}:{port} reset")
    except BaseException:
        sock.close()
        raise


def main() -> None:
    """Run the program that the command line names."""
    import uvloop

    module, caller, own_host, internal_port = sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4])

    class RelayedLoop(uvloop.Loop):
        """The program's event loop."""

        async def create_connection(
            self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
        ) -> Any:
            """Connect as ever, but over the relay to the system's other processes."""
            if port == internal_port and host not in (None, own_host):
                options["sock"] = await connect_over_relay(self, host, port, caller)
                host = port = None
            return await super().create_connection(protocol_factory, host, port, **options)

    uvloop.run = functools.partial(uvloop.run, loop_factory=RelayedLoop)
    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
