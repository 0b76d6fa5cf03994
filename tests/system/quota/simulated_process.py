"""Processes of a simulated cluster; each has its own steady clock and can be killed, frozen and partitioned."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

import simpy

from hallhitch.planes.quota.lease_client import LeaseClient
from hallhitch.planes.quota.lease_table import LeaseTable
from hallhitch.planes.quota.limits import QuotaRule
from hallhitch.planes.quota.local_reserve import LocalReserve
from hallhitch.planes.quota.tenant_counter import TenantCounter

QUOTA: Final = QuotaRule(5000.0, 0.1, 20.0)  # for all runs


@dataclass
class SteadyClock:
    """The steady clock of one process (ms), which differs from simulated time by an offset and a speed."""

    env: simpy.Environment
    offset: float
    speed: float

    def __call__(self) -> float:
        return float(self.offset + self.env.now * self.speed)


@dataclass
class SimulatedProcess:
    """The state that faults change.

    `incarnation` is 0 while the process is down. Processes with the same `partition` can reach each other.
    """

    name: str
    clock: SteadyClock
    incarnation: int = 0
    frozen_until: float = 0.0
    died_at: float = 0.0
    partition: int = 0


@dataclass
class SimulatedCoordinator(SimulatedProcess):
    """A coordinator; each start creates a new table."""

    table: LeaseTable = field(init=False)


@dataclass
class SimulatedGateway(SimulatedProcess):
    """A gateway; each start creates its components anew."""

    lease_client: LeaseClient = field(init=False)
    counter: TenantCounter = field(init=False)
    reserve: LocalReserve = field(init=False)

    def is_holder(self, bucket: int) -> bool:
        """Return whether the gateway holds the bucket now, by its own clock."""
        return self.lease_client.is_holder(self.clock(), bucket)

    def held_buckets(self) -> list[int]:
        """Return the buckets that the gateway holds now, by its own clock."""
        return self.lease_client.held_buckets(self.clock())
