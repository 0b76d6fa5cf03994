"""The counter's listener for one gateway. It applies the faults of their link before the counter reads the data."""

from __future__ import annotations

import asyncio
import contextlib

from hallhitch.lab.counter_servers import COUNTER_SERVERS
from hallhitch.lab.http_messages import Reader, Writer
from hallhitch.lab.sockets.environment import SocketEnvironment
from hallhitch.lab.sockets.listener import Listener

READ_BYTES = 65_536


async def start_counter_listener(gateway: int, form: str, environment: SocketEnvironment) -> Listener:
    """Start a listener that serves one form of the counter's protocol: `http` or `resp`."""
    server = COUNTER_SERVERS[form](environment.counter)

    async def serve(reader: Reader, writer: Writer) -> None:
        forwarded = asyncio.StreamReader()
        forward_task = asyncio.get_running_loop().create_task(_forward(reader, forwarded, gateway, environment))
        try:
            await server.serve(forwarded, writer)
        finally:
            forward_task.cancel()

    return await Listener(serve).start()


async def _forward(reader: Reader, forwarded: Reader, gateway: int, environment: SocketEnvironment) -> None:
    """Forward the data that a gateway sends; once the link is cut, this connection delivers nothing more."""
    is_open = True
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            is_open = is_open and await environment.reaches(gateway, "counter")
            if is_open:
                forwarded.feed_data(data)
    forwarded.feed_eof()
