"""One schedule played and judged; a failing one is shrunk before it is told."""

from __future__ import annotations

from hallhitch.lab.simulation.faults import Schedule
from hallhitch.lab.simulation.history import Violation, rules
from hallhitch.lab.simulation.shrink import shrink
from hallhitch.lab.simulation.simulation import play

TOLD_MOST = 6  # violations that are printed


class RulesBroken(AssertionError):
    """A schedule under which a rule does not hold; the text has both."""


def examine(schedule: Schedule) -> None:
    """Raise RulesBroken, with the smallest schedule that was found, where a rule does not hold."""
    found = play(schedule)
    if found:
        broken = rules(found)
        smaller = shrink(schedule, lambda candidate: bool(broken & rules(play(candidate))))
        raise RulesBroken(_report(smaller, play(smaller)))


def _report(schedule: Schedule, found: list[Violation]) -> str:
    return "\n".join([str(schedule), *(f"  {violation}" for violation in found[:TOLD_MOST])])
