"""Whose votes on leases count, as a coordinator's register tells: what it has accepted, at once and after a restart."""

from __future__ import annotations

import asyncio

from hallhitch.lab.simulation.coordinator_cluster import CoordinatorCluster, run_scenario
from hallhitch.messages.system_pb2 import Accept, BallotMessage, Envelope
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.membership import Membership
from hallhitch.planes.values import LeaseMembership


def test_an_accepted_change_counts_before_it_is_known_to_be_committed() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        a, b, c = await fleet.bootstrap()
        await asyncio.sleep(2)
        plane = a.plane
        assert plane is not None and plane.lease_membership == LeaseMembership(1, fleet.seeds)
        await plane.propose(state_transitions.annotate("first", "order"), 800)
        fleet.isolate(a.address)
        joint = state_transitions.reconfigure_members(
            [*fleet.seeds[:2], "10.0.0.9:7000"], Membership.from_state(plane.committed_state)
        )(plane.committed_state)
        accept = Accept(ballot=BallotMessage(round=1 << 20, proposer="p"), state=joint)
        answer = plane.handle(Envelope(accept=accept))
        assert answer is not None and not isinstance(answer, Envelope) and (await answer).accepted.ok
        assert not plane.committed_state.previous_members
        assert plane.lease_membership == LeaseMembership(2, tuple(joint.members), fleet.seeds)
        await a.lose_power()
        await a.start()
        assert a.plane is not None and a.plane.lease_membership.previous_members == fleet.seeds

    run_scenario(scene)


def test_who_forgot_what_it_accepted_names_nobody_until_a_majority_was_met() -> None:
    async def scene(fleet: CoordinatorCluster) -> None:
        a, b, c = await fleet.bootstrap()
        await asyncio.sleep(2)
        await a.wipe()
        fleet.isolate(a.address)
        await a.start()
        await asyncio.sleep(5)
        assert a.plane is not None and a.plane.lease_membership == LeaseMembership()
        fleet.partitions.clear()
        await asyncio.sleep(5)
        assert a.plane.lease_membership == LeaseMembership(1, fleet.seeds)

    run_scenario(scene)
