"""A failing schedule made smaller: faults are dropped by halves, then one by one, while it still fails."""

from __future__ import annotations

from collections.abc import Callable

from hallhitch.lab.simulation.faults import Schedule

RUNS_MOST = 60  # runs that shrinking may take


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """The smallest failing schedule that was met; `fails` runs one."""
    runs, size = 0, max(1, len(schedule.faults) // 2)
    while size and runs < RUNS_MOST:
        smaller = False
        for begin in range(0, len(schedule.faults), size):
            candidate = schedule.without(schedule.faults[:begin] + schedule.faults[begin + size :])
            runs += 1
            if fails(candidate):
                schedule, smaller = candidate, True
                break
            if runs >= RUNS_MOST:
                break
        if not smaller:
            size //= 2
        size = min(size, len(schedule.faults))
    return schedule
