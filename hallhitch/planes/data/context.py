"""What all requests and client connections of one gateway share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hallhitch.planes.data.connection_pools import ConnectionPools
from hallhitch.planes.data.interfaces import LoadBalancingPolicy, QuotaCounter
from hallhitch.planes.values import ClusterConfig, RequestLimits


@dataclass(slots=True)
class DataPlaneContext:
    """The collaborators, the configuration in force and the event counts of a gateway's data plane."""

    load_balancer: LoadBalancingPolicy[Any]
    quota_counter: QuotaCounter
    pools: ConnectionPools
    clock: Callable[[], float]  # steady ms
    event_counts: dict[str, int]
    config: ClusterConfig | None = None  # None: none was received yet
    is_draining: bool = False
    default_limits: RequestLimits = field(default_factory=RequestLimits)

    @property
    def limits(self) -> RequestLimits:
        """What a client may send, and how long it may take."""
        return self.config.limits if self.config is not None else self.default_limits

    def count(self, event: str) -> None:
        """Add one to an event count."""
        self.event_counts[event] = self.event_counts.get(event, 0) + 1
