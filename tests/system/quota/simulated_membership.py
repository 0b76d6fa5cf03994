"""Changes of the coordinators' membership in simulated time: joint state, settled state, removal of the previous set.

Each state reaches each coordinator separately, with a delay and sometimes not at all, and is resent until quorums have
accepted it. The state that a coordinator has accepted survives a restart of its process.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from hallhitch.planes.quota.lease import CLOCK_MARGIN_MS, LEASE_DURATION_MS
from hallhitch.planes.values import LeaseMembership

if TYPE_CHECKING:
    from tests.system.quota.simulated_cluster import SimulatedCluster
    from tests.system.quota.simulated_process import SimulatedCoordinator

RESEND_INTERVAL_MS: Final = 250.0  # after which a state that is not committed yet is sent again


@dataclass
class SimulatedMembership:
    """The memberships of one run.

    `is_joint` False skips the joint state, which makes a change safe, so that tests can show that they detect this.
    """

    cluster: SimulatedCluster
    committed: LeaseMembership
    is_joint: bool = True
    accepted: dict[str, LeaseMembership] = field(default_factory=dict)
    completed_changes: int = 0
    pending_changes: list[tuple[str, ...]] = field(default_factory=list)
    is_changing: bool = False

    def __post_init__(self) -> None:
        for coordinator in self.cluster.coordinators:
            self.accepted[coordinator.name] = self.committed

    @property
    def latest_members(self) -> tuple[str, ...]:
        """The members after all pending changes."""
        return self.pending_changes[-1] if self.pending_changes else self.committed.members

    def change(self, members: tuple[str, ...]) -> None:
        """Change to these members after the pending changes."""
        self.pending_changes.append(members)
        self._begin_next()

    def _begin_next(self) -> None:
        if self.is_changing or not self.pending_changes:
            return None
        members = self.pending_changes.pop(0)
        previous = self.committed
        if not members or set(members) == set(previous.members):
            return self._begin_next()
        self.is_changing = True
        if not self.is_joint:
            return self._commit(LeaseMembership(previous.version + 1, members), previous, self._complete)
        joint = LeaseMembership(previous.version + 1, members, previous.members)
        self._commit(joint, joint, lambda: self._settle(joint))
        return None

    def _settle(self, joint: LeaseMembership) -> None:
        settled = LeaseMembership(joint.version + 1, joint.members, joint.previous_members)
        drop_delay_ms = LEASE_DURATION_MS + CLOCK_MARGIN_MS
        self._commit(settled, joint, lambda: self.cluster.schedule(drop_delay_ms, lambda: self._drop_previous(settled)))

    def _drop_previous(self, settled: LeaseMembership) -> None:
        final = LeaseMembership(settled.version + 1, settled.members)
        self._commit(final, final, self._complete)

    def _complete(self) -> None:
        self.completed_changes += 1
        self.is_changing = False
        self._begin_next()

    def _commit(self, state: LeaseMembership, voters: LeaseMembership, on_commit: Callable[[], None]) -> None:
        """Send a state to the coordinators until quorums of `voters` have accepted it."""
        if voters.has_quorum(name for name, accepted in self.accepted.items() if accepted.version >= state.version):
            self.committed = state
            return on_commit()
        cluster = self.cluster
        partition = cluster.rng.choice(cluster.coordinators).partition
        for coordinator in cluster.coordinators:
            is_reachable = coordinator.incarnation and coordinator.partition == partition
            if is_reachable and (cluster.is_fault_free or cluster.rng.random() > 0.2):
                self._send(coordinator, state)
        cluster.schedule(RESEND_INTERVAL_MS, lambda: self._commit(state, voters, on_commit))
        return None

    def _send(self, coordinator: SimulatedCoordinator, state: LeaseMembership) -> None:
        def accept() -> None:
            if state.version > self.accepted[coordinator.name].version:
                self.accepted[coordinator.name] = state
                coordinator.table.set_membership(coordinator.clock(), state)

        delay_ms = self.cluster.rng.uniform(1, 60 if self.cluster.is_fault_free else 600)
        # It is delivered to the incarnation that runs when it arrives.
        self.cluster.schedule(delay_ms, lambda: self.cluster.run_in(coordinator, coordinator.incarnation or -1, accept))
