"""Which reports suffice for a replica that lost its data, and the state that it continues from. No clock, no I/O.

A recovering replica sends its queries in two passes. The first, with incarnation 0, determines the incarnation to
continue with. The second announces that incarnation, which makes all older votes of the replica void (see
`acceptor_state`).

Invariant: the reports suffice only if each majority that the replica was part of contains a member that reported.
"""

from __future__ import annotations

from collections.abc import Iterable

from hallhitch.messages.system_pb2 import AcceptorReport, ClusterState
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import Ballot, BallotedState
from hallhitch.planes.control.membership import Membership


class RecoveryQuorum:
    """The reports of one pass. `address` is that of the recovering replica, `incarnation` the one it announces."""

    def __init__(self, address: str, incarnation: int = 0) -> None:
        self.address, self.incarnation = address, incarnation
        self._reports: dict[str, AcceptorReport] = {}
        self._never_voted: set[str] = set()

    def add_report(self, member: str, report: AcceptorReport) -> None:
        """Add a report; that of another recovering replica tells only whether it has ever voted."""
        if report.is_empty:
            self._never_voted.add(member)
        if report.ok:
            self._reports[member] = report

    def newest_state(self) -> ClusterState:
        """Return the newest reported state; an empty state if there is none."""
        return self._newest().state

    def is_sufficient(self) -> bool:
        """Return whether each majority that this replica was part of has a member that reported."""
        quorum_sets = Membership.from_state(self.newest_state()).quorum_sets
        return bool(quorum_sets) and all(self._is_set_covered(members) for members in quorum_sets)

    def unused_members(self, seeds: Iterable[str]) -> tuple[str, ...]:
        """Return the members of a cluster that was never in use; empty unless the reports prove that.

        `seeds` are its members if no replica holds a bootstrap state. Each other member has to report that it has never
        voted. A first change needs the promises of all members (see `proposal`), so none was ever proposed.
        """
        members = tuple(self.newest_state().members or seeds)
        others = {*members, *self._reports} - {self.address}
        return members if self.address in members and others <= self._never_voted else ()

    def next_incarnation(self) -> int:
        """Return the incarnation to continue with; called after the first pass."""
        known = (report.incarnations.get(self.address, 0) for report in self._reports.values())
        return max(known, default=0) + 1

    def recovered_state(self) -> AcceptorState:
        """Return the state to continue from after the second pass. It must be written before the first vote."""
        newest = self._newest()
        promised = max(
            max(Ballot.from_message(report.promised), Ballot.from_message(report.accepted))
            for report in self._reports.values()
        )
        return AcceptorState(self.address, promised, newest.ballot, newest.state, self._merged_incarnations())

    def _newest(self) -> BallotedState:
        accepted = (
            BallotedState(Ballot.from_message(report.accepted), report.state) for report in self._reports.values()
        )
        return max(accepted, key=lambda balloted: balloted.ballot, default=BallotedState())

    def _is_set_covered(self, members: frozenset[str]) -> bool:
        """Return whether the members without a report are too few to form a majority together with this replica."""
        peers = members - {self.address}
        if not peers:
            return True  # this replica was the only member, so no other replica can report what it accepted
        majority = len(members) // 2 + 1
        peers_in_majority = majority - (self.address in members)
        return len(peers & self._reports.keys()) >= len(peers) - peers_in_majority + 1

    def _merged_incarnations(self) -> dict[str, int]:
        """Return the newest incarnation of each replica over all reports."""
        merged: dict[str, int] = {self.address: self.incarnation}
        for report in self._reports.values():
            for member, incarnation in report.incarnations.items():
                merged[member] = max(merged.get(member, 0), incarnation)
        return merged
