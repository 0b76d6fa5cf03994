"""Calls between message handlers in virtual time: waits end immediately, in the order of their timers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

from hallhitch.lab.simulation.virtual_time import VirtualLoop, close_loop
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.errors import RequestTimeout

Result = TypeVar("Result")

START_S: Final = 1000.0  # not 0: a steady clock does not start with the process
NEVER_S: Final = 3600.0  # longer than any time-out


def run(main: Callable[[VirtualLoop], Coroutine[Any, Any, Result]]) -> Result:
    """Run a coroutine to completion in virtual time."""
    loop = VirtualLoop(START_S)
    try:
        return loop.run_until_complete(main(loop))
    finally:
        close_loop(loop)


class VirtualNetwork:
    """Delivers calls to handlers by address, with `one_way_ms` each way; `unresponsive` addresses do not reply."""

    def __init__(self, one_way_ms: float = 10.0) -> None:
        self.one_way_ms = one_way_ms
        self.unresponsive: set[str] = set()
        self.handlers: dict[str, Callable[[Envelope], Envelope]] = {}
        self.calls: list[tuple[str, Envelope]] = []

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Call a handler, like PeerLinks.call.

        Raises:
            RequestTimeout: there was no reply in time.
        """
        self.calls.append((address, envelope))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await asyncio.sleep(self.one_way_ms / 1000)
                if address in self.unresponsive or address not in self.handlers:
                    await asyncio.sleep(NEVER_S)
                reply = self.handlers[address](Envelope.FromString(envelope.SerializeToString()))
                await asyncio.sleep(self.one_way_ms / 1000)
                return Envelope.FromString(reply.SerializeToString())
        except TimeoutError:
            raise RequestTimeout("call", address, "no reply") from None
