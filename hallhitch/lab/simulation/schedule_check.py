"""Run a schedule, judge it, and shrink it before a failure is reported."""

from __future__ import annotations

from typing import Final

from hallhitch.lab.simulation.operation_history import Violation, violated_invariants
from hallhitch.lab.simulation.schedule import Schedule
from hallhitch.lab.simulation.shrink import shrink_schedule
from hallhitch.lab.simulation.simulation import run_schedule

MAX_REPORTED_VIOLATIONS: Final = 6  # one fault often breaks an invariant again and again


class InvariantsViolated(AssertionError):  # noqa: N818  named for the event, as callers read it
    """A schedule violates an invariant."""

    def __init__(self, schedule: Schedule, violations: list[Violation]) -> None:
        self.schedule = schedule
        self.violations = violations
        reported = violations[:MAX_REPORTED_VIOLATIONS]
        super().__init__("\n".join([str(schedule), *(f"  {violation}" for violation in reported)]))


def check_schedule(schedule: Schedule) -> None:
    """Run a schedule.

    Raises:
        InvariantsViolated: An invariant does not hold; carries the smallest failing schedule that was met.
    """
    violations = run_schedule(schedule)
    if not violations:
        return
    violated = violated_invariants(violations)
    smallest = shrink_schedule(
        schedule, lambda candidate: bool(violated & violated_invariants(run_schedule(candidate)))
    )
    raise InvariantsViolated(smallest, run_schedule(smallest))
