"""Lease tables of coordinators, and gateways that send claims to the tables that a test selects."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from hallhitch.planes.quota.bucket_placement import VIEW_SETTLING_MS
from hallhitch.planes.quota.lease import NO_USAGE, LeaseStart, UsageReport
from hallhitch.planes.quota.lease_client import LeaseClient
from hallhitch.planes.quota.lease_table import LeaseTable
from hallhitch.planes.values import LeaseMembership

MEMBERS: Final = LeaseMembership(1, ("a", "b", "c"))
BUCKET: Final = 5
START: Final = 100_000.0  # long after the tables' grace period
ROUNDS: Final = (0, 10, 20, 30)  # claims that learn the incarnations, get votes and confirm them, and one more


def make_table(started_at: float, incarnation: int, membership: LeaseMembership = MEMBERS) -> LeaseTable:
    """Return the table of a coordinator that knows the membership."""
    table = LeaseTable(incarnation, started_at)
    table.set_membership(started_at, membership)
    return table


def make_tables(names: Iterable[str], membership: LeaseMembership = MEMBERS) -> dict[str, LeaseTable]:
    """Return tables of coordinators that started long ago."""
    return {name: make_table(0.0, number + 1, membership) for number, name in enumerate(names)}


def select(tables: dict[str, LeaseTable], names: Iterable[str]) -> dict[str, LeaseTable]:
    """Return some of the tables."""
    return {name: tables[name] for name in names}


class FixedUsage:
    """Reports the same usage for every bucket, and every bucket as in use."""

    def __init__(self, usage: UsageReport) -> None:
        self._usage = usage

    def is_in_use(self, bucket: int, now: float) -> bool:
        return True

    def usage_report(self, bucket: int, now: float) -> UsageReport:
        return self._usage


class ClaimingGateway:
    """A lease client that sends its claims to the given tables; `lease_starts` records the leases that it acquired."""

    def __init__(self, name: str, now: float) -> None:
        self.lease_starts: list[LeaseStart] = []
        self.lease_client = LeaseClient(name, 1, 5000.0, self.lease_starts.append)
        self.lease_client.set_membership(now, MEMBERS)
        self.lease_client.set_gateways(now - VIEW_SETTLING_MS, [name])

    def claim(self, now: float, tables: dict[str, LeaseTable], usage: UsageReport = NO_USAGE) -> None:
        """Send one claim to the tables and process their votes immediately."""
        claim = self.lease_client.next_claim(now, FixedUsage(usage))
        for name, table in tables.items():
            coordinator_incarnation = self.lease_client.coordinator_incarnation(name)
            votes = table.vote(now, replace(claim, coordinator_incarnation=coordinator_incarnation))
            self.lease_client.on_votes(now, name, claim.sequence, votes)

    def claim_rounds(
        self,
        now: float,
        tables: dict[str, LeaseTable],
        rounds: Iterable[float] = ROUNDS,
        usage: UsageReport = NO_USAGE,
    ) -> None:
        """Send claims at these times after `now`."""
        for delay_ms in rounds:
            self.claim(now + delay_ms, tables, usage)

    def is_holder(self, now: float) -> bool:
        """Return whether the gateway holds BUCKET."""
        return self.lease_client.is_holder(now, BUCKET)
