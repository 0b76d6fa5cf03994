"""The state that all requests and client connections of one gateway share.

Points in time are monotonic milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from hallhitch.node.metrics import Histogram
from hallhitch.planes.data.connection_pools import ConnectionPools
from hallhitch.planes.data.interfaces import LoadBalancingPolicy, QuotaCounter
from hallhitch.planes.values import ClusterConfig, RequestLimits

ATTEMPT_WAIT_BUCKETS_MS: Final = (1.0, 5.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0)


@dataclass(slots=True)
class DataPlaneContext:
    """The components, the current configuration and the event counters of a gateway's data plane."""

    load_balancer: LoadBalancingPolicy[Any]
    quota_counter: QuotaCounter
    pools: ConnectionPools
    clock: Callable[[], float]  # monotonic ms
    event_counts: dict[str, int]
    config: ClusterConfig | None = None  # None until the first one is received
    # When a draining gateway has answered every request; infinite while it is not draining.
    drain_deadline: float = math.inf
    default_limits: RequestLimits = field(default_factory=RequestLimits)
    attempt_waits: Histogram = field(default_factory=lambda: Histogram(ATTEMPT_WAIT_BUCKETS_MS))

    @property
    def limits(self) -> RequestLimits:
        """The size and time limits for client requests; the defaults if there is no configuration yet."""
        return self.config.limits if self.config is not None else self.default_limits

    @property
    def is_draining(self) -> bool:
        """Whether this gateway is shutting down: each connection closes after its next reply."""
        return self.drain_deadline < math.inf

    def count(self, event: str) -> None:
        """Increment the counter of an event."""
        self.event_counts[event] = self.event_counts.get(event, 0) + 1
