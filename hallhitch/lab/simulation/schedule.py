"""The schedule of a simulated run, and the function that draws it from a seed.

Invariant: no drawn schedule loses more machines at once than the settings tolerate. A machine counts as lost from the
start of its fault until `catch_up_s` after the end of the fault.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import Final

from hallhitch.lab.simulation.faults import (
    CLUSTER_WIDE_FAULTS,
    GATEWAY_FAULTS,
    Fault,
    FaultKind,
    PartitionDirection,
    PartitionScope,
)
from hallhitch.lab.simulation.simulated_platform import Drain


@dataclass(frozen=True, slots=True)
class Schedule:
    """The parameters that determine a run completely."""

    seed: int
    tolerated_losses: int
    initial_coordinators: int
    gateways: int
    faults: tuple[Fault, ...]
    duration_s: float  # the time during which operators send operations and faults start
    link_delay_ms: float = 2.0  # mean, one way
    catch_up_s: float = 5.0  # replaces `catch_up_ms` of the node settings
    response_loss_ratio: float = 0.1  # share of the responses to operators that are lost
    operation_rate_factor: float = 1.0
    drains: tuple[Drain, ...] = ()  # of the endpoint list; without any, coordinators read no list
    drain_timeout_s: float = 5.0  # replaces `drain_timeout_ms` of the node settings

    def __str__(self) -> str:
        summary = (
            f"seed {self.seed}: tolerates {self.tolerated_losses} losses, {self.initial_coordinators} coordinators, "
            f"{self.gateways} gateways, {self.duration_s:.0f} s, links {self.link_delay_ms} ms, "
            f"responses lost {self.response_loss_ratio}, operation rate {self.operation_rate_factor}"
        )
        return "\n".join([summary, *(f"  {fault}" for fault in self.faults)])

    def with_faults(self, faults: tuple[Fault, ...]) -> Schedule:
        """Return a copy of the schedule with these faults."""
        return replace(self, faults=faults)


# A kind that is repeated is drawn more often. Reordering the entries changes the schedule of every seed.
WEIGHTED_FAULT_KINDS: Final = (
    *[FaultKind.PARTITION] * 5,
    *[FaultKind.PAUSE] * 3,
    *[FaultKind.KILL] * 2,
    *[FaultKind.POWER_LOSS] * 2,
    *[FaultKind.DISK_LOSS] * 2,
    *[FaultKind.PLANNED_REPLACEMENT] * 2,
    *[FaultKind.UNPLANNED_REPLACEMENT] * 2,
    FaultKind.SLOW_DISK,
    FaultKind.FULL_DISK,
    FaultKind.SLOW_LINKS,
    *[FaultKind.GATEWAY_RESTART] * 3,
    FaultKind.GATEWAY_PAUSE,
)
SINGLE_MACHINE_FAULT_RATIO: Final = 0.95  # share of the drawn faults; the rest are cluster-wide
FIRST_FAULT_AT_S: Final = 2.5  # after the bootstrap, when a majority has formed


def draw_schedule(seed: int, *, initial_coordinators: int | None = None) -> Schedule:
    """Draw the schedule that a seed determines."""
    rng = random.Random(f"faults {seed}")
    initial_coordinators = initial_coordinators or rng.choice((3, 3, 3, 5))
    duration_s = rng.uniform(8.0, 16.0)
    schedule = Schedule(
        seed,
        tolerated_losses=(initial_coordinators - 1) // 2,
        initial_coordinators=initial_coordinators,
        gateways=rng.choice((2, 3)),
        faults=(),
        duration_s=duration_s,
        link_delay_ms=rng.choice((1.0, 5.0, 35.0)),
        response_loss_ratio=rng.choice((0.0, 0.1, 0.3)),
        operation_rate_factor=rng.choice((0.3, 0.7, 1.5)),
        catch_up_s=rng.choice((4.0, 5.0)),
    )
    faults: list[Fault] = []
    for _ in range(rng.choice((4, 8, 15, 30))):
        fault = _draw_fault(rng, schedule)
        is_cluster_wide = fault.kind in CLUSTER_WIDE_FAULTS
        if is_cluster_wide and any(drawn.kind in CLUSTER_WIDE_FAULTS for drawn in faults):
            continue
        if is_tolerable([*faults, fault], schedule):
            faults.append(fault)
    return schedule.with_faults(tuple(sorted(faults, key=lambda fault: fault.starts_at_s)))


def _draw_fault(rng: random.Random, schedule: Schedule) -> Fault:
    kind = (
        rng.choice(WEIGHTED_FAULT_KINDS)
        if rng.random() < SINGLE_MACHINE_FAULT_RATIO
        else rng.choice(CLUSTER_WIDE_FAULTS)
    )
    duration_s = rng.choice((0.3, 1.0, 3.0, 3.0, 6.0, 12.0, 18.0)) * rng.uniform(0.7, 1.3)
    return Fault(
        kind,
        starts_at_s=rng.uniform(FIRST_FAULT_AT_S, schedule.duration_s),
        duration_s=round(duration_s, 3),
        slot=rng.randrange(schedule.gateways if kind in GATEWAY_FAULTS else schedule.initial_coordinators),
        scope=rng.choice(tuple(PartitionScope)),
        direction=rng.choice(tuple(PartitionDirection)),
    )


def is_tolerable(faults: list[Fault], schedule: Schedule) -> bool:
    """Whether no more machines than tolerated are lost at once, and no cluster-wide fault overlaps another fault.

    A cluster-wide fault does not count as a loss, because the disks survive it.
    """
    coordinator_faults = [fault for fault in faults if fault.kind not in GATEWAY_FAULTS]
    single_machine_faults = [fault for fault in coordinator_faults if fault.kind not in CLUSTER_WIDE_FAULTS]
    cluster_wide_faults = [fault for fault in coordinator_faults if fault.kind in CLUSTER_WIDE_FAULTS]

    def is_active_at(fault: Fault, time_s: float) -> bool:
        return fault.starts_at_s <= time_s <= fault.recovered_at_s(schedule.catch_up_s)

    for fault in [*single_machine_faults, *cluster_wide_faults]:
        time_s = fault.starts_at_s
        lost = [candidate for candidate in single_machine_faults if is_active_at(candidate, time_s)]
        if len({candidate.slot for candidate in lost}) < len(lost):
            return False
        if fault.kind in CLUSTER_WIDE_FAULTS:
            if any(candidate is not fault for candidate in lost):
                return False
        elif len(lost) > schedule.tolerated_losses:
            return False
        if any(candidate is not fault and is_active_at(candidate, time_s) for candidate in cluster_wide_faults):
            return False
    return True
