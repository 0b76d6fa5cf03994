"""Schedules that once broke a rule, and scenes that are planned to: all rules hold now."""

from __future__ import annotations

import pytest

from hallhitch.lab.simulation.faults import Fault, Kind, Schedule
from hallhitch.lab.simulation.schedule_check import examine
from tests.system.simulation import scenarios
from tests.system.simulation.scenarios import Scene, perform

SECOND_LOSSES = {
    "planned exchange, then power lost": (
        Fault(Kind.EXCHANGE_PLANNED, 5.8, 0.75, 2),
        Fault(Kind.POWER, 12.6, 12.4, 0),
    ),
    "planned exchange, then the newcomer is lost": (
        Fault(Kind.EXCHANGE_PLANNED, 3.5, 1.0, 0),
        Fault(Kind.EXCHANGE_LOST, 9.6, 9.7, 0),
    ),
    "lost and exchanged, then a full disk": (
        Fault(Kind.EXCHANGE_LOST, 4.7, 0.3, 1),
        Fault(Kind.DISK_FULL, 13.2, 8.7, 1),
    ),
    "lost and exchanged, then power lost": (
        Fault(Kind.EXCHANGE_LOST, 4.0, 1.0, 1),
        Fault(Kind.POWER, 10.2, 12.0, 2),
    ),
    "wiped, then another wiped": (
        Fault(Kind.WIPE, 4.0, 1.0, 1),
        Fault(Kind.WIPE, 10.2, 6.0, 2),
    ),
    "each exchanged in turn": (
        Fault(Kind.EXCHANGE_PLANNED, 4.0, 1.0, 0),
        Fault(Kind.EXCHANGE_PLANNED, 10.2, 1.0, 1),
        Fault(Kind.EXCHANGE_LOST, 16.4, 1.0, 2),
        Fault(Kind.POWER, 22.6, 8.0, 0),
    ),
}


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("name", SECOND_LOSSES)
def test_a_second_loss_right_after_a_repair_leaves_a_majority(name: str, seed: int) -> None:
    faults = SECOND_LOSSES[name]
    lasts = max(fault.at for fault in faults) + 4.0
    examine(Schedule(seed, 1, 3, 2, faults, lasts, delay=(1.0, 35.0)[seed], orders=0.5))


@pytest.mark.parametrize(
    "scene",
    [
        scenarios.new_gateway_beside_a_cut_off_coordinator,
        scenarios.new_gateway_beside_a_coordinator_that_hears_nothing,
        scenarios.new_gateway_beside_a_coordinator_that_wakes,
    ],
)
def test_nobody_is_handed_what_is_long_overtaken(scene: Scene) -> None:
    assert not perform(scene)
