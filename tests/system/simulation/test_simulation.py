"""The control plane in virtual time under drawn troubles: nobody sees what the operators' rules forbid.

A few hundred seeds here; `make soak` plays thousands (HALLHITCH_SIMULATION_SEEDS). A seed that fails is shrunk, and
its schedule is printed.
"""

from __future__ import annotations

import os

import pytest

from hallhitch.lab.simulation.faults import draw
from hallhitch.lab.simulation.schedule_check import examine
from hallhitch.lab.simulation.simulation import World

SEEDS = int(os.environ.get("HALLHITCH_SIMULATION_SEEDS", "160"))
PARTS = 40  # tests that the seeds are spread over, for workers to share


@pytest.mark.parametrize("part", range(PARTS))
def test_rules_hold_under_drawn_troubles(part: int) -> None:
    for seed in range(part, SEEDS, PARTS):
        examine(draw(seed))


def test_the_same_schedule_is_the_same_run() -> None:
    one, other = World(draw(5)), World(draw(5))
    assert one.run() == other.run()
    assert one.history == other.history
