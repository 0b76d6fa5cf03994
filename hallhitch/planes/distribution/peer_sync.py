"""A coordinator's pulls: from each other coordinator, all the time.

Owns one task and one `Source` for each. What was taken is kept over pulls that failed: versions make it harmless.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable

from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.clock import now
from hallhitch.node.errors import PeerCallError
from hallhitch.node.settings import RuleBounds
from hallhitch.planes.distribution.peer_replica import HOLD, Calls, PeerReplica
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.values import Gateway

REST = 200.0  # ms between tries where nobody answers
SLOWEST_SHARE = 0.6  # of contactWindow: an answer that takes longer is given up
FORGET_AFTER = 4  # contact windows of silence after which a coordinator that nobody names is not asked any more


class PeerSync:
    """All other coordinators that there may be."""

    def __init__(
        self,
        links: Calls,
        hub: StateHub,
        own: Callable[[], Gateway],
        heard: Callable[[], None],
        clock: Callable[[], float] = now,
        bounds: RuleBounds | None = None,
    ) -> None:
        """`heard` is told after each answer."""
        self._links, self._hub, self._own, self._heard, self._clock = links, hub, own, heard, clock
        self._bounds = bounds or RuleBounds()
        self.sources: dict[str, PeerReplica] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def meet(self, addresses: Iterable[str]) -> None:
        """Coordinators that there may be; those already known stay until `leave`."""
        for address in addresses:
            if address != self._own().address and address not in self._tasks:
                self.sources[address] = PeerReplica(address, self._clock)
                self._tasks[address] = asyncio.ensure_future(self._follow(self.sources[address]))

    def leave(self, address: str) -> None:
        """One that is gone for good."""
        task = self._tasks.pop(address, None)
        if task is not None:
            task.cancel()
            del self.sources[address]

    def forget_gone(self, named: Collection[str]) -> None:
        """Let those go that were silent for long, but for members and seeds (`named`). One that is back pulls here."""
        bound = self._clock() - FORGET_AFTER * self._bounds.contact_window_ms
        for address, source in list(self.sources.items()):
            if address not in named and max(source.heard, source.met) < bound:
                self.leave(address)

    def stop(self) -> None:
        """End."""
        for address in list(self._tasks):
            self.leave(address)

    def alive(self, within: float) -> list[str]:
        """Those that answered within so many ms."""
        return [address for address, source in self.sources.items() if self._clock() - source.heard < within]

    async def _follow(self, source: PeerReplica) -> None:
        while True:
            if not await self._pull(source):
                self._heard()
                await asyncio.sleep(REST / 1000)

    async def _pull(self, source: PeerReplica) -> bool:
        """One pull; whether there was an answer."""
        asked = self._clock()
        pull = Envelope(state_request=source.pull(self._own(), self._hub, HOLD, True))
        wait = HOLD + source.patience(SLOWEST_SHARE * self._bounds.contact_window_ms)
        try:
            answer = await self._links.call(source.address, pull, wait)
        except PeerCallError:
            source.trip.observe(max(1.0, self._clock() - asked - HOLD))
            return False
        if not answer.HasField("state_update"):
            return False
        source.answered(answer.state_update, asked, self._bounds.serving_lease_ms)
        source.take(answer.state_update, self._hub, asked, lists=False)
        self.meet(answer.state_update.coordinators)
        self._heard()
        return True
