"""A view and what follows from it, together: what whoever drives them has to do after each step."""

from __future__ import annotations

from typing import NamedTuple

from hallhitch.membership.messages import Datagram
from hallhitch.membership.roster import Counted, Roster
from hallhitch.membership.swim import Change, Swim


class Step(NamedTuple):
    """What is to be sent, what has changed, and what is new for the module, if anything is."""

    out: list[tuple[str, Datagram]]
    changes: list[Change]
    counted: Counted | None


class Conduct:
    """One process's view with its roster. Call `done` after every `tick` or `hear`, and `tick` at `wake`."""

    def __init__(self, swim: Swim, roster: Roster) -> None:
        self.swim, self.roster = swim, roster

    def done(self, now: float) -> Step:
        """What follows from what was just done."""
        out, self.swim.out = self.swim.out, []
        changes, self.swim.changes = self.swim.changes, []
        if changes:
            self.roster.noticed(now)
        counted = self.roster.look(self.swim.records(), now) if now >= self.roster.wake else None
        return Step(out, changes, counted)

    @property
    def wake(self) -> float:
        """When to call `tick` next."""
        return min(self.swim.wake, self.roster.wake)
