"""Changes whose callers have left or whose machine was suspended, and changes that share a ballot."""

from __future__ import annotations

import asyncio

import pytest

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, run_scenario
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.control.pending_changes import PendingChange
from tests.system.control.operator_calls import FIFTH, call_operator, evacuated_zones, replace_config


def test_refused_membership_change_does_not_drop_a_change_in_the_same_ballot() -> None:
    """Both changes are applied to a membership that this process does not know to be committed."""

    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, _ = await cluster.bootstrap()
        assert await replace_config(first, 1) == 200 and first.plane is not None
        add_fifth = state_transitions.add_member(FIFTH, first.plane._proposer.committed_membership)
        first.plane._proposer.committed_membership = Membership()
        after, _ = await asyncio.gather(
            first.plane.propose(state_transitions.replace_config(2, b"x"), 800), first.plane.propose(add_fifth, 800)
        )
        assert after.config_version == 2 and len(after.members) == 3
        assert second.plane is not None
        assert (await second.plane.propose(state_transitions.identity, 800)).config_version == 2

    run_scenario(scenario)


@pytest.mark.parametrize("step", range(12))
def test_evacuation_proposed_by_a_machine_suspended_during_its_ballot_does_not_apply_after_its_stop(step: int) -> None:
    """The replies of the others wait in its sockets for 30 s; the change is past its deadline when it reads them."""

    async def scenario(cluster: CoordinatorCluster) -> None:
        suspended, other, _ = await cluster.bootstrap()
        await asyncio.sleep(1)
        started = asyncio.ensure_future(call_operator(suspended, "evacuations.start&of=viti-a"))
        await asyncio.sleep(step * 0.0004)
        cluster.loop.suspend(30)
        while (await call_operator(other, "evacuations.stop&of=viti-a"))[0] != 200:
            await asyncio.sleep(0.1)
        assert (await started)[0] in (200, 503)
        await asyncio.sleep(3)
        assert await evacuated_zones(suspended) == await evacuated_zones(other) == set()

    run_scenario(scenario)


def test_change_past_its_deadline_is_not_applied_before_its_timeout_has_run() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        machine, *_ = await cluster.bootstrap()
        assert machine.plane is not None
        proposer, state = machine.plane._proposer, machine.plane._acceptor.state.state
        evacuate = state_transitions.evacuate_zone("viti-a")
        for deadline_ms, evacuated in ((cluster.clock() + 1, ["viti-a"]), (cluster.clock(), [])):
            pending = PendingChange(evacuate, 0.0, deadline_ms, cluster.loop.create_future())
            proposer._pending._waiting = [pending]
            proposal = proposer._propose(None)
            assert list(proposer._apply_pending(proposal, state).evacuations) == evacuated
        proposer._pending._waiting = []

    run_scenario(scenario)


def test_evacuations_resent_by_several_callers() -> None:
    """Each call is abandoned, resent through others and acknowledged; an evacuation that was stopped stays stopped."""

    async def scenario(cluster: CoordinatorCluster) -> None:
        machines = await cluster.bootstrap()
        for iteration in range(10):
            for name, expected in (("start", {"viti-a"}), ("stop", set[str]())):
                call = f"evacuations.{name}&of=viti-a"
                abandoned = [asyncio.ensure_future(call_operator(machine, call)) for machine in machines[:2]]
                await asyncio.sleep(cluster.rng.random() / 100)
                for task in abandoned:
                    task.cancel()
                resent = (call_operator(machine, call) for machine in (machines[2], machines[iteration % 2]))
                assert [status for status, _ in await asyncio.gather(*resent)] == [200, 200]
                assert await evacuated_zones(machines[iteration % 3]) == expected
            await asyncio.sleep(3)
            assert await evacuated_zones(machines[iteration % 3]) == set()

    for seed in range(4):
        run_scenario(scenario, seed)
