"""Simulates the control plane under randomly drawn faults and checks all invariants.

The default is 160 seeds; `make soak` runs thousands (HALLHITCH_SIMULATION_SEEDS). The schedule of a failing seed is
shrunk and printed.
"""

from __future__ import annotations

import os

import pytest

from hallhitch.lab.simulation.schedule import draw_schedule
from hallhitch.lab.simulation.schedule_check import check_schedule
from hallhitch.lab.simulation.simulation import Simulation

SEED_COUNT = int(os.environ.get("HALLHITCH_SIMULATION_SEEDS", "160"))
SHARD_COUNT = 40  # number of tests among which the seeds are divided, so that workers run them in parallel


@pytest.mark.parametrize("shard", range(SHARD_COUNT))
def test_invariants_hold_under_drawn_faults(shard: int) -> None:
    for seed in range(shard, SEED_COUNT, SHARD_COUNT):
        check_schedule(draw_schedule(seed))


def test_same_schedule_gives_the_same_history() -> None:
    first, second = Simulation(draw_schedule(5)), Simulation(draw_schedule(5))
    assert first.run() == second.run()
    assert first.history == second.history
