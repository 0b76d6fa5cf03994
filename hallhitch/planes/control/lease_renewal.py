"""The rounds that renew a serving lease: light reads of the members, each counted from when it was asked.

Owns the tasks of these reads. Rounds overlap: one without an answer holds up none after it. Must never confirm by the
answers of one round what another one asked.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from hallhitch.messages.system_pb2 import AcceptorQuery, AcceptorReport, Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.serving_lease import ConfirmingRead, ServingLease

AGAIN = 50.0  # ms after which a read is asked again that met an order under way
READ_SHARE = 0.5  # of the lease in which one more full read is tried after such a meeting


@dataclass(frozen=True, slots=True)
class LeaseBasis:
    """What this process knows to be committed, and how its own replica answers (None: it has no vote now)."""

    ballot: Ballot
    membership: Membership
    own_report: AcceptorReport | None
    is_leaving: bool = False  # whether this process is about to end


class LeaseRenewal:
    """Renews a lease for as long as the process runs."""

    def __init__(
        self,
        address: str,
        lease: ServingLease,
        known: Callable[[], LeaseBasis | None],
        call: Callable[[str, Envelope, float], Awaitable[Envelope]],
        heard: Callable[[str], None],
        read_all: Callable[[], Awaitable[None]],
        clock: Callable[[], float],
    ) -> None:
        """`known` is None before anything is; `heard` is told who answered; `read_all` learns what is newer."""
        self._address, self._lease, self._known, self._call = address, lease, known, call
        self._heard, self._read_all, self._clock = heard, read_all, clock
        self._tasks: set[asyncio.Future[Any]] = set()

    async def run(self) -> None:
        """A round every while; never ends."""
        while True:
            self._spawn(self._renew())
            await asyncio.sleep(self._lease.renewal_interval_ms / 1000)

    def stop(self) -> None:
        """No more reads."""
        for task in list(self._tasks):
            task.cancel()

    async def confirm(self, wait: float) -> bool:
        """One read of at most `wait` ms: whether a majority confirmed what is known here. Ends once that is clear."""
        known, asked = self._known(), self._clock()
        if known is None or not known.membership.quorum_sets:
            return False
        read = ConfirmingRead(known.ballot, known.membership)
        if known.own_report is not None:
            read.record(self._address, Ballot.from_message(known.own_report.accepted), known.own_report.incarnations)
        # `sound` says that this state is on our disk: what is known to be committed need not be.
        on_disk = known.own_report is not None and Ballot.from_message(known.own_report.accepted) >= known.ballot
        message = AcceptorQuery(
            address=self._address, known_ballot=known.ballot.to_message(), can_vote=on_disk, is_leaving=known.is_leaving
        )
        others = sorted(known.membership.all_members - {self._address})
        answers: asyncio.Queue[tuple[str, AcceptorReport | None]] = asyncio.Queue()
        for member in others:
            self._spawn(self._ask(member, message, wait, answers))
        for _ in others:
            if read.is_confirmed or read.found_newer:
                break
            member, answer = await answers.get()
            if answer is not None:
                read.record(member, Ballot.from_message(answer.accepted), answer.incarnations)
        if read.is_confirmed:
            self._lease.confirm(asked)
        return read.is_confirmed

    async def _ask(
        self,
        member: str,
        message: AcceptorQuery,
        wait: float,
        answers: asyncio.Queue[tuple[str, AcceptorReport | None]],
    ) -> None:
        """One member's answer into the queue; None for silence and from one that lost its memory."""
        try:
            answer = (await self._call(member, Envelope(acceptor_query=message), wait)).acceptor_report
        except PeerCallError:
            answers.put_nowait((member, None))
            return
        self._heard(member)
        answers.put_nowait((member, answer if answer.ok else None))

    async def _renew(self) -> None:
        """One round; where somebody holds more than is known here, that is learned at once."""
        asked = self._clock()
        if self._known() is None or await self.confirm(self._lease.length_ms):
            return
        while self._clock() - asked < READ_SHARE * self._lease.length_ms and self._lease.confirmed_at_ms < asked:
            await self._read_all()
            await asyncio.sleep(AGAIN / 1000)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Future[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()  # a round that failed is the next one's matter
