"""The registry of live gateways at one coordinator, based on the heartbeats that it and its peers receive.

Each pull of the state by a gateway counts as its heartbeat. The module performs no I/O; callers pass in the time
(monotonic ms).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Final

from hallhitch.planes.values import Gateway

HEARTBEAT_TIMEOUT_MS: Final = 1800.0  # three pulls, each held open for 500 ms, and a round trip
# The recorded bound as a multiple of the number of gateways seen, so that a few more gateways need no new record.
GATEWAY_HEADROOM_RATIO: Final = 1.1


class GatewayRegistry:
    """The gateways that send their heartbeats to this coordinator."""

    def __init__(self) -> None:
        self._last_heartbeat_ms: dict[str, float] = {}
        self.gateways: dict[str, Gateway] = {}  # by address

    def record_heartbeat(self, now: float, gateway: Gateway) -> None:
        """Record a pull of a gateway as its heartbeat."""
        self._last_heartbeat_ms[gateway.address] = now
        self.gateways[gateway.address] = gateway

    def remove_expired(self, now: float) -> None:
        """Remove the gateways whose last heartbeat is older than the time-out."""
        expired = [
            address
            for address, last_heartbeat_ms in self._last_heartbeat_ms.items()
            if now - last_heartbeat_ms > HEARTBEAT_TIMEOUT_MS
        ]
        for address in expired:
            del self._last_heartbeat_ms[address], self.gateways[address]


def merge_gateways(local: Mapping[str, Gateway], remote: Iterable[Mapping[str, Gateway]]) -> dict[str, Gateway]:
    """Merge the gateways that this coordinator and its peers know, by address.

    An incarnation counts as leaving if any coordinator knows that it is leaving, since it may have switched to pulling
    from another coordinator.
    """
    merged = dict(local)
    for gateways in remote:
        for address, gateway in gateways.items():
            known = merged.get(address)
            if known is not None and not _is_departure(gateway, known):
                continue
            merged[address] = gateway
    return merged


def _is_departure(gateway: Gateway, known: Gateway) -> bool:
    """Return whether an entry shows that the known incarnation of a gateway is leaving."""
    return gateway.is_leaving and gateway.incarnation == known.incarnation


def max_gateways_to_record(seen: int, recorded: int) -> int | None:
    """Return the upper bound on gateways to record in the cluster state; None if the recorded bound still holds.

    When no lease holder replies, the local reserves of quotas are divided by this bound. It has to be in the cluster
    state so that this also works after the loss of all processes.
    """
    return math.ceil(seen * GATEWAY_HEADROOM_RATIO) if seen > recorded else None
