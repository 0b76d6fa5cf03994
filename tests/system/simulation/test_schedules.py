"""Regression tests: the invariants hold in schedules that once violated one, and in scenarios of stale reads."""

from __future__ import annotations

import pytest

from hallhitch.lab.simulation.faults import Fault, FaultKind
from hallhitch.lab.simulation.schedule import Schedule
from hallhitch.lab.simulation.schedule_check import check_schedule
from tests.system.simulation import scenarios
from tests.system.simulation.scenario_plan import Scenario, run_scenario

FAULTS_AFTER_REPAIR = {
    "planned replacement, then power lost": (
        Fault(FaultKind.PLANNED_REPLACEMENT, 5.8, 0.75, 2),
        Fault(FaultKind.POWER_LOSS, 12.6, 12.4, 0),
    ),
    "planned replacement, then the new machine is lost": (
        Fault(FaultKind.PLANNED_REPLACEMENT, 3.5, 1.0, 0),
        Fault(FaultKind.UNPLANNED_REPLACEMENT, 9.6, 9.7, 0),
    ),
    "unplanned replacement, then a full disk": (
        Fault(FaultKind.UNPLANNED_REPLACEMENT, 4.7, 0.3, 1),
        Fault(FaultKind.FULL_DISK, 13.2, 8.7, 1),
    ),
    "unplanned replacement, then power lost": (
        Fault(FaultKind.UNPLANNED_REPLACEMENT, 4.0, 1.0, 1),
        Fault(FaultKind.POWER_LOSS, 10.2, 12.0, 2),
    ),
    "disk lost, then another": (
        Fault(FaultKind.DISK_LOSS, 4.0, 1.0, 1),
        Fault(FaultKind.DISK_LOSS, 10.2, 6.0, 2),
    ),
    "each replaced in turn": (
        Fault(FaultKind.PLANNED_REPLACEMENT, 4.0, 1.0, 0),
        Fault(FaultKind.PLANNED_REPLACEMENT, 10.2, 1.0, 1),
        Fault(FaultKind.UNPLANNED_REPLACEMENT, 16.4, 1.0, 2),
        Fault(FaultKind.POWER_LOSS, 22.6, 8.0, 0),
    ),
}


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("name", FAULTS_AFTER_REPAIR)
def test_second_loss_right_after_a_repair_leaves_a_majority(name: str, seed: int) -> None:
    faults = FAULTS_AFTER_REPAIR[name]
    duration_s = max(fault.starts_at_s for fault in faults) + 4.0
    check_schedule(
        Schedule(seed, 1, 3, 2, faults, duration_s, link_delay_ms=(1.0, 35.0)[seed], operation_rate_factor=0.5)
    )


@pytest.mark.parametrize(
    "scenario",
    [
        scenarios.gateway_reaches_only_partitioned_coordinator,
        scenarios.gateway_reaches_only_coordinator_without_inbound_links,
        scenarios.gateway_reaches_only_resumed_coordinator,
    ],
)
def test_new_gateway_is_not_sent_stale_state(scenario: Scenario) -> None:
    assert not run_scenario(scenario)
