"""Which gateways are live, as one coordinator knows it: by their heartbeats, and by those that its peers received.

Decided without I/O; the time is an argument, in steady ms. Each pull of a gateway counts as its heartbeat.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Final

from hallhitch.planes.values import Gateway

HEARTBEAT_TIMEOUT_MS: Final = 1800.0  # three pulls, held back for 500 ms each, and a round trip
GATEWAY_HEADROOM_RATIO: Final = 1.1  # of the gateways seen: how many are recorded, so that few more need no new record


class GatewayRegistry:
    """The gateways that send their heartbeats to this coordinator."""

    def __init__(self) -> None:
        self._heartbeat_at: dict[str, float] = {}
        self.gateways: dict[str, Gateway] = {}  # by address

    def record_heartbeat(self, now: float, gateway: Gateway) -> None:
        """Record that a gateway has pulled."""
        self._heartbeat_at[gateway.address] = now
        self.gateways[gateway.address] = gateway

    def remove_expired(self, now: float) -> None:
        """Remove the gateways whose last heartbeat is too old."""
        expired = [
            address for address, heartbeat_at in self._heartbeat_at.items() if now - heartbeat_at > HEARTBEAT_TIMEOUT_MS
        ]
        for address in expired:
            del self._heartbeat_at[address], self.gateways[address]


def merge_gateways(local: Mapping[str, Gateway], remote: Iterable[Mapping[str, Gateway]]) -> dict[str, Gateway]:
    """Merge the gateways that this coordinator and its peers know, by address.

    An incarnation that any of them knows to be leaving is leaving: it may pull from another coordinator by now.
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


def gateways_to_record(seen: int, recorded: int) -> int | None:
    """Return the upper bound on gateways to record in the cluster state; None if the recorded one still holds.

    Local reserves of quotas are cut by this bound when no holder replies, also after all processes were lost.
    """
    return math.ceil(seen * GATEWAY_HEADROOM_RATIO) if seen > recorded else None
