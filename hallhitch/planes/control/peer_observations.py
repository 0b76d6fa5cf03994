"""What a coordinator has observed of the others: who answers, who asks for a seat, who leaves. No I/O, no clock.

Bounded: members, those under way, and those heard of within `REMEMBERED` silences.
"""

from __future__ import annotations

from dataclasses import dataclass

from hallhitch.messages.system_pb2 import AcceptorQuery
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.membership_policy import PeerSnapshot

RETENTION_INTERVALS = 10.0  # silences after which one that is no member is forgotten


@dataclass(slots=True)
class QueryingPeer:
    """One that asks what we hold."""

    last_query_ms: float  # ms, when it did so last
    last_current_ms: float = float("-inf")  # ms, when it last held the newest state known here on its disk
    is_leaving: bool = False


class PeerObservations:
    """`heard`: when each last answered (ms), own included; `since`: from when on this process listens unbroken."""

    def __init__(self, address: str, since: float, silence: float) -> None:
        self._address, self.listening_since_ms, self.unresponsive_after_ms = address, since, silence
        self.last_reply_ms: dict[str, float] = {}
        self._askers: dict[str, QueryingPeer] = {}
        self.is_leaving = False  # whether this process is about to end

    def record_query(self, message: AcceptorQuery, at: float, newest: Ballot) -> None:
        """Another coordinator reads; `newest` is the ballot of the newest state known here."""
        if not message.address or message.address == self._address:
            return
        asker = self._askers.setdefault(message.address, QueryingPeer(at))
        asker.last_query_ms, asker.is_leaving = at, message.is_leaving
        if message.can_vote and Ballot.from_message(message.known_ballot) >= newest:
            asker.last_current_ms = at

    def is_responsive(self, address: str, at: float) -> bool:
        """Whether it answered within a silence; this process always does."""
        return (
            address == self._address
            or at - self.last_reply_ms.get(address, float("-inf")) <= self.unresponsive_after_ms
        )

    def recent_queriers(self, at: float) -> frozenset[str]:
        """Who asked within a silence."""
        return frozenset(
            one for one, asker in self._askers.items() if at - asker.last_query_ms <= self.unresponsive_after_ms
        )

    def has_unheard_querier(self, at: float) -> bool:
        """Whether one asks that has not answered yet."""
        return any(one not in self.last_reply_ms for one in self.recent_queriers(at))

    def has_prospective_candidate(self, membership: Membership, at: float) -> bool:
        """Whether one that is no member, and does not leave, may soon be a candidate."""
        return any(not self._askers[one].is_leaving for one in self.recent_queriers(at) - membership.all_members)

    def snapshot(self, membership: Membership, at: float) -> PeerSnapshot:
        """What counts for a decision on these members."""
        members = membership.all_members
        heard = {one for one in self.last_reply_ms.keys() | members if self.is_responsive(one, at)}
        return PeerSnapshot(
            reachable=frozenset(heard),
            leaving=self._leaving(),
            unresponsive=frozenset(
                one for one in members - heard if at - self.listening_since_ms > self.unresponsive_after_ms
            ),
            candidates=frozenset(
                one
                for one, asker in self._askers.items()
                if one in heard - members and at - asker.last_current_ms <= self.unresponsive_after_ms
            ),
        )

    def _leaving(self) -> frozenset[str]:
        others = frozenset(one for one, asker in self._askers.items() if asker.is_leaving)
        return others | {self._address} if self.is_leaving else others

    def prune(self, membership: Membership, at: float) -> None:
        """Forget who is no member and was not heard of for long."""
        horizon = at - RETENTION_INTERVALS * self.unresponsive_after_ms
        keep = membership.all_members | {self._address}
        for one in [one for one, heard in self.last_reply_ms.items() if one not in keep and heard < horizon]:
            del self.last_reply_ms[one]
        for one in [one for one, asker in self._askers.items() if one not in keep and asker.last_query_ms < horizon]:
            del self._askers[one]
