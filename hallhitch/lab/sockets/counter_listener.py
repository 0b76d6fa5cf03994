"""The counter's listener for one gateway: faults of the link between them are applied before the counter reads."""

from __future__ import annotations

import asyncio
import contextlib

from hallhitch.lab.counter_servers import COUNTER_SERVERS
from hallhitch.lab.http_messages import Reader, Writer
from hallhitch.lab.sockets.environment import SocketEnvironment
from hallhitch.lab.sockets.listener import Listener

READ_BYTES = 65_536


async def start_counter_listener(gateway: int, form: str, environment: SocketEnvironment) -> Listener:
    """Start a listener that speaks one form of the counter's protocol: `http` or `resp`."""
    side = COUNTER_SERVERS[form](environment.counter)

    async def serve(reader: Reader, writer: Writer) -> None:
        arrived = asyncio.StreamReader()
        forwarding = asyncio.get_running_loop().create_task(_forward(reader, arrived, gateway, environment))
        try:
            await side.serve(arrived, writer)
        finally:
            forwarding.cancel()

    return await Listener(serve).start()


async def _forward(reader: Reader, arrived: Reader, gateway: int, environment: SocketEnvironment) -> None:
    """Forward what a gateway sends; after a cut nothing more arrives on the same connection."""
    is_open = True
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            is_open = is_open and await environment.reaches(gateway, "counter")
            if is_open:
                arrived.feed_data(data)
    arrived.feed_eof()
