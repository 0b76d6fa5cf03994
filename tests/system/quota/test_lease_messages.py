"""Encoding and decoding of claims and votes restores them unchanged."""

from __future__ import annotations

from hallhitch.messages.system_pb2 import LeaseRequest, LeaseResponse
from hallhitch.planes.quota import lease_messages
from hallhitch.planes.quota.lease import LeaseClaim, LeaseVotes, RelayedReport, UsageReport
from hallhitch.planes.values import LeaseMembership

USAGE = UsageReport({"t": (3, 1), "u": (0, 2)}, is_partial=True)


def test_claim_is_decoded_as_it_was_encoded() -> None:
    claim = LeaseClaim(
        "10.0.0.1:7000", 5, 6, 7, renew=(1, 2), acquire=(3,), release=(4,), drop=(5,), usage_reports={1: USAGE}
    )
    data = lease_messages.encode_claim(claim, 8).SerializeToString()
    decoded = lease_messages.decode_claim(LeaseRequest.FromString(data))
    assert decoded.coordinator_incarnation == 8
    assert (decoded.holder, decoded.incarnation, decoded.sequence) == ("10.0.0.1:7000", 5, 6)
    assert decoded.membership_version == 7
    assert (decoded.renew, decoded.acquire, decoded.release, decoded.drop) == ((1, 2), (3,), (4,), (5,))
    assert decoded.usage_reports == {1: USAGE}


def test_votes_are_decoded_as_they_were_encoded() -> None:
    votes = LeaseVotes(
        is_accepted=True,
        incarnation=8,
        in_grace_period=True,
        rejected=frozenset({3, 4}),
        idle_ms=(0, 250),
        gateways_seen=9,
        predecessors={1: RelayedReport("10.0.0.2:7000", 2, 3, USAGE, True, 40.0)},
        membership=LeaseMembership(4, ("a", "b"), ("a", "c")),
    )
    data = lease_messages.encode_votes(votes).SerializeToString()
    assert lease_messages.decode_votes(LeaseResponse.FromString(data)) == votes


def test_votes_without_membership_are_decoded_without_one() -> None:
    votes = LeaseVotes(is_accepted=False, incarnation=8)
    data = lease_messages.encode_votes(votes).SerializeToString()
    assert lease_messages.decode_votes(LeaseResponse.FromString(data)) == votes
