"""Shrinks a failing schedule by delta debugging: drops halves of its faults, then smaller groups, if it still fails."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from hallhitch.lab.simulation.schedule import Schedule

MAX_SHRINK_RUNS: Final = 60  # limits the time until a failure is reported


def shrink_schedule(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Return the smallest failing schedule that was found. `fails` runs a candidate and tells whether it fails."""
    run_count = 0
    group_size = max(1, len(schedule.faults) // 2)
    while group_size and run_count < MAX_SHRINK_RUNS:
        has_shrunk = False
        for start in range(0, len(schedule.faults), group_size):
            candidate = schedule.with_faults(schedule.faults[:start] + schedule.faults[start + group_size :])
            run_count += 1
            if fails(candidate):
                schedule = candidate
                has_shrunk = True
                break
            if run_count >= MAX_SHRINK_RUNS:
                break
        if not has_shrunk:
            group_size //= 2
        group_size = min(group_size, len(schedule.faults))
    return schedule
