"""Processes of a simulated cluster: each has its own steady clock and can be killed, frozen and cut off."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

import simpy

from hallhitch.planes.quota.lease_client import LeaseClient
from hallhitch.planes.quota.lease_table import LeaseTable
from hallhitch.planes.quota.limits import QuotaRule
from hallhitch.planes.quota.local_reserve import LocalReserve
from hallhitch.planes.quota.tenant_counter import TenantCounter

QUOTA: Final = QuotaRule(5000.0, 0.1, 20.0)  # of all runs


@dataclass
class SteadyClock:
    """A process's own steady clock (ms), with an offset and a speed of its own."""

    env: simpy.Environment
    offset: float
    speed: float

    def __call__(self) -> float:
        return float(self.offset + self.env.now * self.speed)


@dataclass
class SimulatedProcess:
    """What faults act on. `incarnation` is 0 while it is down; processes with one `partition` reach each other."""

    name: str
    clock: SteadyClock
    incarnation: int = 0
    frozen_until: float = 0.0
    died_at: float = 0.0
    partition: int = 0


@dataclass
class SimulatedCoordinator(SimulatedProcess):
    """A coordinator; its table is a new one with each start."""

    table: LeaseTable = field(init=False)


@dataclass
class SimulatedGateway(SimulatedProcess):
    """A gateway; its parts are new ones with each start."""

    lease_client: LeaseClient = field(init=False)
    counter: TenantCounter = field(init=False)
    reserve: LocalReserve = field(init=False)

    def is_holder(self, bucket: int) -> bool:
        """Whether it counts the bucket's tenants now, by its own clock."""
        return self.lease_client.is_holder(self.clock(), bucket)

    def held_buckets(self) -> list[int]:
        """Return the buckets that it holds now, by its own clock."""
        return self.lease_client.held_buckets(self.clock())
