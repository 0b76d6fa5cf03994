"""Whether this replica may vote and propose, by what the others tell of it: its incarnation, its founding members.

Owns two findings and no message. Must never let a replica go on with votes that the others know to be void.
"""

from __future__ import annotations

from hallhitch.messages.system_pb2 import AcceptorReport
from hallhitch.node.logs import ComponentLogger
from hallhitch.planes.control.acceptor import DurableAcceptor
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot, BallotedState
from hallhitch.planes.control.membership import has_founding_conflict

FOUNDED_OTHERWISE = "the settings of the first start differ by machine"


class VoteEligibility:
    """What the answers of the others say against this replica."""

    def __init__(self, address: str, acceptor: DurableAcceptor) -> None:
        self._address, self._acceptor = address, acceptor
        self._conflict = False
        self._log = ComponentLogger("control")

    def check_report(self, address: str, answer: AcceptorReport) -> bool:
        """One answer of another replica; False where our own data folder turned out to be old and was dropped."""
        self._check_founding(address, answer)
        return self._check_incarnation(answer)

    @property
    def refusal_reason(self) -> str:
        """Why this replica puts no change to the register; empty where there is no reason."""
        return FOUNDED_OTHERWISE if self._conflict and self._acceptor.state.accepted == INITIAL_BALLOT else ""

    def _check_incarnation(self, answer: AcceptorReport) -> bool:
        state = self._acceptor.state
        known, own = answer.incarnations.get(self._address, 0), state.incarnations.get(self._address, 0)
        if state.is_recovering or known <= own:
            return True
        self._log.warning(f"the data folder is old: incarnation {own}, the others know {known}; nothing of it is used")
        self._acceptor.discard_state()
        return False

    def _check_founding(self, address: str, answer: AcceptorReport) -> None:
        """Another that was founded with other members: no order is taken while neither has a ballot."""
        state = self._acceptor.state
        at = Ballot.from_message(answer.accepted)
        if not answer.ok:
            return
        if not has_founding_conflict(BallotedState(state.accepted, state.state), BallotedState(at, answer.state)):
            return
        if not self._conflict:
            own, other = list(state.state.members), list(answer.state.members)
            self._log.error(f"founded with {own}, but {address} with {other}: no order is taken")
        self._conflict = True
