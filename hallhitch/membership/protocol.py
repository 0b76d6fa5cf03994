"""Combines the state machine with its damped view: one call collects the results of a step of both."""

from __future__ import annotations

from typing import NamedTuple

from hallhitch.membership.damped_view import DampedView, GatewayCounts
from hallhitch.membership.member_view import MemberChange
from hallhitch.membership.outbox import OutgoingDatagram
from hallhitch.membership.swim import Swim


class StepResult(NamedTuple):
    """Results of a step; `counts` is None unless new counts are to be published."""

    outgoing: list[OutgoingDatagram]
    changes: list[MemberChange]
    counts: GatewayCounts | None


class MembershipProtocol:
    """The state machine and the damped view of one process.

    The owner calls `finish_step` after every call of `swim`, and `swim.tick` at the time that `next_wake` returns.
    """

    def __init__(self, swim: Swim, damped_view: DampedView) -> None:
        self.swim = swim
        self.damped_view = damped_view

    def finish_step(self, now: float) -> StepResult:
        """Take the outgoing messages and the changes, and evaluate the damped view if it is due."""
        outgoing = self.swim.take_outgoing()
        changes = self.swim.take_changes()
        if changes:
            self.damped_view.on_view_changed(now)
        is_due = now >= self.damped_view.wake_at
        counts = self.damped_view.evaluate(self.swim.records(), now) if is_due else None
        return StepResult(outgoing, changes, counts)

    def next_wake(self) -> float:
        """Return when to call `swim.tick` next."""
        return min(self.swim.next_wake(), self.damped_view.wake_at)
