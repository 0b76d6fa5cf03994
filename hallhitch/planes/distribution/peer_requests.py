"""The requests of one gateway to the peers that it pulls state from, and what it knows about these peers.

Invariants:
- At most one request to a peer is in flight. Its reply is applied however late it arrives.
- Coordinators and members are learned only from peers with a valid lease, or from any peer while they are unknown.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

from hallhitch.messages.system_pb2 import Envelope, StateUpdate
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger
from hallhitch.planes.distribution.peer_replica import HOLD_MS, PeerReplica
from hallhitch.planes.distribution.ports import SyncContext
from hallhitch.planes.values import LeaseMembership

OVERDUE_RATIO: Final = 0.6  # of configApply; a request in flight for longer does not count as a parallel one


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    sent_at: float
    task: asyncio.Task[bool]


class PeerRequests:
    """Sends the requests and applies their replies to the hub."""

    def __init__(self, context: SyncContext) -> None:
        self._links, self._hub, self._own_entry = context.links, context.hub, context.own_entry
        self._clock, self._bounds = context.clock, context.bounds
        self._log = ComponentLogger("distribution")
        self._replicas: dict[str, PeerReplica] = {}
        self._pending: dict[str, _PendingRequest] = {}  # by address

    def replica(self, address: str, *, is_coordinator: bool = True) -> PeerReplica:
        """Return what is known about the peer at an address."""
        replica = self._replicas.get(address)
        if replica is None:
            replica = PeerReplica(address, self._clock, is_coordinator=is_coordinator)
            self._replicas[address] = replica
        return replica

    def is_in_flight(self, address: str) -> bool:
        """Return whether a request to this peer is in flight."""
        return address in self._pending

    def parallel_count(self) -> int:
        """Return how many requests to peers that have replied lately are in flight and not overdue."""
        overdue_since = self._clock() - HOLD_MS - OVERDUE_RATIO * self._bounds.config_apply_ms
        replied_since = self._clock() - self._bounds.contact_window_ms
        return sum(
            pending.sent_at > overdue_since and self._replicas[address].replied_at > replied_since
            for address, pending in self._pending.items()
        )

    def cancel(self, address: str) -> None:
        """Cancel the request to this peer, if one is in flight."""
        if address in self._pending:
            self._pending[address].task.cancel()

    def cancel_all(self) -> None:
        """Cancel the requests in flight."""
        for address in list(self._pending):
            self.cancel(address)

    def send(self, replica: PeerReplica, hold_ms: float, *, updates_view: bool) -> asyncio.Task[bool]:
        """Return the request to this peer that is in flight; send one if there is none.

        Its result is whether there was a reply.
        """
        pending = self._pending.get(replica.address)
        if pending is not None:
            return pending.task
        replica.requested_at = self._clock()
        task = asyncio.ensure_future(self._send(replica, hold_ms, updates_view=updates_view))
        self._pending[replica.address] = _PendingRequest(self._clock(), task)
        task.add_done_callback(lambda done: self._on_done(replica.address, done))
        return task

    def _on_done(self, address: str, task: asyncio.Task[bool]) -> None:
        del self._pending[address]
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.exception("state pull failed", error, peer=address)

    async def _send(self, replica: PeerReplica, hold_ms: float, *, updates_view: bool) -> bool:
        requested_at = self._clock()
        update = await self.fetch(replica, hold_ms, self._bounds.config_apply_ms)
        if update is None:
            return False
        self.apply(replica, update, requested_at, updates_view=updates_view)
        return True

    async def fetch(self, replica: PeerReplica, hold_ms: float, timeout_ms: float) -> StateUpdate | None:
        """Return a peer's reply; None if none arrived within the hold time plus the time-out."""
        request = replica.build_request(self._own_entry(), self._hub, hold_ms, direct_only=False)
        try:
            reply = await self._links.call(replica.address, Envelope(state_request=request), hold_ms + timeout_ms)
        except PeerCallError:
            return None
        return reply.state_update if reply.HasField("state_update") else None

    def apply(self, replica: PeerReplica, update: StateUpdate, requested_at: float, *, updates_view: bool) -> None:
        """Apply a reply to a request that was made at `requested_at`."""
        hub = self._hub
        replica.record_reply(update, requested_at, self._bounds.serving_lease_ms)
        has_lease = not replica.is_lease_expired
        if has_lease or not hub.coordinators:
            hub.coordinators = tuple(update.coordinators) or hub.coordinators
        if has_lease or not hub.members:
            hub.members = tuple(update.members) or hub.members
        hub.update_lease_membership(LeaseMembership.from_message(update.lease_membership))
        replica.apply(update, hub, requested_at, updates_view=updates_view)
