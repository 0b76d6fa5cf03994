"""All connections to backends: a pool for each incarnation of a backend, and the bound on all together.

It chooses no backend and repeats nothing: an attempt goes to the backend that it names and ends once.

Invariants:
- Between two calls `open_count + opening_count` is the number of sockets to backends; it stays within
  `max_connections`.
- A backend that is draining, gone or moved to another address has no pool in `_pools`: no attempt starts there.

Times are steady milliseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from hallhitch.planes.data.connection_pool import ConnectionPool
from hallhitch.planes.data.http_readers import BodyMemory
from hallhitch.planes.data.idle_reuse import IdleReuse
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.data.upstream_attempt import UpstreamAttempt
from hallhitch.planes.values import Backend, Service

# With one connection, a long request would block all others to the same backend.
MIN_CONNECTIONS_TO_BACKEND: Final = 2
# Gateways divide a service's limit evenly and use half of their share, so that a gateway unknown to them finds room.
BACKEND_LIMIT_DIVISOR: Final = 2


class ConnectionPools:
    """All connections to backends."""

    def __init__(
        self,
        clock: Callable[[], float],
        region: str,
        max_connections: int,
        event_counts: dict[str, int],
        body_memory: BodyMemory,
    ) -> None:
        """`max_connections` bounds all connections together, idle ones included."""
        self.clock = clock
        self.region = region
        self.max_connections = max_connections
        self.body_memory = body_memory
        self.open_count = 0
        self.opening_count = 0
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self._event_counts = event_counts
        self._pools: dict[str, ConnectionPool] = {}  # by backend instance
        self._retired: set[ConnectionPool] = set()  # with attempts in flight
        self._idle_reuse: dict[str, IdleReuse] = {}  # by service
        self._services: Mapping[str, Service] = {}
        self._gateway_count = 1

    def count(self, event: str) -> None:
        """Add one to an event count."""
        self._event_counts[event] = self._event_counts.get(event, 0) + 1

    # What other planes know.

    def set_services(self, services: Mapping[str, Service]) -> None:
        """Replace the configuration's services, which limit the connections to their backends."""
        self._services = services
        self._idle_reuse = {name: reuse for name, reuse in self._idle_reuse.items() if name in services}

    def set_gateway_count(self, count: int) -> None:
        """Set how many gateways share the backends."""
        self._gateway_count = max(1, count)

    def set_backends(self, entries: Iterable[Backend]) -> None:
        """Replace the list of backends; the pools of draining, removed and moved ones are retired."""
        present = {entry.instance: entry for entry in entries if not entry.is_draining}
        for instance, pool in list(self._pools.items()):
            entry = present.get(instance)
            if entry is not None and _is_same_address(entry, pool.backend):
                pool.backend = entry
                continue
            del self._pools[instance]
            self._retired.add(pool)
            pool.retire()
        for instance, entry in present.items():
            if instance not in self._pools:
                self._pools[instance] = ConnectionPool(self, entry)

    # Attempts.

    def send(self, attempt: UpstreamAttempt) -> None:
        """Carry an attempt to its backend; it ends as CANCELLED where that is draining or gone."""
        pool = self._pools.get(attempt.backend.instance)
        if pool is None:
            attempt.end(self.clock(), Outcome.CANCELLED)
        else:
            pool.send(attempt)

    def withdraw(self, attempt: UpstreamAttempt) -> bool:
        """End an attempt as CANCELLED if nothing of it was written; return whether so."""
        pool = self._pools.get(attempt.backend.instance)
        return pool is not None and pool.withdraw(attempt)

    # Called by the pools.

    def idle_reuse_of(self, service: str) -> IdleReuse:
        """Return what is known of how long a service's backends keep idle connections."""
        idle_reuse = self._idle_reuse.get(service)
        if idle_reuse is None:
            idle_reuse = self._idle_reuse[service] = IdleReuse()
        return idle_reuse

    def max_connections_to(self, service: str) -> int:
        """Return how many connections this gateway may have to one backend of a service."""
        entry = self._services.get(service)
        if entry is None:
            return MIN_CONNECTIONS_TO_BACKEND
        return max(MIN_CONNECTIONS_TO_BACKEND, entry.max_connections // (BACKEND_LIMIT_DIVISOR * self._gateway_count))

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened; at the bound the longest idle one is closed for it."""
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

    def forget_if_drained(self, pool: ConnectionPool) -> None:
        """Forget a retired pool that has no connection any more."""
        if pool.is_retired and not pool.connections and not pool.opening_count:
            self._retired.discard(pool)

    # Time.

    def expire_idle(self, now: float) -> None:
        """Apply the time-outs of all connections; to be called a few times a second."""
        for pool in [*self._pools.values(), *self._retired]:
            if pool.connections:
                pool.expire_idle(now)
            self.forget_if_drained(pool)

    def close(self) -> None:
        """Close all connections, whatever they carry."""
        for pool in [*self._pools.values(), *self._retired]:
            pool.close()


def _is_same_address(new: Backend, old: Backend) -> bool:
    return (new.host, new.port, new.service) == (old.host, old.port, old.service)
