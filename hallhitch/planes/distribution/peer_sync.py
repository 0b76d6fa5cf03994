"""Synchronizes a coordinator with its peers: it long-polls each other coordinator continuously.

Each peer has one task and one `PeerReplica`. The state of a peer is kept when a request fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable
from typing import Final

from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.planes.distribution.peer_replica import HOLD_MS, PeerReplica
from hallhitch.planes.distribution.ports import SyncContext

RETRY_PAUSE_MS: Final = 200.0  # after a peer did not reply
MAX_REPLY_TIMEOUT_RATIO: Final = 0.6  # of contactWindow; upper limit of the time-out beyond the hold time
REMOVE_AFTER_WINDOWS: Final = 4  # contactWindows without a reply, for a coordinator that is neither a member nor a seed


class PeerSync:
    """Pulls the state of all other coordinators until `stop` is called."""

    def __init__(self, context: SyncContext, on_attempt: Callable[[], None]) -> None:
        """`on_attempt` is called after each reply and after each failed request."""
        self._context = context
        self._clock, self._bounds = context.clock, context.bounds
        self._on_attempt = on_attempt
        self.replicas: dict[str, PeerReplica] = {}  # by address
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def add_peers(self, addresses: Iterable[str]) -> None:
        """Start pulling from these coordinators, except this one and those that are already known."""
        for address in addresses:
            if address != self._context.own_entry().address and address not in self._tasks:
                replica = self.replicas[address] = PeerReplica(address, self._clock)
                self._tasks[address] = asyncio.ensure_future(self._follow(replica))

    def remove_peer(self, address: str) -> None:
        """Stop pulling from a coordinator and discard its state."""
        task = self._tasks.pop(address, None)
        if task is not None:
            task.cancel()
            del self.replicas[address]

    def remove_unresponsive(self, kept: Collection[str]) -> None:
        """Remove the peers that have not replied for REMOVE_AFTER_WINDOWS, except members and seeds (`kept`).

        A peer that recovers pulls from this coordinator, which then adds it again.
        """
        kept_since = self._clock() - REMOVE_AFTER_WINDOWS * self._bounds.contact_window_ms
        for address, replica in list(self.replicas.items()):
            if address not in kept and max(replica.replied_at, replica.created_at) < kept_since:
                self.remove_peer(address)

    def stop(self) -> None:
        """Cancel the pulls."""
        for address in list(self._tasks):
            self.remove_peer(address)

    def live_peers(self, within_ms: float) -> list[str]:
        """Return the addresses of the peers that have replied within this time."""
        return [replica.address for replica in self.live_replicas(within_ms)]

    def live_replicas(self, within_ms: float) -> list[PeerReplica]:
        """Return the replicas of the peers that have replied within this time."""
        return [replica for replica in self.replicas.values() if self._clock() - replica.replied_at < within_ms]

    async def _follow(self, replica: PeerReplica) -> None:
        while True:
            if not await self._pull(replica):
                self._on_attempt()
                await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    async def _pull(self, replica: PeerReplica) -> bool:
        """Send one request and apply its reply; return whether there was a reply."""
        context, requested_at = self._context, self._clock()
        request = replica.build_request(context.own_entry(), context.hub, HOLD_MS, direct_only=True)
        timeout_ms = HOLD_MS + replica.reply_timeout_ms(MAX_REPLY_TIMEOUT_RATIO * self._bounds.contact_window_ms)
        try:
            reply = await context.links.call(replica.address, Envelope(state_request=request), timeout_ms)
        except PeerCallError:
            replica.round_trip.observe(max(1.0, self._clock() - requested_at - HOLD_MS))
            return False
        if not reply.HasField("state_update"):
            return False
        update = reply.state_update
        replica.record_reply(update, requested_at, self._bounds.serving_lease_ms)
        replica.apply(update, context.hub, requested_at, updates_view=False)
        self.add_peers(update.coordinators)
        self._on_attempt()
        return True
