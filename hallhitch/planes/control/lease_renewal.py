"""Periodic renewal of a serving lease by lightweight reads: one query to each member.

Owns the tasks of these reads. Invariants:

- *Counted from the request*: a round confirms the lease as of the time at which its queries were sent, and only
  replies to its own queries count.
- *Overlapping*: a round that gets no replies does not delay the rounds after it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from hallhitch.messages.system_pb2 import AcceptorQuery, AcceptorReport, Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.serving_lease import ConfirmingRead, ServingLease

FULL_READ_INTERVAL_MS: Final = 50.0  # between full reads after a lightweight read met a change in progress
# Fraction of the lease's length during which such full reads are repeated. Two more rounds of lightweight reads have
# begun by then.
FULL_READ_FRACTION: Final = 0.5


@dataclass(frozen=True, slots=True)
class LeaseBasis:
    """What this process knows to be committed and asks a majority to confirm."""

    ballot: Ballot
    membership: Membership
    own_report: AcceptorReport | None  # from the replica of this process; None while it may not vote
    is_leaving: bool = False  # whether this process is about to exit


@dataclass(frozen=True, slots=True)
class RenewalPorts:
    """Functions of the process that the renewal of a lease calls."""

    lease_basis: Callable[[], LeaseBasis | None]  # returns None before anything is known to be committed
    call_peer: Callable[[str, Envelope, float], Awaitable[Envelope]]  # raises PeerCallError
    on_reply: Callable[[str], None]  # receives the address of each member that replies
    read_committed: Callable[[], Awaitable[None]]  # a full read, which learns newer states


@dataclass(frozen=True, slots=True)
class _MemberReport:
    """The report of one member; `report` is None if the member did not reply or is recovering."""

    member: str
    report: AcceptorReport | None


class LeaseRenewal:
    """Renews a lease for as long as the process runs."""

    def __init__(self, address: str, lease: ServingLease, ports: RenewalPorts, clock: Callable[[], float]) -> None:
        self._address, self._lease, self._ports, self._clock = address, lease, ports, clock
        self._tasks: set[asyncio.Future[Any]] = set()

    async def run(self) -> None:
        """Begin a round every renewal interval; never returns by itself."""
        while True:
            self._spawn(self._renew())
            await asyncio.sleep(self._lease.renewal_interval_ms / 1000)

    def stop(self) -> None:
        """Cancel all reads in progress."""
        for task in list(self._tasks):
            task.cancel()

    async def confirm(self, timeout_ms: float) -> bool:
        """Query the members once and return whether a majority confirmed what this process knows to be committed.

        Returns as soon as the result is certain, after `timeout_ms` at the latest.
        """
        basis, requested_at_ms = self._ports.lease_basis(), self._clock()
        if basis is None or not basis.membership.quorum_sets:
            return False
        read = ConfirmingRead(basis.ballot, basis.membership)
        if basis.own_report is not None:
            read.record(self._address, Ballot.from_message(basis.own_report.accepted), basis.own_report.incarnations)
        query = self._query(basis)
        peers = sorted(basis.membership.all_members - {self._address})
        reports: asyncio.Queue[_MemberReport] = asyncio.Queue()
        for member in peers:
            self._spawn(self._query_member(member, query, timeout_ms, reports))
        for _ in peers:
            if read.is_confirmed or read.found_newer:
                break
            reply = await reports.get()
            if reply.report is not None:
                read.record(reply.member, Ballot.from_message(reply.report.accepted), reply.report.incarnations)
        if read.is_confirmed:
            self._lease.confirm(requested_at_ms)
        return read.is_confirmed

    def _query(self, basis: LeaseBasis) -> AcceptorQuery:
        # `can_vote` tells members that this replica has the state on its disk. A state that is known to be committed
        # need not be there.
        is_on_disk = basis.own_report is not None and Ballot.from_message(basis.own_report.accepted) >= basis.ballot
        return AcceptorQuery(
            address=self._address,
            known_ballot=basis.ballot.to_message(),
            can_vote=is_on_disk,
            is_leaving=basis.is_leaving,
        )

    async def _query_member(
        self, member: str, query: AcceptorQuery, timeout_ms: float, reports: asyncio.Queue[_MemberReport]
    ) -> None:
        """Query one member and put its report into the queue."""
        try:
            reply = await self._ports.call_peer(member, Envelope(acceptor_query=query), timeout_ms)
        except PeerCallError:
            reports.put_nowait(_MemberReport(member, None))
            return
        report = reply.acceptor_report
        self._ports.on_reply(member)
        reports.put_nowait(_MemberReport(member, report if report.ok else None))

    async def _renew(self) -> None:
        """Run one round; if a member holds a newer state than this process, learn it immediately by full reads."""
        requested_at_ms = self._clock()
        if self._ports.lease_basis() is None or await self.confirm(self._lease.length_ms):
            return
        full_read_period_ms = FULL_READ_FRACTION * self._lease.length_ms
        while self._clock() - requested_at_ms < full_read_period_ms and self._lease.confirmed_at_ms < requested_at_ms:
            await self._ports.read_committed()
            await asyncio.sleep(FULL_READ_INTERVAL_MS / 1000)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Future[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Marks the exception as retrieved, so that asyncio does not log it. The next round makes up for this one.
            task.exception()
