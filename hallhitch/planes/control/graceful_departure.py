"""Graceful departure of a coordinator: hands its membership to another one and its state to all reachable members.

Decides when the process may exit. Invariants:

- While other members reply, the process stays until each of these holds the newest state that this process holds.
- The process never stays longer than its time budget.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Final

from hallhitch.messages.system_pb2 import Accept, AcceptorReport, Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.local_replica import LocalReplica
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.membership_reconciler import MembershipReconciler

PUBLISH_INTERVAL_MS: Final = 100.0  # between announcements of the departure, which also ask what the members hold
REPLY_TIMEOUT_MS: Final = 400.0  # for the replies of the members: an unresponsive one must not delay the others

Publish = Callable[[frozenset[str], float], Awaitable[Mapping[str, AcceptorReport]]]


class GracefulDeparture:
    """One departure. `publish` announces it to peers and returns the reports of what they hold."""

    def __init__(self, replica: LocalReplica, reconciler: MembershipReconciler, publish: Publish) -> None:
        self._replica, self._proposer = replica, replica.proposer
        self._reconciler, self._publish = reconciler, publish
        self._log = ComponentLogger("departure")

    @property
    def has_left(self) -> bool:
        """Whether a committed membership no longer includes this process."""
        committed = self._proposer.committed_membership
        return bool(committed.members) and self._replica.address not in committed.all_members

    async def run(self, budget_ms: float) -> None:
        """Hand over membership and state. Returns when that is done, when it is impossible, or after the budget."""
        deadline_ms = self._replica.clock() + budget_ms
        while True:
            remaining_ms = deadline_ms - self._replica.clock()
            if remaining_ms <= 0:
                self._log.warning("graceful departure timed out", budget_ms=budget_ms)
                return
            newest = Membership.from_state(self._proposer.newest_seen.state)
            peers = newest.all_members - {self._replica.address}
            if not peers:
                return
            reports = await self._publish(peers, min(REPLY_TIMEOUT_MS, remaining_ms))
            is_state_held = await self._replicate_state(reports, remaining_ms)
            if is_state_held and not self._may_membership_change(self._newest_membership(reports)):
                self._log.info("membership handed over" if self.has_left else "departing without a successor")
                return
            await asyncio.sleep(min(PUBLISH_INTERVAL_MS, max(remaining_ms, 0)) / 1000)

    def _newest_membership(self, reports: Mapping[str, AcceptorReport]) -> Membership:
        """Return the newest membership: the one seen here, or a newer one that a majority of its members reported."""
        seen = self._proposer.newest_seen
        for report in reports.values():
            if not report.ok or Ballot.from_message(report.accepted) <= seen.ballot:
                continue
            membership = Membership.from_state(report.state)
            holders = [address for address, peer in reports.items() if peer.accepted == report.accepted]
            if membership.has_quorum(holders):
                return membership
        return Membership.from_state(seen.state)

    def _may_membership_change(self, membership: Membership) -> bool:
        """Return whether a change that removes this member, or that ends its votes on leases, may still come."""
        if membership.previous_members or membership.previous_lease_members:
            return True
        if self._replica.address not in membership.members:
            return False
        if self._reconciler.can_hand_over():
            return True
        return self._replica.observations.has_prospective_candidate(membership, self._replica.clock())

    async def _replicate_state(self, reports: Mapping[str, AcceptorReport], remaining_ms: float) -> bool:
        """Send the state of this replica to the peers that lack it.

        Return whether at least one peer reported and none of those that did lacked the state.
        """
        own = self._replica.acceptor.state
        if own.is_recovering:
            return True  # a recovering replica holds no state
        usable = {address: report for address, report in reports.items() if report.ok}
        lagging = [address for address, report in usable.items() if Ballot.from_message(report.accepted) < own.accepted]
        accept = Accept(ballot=own.accepted.to_message(), state=own.state)
        timeout_ms = min(REPLY_TIMEOUT_MS, remaining_ms)
        await asyncio.gather(*(self._send_state(address, accept, timeout_ms) for address in lagging))
        return bool(usable) and not lagging

    async def _send_state(self, address: str, accept: Accept, timeout_ms: float) -> None:
        """Send a peer the accept that it missed; acceptors take an accept from any sender."""
        try:
            await self._replica.call_peer(address, Envelope(accept=accept), timeout_ms)
        except PeerCallError as error:
            self._log.info("state transfer failed", peer=address, error=error)
