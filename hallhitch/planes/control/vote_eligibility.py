"""Whether this replica may vote and propose, judged by what other replicas report of it.

Invariants.
- *No void votes*: a replica stops voting once a report shows that others know a newer incarnation of it, as its data
  directory is then an old copy and its votes do not count.
- *One founding*: while a replica and another hold founding states with different members, it proposes nothing.
"""

from __future__ import annotations

from typing import Final

from hallhitch.messages.system_pb2 import AcceptorReport
from hallhitch.node.logs import ComponentLogger
from hallhitch.planes.control.acceptor import DurableAcceptor
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot, BallotedState
from hallhitch.planes.control.membership import has_founding_conflict

FOUNDING_CONFLICT_REASON: Final = "the settings of the first start differ by machine"  # operators are answered this


class VoteEligibility:
    """What the reports of other replicas say against this one."""

    def __init__(self, address: str, acceptor: DurableAcceptor) -> None:
        self._address, self._acceptor = address, acceptor
        self._has_founding_conflict = False
        self._log = ComponentLogger("control")

    @property
    def refusal_reason(self) -> str:
        """Why this replica proposes nothing; empty where it may propose."""
        is_founding_state = self._acceptor.state.accepted == INITIAL_BALLOT
        return FOUNDING_CONFLICT_REASON if self._has_founding_conflict and is_founding_state else ""

    def check_report(self, address: str, report: AcceptorReport) -> bool:
        """Check the report of another replica; return whether this one may go on with what it holds.

        Where it may not, its state has been discarded and it is recovering.
        """
        self._check_founding(address, report)
        return self._check_incarnation(report)

    def _check_founding(self, address: str, report: AcceptorReport) -> None:
        if not report.ok:
            return
        own = self._acceptor.state
        peer_state = BallotedState(Ballot.from_message(report.accepted), report.state)
        if not has_founding_conflict(BallotedState(own.accepted, own.state), peer_state):
            return
        if not self._has_founding_conflict:
            self._log.error(
                "founded with different members, no change is taken",
                own=list(own.state.members),
                peer=address,
                peer_members=list(report.state.members),
            )
        self._has_founding_conflict = True

    def _check_incarnation(self, report: AcceptorReport) -> bool:
        own_state = self._acceptor.state
        reported = report.incarnations.get(self._address, 0)
        own = own_state.incarnations.get(self._address, 0)
        if own_state.is_recovering or reported <= own:
            return True
        self._log.warning(
            "data directory is outdated, its state is discarded", incarnation=own, known_to_peers=reported
        )
        self._acceptor.discard_state()
        return False
