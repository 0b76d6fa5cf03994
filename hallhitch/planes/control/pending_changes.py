"""The changes whose callers wait, and which of them the current ballot has applied. No I/O; the clock is passed in.

Invariants:

- *No change without its caller*: a change is applied only while its caller waits and the clock has not reached its
  deadline. Checking that the caller waits is not enough, because in a process that was suspended the timeout may not
  have fired yet. `state_transitions` explains why a late change must not be applied.
- *No read from old promises*: a read is applied only by a ballot that began after the read was requested. Promises of
  an earlier ballot may be older than the read, and a ballot that writes nothing does not reveal what was accepted in
  between.
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
    """A change and the caller that waits for the state after it. Times are those of the process's clock."""

    transition: StateTransition
    requested_at_ms: float
    deadline_ms: float  # the latest time at which its caller is answered
    outcome: asyncio.Future[ClusterState]

    @property
    def is_read(self) -> bool:
        """Whether the change only reads the state."""
        return self.transition is identity


class PendingChanges:
    """All pending changes of a proposer, in the order in which they were requested."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._waiting: list[PendingChange] = []
        self._applied: list[PendingChange] = []  # by the current ballot
        self.ballot_started_ms = clock()  # of the current ballot, or of the last one

    def __bool__(self) -> bool:
        return bool(self._waiting)

    @property
    def are_all_reads(self) -> bool:
        """Whether every pending change is a read."""
        return all(change.is_read for change in self._waiting)

    @property
    def has_caller(self) -> bool:
        """Whether a caller still waits for a change that the current ballot has applied, or may still apply."""
        return any(change in self._waiting for change in self._applied or self._waiting)

    @property
    def requires_commit(self) -> bool:
        """Whether the current ballot has applied a change that is not a read."""
        return any(not change.is_read for change in self._applied)

    @property
    def first_deadline_ms(self) -> float:
        """The earliest deadline of the applied changes; infinity if there are none."""
        return min((change.deadline_ms for change in self._applied), default=float("inf"))

    def add(self, transition: StateTransition, timeout_ms: float) -> PendingChange:
        """Queue a change whose caller waits for up to `timeout_ms` from now."""
        now = self._clock()
        change = PendingChange(transition, now, now + timeout_ms, asyncio.get_running_loop().create_future())
        self._waiting.append(change)
        return change

    def discard(self, change: PendingChange) -> None:
        """Remove a change whose caller has given up or has its answer."""
        if change in self._waiting:
            self._waiting.remove(change)

    def begin_ballot(self) -> None:
        """Start a ballot, which has applied nothing yet."""
        self._applied = []
        self.ballot_started_ms = self._clock()

    def apply(self, state: ClusterState, can_change_members: bool) -> ClusterState:
        """Return the state after all changes that may be applied, in the order of their requests.

        If `can_change_members` is false, a change of members may not be made on top of the current members. It is left
        out, its caller gets the state without it, and the others are applied.
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
