"""Runs a schedule, checks the invariants, and shrinks a failing schedule before it is reported."""

from __future__ import annotations

from typing import Final

from hallhitch.lab.simulation.operation_history import Violation, violated_invariants
from hallhitch.lab.simulation.schedule import Schedule
from hallhitch.lab.simulation.shrink import shrink_schedule
from hallhitch.lab.simulation.simulation import run_schedule

MAX_REPORTED_VIOLATIONS: Final = 6  # one fault often violates an invariant many times


class InvariantsViolated(AssertionError):  # noqa: N818  the name describes the event
    """A run of a schedule violated invariants. The message has the schedule and the first violations."""

    def __init__(self, schedule: Schedule, violations: list[Violation]) -> None:
        self.schedule = schedule
        self.violations = violations
        reported = violations[:MAX_REPORTED_VIOLATIONS]
        super().__init__("\n".join([str(schedule), *(f"  {violation}" for violation in reported)]))


def check_schedule(schedule: Schedule) -> None:
    """Run a schedule and check the invariants.

    Raises:
        InvariantsViolated: An invariant does not hold. Has the smallest failing schedule that was found.
    """
    violations = run_schedule(schedule)
    if not violations:
        return
    violated = violated_invariants(violations)
    smallest = shrink_schedule(
        schedule, lambda candidate: bool(violated & violated_invariants(run_schedule(candidate)))
    )
    raise InvariantsViolated(smallest, run_schedule(smallest))
