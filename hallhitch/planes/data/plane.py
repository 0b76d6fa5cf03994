"""The data plane put together: clients in front, the decisions between, backends behind.

It hands on what the other planes tell and runs the sweep. It decides nothing itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from hallhitch.node.clock import now as steady
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.data.connection_pools import ConnectionPools
from hallhitch.planes.data.http_listener import HttpListener
from hallhitch.planes.data.http_messages import Room
from hallhitch.planes.data.interfaces import LoadBalancingPolicy, QuotaCounter
from hallhitch.planes.data.request_handler import Context
from hallhitch.planes.values import Backend, ClusterConfig, Gateway

SWEEP = 0.2  # s between looks at time-outs
STALL = 500.0  # ms between two looks from which this process was held up
RESERVED = 300  # descriptors for files, links and listeners
BACKEND_SHARE = 0.35  # of the others
HELD_SHARE = 0.25  # of the memory for long bodies that are held whole


class DataPlane:
    """Serves clients at the node's frontend address."""

    def __init__(
        self,
        node: NodeSettings,
        decisions: LoadBalancingPolicy[Any],
        counter: QuotaCounter,
        clock: Callable[[], float] = steady,
    ) -> None:
        """`clock` gives steady milliseconds."""
        self.figures: dict[str, int] = {}
        self._decisions, self._clock = decisions, clock
        descriptors = max(64, node.max_open_files - RESERVED)
        backends = int(descriptors * BACKEND_SHARE)
        room = Room(int(node.memory_mb * HELD_SHARE * 1024 * 1024))
        self._pools = ConnectionPools(clock, node.region, backends, self.figures, room)
        self.context = Context(decisions, counter, self._pools, clock, self.figures)
        self.front = HttpListener(self.context, node.listen_addresses["frontend"], descriptors - backends, room)
        self.front.retune()
        self._sweeper: asyncio.TimerHandle | None = None
        self._swept, self._stalled = clock(), False

    async def start(self) -> None:
        """Listen for clients; raises OSError."""
        await self.front.start()
        self._sweep()

    def set_config(self, config: ClusterConfig) -> None:
        """The cluster configuration, whole; in force for each request that is read from now on."""
        self._decisions.set_config(self._clock(), config)
        self._pools.services(config.services)
        self.context.config = config
        self.front.retune()

    def set_backends(self, entries: Sequence[Backend]) -> None:
        """All backends there are."""
        self._decisions.set_backends(self._clock(), entries)
        self._pools.backends(entries)

    def set_gateways(self, own: str, entries: Sequence[Gateway]) -> None:
        """All gateways that live."""
        self._decisions.set_gateways(self._clock(), own, entries)
        self._pools.gateways(sum(1 for entry in entries if entry.frontend))

    def leave(self) -> None:
        """Tell clients to come elsewhere, with each answer."""
        self.front.leave()

    def close_listener(self) -> None:
        """Let nobody new in."""
        self.front.close_listener()

    async def drained(self, until: float) -> bool:
        """Wait until all clients are gone, `until` (steady ms) at most; whether they are."""
        return await self.front.drained(until)

    def close(self) -> None:
        """End everything at once."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.front.close()
        self._pools.close()

    def _sweep(self) -> None:
        now = self._clock()
        # After a stall what came meanwhile is read first, once: nobody is late because this process was.
        if now - self._swept < STALL or self._stalled:
            self._stalled = False
            self.front.sweep(now)
            self._pools.sweep(now)
        else:
            self._stalled = True
        self._swept = now
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP, self._sweep)
