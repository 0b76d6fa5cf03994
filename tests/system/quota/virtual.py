"""A loop whose time is told by its own timers: what would be waited for is over at once."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.errors import Silent

T = TypeVar("T")


class _Skipping(selectors.SelectSelector):
    """Waits for nothing, and tells how long it would have waited."""

    def __init__(self, skip: Callable[[float], None]) -> None:
        super().__init__()
        self._skip = skip

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("everybody waits for nothing")
        self._skip(max(timeout, 0.0))
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in simulated time."""

    def __init__(self) -> None:
        self._at = 1000.0
        super().__init__(_Skipping(self._skip))

    def _skip(self, seconds: float) -> None:
        self._at += seconds

    def time(self) -> float:
        return self._at

    def now(self) -> float:
        """Steady ms, as hallhitch.node.clock.now."""
        return self._at * 1000


def run(main: Callable[[VirtualLoop], Coroutine[Any, Any, T]]) -> T:
    """Run to the end in simulated time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class Wires:
    """Calls between handlers by address, each way `trip` ms; who is in `silent` says nothing."""

    def __init__(self, trip: float = 10.0) -> None:
        self.trip, self.silent = trip, set[str]()
        self.handlers: dict[str, Callable[[Envelope], Envelope]] = {}
        self.calls: list[tuple[str, Envelope]] = []

    async def call(self, address: str, envelope: Envelope, wait: float) -> Envelope:
        """As Links.call."""
        self.calls.append((address, envelope))
        try:
            async with asyncio.timeout(wait / 1000):
                await asyncio.sleep(self.trip / 1000)
                if address in self.silent or address not in self.handlers:
                    await asyncio.sleep(3600)
                answer = self.handlers[address](Envelope.FromString(envelope.SerializeToString()))
                await asyncio.sleep(self.trip / 1000)
                return Envelope.FromString(answer.SerializeToString())
        except TimeoutError:
            raise Silent("call", address, "no answer") from None
