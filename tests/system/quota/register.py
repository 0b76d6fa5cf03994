"""The register's side of a change of members, in simulated time: joint state, settled state, end of the former set.

Each state is handed to the coordinators one by one, late, and lost at times, until quorums have accepted it. What a
coordinator has accepted outlives its process.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hallhitch.planes.quota.lease import LEASE, MARGIN
from hallhitch.planes.values import LeaseMembership

if TYPE_CHECKING:
    from tests.system.quota.fleet import Fleet, Process

AGAIN = 250.0  # ms until a state goes once more to those who have not accepted it


@dataclass
class Register:
    """The memberships of one run. `joint` False leaves out what makes a change safe: the tests must notice."""

    fleet: Fleet
    committed: LeaseMembership
    joint: bool = True
    accepted: dict[str, LeaseMembership] = field(default_factory=dict)
    changes: int = 0
    waiting: list[tuple[str, ...]] = field(default_factory=list)
    busy: bool = False

    def __post_init__(self) -> None:
        for process in self.fleet.core:
            self.accepted[process.name] = self.committed

    def change(self, members: tuple[str, ...]) -> None:
        """Other members, once the changes before it are through."""
        self.waiting.append(members)
        self._next()

    def _next(self) -> None:
        if self.busy or not self.waiting:
            return
        members = self.waiting.pop(0)
        before = self.committed
        if not members or set(members) == set(before.members):
            return self._next()
        self.busy = True
        if not self.joint:
            return self._put(LeaseMembership(before.version + 1, members), before, self._done)
        joint = LeaseMembership(before.version + 1, members, before.members)
        self._put(joint, joint, lambda: self._settle(joint))

    def _settle(self, joint: LeaseMembership) -> None:
        settled = LeaseMembership(joint.version + 1, joint.members, joint.previous_members)
        self._put(settled, joint, lambda: self.fleet.later(LEASE + MARGIN, lambda: self._end(settled)))

    def _end(self, settled: LeaseMembership) -> None:
        end = LeaseMembership(settled.version + 1, settled.members)
        self._put(end, end, self._done)

    def _done(self) -> None:
        self.changes += 1
        self.busy = False
        self._next()

    def _put(self, state: LeaseMembership, needed: LeaseMembership, then: Callable[[], None]) -> None:
        """Hand a state on until quorums of `needed` have accepted it."""
        if needed.has_quorum(name for name, held in self.accepted.items() if held.version >= state.version):
            self.committed = state
            return then()
        fleet = self.fleet
        side = fleet.rng.choice(fleet.core).side
        for process in fleet.core:
            if process.incarnation and process.side == side and (fleet.calm or fleet.rng.random() > 0.2):
                self._hand(process, state)
        fleet.later(AGAIN, lambda: self._put(state, needed, then))

    def _hand(self, process: Process, state: LeaseMembership) -> None:
        def accept() -> None:
            if state.version > self.accepted[process.name].version:
                self.accepted[process.name] = state
                assert process.table is not None
                process.table.set_membership(process.clock(), state)

        delay = self.fleet.rng.uniform(1, 60 if self.fleet.calm else 600)
        self.fleet.later(delay, lambda: self.fleet.run_in(process, process.incarnation or -1, accept))
