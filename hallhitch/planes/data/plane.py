"""The data plane of one gateway: it wires up client connections, load balancing and backend connections.

It divides file descriptors and memory among them, passes updates from the other planes to them and enforces their
time-outs periodically. It makes no decision about a request itself.
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

# Much shorter than the shortest connection time-out, yet long enough that the checks cost little with many connections.
TIMEOUT_CHECK_INTERVAL_S: Final = 0.2
# If two time-out checks are further apart than this, the process itself was suspended or overloaded.
STALL_GAP_MS: Final = 500.0
# File descriptors for files, links to other processes and listeners.
RESERVED_FILE_DESCRIPTORS: Final = 300
MIN_FILE_DESCRIPTORS: Final = 64
# Share of the remaining file descriptors. Clients get the larger share because they also hold idle connections open.
BACKEND_FILE_DESCRIPTOR_RATIO: Final = 0.35
# Share of the node's memory for buffered bodies; the rest is for connections, other planes and the interpreter.
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
        """`clock` returns monotonic milliseconds."""
        self.event_counts: dict[str, int] = {}
        self._load_balancer = load_balancer
        self._clock = clock
        file_descriptors = max(MIN_FILE_DESCRIPTORS, node.max_open_files - RESERVED_FILE_DESCRIPTORS)
        backend_file_descriptors = int(file_descriptors * BACKEND_FILE_DESCRIPTOR_RATIO)
        body_memory = BodyMemory(int(node.memory_mb * BODY_MEMORY_RATIO * BYTES_PER_MB))
        self._pools = ConnectionPools(clock, node.region, backend_file_descriptors, self.event_counts, body_memory)
        self.context = DataPlaneContext(load_balancer, quota_counter, self._pools, clock, self.event_counts)
        self.listener = HttpListener(
            self.context, node.listen_addresses["frontend"], file_descriptors - backend_file_descriptors, body_memory
        )
        self.listener.on_config_changed()
        self._timeout_check_timer: asyncio.TimerHandle | None = None
        self._last_timeout_check_at = clock()
        self._was_stalled = False

    async def start(self) -> None:
        """Listen for clients.

        Raises:
            OSError: the frontend address cannot be bound.
        """
        await self.listener.start()
        self._enforce_timeouts()

    # Updates from other planes.

    def set_config(self, config: ClusterConfig) -> None:
        """Replace the cluster configuration; it applies to every request that is read after this call."""
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
        """Return the event counters and the numbers of open connections."""
        events = {event: float(count) for event, count in self.event_counts.items()}
        connections = {"client": float(len(self.listener.connections)), "backend": float(self._pools.open_count)}
        return [
            Metric("events_total", MetricKind.COUNTER, "Events of the data plane.", events, "event"),
            Metric("connections", MetricKind.GAUGE, "Connections that are open.", connections, "peer"),
            self.context.attempt_waits.metric("attempt_wait_ms", "From the choice of a backend to the write."),
        ]

    # Shutdown.

    def start_draining(self, drain_deadline: float) -> None:
        """Close each client connection after its next reply, and reply to every request by `drain_deadline`."""
        self.listener.start_draining(drain_deadline)

    def close_listener(self) -> None:
        """Accept no new client connections."""
        self.listener.close_listener()

    async def wait_drained(self, until: float) -> bool:
        """Wait until all client connections are closed and all requests are done, or `until` (monotonic ms) has passed.

        Return whether they are.
        """
        return await self.listener.wait_drained(until)

    def close(self) -> None:
        """Close all connections immediately."""
        if self._timeout_check_timer is not None:
            self._timeout_check_timer.cancel()
        self.listener.close()
        self._pools.close()

    def _enforce_timeouts(self) -> None:
        """Enforce the time-outs of all connections and schedule the next check."""
        now = self._clock()
        # After a stall, skip one check so that the event loop first reads the bytes that arrived in the meantime: a
        # peer must not time out because this process was late.
        if now - self._last_timeout_check_at < STALL_GAP_MS or self._was_stalled:
            self._was_stalled = False
            self.listener.enforce_timeouts(now)
            self._pools.enforce_timeouts(now)
        else:
            self._was_stalled = True
        self._last_timeout_check_at = now
        self._timeout_check_timer = asyncio.get_running_loop().call_later(
            TIMEOUT_CHECK_INTERVAL_S, self._enforce_timeouts
        )
