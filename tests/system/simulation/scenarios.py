"""Scenarios that each exercise one mechanism which random schedules rarely exercise. Times are virtual seconds."""

from __future__ import annotations

from hallhitch.lab.simulation.machine import SimulatedMachine
from hallhitch.lab.simulation.operation_history import OperationKind
from tests.system.simulation.scenario_plan import ScenarioPlan


def vote_of_incarnation_that_lost_its_disk(plan: ScenarioPlan) -> float:
    """Add a vote to that of an incarnation whose disk is lost: together they must not count as a majority.

    There are five replicas. `a` accepts version 2 from `d`, loses its disk and recovers from the others, none of which
    knows version 2. `a`, `b` and `c` commit a newer state. Only then `e` accepts version 2 from `d`: together with the
    lost vote of `a` this would be a majority.
    """
    a, b, c, d, e = plan.simulation.coordinator_slots
    plan.invoke(3.0, b, OperationKind.REPLACE_CONFIG, version=1)
    plan.partition(4.9, [d], [b, c])
    plan.set_disk_slowdown(4.9, e, 30.0)  # delays the promise of `e`, so that the partition precedes the accept
    plan.invoke(5.0, d, OperationKind.REPLACE_CONFIG, version=2, routes=2000)
    plan.block(5.03, [d], [e])

    def lose_disk() -> None:
        a.end()
        a.wipe()

    plan.at(5.12, lose_disk)
    plan.partition(5.13, [d], [a])
    plan.at(5.14, a.start)
    plan.partition(5.4, [e], [a, b, c])
    for at_s in (5.45, 6.4, 7.0):  # the first may be preempted by the ballot of `d`
        plan.invoke(at_s, c, OperationKind.START_EVACUATION, zone="viti-a")
    plan.set_disk_slowdown(7.2, e, 1.0)
    plan.heal(7.25, [d], [e])
    plan.heal(9.0, [d, e], [a, b, c])
    return 11.0


def gateway_reaches_only_partitioned_coordinator(plan: ScenarioPlan) -> float:
    """Start a gateway that reaches only `a`, which has long been partitioned from `b` and `c`."""
    a, b, c = plan.simulation.coordinator_slots
    plan.partition(5.0, [a], [b, c])
    _start_gateway_reaching_only(plan, a, 12.0)
    return 18.0


def gateway_reaches_only_coordinator_without_inbound_links(plan: ScenarioPlan) -> float:
    """Start a gateway that reaches only `a`, which receives no messages, although those that it sends arrive."""
    a, b, c = plan.simulation.coordinator_slots
    plan.block(5.0, [b, c], [a])
    _start_gateway_reaching_only(plan, a, 12.0)
    return 18.0


def gateway_reaches_only_resumed_coordinator(plan: ScenarioPlan) -> float:
    """Start a gateway whose call is pending when `a` resumes after 20 s: `a` reads the call before any timer runs."""
    a = plan.simulation.coordinator_slots[0]
    plan.pause(5.0, a)
    _start_gateway_reaching_only(plan, a, 24.9)
    plan.resume(25.0, a)
    return 31.0


def _start_gateway_reaching_only(plan: ScenarioPlan, reached: SimulatedMachine, at_s: float) -> None:
    """Commit version 2 while `reached` is cut off, then start a gateway that reaches only this machine for 4 s."""
    others = [machine for machine in plan.simulation.coordinator_slots if machine is not reached]
    gateway = plan.simulation.gateways[0]
    plan.invoke(3.0, others[0], OperationKind.REPLACE_CONFIG, version=1)
    plan.invoke(6.0, others[0], OperationKind.REPLACE_CONFIG, version=2)
    plan.partition(at_s, [gateway], others)
    plan.at(at_s, gateway.end)
    plan.at(at_s + 0.01, gateway.start)
    plan.heal(at_s + 4.0, [gateway], others)
    plan.heal(at_s + 5.0, [reached], others)


def incomplete_membership_change(plan: ScenarioPlan) -> float:
    """Replace `a` with `d`, accepted by `c` and `d` only, then partition `a` and `b` from `c` and `d`.

    At most one of the two sides may commit anything.
    """
    a, b, c = plan.simulation.coordinator_slots
    d = plan.start_spare(1.0)
    plan.invoke(3.0, b, OperationKind.REPLACE_CONFIG, version=1)
    plan.partition(7.9, [c], [b])
    plan.set_disk_slowdown(7.9, a, 30.0)  # delays the promise of `a`, so that the partition precedes the accept
    plan.change_members(8.0, c, [b, c, d])
    plan.block(8.03, [c], [a])
    plan.partition(8.2, [a, b], [c, d])
    plan.set_disk_slowdown(8.2, a, 1.0)
    for at_s in (9.0, 9.9, 10.8):
        plan.invoke(at_s, c, OperationKind.REPLACE_CONFIG, version=2)
        plan.invoke(at_s, a, OperationKind.START_EVACUATION, zone="viti-a")
    plan.heal(13.0, [a, b], [c, d])
    return 15.0


def new_member_with_full_disk(plan: ScenarioPlan) -> float:
    """Shut `a` down gracefully and replace it with `d`, whose disk is full for several seconds."""
    a, b, _ = plan.simulation.coordinator_slots
    plan.invoke(3.0, b, OperationKind.REPLACE_CONFIG, version=1)
    d = plan.start_spare(5.0)
    d.disk.is_full = True
    plan.remove(7.0, a)
    plan.set_disk_full(16.0, d, False)
    plan.invoke(20.0, b, OperationKind.REPLACE_CONFIG, version=2)
    return 22.0


def peer_address_redirected_to_caller(plan: ScenarioPlan) -> float:
    """Redirect the calls of the partitioned `c` to `b` back to `c`: its own replies must not count as those of `b`."""
    a, b, c = plan.simulation.coordinator_slots
    redirects = plan.simulation.network.redirects
    plan.partition(5.0, [c], [a, b])
    plan.at(8.0, lambda: redirects.update({(c.host, b.host): c.host}))
    plan.invoke(11.0, c, OperationKind.DESCRIBE_CONFIG)
    _start_gateway_reaching_only(plan, c, 12.0)
    plan.at(16.0, redirects.clear)
    return 22.0
