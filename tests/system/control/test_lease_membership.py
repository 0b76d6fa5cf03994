"""Tests that votes on leases count by the state that a coordinator has accepted, immediately and after a restart."""

from __future__ import annotations

import asyncio

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, run_scenario
from hallhitch.messages.system_pb2 import Accept, BallotMessage, Envelope
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.values import LeaseMembership


def test_accepted_change_counts_before_it_is_known_to_be_committed() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        await asyncio.sleep(2)
        plane = first.plane
        assert plane is not None and plane.lease_membership == LeaseMembership(1, cluster.seeds)
        await plane.propose(state_transitions.annotate("first", "order"), 800)
        cluster.isolate(first.address)
        joint = state_transitions.reconfigure_members(
            [*cluster.seeds[:2], "10.0.0.9:7000"], Membership.from_state(plane.committed_state)
        )(plane.committed_state)
        accept = Accept(ballot=BallotMessage(round=1 << 20, proposer="p"), state=joint)
        answer = plane.handle(Envelope(accept=accept))
        assert answer is not None and not isinstance(answer, Envelope) and (await answer).accepted.ok
        assert not plane.committed_state.previous_members
        assert plane.lease_membership == LeaseMembership(2, tuple(joint.members), cluster.seeds)
        await first.lose_power()
        await first.start()
        assert first.plane is not None and first.plane.lease_membership.previous_members == cluster.seeds

    run_scenario(scenario)


def test_replica_that_lost_its_state_names_no_members_until_it_has_contact_with_a_majority() -> None:
    async def scenario(cluster: CoordinatorCluster) -> None:
        first, second, third = await cluster.bootstrap()
        await asyncio.sleep(2)
        await first.wipe()
        cluster.isolate(first.address)
        await first.start()
        await asyncio.sleep(5)
        assert first.plane is not None and first.plane.lease_membership == LeaseMembership()
        cluster.partitions.clear()
        await asyncio.sleep(5)
        assert first.plane.lease_membership == LeaseMembership(1, cluster.seeds)

    run_scenario(scenario)
