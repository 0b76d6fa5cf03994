"""Full reads of the peers: a replica learns which states they hold, which one is committed, and what it is missing.

Owns the queries of this process to other acceptors. Invariants:

- A state is learned as committed only if a majority of each set of its members holds it under the same ballot.
- Such a read confirms the serving lease as of the time at which the read began.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from typing import Final

from hallhitch.messages.system_pb2 import AcceptorQuery, AcceptorReport, Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot, BallotedState
from hallhitch.planes.control.committed_state import CommittedState
from hallhitch.planes.control.local_replica import LocalReplica
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.membership_reconciler import GapKind, ReplicationGap
from hallhitch.planes.control.serving_lease import ServingLease
from hallhitch.planes.control.vote_eligibility import VoteEligibility
from hallhitch.planes.control.vote_tally import VoteTally

QUERY_TIMEOUT_MS: Final = 800.0  # for a peer's report, and for a write to the disk: below the second that callers wait
REPLY_TIME_FRACTION: Final = 0.8  # of the time for a read; the rest is for writing a newer state to the disk


class StateObserver:
    """Reads what the other acceptors hold.

    `on_replication_gap` is called after each read with the gap that it found, or with None.
    """

    def __init__(
        self,
        replica: LocalReplica,
        committed: CommittedState,
        lease: ServingLease,
        on_replication_gap: Callable[[ReplicationGap | None], None],
    ) -> None:
        self.seed_addresses: frozenset[str] = frozenset()
        self.live_coordinators: frozenset[str] = frozenset()  # as discovery has found them
        self.eligibility = VoteEligibility(replica.address, replica.acceptor)
        self._replica, self._committed, self._lease = replica, committed, lease
        self._on_replication_gap = on_replication_gap

    def known_peers(self) -> frozenset[str]:
        """Return the peers to query: the members under any state known here, and the recent queriers of this process.

        The seeds and the coordinators found by discovery are included while this process has no contact with a majority
        or is not a member.
        """
        replica = self._replica
        states = (replica.acceptor.state.state, replica.proposer.newest_seen.state, self._committed.state)
        known = frozenset[str]().union(*(Membership.from_state(state).all_members for state in states))
        now_ms = replica.clock()
        is_in_contact = self._committed.is_confirmed and self._lease.is_valid(now_ms)
        if not is_in_contact or replica.address not in known:
            known |= self.seed_addresses | self.live_coordinators
        return (known | replica.observations.recent_queriers(now_ms)) - {replica.address}

    async def call_peer(
        self, address: str, query: AcceptorQuery, timeout_ms: float = QUERY_TIMEOUT_MS
    ) -> AcceptorReport | None:
        """Query one peer and return its report, or None if it does not reply."""
        replica = self._replica
        query.is_leaving = replica.observations.is_leaving
        try:
            reply = await replica.call_peer(address, Envelope(acceptor_query=query), timeout_ms)
        except PeerCallError:
            return None
        report = reply.acceptor_report
        replica.record_reply(address)
        if not self.eligibility.check_report(address, report):
            self._committed.is_confirmed = False
        return report

    async def publish(self, addresses: frozenset[str], timeout_ms: float) -> dict[str, AcceptorReport]:
        """Tell peers what this replica holds and whether it is leaving; return the reports of those that reply."""
        return await self._call_peers(addresses, self._own_query(self._replica.acceptor.state), timeout_ms)

    async def read_committed(self, timeout_ms: float) -> None:
        """Observe the peers for up to `timeout_ms` and learn a newer committed state, if there is one.

        Learning it does not depend on the disk of this replica.
        """
        with suppress(PeerCallError, TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000):
                await self.observe(REPLY_TIME_FRACTION * timeout_ms)

    async def observe(self, timeout_ms: float) -> None:
        """Query the peers, learn what a majority holds, report what is missing, and accept a newer state.

        Raises:
            PeerCallError: the disk of this replica was too slow for a newer state, or refused it.
            TimeoutError: the disk did not finish within QUERY_TIMEOUT_MS.
        """
        own, began_ms = self._replica.acceptor.state, self._replica.clock()
        reports = await self._collect_reports(own, timeout_ms)
        if not reports:
            return
        newest_report = max(reports.values(), key=_accepted_ballot)
        newest = BallotedState(_accepted_ballot(newest_report), newest_report.state)
        self._record_newest(newest)
        is_committed = _is_held_by_majority(newest, reports)
        if is_committed:
            self._committed.learn(newest.state, newest.ballot)
            self._lease.confirm(began_ms)
        self._on_replication_gap(_replication_gap(newest, reports, is_committed))
        if newest.ballot > own.accepted and not own.is_recovering and not self._replica.acceptor.is_busy:
            # The accept of this state was lost or has not arrived yet; acceptors take an accept from any sender.
            acceptance = self._replica.acceptor.accept_from_peer(newest_report.accepted, newest.state)
            await asyncio.wait_for(acceptance, QUERY_TIMEOUT_MS / 1000)

    async def _collect_reports(self, own: AcceptorState, timeout_ms: float) -> dict[str, AcceptorReport]:
        """Return the reports of all replicas that reply and are not recovering; that of this replica comes last."""
        replies = await self._call_peers(self.known_peers(), self._own_query(own), timeout_ms)
        reports = {address: report for address, report in replies.items() if report.ok}
        for report in reports.values():
            if _accepted_ballot(report) == own.accepted != INITIAL_BALLOT:
                report.state.CopyFrom(own.state)  # the peer left it out, because this replica holds the same state
        if not own.is_recovering:
            self._replica.record_reply(self._replica.address)
            _, reports[self._replica.address] = own.report(AcceptorQuery(address=self._replica.address))
        return reports

    def _record_newest(self, newest: BallotedState) -> None:
        """Record the newest state, committed or not: the next ballot is sent to its members."""
        proposer = self._replica.proposer
        if newest.ballot > proposer.newest_seen.ballot or not proposer.newest_seen.state.members:
            proposer.newest_seen = newest

    async def _call_peers(
        self, addresses: Iterable[str], query: AcceptorQuery, timeout_ms: float
    ) -> dict[str, AcceptorReport]:
        """Query several peers concurrently; those that do not reply are left out."""
        peers = sorted(addresses)
        replies = await asyncio.gather(*(self.call_peer(address, query, timeout_ms) for address in peers))
        return {address: report for address, report in zip(peers, replies, strict=True) if report is not None}

    def _own_query(self, own: AcceptorState) -> AcceptorQuery:
        return AcceptorQuery(
            address=self._replica.address, known_ballot=own.accepted.to_message(), can_vote=not own.is_recovering
        )


def _accepted_ballot(report: AcceptorReport) -> Ballot:
    return Ballot.from_message(report.accepted)


def _is_held_by_majority(newest: BallotedState, reports: Mapping[str, AcceptorReport]) -> bool:
    """Return whether a majority of each set of its members holds the state; void votes do not count."""
    tally = VoteTally(Membership.from_state(newest.state).quorum_sets)
    for member, report in reports.items():
        tally.add(member, _accepted_ballot(report) == newest.ballot, report.incarnations)
    return tally.has_quorum()


def _replication_gap(
    newest: BallotedState, reports: Mapping[str, AcceptorReport], is_committed: bool
) -> ReplicationGap | None:
    """Return the gap that another ballot should close; None if nothing is missing or no ballot can succeed now."""
    membership = Membership.from_state(newest.state)
    if is_committed:
        reporting_members = membership.all_members & reports.keys()
        is_any_lagging = any(_accepted_ballot(reports[member]) < newest.ballot for member in reporting_members)
        return ReplicationGap(GapKind.LAGGING_MEMBER, newest.ballot) if is_any_lagging else None
    if membership.has_quorum(reports):
        return ReplicationGap(GapKind.NO_MAJORITY, newest.ballot)
    # A ballot would hang now, and a command that arrives as the partition ends would wait behind it.
    return None
