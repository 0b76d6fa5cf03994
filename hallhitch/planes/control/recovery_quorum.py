"""Which answers suffice for a replica that lost its memory: no clock, no I/O. See `acceptor_state` on incarnations."""

from __future__ import annotations

from hallhitch.messages.system_pb2 import AcceptorReport, ClusterState
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.membership import Membership


class RecoveryQuorum:
    """One replica that lost its memory (or never had one) reads what it may have promised.

    Two passes: the first (`incarnation` 0) tells with which incarnation to go on, the second makes all older votes
    void.
    """

    def __init__(self, address: str, incarnation: int = 0) -> None:
        self.address, self.incarnation = address, incarnation
        self._answers: dict[str, AcceptorReport] = {}

    def add_report(self, member: str, answer: AcceptorReport) -> None:
        """One answer; those of other recovering replicas do not count."""
        if answer.ok:
            self._answers[member] = answer

    def newest_state(self) -> ClusterState:
        """The newest value met, whoever holds it."""
        held = max(self._answers.values(), key=lambda one: Ballot.from_message(one.accepted), default=None)
        return held.state if held is not None else ClusterState()

    def is_sufficient(self) -> bool:
        """Whether any majority that this replica once was part of has one that answered."""
        needed = Membership.from_state(self.newest_state()).quorum_sets
        for one in needed:
            others = one - {self.address}
            if not others:
                continue  # it was the only one: what others learnt of it is all that there is
            majority = len(one) // 2 + 1 - (self.address in one)
            if len(others & self._answers.keys()) < len(others) - majority + 1:
                return False
        return bool(needed)

    def next_incarnation(self) -> int:
        """The incarnation to go on with, after the first pass."""
        return max((one.incarnations.get(self.address, 0) for one in self._answers.values()), default=0) + 1

    def recovered_state(self) -> AcceptorState:
        """What to go on from, to be written before the first vote."""
        incarnations: dict[str, int] = {self.address: self.incarnation}
        for one in self._answers.values():
            for member, incarnation in one.incarnations.items():
                incarnations[member] = max(incarnations.get(member, 0), incarnation)
        held = max(self._answers.values(), key=lambda one: Ballot.from_message(one.accepted))
        promised = max(
            max(Ballot.from_message(one.promised), Ballot.from_message(one.accepted)) for one in self._answers.values()
        )
        return AcceptorState(self.address, promised, Ballot.from_message(held.accepted), held.state, incarnations)
