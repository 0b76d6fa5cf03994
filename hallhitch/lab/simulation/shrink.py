"""Shrinking of a failing schedule: faults are dropped by halves, then by smaller groups, while it still fails."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from hallhitch.lab.simulation.schedule import Schedule

MAX_SHRINK_RUNS: Final = 60  # bounds the time until a failure is reported


def shrink_schedule(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Return the smallest failing schedule that was met; `fails` runs a candidate."""
    runs = 0
    group_size = max(1, len(schedule.faults) // 2)
    while group_size and runs < MAX_SHRINK_RUNS:
        is_smaller = False
        for begin in range(0, len(schedule.faults), group_size):
            candidate = schedule.with_faults(schedule.faults[:begin] + schedule.faults[begin + group_size :])
            runs += 1
            if fails(candidate):
                schedule = candidate
                is_smaller = True
                break
            if runs >= MAX_SHRINK_RUNS:
                break
        if not is_smaller:
            group_size //= 2
        group_size = min(group_size, len(schedule.faults))
    return schedule
