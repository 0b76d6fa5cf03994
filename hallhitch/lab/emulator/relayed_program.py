"""Run one of the system's programs unchanged, with its connections to the other processes redirected to relays.

`python -O -m hallhitch.lab.emulator.relayed_program MODULE NUMBER HOST PORT` takes the program, the number of the
process, its own host, and the port on which the system's processes reach each other. Only the destination of a
connection changes: for each pair of machines, a relay listens at an address of its own (`link_relays`). The relay sends
one byte once the other side has accepted or refused the connection, and nothing while the link is cut. Opening a
connection therefore takes a round trip, is refused, or hangs as it would without a relay.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, Final

from hallhitch.programs.reload_signal import hold_back_reloads

if TYPE_CHECKING:
    import asyncio
    import socket

REGIONS_PER_CALLER: Final = 10  # the second octet of a relay's address is 10 x CALLER + REGION
MAX_CALLERS: Final = 24  # so that the second octet is at most 255
CONNECTED: Final = b"+"
REFUSED: Final = b"-"


def relay_host(host: str, caller: int) -> str:
    """Return the address of the relay from a caller to a host, which has the caller encoded in the second octet.

    >>> relay_host("127.2.0.3", 4)
    '127.42.0.3'
    """
    first, region, rest = host.split(".", 2)
    return f"{first}.{REGIONS_PER_CALLER * caller + int(region)}.{rest}"


def parse_relay_host(host: str) -> tuple[int, str]:
    """Return the caller's number and the callee's host from the address of a relay.

    >>> parse_relay_host("127.42.0.3")
    (4, '127.2.0.3')
    """
    first, region, rest = host.split(".", 2)
    return int(region) // REGIONS_PER_CALLER, f"{first}.{int(region) % REGIONS_PER_CALLER}.{rest}"


async def connect_over_relay(loop: asyncio.AbstractEventLoop, host: str, port: int, caller: int) -> socket.socket:
    """Open a connection to a host over its relay.

    Raises:
        OSError: The host refuses the connection or it is reset, as it would be without a relay.
    """
    import socket

    sock = socket.socket()
    try:
        sock.setblocking(False)
        await loop.sock_connect(sock, (relay_host(host, caller), port))
        outcome = await loop.sock_recv(sock, 1)
        if outcome == CONNECTED:
            return sock
        if outcome == REFUSED:
            raise ConnectionRefusedError(f"{host}:{port} refused the connection")
        raise ConnectionResetError(f"{host}:{port} reset the connection")
    except BaseException:
        sock.close()
        raise


def main() -> None:
    """Run the program that the command line names, with uvloop patched to connect over relays."""
    hold_back_reloads()  # before the imports that take long, as the programs do
    import functools
    import runpy

    import uvloop

    module, caller, own_host, internal_port = sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4])

    class RelayedLoop(uvloop.Loop):
        """An event loop that connects to the system's other processes over relays."""

        async def create_connection(
            self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
        ) -> Any:
            """Connect over the relay if the destination is another process of the system, and directly otherwise."""
            if port == internal_port and host not in (None, own_host):
                options["sock"] = await connect_over_relay(self, host, port, caller)
                host = port = None
            return await super().create_connection(protocol_factory, host, port, **options)

    uvloop.run = functools.partial(uvloop.run, loop_factory=RelayedLoop)
    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
