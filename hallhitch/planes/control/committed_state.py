"""The newest cluster state that this process knows to be committed.

Owns that state and notifies the process of each newer one. Invariants:

- *Committed*: `state` was accepted by a majority of each of its quorum sets.
- *Monotonic*: neither the serial of `state` nor `ballot` decreases while the process runs.
"""

from __future__ import annotations

from collections.abc import Callable

from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.node.logs import ComponentLogger
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot, BallotedState
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.proposer import Proposer


class CommittedState:
    """The newest state known to be committed. `on_commit` is called on the event loop with each newer one."""

    def __init__(self, proposer: Proposer, on_commit: Callable[[ClusterState], None]) -> None:
        self.state = ClusterState(config_version=-1)  # serial 0 until a state is known; must not be modified
        self.ballot: Ballot = INITIAL_BALLOT  # of the newest state that a majority is known to hold
        self.is_confirmed = False  # whether a majority was seen to hold a state since this replica last lost its data
        self._proposer, self._on_commit = proposer, on_commit
        self._log = ComponentLogger("control")

    def learn(self, state: ClusterState, ballot: Ballot) -> None:
        """Record that a majority holds this state under this ballot."""
        if ballot >= self.ballot:
            self.ballot, self.is_confirmed = ballot, True
            self._proposer.committed_membership = Membership.from_state(state)
        if ballot > self._proposer.newest_seen.ballot:
            self._proposer.newest_seen = BallotedState(ballot, state)
        if state.serial > self.state.serial:
            self.state = state
            self._notify(state)

    def _notify(self, state: ClusterState) -> None:
        try:
            self._on_commit(state)
        except Exception as error:  # noqa: BLE001  an error in the listener does not undo the commit
            self._log.exception("commit listener failed", error, serial=state.serial)
