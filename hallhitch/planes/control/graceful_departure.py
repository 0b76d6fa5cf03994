"""A coordinator that ends: its seat goes to another, and what it holds to all members that can be reached.

Owns when the process may end. Must never leave the register with a state that only this one holds while another member
can be reached, and never stay beyond the time it was given.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from hallhitch.messages.system_pb2 import Accept, AcceptorReport, Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger
from hallhitch.planes.control.acceptor import DurableAcceptor
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.member_calls import PeerCall
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.membership_reconciler import MembershipReconciler
from hallhitch.planes.control.peer_observations import PeerObservations
from hallhitch.planes.control.proposer import Proposer

GAP = 100.0  # ms between two times that the others are told and looked at
ANSWER = 400.0  # ms for their answers: one that is silent must not hold up the others

Tell = Callable[[frozenset[str], float], Awaitable[Mapping[str, AcceptorReport]]]


class GracefulDeparture:
    """One ending. `tell` says to others that this one leaves, and what they hold in return."""

    def __init__(
        self,
        acceptor: DurableAcceptor,
        proposer: Proposer,
        contacts: PeerObservations,
        upkeep: MembershipReconciler,
        tell: Tell,
        call: PeerCall,
        clock: Callable[[], float],
    ) -> None:
        self._acceptor, self._proposer, self._contacts, self._upkeep = acceptor, proposer, contacts, upkeep
        self._tell, self._call, self._clock = tell, call, clock
        self._address = acceptor.state.address
        self._log = ComponentLogger("leaving")

    @property
    def has_left(self) -> bool:
        """Whether others have the seat: this one is known to be no member any more."""
        settled = self._proposer.committed_membership
        return bool(settled.members) and self._address not in settled.all_members

    async def run(self, budget_ms: float) -> None:
        """Hand the seat and the state on; returns when that is done, cannot be done, or the time is over."""
        ends = self._clock() + budget_ms
        while True:
            left = ends - self._clock()
            if left <= 0:
                self._log.warning("the time to leave is over: the others may lack what is held here")
                return
            others = Membership.from_state(self._proposer.newest_seen.state).all_members - {self._address}
            if not others:
                return
            answers = await self._tell(others, min(ANSWER, left))
            if await self._all_hold(answers, left) and not self._awaited(self._membership(answers)):
                self._log.info(
                    "seat handed on" if self.has_left else "no other has this seat; what is held is with all"
                )
                return
            await asyncio.sleep(min(GAP, max(left, 0)) / 1000)

    def _membership(self, answers: Mapping[str, AcceptorReport]) -> Membership:
        """The newest that is known to be agreed: as met here, or as a majority of it has just answered."""
        met = self._proposer.newest_seen
        newer = [
            answer for answer in answers.values() if answer.ok and Ballot.from_message(answer.accepted) > met.ballot
        ]
        for answer in newer:
            membership, at = Membership.from_state(answer.state), answer.accepted
            if membership.has_quorum(one for one, other in answers.items() if other.accepted == at):
                return membership
        return Membership.from_state(met.state)

    def _awaited(self, membership: Membership) -> bool:
        """Whether a change that takes this one out, or the end of its votes on leases, may still come."""
        if membership.previous_members or membership.previous_lease_members:
            return True
        if self._address not in membership.members:
            return False
        return self._upkeep.can_hand_over() or self._contacts.has_prospective_candidate(membership, self._clock())

    async def _all_hold(self, answers: Mapping[str, AcceptorReport], left: float) -> bool:
        """Whether each that answered holds what is held here; those that lack it are given it."""
        state = self._acceptor.state
        if state.is_recovering:
            return True  # nothing is held here
        sound = {one: answer for one, answer in answers.items() if answer.ok}
        behind = [one for one, answer in sound.items() if Ballot.from_message(answer.accepted) < state.accepted]
        accept = Accept(ballot=state.accepted.to_message(), state=state.state)
        await asyncio.gather(*(self._give(one, accept, min(ANSWER, left)) for one in behind))
        return bool(sound) and not behind

    async def _give(self, address: str, accept: Accept, wait: float) -> None:
        """The accept that did not reach it: it may come from anybody."""
        try:
            await self._call(address, Envelope(accept=accept), wait)
        except PeerCallError as error:
            self._log.info(f"{address} could not be given the state: {error}")
