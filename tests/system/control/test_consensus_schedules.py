"""Tests of the consensus under random schedules: lost, duplicate and late messages, restarts, and wiped disks."""

from __future__ import annotations

from typing import Final

import pytest

from tests.system.control.consensus_simulation import ConsensusSimulation

SEEDS: Final = 80  # schedules for each kind of cluster
STEPS: Final = 600


@pytest.mark.parametrize(
    ("initial_members", "spares", "tolerated_losses"), [(3, 0, 1), (3, 2, 1), (3, 3, 2), (5, 1, 2), (2, 2, 0)]
)
def test_acknowledged_changes_are_read_under_random_faults(
    initial_members: int, spares: int, tolerated_losses: int
) -> None:
    acknowledged = recovered = reconfigured = 0
    for seed in range(SEEDS):
        simulation = ConsensusSimulation(seed, initial_members, spares, tolerated_losses)
        for _ in range(STEPS):
            simulation.step()
        simulation.run_without_faults()
        for replica in simulation.replicas.values():
            acceptor = replica.acceptor
            assert not acceptor.is_recovering, "a replica never recovered"
            recovered += acceptor.incarnations.get(acceptor.address, 0) > 0
        newest = simulation.committed[max(simulation.committed)]
        assert simulation.acknowledged <= set(newest.annotations)
        acknowledged += len(simulation.acknowledged)
        reconfigured += newest.membership_version > 1
    assert acknowledged > 2 * SEEDS
    assert tolerated_losses == 0 or recovered > SEEDS // 2
    assert spares == 0 or reconfigured > SEEDS // 8
