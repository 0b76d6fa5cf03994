"""A loop whose time is told by its own timers: what would be waited for is over at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from hallhitch.lab.simulation.virtual_time import VirtualLoop as VirtualLoop
from hallhitch.lab.simulation.virtual_time import close
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.errors import RequestTimeout

T = TypeVar("T")


BEGIN = 1000.0  # s: a steady clock does not begin with the process


def run(main: Callable[[VirtualLoop], Coroutine[Any, Any, T]]) -> T:
    """Run to the end in simulated time."""
    loop = VirtualLoop(BEGIN)
    try:
        return loop.run_until_complete(main(loop))
    finally:
        close(loop)


class Wires:
    """Calls between handlers by address, each way `trip` ms; who is in `silent` says nothing."""

    def __init__(self, trip: float = 10.0) -> None:
        self.trip, self.silent = trip, set[str]()
        self.handlers: dict[str, Callable[[Envelope], Envelope]] = {}
        self.calls: list[tuple[str, Envelope]] = []

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """As PeerLinks.call."""
        self.calls.append((address, envelope))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await asyncio.sleep(self.trip / 1000)
                if address in self.silent or address not in self.handlers:
                    await asyncio.sleep(3600)
                answer = self.handlers[address](Envelope.FromString(envelope.SerializeToString()))
                await asyncio.sleep(self.trip / 1000)
                return Envelope.FromString(answer.SerializeToString())
        except TimeoutError:
            raise RequestTimeout("call", address, "no answer") from None
