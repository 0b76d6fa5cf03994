"""Descriptions of faults: the kind, the machine, the start and the duration.

A slot is the position of a machine: a replacement puts a new coordinator machine into the slot of the old one. Times
are virtual seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final


class FaultKind(Enum):
    """What happens to one machine or to all. Reordering the members changes the schedule of every seed."""

    PARTITION = "partition"  # links are cut; bytes in flight are held back until the end
    PAUSE = "process paused"
    KILL = "process killed"  # and restarted at the end of the fault
    POWER_LOSS = "power lost"
    DISK_LOSS = "disk lost"  # the machine restarts with an empty disk
    PLANNED_REPLACEMENT = "planned replacement"  # a new machine starts, then the old one gets SIGTERM
    UNPLANNED_REPLACEMENT = "unplanned replacement"  # the old machine is lost for good, then a new one starts
    SLOW_DISK = "slow disk"
    FULL_DISK = "full disk"
    SLOW_LINKS = "slow links"
    ALL_KILLED = "all killed"
    ALL_POWER_LOSS = "all lose power"
    GATEWAY_RESTART = "gateway restarted"
    GATEWAY_PAUSE = "gateway paused"


class PartitionScope(Enum):
    """The machines on the opposite side of a partition. Reordering the members changes the schedule of every seed."""

    ALL = "all"
    COORDINATORS = "coordinators"
    SEEDS = "seeds"
    GATEWAYS = "gateways"


class PartitionDirection(Enum):
    """The direction that is cut, seen from the machine. Reordering the members changes the schedule of every seed."""

    BOTH = "both"
    INBOUND = "inbound"
    OUTBOUND = "outbound"


GATEWAY_FAULTS: Final = (FaultKind.GATEWAY_RESTART, FaultKind.GATEWAY_PAUSE)  # they do not count as losses
CLUSTER_WIDE_FAULTS: Final = (FaultKind.ALL_KILLED, FaultKind.ALL_POWER_LOSS)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault at a slot. `scope` and `direction` only apply to partitions."""

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
        """The end of the fault itself; its machine counts as lost until `recovered_at_s`."""
        return self.starts_at_s + self.duration_s

    def recovered_at_s(self, catch_up_s: float) -> float:
        """Return until when its machine counts as lost: the operating pages add the time to catch up."""
        return self.starts_at_s + self.duration_s + catch_up_s
