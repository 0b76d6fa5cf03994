"""What a coordinator has observed of the others: which of them reply, query it, or leave. No I/O, no clock.

Times are passed in as arguments, in ms of the process's monotonic clock. Invariant: after `prune`, only members, this
process and peers observed within the last `RETENTION_INTERVALS` times `unresponsive_after_ms` are kept.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from hallhitch.messages.system_pb2 import AcceptorQuery
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.membership_policy import PeerSnapshot

# How many times `unresponsive_after_ms` a non-member is remembered: longer than any decision looks back, and short
# enough that addresses which are never seen again do not accumulate.
RETENTION_INTERVALS: Final = 10.0


@dataclass(slots=True)
class QueryingPeer:
    """A coordinator that queries this one."""

    last_query_ms: float
    last_current_ms: float = float("-inf")  # when it last had the newest state known here on its disk
    is_leaving: bool = False


class PeerObservations:
    """The observations of one process.

    `last_reply_ms` is when each coordinator, this one included, last replied. `listening_since_ms` is the time since
    which this process has listened without a gap. `is_leaving` says whether this process is about to exit.
    """

    def __init__(self, address: str, listening_since_ms: float, unresponsive_after_ms: float) -> None:
        self.listening_since_ms = listening_since_ms
        self.unresponsive_after_ms = unresponsive_after_ms
        self.last_reply_ms: dict[str, float] = {}
        self.is_leaving = False
        self._address = address
        self._queriers: dict[str, QueryingPeer] = {}

    def record_query(self, query: AcceptorQuery, now_ms: float, newest_ballot: Ballot) -> None:
        """Record a query of another coordinator; `newest_ballot` belongs to the newest state known here."""
        if not query.address or query.address == self._address:
            return
        querier = self._queriers.setdefault(query.address, QueryingPeer(now_ms))
        querier.last_query_ms = now_ms
        querier.is_leaving = query.is_leaving
        if query.can_vote and Ballot.from_message(query.known_ballot) >= newest_ballot:
            querier.last_current_ms = now_ms

    def record_reply(self, address: str, now_ms: float) -> None:
        """Record that a coordinator replied."""
        self.last_reply_ms[address] = now_ms

    def is_responsive(self, address: str, now_ms: float) -> bool:
        """Return whether a coordinator replied recently; this process itself always counts as responsive."""
        if address == self._address:
            return True
        return self._is_recent(self.last_reply_ms.get(address, float("-inf")), now_ms)

    def recent_queriers(self, now_ms: float) -> frozenset[str]:
        """Return the coordinators that queried this one recently."""
        return frozenset(
            address for address, querier in self._queriers.items() if self._is_recent(querier.last_query_ms, now_ms)
        )

    def has_silent_querier(self, now_ms: float) -> bool:
        """Return whether a recent querier has never replied to this process, as far as is remembered."""
        return any(address not in self.last_reply_ms for address in self.recent_queriers(now_ms))

    def has_prospective_candidate(self, membership: Membership, now_ms: float) -> bool:
        """Return whether a non-member that is not leaving queried recently, and so may soon be a candidate."""
        non_members = self.recent_queriers(now_ms) - membership.all_members
        return any(not self._queriers[address].is_leaving for address in non_members)

    def snapshot(self, membership: Membership, now_ms: float) -> PeerSnapshot:
        """Return what a decision on these members is based on."""
        members = membership.all_members
        known = self.last_reply_ms.keys() | members
        responsive = frozenset(address for address in known if self.is_responsive(address, now_ms))
        has_listened_enough = not self._is_recent(self.listening_since_ms, now_ms)
        return PeerSnapshot(
            reachable=responsive,
            leaving=self._leaving(),
            unresponsive=members - responsive if has_listened_enough else frozenset(),
            candidates=frozenset(
                address
                for address, querier in self._queriers.items()
                if address in responsive - members and self._is_recent(querier.last_current_ms, now_ms)
            ),
        )

    def prune(self, membership: Membership, now_ms: float) -> None:
        """Forget non-members that were not observed within the retention time."""
        oldest_kept_ms = now_ms - RETENTION_INTERVALS * self.unresponsive_after_ms
        kept = membership.all_members | {self._address}
        self.last_reply_ms = {
            address: replied_ms
            for address, replied_ms in self.last_reply_ms.items()
            if address in kept or replied_ms >= oldest_kept_ms
        }
        self._queriers = {
            address: querier
            for address, querier in self._queriers.items()
            if address in kept or querier.last_query_ms >= oldest_kept_ms
        }

    def _is_recent(self, event_ms: float, now_ms: float) -> bool:
        return now_ms - event_ms <= self.unresponsive_after_ms

    def _leaving(self) -> frozenset[str]:
        peers = frozenset(address for address, querier in self._queriers.items() if querier.is_leaving)
        return peers | {self._address} if self.is_leaving else peers
