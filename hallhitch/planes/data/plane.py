"""The data plane of one gateway: client connections, load balancing and backend connections put together.

It divides descriptors and memory among them, passes on what the other planes know, and runs their time-outs. It makes
no decision on a request itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, Final

from hallhitch.node.clock import now as steady_now
from hallhitch.node.metrics import Metric, MetricKind
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.data.connection_pools import ConnectionPools
from hallhitch.planes.data.context import DataPlaneContext
from hallhitch.planes.data.http_listener import HttpListener
from hallhitch.planes.data.http_readers import BodyMemory
from hallhitch.planes.data.interfaces import LoadBalancingPolicy, QuotaCounter
from hallhitch.planes.values import Backend, ClusterConfig, Gateway

# Short beside the shortest time-out of a connection, and a small load however many connections there are.
EXPIRY_INTERVAL_S: Final = 0.2
# A gap between two expiry runs by which this process itself was suspended or overloaded.
STALL_GAP_MS: Final = 500.0
# Descriptors for files, for links to other programs and for listeners.
RESERVED_DESCRIPTORS: Final = 300
MIN_DESCRIPTORS: Final = 64
# Of the remaining descriptors; clients get the others, as they also hold connections that are idle.
BACKEND_DESCRIPTOR_RATIO: Final = 0.35
# Of the node's memory; the rest is for connections, for other planes and for the interpreter.
BODY_MEMORY_RATIO: Final = 0.25
BYTES_PER_MB: Final = 1024 * 1024


class DataPlane:
    """Serves clients at the node's frontend address."""

    def __init__(
        self,
        node: NodeSettings,
        load_balancer: LoadBalancingPolicy[Any],
        quota_counter: QuotaCounter,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        """`clock` gives steady milliseconds."""
        self.event_counts: dict[str, int] = {}
        self._load_balancer = load_balancer
        self._clock = clock
        descriptors = max(MIN_DESCRIPTORS, node.max_open_files - RESERVED_DESCRIPTORS)
        backend_descriptors = int(descriptors * BACKEND_DESCRIPTOR_RATIO)
        body_memory = BodyMemory(int(node.memory_mb * BODY_MEMORY_RATIO * BYTES_PER_MB))
        self._pools = ConnectionPools(clock, node.region, backend_descriptors, self.event_counts, body_memory)
        self.context = DataPlaneContext(load_balancer, quota_counter, self._pools, clock, self.event_counts)
        self.listener = HttpListener(
            self.context, node.listen_addresses["frontend"], descriptors - backend_descriptors, body_memory
        )
        self.listener.on_config_changed()
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._last_expiry_at = clock()
        self._was_stalled = False

    async def start(self) -> None:
        """Listen for clients.

        Raises:
            OSError: the frontend address cannot be listened at.
        """
        await self.listener.start()
        self._expire_idle()

    # What other planes know.

    def set_config(self, config: ClusterConfig) -> None:
        """Replace the cluster configuration; it applies to each request that is read from now on."""
        self._load_balancer.set_config(self._clock(), config)
        self._pools.set_services(config.services)
        self.context.config = config
        self.listener.on_config_changed()

    def set_backends(self, entries: Sequence[Backend]) -> None:
        """Replace the list of all backends."""
        self._load_balancer.set_backends(self._clock(), entries)
        self._pools.set_backends(entries)

    def set_gateways(self, entries: Sequence[Gateway]) -> None:
        """Replace the list of all live gateways."""
        self._load_balancer.set_gateways(self._clock(), entries)
        self._pools.set_gateway_count(sum(1 for entry in entries if entry.frontend))

    def metrics(self) -> list[Metric]:
        """Return the counts of events, and the connections that are open now."""
        events = {event: float(count) for event, count in self.event_counts.items()}
        connections = {"client": float(len(self.listener.connections)), "backend": float(self._pools.open_count)}
        return [
            Metric("events_total", MetricKind.COUNTER, "Events of the data plane.", events, "event"),
            Metric("connections", MetricKind.GAUGE, "Connections that are open.", connections, "peer"),
        ]

    # Shutdown.

    def start_draining(self) -> None:
        """Close each client connection with its next reply."""
        self.listener.start_draining()

    def close_listener(self) -> None:
        """Accept no new client connections."""
        self.listener.close_listener()

    async def wait_drained(self, until: float) -> bool:
        """Wait until no client connection is open, at most until a moment (steady ms); return whether none is."""
        return await self.listener.wait_drained(until)

    def close(self) -> None:
        """Close all connections at once."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self.listener.close()
        self._pools.close()

    def _expire_idle(self) -> None:
        """Apply the time-outs of all connections, and set the timer for the next run."""
        now = self._clock()
        # After a stall, bytes that arrived meanwhile are read first, for one interval: a peer is not late because this
        # process was.
        if now - self._last_expiry_at < STALL_GAP_MS or self._was_stalled:
            self._was_stalled = False
            self.listener.expire_idle(now)
            self._pools.expire_idle(now)
        else:
            self._was_stalled = True
        self._last_expiry_at = now
        self._expiry_timer = asyncio.get_running_loop().call_later(EXPIRY_INTERVAL_S, self._expire_idle)
