"""Gateways learn of draining backends in time: under drawn faults, and when the losses of the readers add up."""

from __future__ import annotations

import os
import random
from dataclasses import replace
from functools import partial

import pytest

from hallhitch.lab.simulation.operation_history import OperationKind
from hallhitch.lab.simulation.schedule import Schedule, draw_schedule
from hallhitch.lab.simulation.schedule_check import check_schedule
from hallhitch.lab.simulation.simulated_platform import draw_drains
from hallhitch.lab.simulation.simulation import INTERNAL_PORT, QUIET_PERIOD_S, Simulation
from hallhitch.planes.discovery.endpoint_list import reader_rank
from tests.system.simulation.scenario_plan import ScenarioPlan

SEED_COUNT = int(os.environ.get("HALLHITCH_SIMULATION_SEEDS", "160")) // 4
SHARD_COUNT = 10
DRAIN_TIMEOUT_S = 3.0
LOSS_AT_S = 10.0
LOSS_SHIFT_S = 0.2  # from one seed to the next, so that losses meet each phase of the read interval
END_S = 18.0


@pytest.mark.parametrize("shard", range(SHARD_COUNT))
def test_drains_are_known_in_time_under_drawn_faults(shard: int) -> None:
    for seed in range(shard, SEED_COUNT, SHARD_COUNT):
        schedule = draw_schedule(seed)
        drains = draw_drains(random.Random(f"drains {seed}"), 3.0, schedule.duration_s + QUIET_PERIOD_S)
        check_schedule(replace(schedule, drains=drains, drain_timeout_s=DRAIN_TIMEOUT_S))


# Guards against the failure that time-outs of readers, pages and pulls add up to more than the drain time-out.
@pytest.mark.parametrize("coordinators", [3, 5])
@pytest.mark.parametrize("link_delay_ms", [1.0, 35.0, 55.0])
@pytest.mark.parametrize("seed", range(4))
def test_drains_are_known_in_time_when_tolerated_losses_and_lost_connections_hit_the_readers(
    seed: int, link_delay_ms: float, coordinators: int
) -> None:
    lost_at_s = LOSS_AT_S + LOSS_SHIFT_S * seed
    drains = draw_drains(random.Random(seed), LOSS_AT_S - 1.0, LOSS_AT_S + 4.0)
    schedule = Schedule(
        seed,
        (coordinators - 1) // 2,
        coordinators,
        3,
        (),
        0.0,
        link_delay_ms=link_delay_ms,
        drains=drains,
        drain_timeout_s=DRAIN_TIMEOUT_S,
    )
    simulation = Simulation(schedule)

    def lose_readers(simulation: Simulation) -> float:
        ScenarioPlan(simulation).invoke(3.0, simulation.coordinator_slots[0], OperationKind.REPLACE_CONFIG, version=1)
        addresses = [f"{machine.host}:{INTERNAL_PORT}" for machine in simulation.coordinator_slots]
        simulation.network.call_at(lost_at_s, simulation.platform.forget_connections)
        for machine in simulation.coordinator_slots:
            if reader_rank(f"{machine.host}:{INTERNAL_PORT}", addresses) < schedule.tolerated_losses:
                simulation.network.call_at(lost_at_s, partial(machine.end, loses_power=True))
        return END_S

    assert not simulation.run(lose_readers)
    observations = simulation.history.drain_observations
    assert len(observations) == len(drains) * schedule.gateways
    # A request that was written just before the gateway learned of the drain is still on its way.
    bound_s = DRAIN_TIMEOUT_S - 2 * link_delay_ms / 1000
    assert max(seen.observed_at_s - seen.listed_at_s for seen in observations) <= bound_s
