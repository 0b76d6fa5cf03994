"""The memory that a coordinator uses for observations of others is bounded."""

from __future__ import annotations

from hallhitch.messages.system_pb2 import AcceptorQuery
from hallhitch.planes.control.ballot import INITIAL_BALLOT
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.peer_observations import RETENTION_INTERVALS, PeerObservations


def test_non_members_are_forgotten_after_the_retention_time() -> None:
    observations = PeerObservations("a", listening_since_ms=0, unresponsive_after_ms=1000)
    membership = Membership(1, ("a", "b", "c"))
    for number in range(1000):
        address, now_ms = f"m{number}", number * 100
        query = AcceptorQuery(address=address, can_vote=True, known_ballot=INITIAL_BALLOT.to_message())
        observations.record_query(query, now_ms, INITIAL_BALLOT)
        observations.record_reply(address, now_ms)
        observations.prune(membership, now_ms)
        assert len(observations.last_reply_ms) <= RETENTION_INTERVALS * 10 + 1
        assert len(observations.recent_queriers(now_ms)) <= 11
    assert observations.snapshot(membership, 1_000_000).candidates == frozenset()
