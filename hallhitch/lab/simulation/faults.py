"""Faults as values: what happens to which machine, when and for how long.

A slot is the place of a coordinator machine: a replacement puts a new machine into the slot. Times are virtual seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final


class FaultKind(Enum):
    """What happens to the machine of a slot, or to all. The order of members is part of what a seed means."""

    PARTITION = "partition"  # links are cut; what is in flight is held back
    PAUSE = "process paused"
    KILL = "process killed"  # and started again
    POWER_LOSS = "power lost"
    DISK_LOSS = "disk lost"  # the machine comes back with an empty disk
    PLANNED_REPLACEMENT = "planned replacement"  # a new machine first, then SIGTERM for the old one
    UNPLANNED_REPLACEMENT = "unplanned replacement"  # the old machine is gone for good, then a new one comes
    SLOW_DISK = "slow disk"
    FULL_DISK = "full disk"
    SLOW_LINKS = "slow links"
    ALL_KILLED = "all killed"
    ALL_POWER_LOSS = "all lose power"
    GATEWAY_RESTART = "gateway restarted"
    GATEWAY_PAUSE = "gateway paused"


class PartitionScope(Enum):
    """Which machines are on the opposite side of a partition. The order of members is part of what a seed means."""

    ALL = "all"
    COORDINATORS = "coordinators"
    SEEDS = "seeds"
    GATEWAYS = "gateways"


class PartitionDirection(Enum):
    """Which direction is cut, seen from the machine. The order of members is part of what a seed means."""

    BOTH = "both"
    INBOUND = "inbound"
    OUTBOUND = "outbound"


GATEWAY_FAULTS: Final = (FaultKind.GATEWAY_RESTART, FaultKind.GATEWAY_PAUSE)  # no tolerated loss is spent on these
CLUSTER_WIDE_FAULTS: Final = (FaultKind.ALL_KILLED, FaultKind.ALL_POWER_LOSS)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault at a slot; with `scope` and `direction` where it is a partition."""

    kind: FaultKind
    starts_at_s: float
    duration_s: float
    slot: int = 0
    scope: PartitionScope = PartitionScope.ALL
    direction: PartitionDirection = PartitionDirection.BOTH

    def __str__(self) -> str:
        is_partition = self.kind is FaultKind.PARTITION
        extent = f" {self.scope.value}, {self.direction.value}" if is_partition else ""
        return f"{self.starts_at_s:7.3f} s  {self.kind.value}{extent}, slot {self.slot}, for {self.duration_s:.3f} s"

    @property
    def ends_at_s(self) -> float:
        """The moment at which its cause is over."""
        return self.starts_at_s + self.duration_s

    def recovered_at_s(self, catch_up_s: float) -> float:
        """Return until when its machine counts as lost: the operators' pages add the time to catch up."""
        return self.starts_at_s + self.duration_s + catch_up_s
