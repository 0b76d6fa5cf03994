"""The changes whose callers wait, and what the ballot under way has applied of them. No I/O; the clock is handed in.

Invariants.
- *No change without its caller*: a change is applied only while its caller waits and its deadline has not passed by the
  clock. The clock is read as well, because in a process that was suspended the time-out may not have fired yet. For why
  a late change is not applied see `state_transitions`.
- *No read from old promises*: a read is applied only by a ballot that began after it was requested, as promises may be
  older than the read, and a ballot that writes nothing would not reveal what was accepted in between.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from hallhitch.messages.system_pb2 import ClusterState
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.state_transitions import StateTransition, identity


@dataclass(eq=False, slots=True)
class PendingChange:
    """A change and the caller that waits for the state after it; times by the process's clock."""

    transition: StateTransition
    requested_at_ms: float
    deadline_ms: float  # when its caller is answered at the latest
    outcome: asyncio.Future[ClusterState]

    @property
    def is_read(self) -> bool:
        """Whether the change asks for the state only."""
        return self.transition is identity


class PendingChanges:
    """All pending changes of a proposer, in the order of their requests."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._waiting: list[PendingChange] = []
        self._applied: list[PendingChange] = []  # by the ballot under way
        self.ballot_started_ms = clock()  # when the ballot under way, or the last one, began

    def __bool__(self) -> bool:
        return bool(self._waiting)

    @property
    def are_all_reads(self) -> bool:
        """Whether no pending change alters the state."""
        return all(change.is_read for change in self._waiting)

    @property
    def has_caller(self) -> bool:
        """Whether a caller still waits for a change that the ballot under way has applied, or may yet apply."""
        return any(change in self._waiting for change in self._applied or self._waiting)

    @property
    def requires_commit(self) -> bool:
        """Whether the ballot under way has applied anything but reads."""
        return any(not change.is_read for change in self._applied)

    @property
    def first_deadline_ms(self) -> float:
        """The earliest deadline of the applied changes; infinite where there are none."""
        return min((change.deadline_ms for change in self._applied), default=float("inf"))

    def add(self, transition: StateTransition, timeout_ms: float) -> PendingChange:
        """Queue a change whose caller waits for `timeout_ms` from now on."""
        now = self._clock()
        change = PendingChange(transition, now, now + timeout_ms, asyncio.get_running_loop().create_future())
        self._waiting.append(change)
        return change

    def discard(self, change: PendingChange) -> None:
        """Remove a change whose caller has left or was answered."""
        if change in self._waiting:
            self._waiting.remove(change)

    def begin_ballot(self) -> None:
        """Start a ballot, which has applied nothing yet."""
        self._applied = []
        self.ballot_started_ms = self._clock()

    def apply(self, state: ClusterState, can_change_members: bool) -> ClusterState:
        """Return the state after all changes that may be applied, one after another.

        A change of members that may not be made on top of the current ones is left out, and the others are applied.
        """
        for change in self._waiting:
            if change.outcome.done() or self._clock() >= change.deadline_ms:
                continue
            if change.is_read and change.requested_at_ms > self.ballot_started_ms:
                continue
            after = change.transition(state)
            keeps_members = Membership.from_state(after) == Membership.from_state(state)
            if keeps_members or can_change_members:
                state = after
            self._applied.append(change)
        return state

    def complete(self, state: ClusterState) -> None:
        """Answer the callers of all applied changes with the committed state."""
        for change in self._applied:
            if not change.outcome.done():
                change.outcome.set_result(state)
            self.discard(change)
