"""Decides from the reports of other replicas whether this replica may vote and propose.

Invariants.
- *No void votes*: a replica stops voting when a report shows that others know a newer incarnation of it. Its data
  directory is then an old copy, and its votes do not count.
- *One bootstrap*: a replica proposes nothing while it and another replica hold bootstrap states with different members.
"""

from __future__ import annotations

from typing import Final

from hallhitch.messages.system_pb2 import AcceptorReport
from hallhitch.node.logs import ComponentLogger
from hallhitch.planes.control.acceptor import DurableAcceptor
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot, BallotedState
from hallhitch.planes.control.membership import has_bootstrap_conflict

BOOTSTRAP_CONFLICT_REASON: Final = "the settings of the first start differ by machine"  # operators receive this text


class VoteEligibility:
    """Checks reports of other replicas for reasons why this replica must not vote or propose."""

    def __init__(self, address: str, acceptor: DurableAcceptor) -> None:
        self._address, self._acceptor = address, acceptor
        self._has_bootstrap_conflict = False
        self._log = ComponentLogger("control")

    @property
    def refusal_reason(self) -> str:
        """Why this replica must not propose; empty if it may."""
        is_bootstrap_state = self._acceptor.state.accepted == INITIAL_BALLOT
        return BOOTSTRAP_CONFLICT_REASON if self._has_bootstrap_conflict and is_bootstrap_state else ""

    def check_report(self, address: str, report: AcceptorReport) -> bool:
        """Check the report of another replica; return whether this replica may keep its state.

        If it may not, its state has been discarded and it is recovering.
        """
        self._check_bootstrap(address, report)
        return self._check_incarnation(report)

    def _check_bootstrap(self, address: str, report: AcceptorReport) -> None:
        if not report.ok:
            return
        own = self._acceptor.state
        peer_state = BallotedState(Ballot.from_message(report.accepted), report.state)
        if not has_bootstrap_conflict(BallotedState(own.accepted, own.state), peer_state):
            return
        if not self._has_bootstrap_conflict:
            self._log.error(
                "bootstrapped with different members, refusing changes",
                own=list(own.state.members),
                peer=address,
                peer_members=list(report.state.members),
            )
        self._has_bootstrap_conflict = True

    def _check_incarnation(self, report: AcceptorReport) -> bool:
        own_state = self._acceptor.state
        reported = report.incarnations.get(self._address, 0)
        own = own_state.incarnations.get(self._address, 0)
        if own_state.is_recovering or reported <= own:
            return True
        self._log.warning("data directory is outdated, discarding its state", incarnation=own, known_to_peers=reported)
        self._acceptor.discard_state()
        return False
