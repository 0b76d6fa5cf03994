"""All connections to backends: one pool for each incarnation of a backend, and a limit on their total number.

It neither selects backends nor retries: an attempt goes to the backend that it names and ends once.

Invariants:
- Between two calls, `open_count + opening_count` is the number of sockets to backends; it never exceeds
  `max_connections`.
- A backend that is draining, removed or moved to another address has no pool in `_pools`: no attempt starts there.

Points in time are monotonic milliseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.planes.data.connection_pool import ConnectionPool
from hallhitch.planes.data.http_readers import BodyMemory
from hallhitch.planes.data.idle_reuse import IdleReuseLimit
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.data.upstream_attempt import UpstreamAttempt
from hallhitch.planes.values import Backend, Service

# With a single connection, one long request would block all other requests to the same backend.
MIN_CONNECTIONS_TO_BACKEND: Final = 2
# Gateways divide a service's connection limit evenly and use half of their share, which leaves room for gateways that
# they do not know of.
BACKEND_LIMIT_DIVISOR: Final = 2


class ConnectionPools:
    """Owns the connection pools of all backends."""

    def __init__(
        self,
        clock: Callable[[], float],
        region: str,
        max_connections: int,
        event_counts: dict[str, int],
        body_memory: BodyMemory,
    ) -> None:
        """`max_connections` limits the total number of connections, including idle ones."""
        self.clock = clock
        self.region = region
        self.max_connections = max_connections
        self.body_memory = body_memory
        self.open_count = 0
        self.opening_count = 0
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self._event_counts = event_counts
        self._refusal_log = RateLimitedLog(ComponentLogger("backends"))
        self._pools: dict[str, ConnectionPool] = {}  # by backend instance
        self._retired: set[ConnectionPool] = set()  # retired pools that still have connections
        self._idle_reuse_limits: dict[str, IdleReuseLimit] = {}  # by service
        self._services: Mapping[str, Service] = {}
        self._gateway_count = 1

    def count(self, event: str) -> None:
        """Increment the counter of an event."""
        self._event_counts[event] = self._event_counts.get(event, 0) + 1

    def on_response_after_refusal(self, backend: Backend, request_id: bytes, status: int) -> None:
        """Log that a backend responded to a request that it had refused: its client may have got a wrong 503."""
        self.count("response_after_refusal")
        self._refusal_log.warning(
            self.clock(),
            "response after refusal",
            request=request_id.decode("latin-1"),
            backend=backend.instance,
            status=status,
        )

    # Updates from other planes.

    def set_services(self, services: Mapping[str, Service]) -> None:
        """Replace the configured services, which limit the connections to their backends."""
        self._services = services
        self._idle_reuse_limits = {name: limit for name, limit in self._idle_reuse_limits.items() if name in services}

    def set_gateway_count(self, count: int) -> None:
        """Set the number of gateways that share the backends."""
        self._gateway_count = max(1, count)

    def set_backends(self, entries: Iterable[Backend]) -> None:
        """Replace the list of backends; retire the pools of draining, removed and moved ones."""
        active = {entry.instance: entry for entry in entries if not entry.is_draining}
        for instance, pool in list(self._pools.items()):
            entry = active.get(instance)
            if entry is not None and _is_same_address(entry, pool.backend):
                pool.backend = entry
                continue
            del self._pools[instance]
            self._retired.add(pool)
            pool.retire()
        for instance, entry in active.items():
            if instance not in self._pools:
                self._pools[instance] = ConnectionPool(self, entry)

    # Attempts.

    def send(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt to its backend; it ends as CANCELLED if the backend is draining or removed."""
        pool = self._pools.get(attempt.backend.instance)
        if pool is None:
            attempt.end(self.clock(), Outcome.CANCELLED)
        else:
            pool.send(attempt)

    def cancel_queued(self, attempt: UpstreamAttempt) -> bool:
        """End an attempt as CANCELLED if it is still queued; return whether it was."""
        pool = self._pools.get(attempt.backend.instance)
        return pool is not None and pool.cancel_queued(attempt)

    # Called by the pools.

    def idle_reuse_limit_of(self, service: str) -> IdleReuseLimit:
        """Return the idle time up to which connections to a service's backends are reused."""
        idle_reuse_limit = self._idle_reuse_limits.get(service)
        if idle_reuse_limit is None:
            idle_reuse_limit = self._idle_reuse_limits[service] = IdleReuseLimit()
        return idle_reuse_limit

    def max_connections_to(self, service: str) -> int:
        """Return the maximum number of connections from this gateway to one backend of a service."""
        entry = self._services.get(service)
        if entry is None:
            return MIN_CONNECTIONS_TO_BACKEND
        return max(MIN_CONNECTIONS_TO_BACKEND, entry.max_connections // (BACKEND_LIMIT_DIVISOR * self._gateway_count))

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened; at the limit, close the one that was idle longest."""
        if self.open_count + self.opening_count < self.max_connections:
            return True
        longest_idle = min(
            (pool.idle[0] for pool in self._pools.values() if pool.idle),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if longest_idle is None:
            return False
        longest_idle.close()
        return True

    def remove_if_drained(self, pool: ConnectionPool) -> None:
        """Remove a retired pool once it has no more connections."""
        if pool.is_retired and not pool.connections and not pool.opening_count:
            self._retired.discard(pool)

    # Time-outs and shutdown.

    def enforce_timeouts(self, now: float) -> None:
        """Enforce the time-outs of all connections; to be called several times per second."""
        for pool in [*self._pools.values(), *self._retired]:
            if pool.connections:
                pool.enforce_timeouts(now)
            self.remove_if_drained(pool)

    def close(self) -> None:
        """Close all connections, including those with an attempt in flight."""
        for pool in [*self._pools.values(), *self._retired]:
            pool.close()


def _is_same_address(new: Backend, old: Backend) -> bool:
    return (new.host, new.port, new.service) == (old.host, old.port, old.service)
