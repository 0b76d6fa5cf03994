"""Gateways learn of draining backends in time: under drawn faults, and when the losses of the readers add up."""

from __future__ import annotations

import os
import random
from dataclasses import replace

import pytest

from hallhitch.lab.simulation.schedule import draw_schedule
from hallhitch.lab.simulation.schedule_check import check_schedule
from hallhitch.lab.simulation.simulated_platform import draw_drains
from hallhitch.lab.simulation.simulation import QUIET_PERIOD_S

SEED_COUNT = int(os.environ.get("HALLHITCH_SIMULATION_SEEDS", "160")) // 4
SHARD_COUNT = 10
DRAIN_TIMEOUT_S = 3.0


@pytest.mark.parametrize("shard", range(SHARD_COUNT))
def test_drains_are_known_in_time_under_drawn_faults(shard: int) -> None:
    for seed in range(shard, SEED_COUNT, SHARD_COUNT):
        schedule = draw_schedule(seed)
        drains = draw_drains(random.Random(f"drains {seed}"), 3.0, schedule.duration_s + QUIET_PERIOD_S)
        check_schedule(replace(schedule, drains=drains, drain_timeout_s=DRAIN_TIMEOUT_S))
