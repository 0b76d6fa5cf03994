"""Synchronizes a coordinator's soft state by the heartbeats of gateways and by pulls from the other coordinators.

The live gateways are those that pull from this coordinator, merged with those that pull from its live peers.
"""

from __future__ import annotations

from collections.abc import Awaitable, Collection, Iterable
from typing import Final

from hallhitch.messages.system_pb2 import Envelope, StateRequest
from hallhitch.planes.discovery.gateway_registry import GatewayRegistry, merge_gateways
from hallhitch.planes.distribution.peer_sync import PeerSync
from hallhitch.planes.distribution.ports import SyncContext
from hallhitch.planes.distribution.state_messages import decode_gateway

WARMUP_MS: Final = 600.0  # after its start, while a coordinator knows too few gateways to share them
# A coordinator that replied within this time is live; the same as a gateway's heartbeat time-out.
LIVE_PEER_MS: Final = 1800.0


class CoordinatorSync:
    """Maintains the gateways and coordinators in the hub, and pulls from the other coordinators."""

    def __init__(self, context: SyncContext) -> None:
        self._hub, self._own_entry, self._clock = context.hub, context.own_entry, context.clock
        self._started_at = self._clock()
        self._registry = GatewayRegistry()
        self._peers = PeerSync(context, self._merge_gateways)
        self._hub.shares_gateways = False

    def add_peers(self, addresses: Iterable[str]) -> None:
        """Start pulling from these coordinators, except this one and those that are already known."""
        self._peers.add_peers(addresses)

    def live_peers(self) -> list[str]:
        """Return the addresses of the other coordinators that are live."""
        return self._peers.live_peers(LIVE_PEER_MS)

    def gateway_count(self) -> int:
        """Return how many live gateways serve clients."""
        return sum(gateway.serves_clients for gateway in self._hub.gateways.values())

    def respond(self, request: StateRequest) -> Awaitable[Envelope]:
        """Record the requester, a gateway or a coordinator, and reply with the state that it lacks."""
        requester = decode_gateway(request.requester)
        if requester.serves_clients:
            self._registry.record_heartbeat(self._clock(), requester)
            self._merge_gateways()
        elif requester.address:
            self._peers.add_peers((requester.address,))
        return self._hub.respond(request)

    def remove_expired_gateways(self) -> None:
        """Remove the gateways without a recent heartbeat; start sharing the others once the warm-up is over."""
        now_ms = self._clock()
        self._hub.shares_gateways = now_ms - self._started_at > WARMUP_MS
        self._registry.remove_expired(now_ms)
        self._merge_gateways()

    def set_live_coordinators(self, live_peers: Iterable[str], kept: Collection[str]) -> None:
        """Share these coordinators and this one; remove unresponsive ones except members and seeds (`kept`)."""
        self._hub.coordinators = (self._own_entry().address, *live_peers)
        self._peers.remove_unresponsive(kept)

    def stop(self) -> None:
        """Cancel the pulls."""
        self._peers.stop()

    def _merge_gateways(self) -> None:
        if self._hub.direct_gateways.replace(self._registry.gateways):
            self._hub.notify()
        remote = [replica.gateways.items for replica in self._peers.live_replicas(LIVE_PEER_MS)]
        self._hub.set_gateways(merge_gateways(self._registry.gateways, remote))
