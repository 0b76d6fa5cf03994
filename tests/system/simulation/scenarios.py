"""Planned scenarios, each for one mechanism whose absence random schedules would seldom show. Times in seconds."""

from __future__ import annotations

from hallhitch.lab.simulation.machine import SimulatedMachine
from hallhitch.lab.simulation.operation_history import OperationKind
from tests.system.simulation.scenario_plan import ScenarioPlan


def vote_of_a_forgotten_incarnation(plan: ScenarioPlan) -> float:
    """Count a vote of an incarnation whose disk is lost.

    Five replicas. `a` accepts version 2 from `d`, loses its disk and recovers from the others, none of which has met
    version 2. `a`, `b` and `c` commit something newer. Only then `e` accepts version 2 from `d`: with the forgotten
    vote of `a` it would be a majority.
    """
    a, b, c, d, e = plan.simulation.coordinator_slots
    plan.invoke(3.0, b, OperationKind.REPLACE_CONFIG, version=1)
    plan.partition(4.9, [d], [b, c])
    plan.set_disk_slowdown(4.9, e, 30.0)  # its promise comes late enough for the partition before the accept
    plan.invoke(5.0, d, OperationKind.REPLACE_CONFIG, version=2, routes=2000)
    plan.block(5.03, [d], [e])

    def lose_disk() -> None:
        a.end()
        a.wipe()

    plan.at(5.12, lose_disk)
    plan.partition(5.13, [d], [a])
    plan.at(5.14, a.start)
    plan.partition(5.4, [e], [a, b, c])
    for moment_s in (5.45, 6.4, 7.0):  # the first may meet the ballot of `d` and only learn of it
        plan.invoke(moment_s, c, OperationKind.START_EVACUATION, zone="viti-a")
    plan.set_disk_slowdown(7.2, e, 1.0)
    plan.heal(7.25, [d], [e])
    plan.heal(9.0, [d, e], [a, b, c])
    return 11.0


def gateway_starts_beside_a_partitioned_coordinator(plan: ScenarioPlan) -> float:
    """Start a gateway that reaches only `a`, which has long been partitioned from `b` and `c`."""
    a, b, c = plan.simulation.coordinator_slots
    plan.partition(5.0, [a], [b, c])
    _start_gateway_that_reaches_only(plan, a, 12.0)
    return 18.0


def gateway_starts_beside_a_coordinator_without_inbound_links(plan: ScenarioPlan) -> float:
    """Start a gateway that reaches only `a`, which hears nothing, although what it sends reaches the others."""
    a, b, c = plan.simulation.coordinator_slots
    plan.block(5.0, [b, c], [a])
    _start_gateway_that_reaches_only(plan, a, 12.0)
    return 18.0


def gateway_starts_beside_a_coordinator_that_resumes(plan: ScenarioPlan) -> float:
    """Start a gateway whose call waits while `a`, paused for 20 s, resumes: it is read before any timer runs."""
    a = plan.simulation.coordinator_slots[0]
    plan.pause(5.0, a)
    _start_gateway_that_reaches_only(plan, a, 24.9)
    plan.resume(25.0, a)
    return 31.0


def _start_gateway_that_reaches_only(plan: ScenarioPlan, reached: SimulatedMachine, moment_s: float) -> None:
    """Acknowledge version 2 without `reached`; later start a gateway that reaches nobody else for 4 s."""
    others = [machine for machine in plan.simulation.coordinator_slots if machine is not reached]
    gateway = plan.simulation.gateways[0]
    plan.invoke(3.0, others[0], OperationKind.REPLACE_CONFIG, version=1)
    plan.invoke(6.0, others[0], OperationKind.REPLACE_CONFIG, version=2)
    plan.partition(moment_s, [gateway], others)
    plan.at(moment_s, gateway.end)
    plan.at(moment_s + 0.01, gateway.start)
    plan.heal(moment_s + 4.0, [gateway], others)
    plan.heal(moment_s + 5.0, [reached], others)


def incomplete_membership_change(plan: ScenarioPlan) -> float:
    """Replace `a` by `d`, with no accepts but those of `c` and `d`, then partition `a` and `b` from `c` and `d`.

    No more than one of the two sides may commit anything.
    """
    a, b, c = plan.simulation.coordinator_slots
    d = plan.start_spare(1.0)
    plan.invoke(3.0, b, OperationKind.REPLACE_CONFIG, version=1)
    plan.partition(7.9, [c], [b])
    plan.set_disk_slowdown(7.9, a, 30.0)  # its promise comes late enough for the partition before the accept
    plan.change_members(8.0, c, [b, c, d])
    plan.block(8.03, [c], [a])
    plan.partition(8.2, [a, b], [c, d])
    plan.set_disk_slowdown(8.2, a, 1.0)
    for moment_s in (9.0, 9.9, 10.8):
        plan.invoke(moment_s, c, OperationKind.REPLACE_CONFIG, version=2)
        plan.invoke(moment_s, a, OperationKind.START_EVACUATION, zone="viti-a")
    plan.heal(13.0, [a, b], [c, d])
    return 15.0


def newcomer_with_a_full_disk(plan: ScenarioPlan) -> float:
    """Replace `a`, which leaves in order, by `d`, whose disk is full for some seconds."""
    a, b, _ = plan.simulation.coordinator_slots
    plan.invoke(3.0, b, OperationKind.REPLACE_CONFIG, version=1)
    d = plan.start_spare(5.0)
    d.disk.is_full = True
    plan.remove(7.0, a)
    plan.set_disk_full(16.0, d, False)
    plan.invoke(20.0, b, OperationKind.REPLACE_CONFIG, version=2)
    return 22.0


def address_taken_by_another(plan: ScenarioPlan) -> float:
    """Redirect a partitioned `c` to itself under the address of `b`: its own replies are not those of `b`."""
    a, b, c = plan.simulation.coordinator_slots
    redirects = plan.simulation.network.redirects
    plan.partition(5.0, [c], [a, b])
    plan.at(8.0, lambda: redirects.update({(c.host, b.host): c.host}))
    plan.invoke(11.0, c, OperationKind.DESCRIBE_CONFIG)
    _start_gateway_that_reaches_only(plan, c, 12.0)
    plan.at(16.0, redirects.clear)
    return 22.0
