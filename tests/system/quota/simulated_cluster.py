"""Gateways and coordinators in simulated time, with seeded random faults.

Only the decision logic runs, with simulated messages between the processes; every process has its own steady clock.
A seed always gives the same run. So the order of draws from `rng` must not change: the tests name schedules by seed.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Final

import simpy

from hallhitch.planes.quota.lease import LeaseClaim
from hallhitch.planes.quota.lease_client import LeaseClient
from hallhitch.planes.quota.lease_table import LeaseTable
from hallhitch.planes.quota.limits import bucket_of
from hallhitch.planes.quota.local_reserve import LocalReserve
from hallhitch.planes.quota.tenant_counter import TenantCounter
from hallhitch.planes.values import LeaseMembership
from tests.system.quota.simulated_membership import SimulatedMembership
from tests.system.quota.simulated_process import (
    QUOTA,
    SimulatedCoordinator,
    SimulatedGateway,
    SimulatedProcess,
    SteadyClock,
)
from tests.system.quota.simulated_traffic import SimulatedTraffic

LISTED_AFTER_DEATH_MS: Final = 3000.0  # how long a dead gateway stays in the views of the others


class SimulatedCluster:
    """One simulation run. If `is_fault_free`, the network loses no messages and adds no long delays either."""

    def __init__(
        self, seed: int, gateways: int, coordinators: int, is_fault_free: bool = False, is_joint: bool = True
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.env = simpy.Environment(initial_time=1e6)
        self.is_fault_free = is_fault_free
        self.traffic = SimulatedTraffic(self)
        self._last_incarnation = 0
        self._max_gateways = gateways if self.rng.random() < 0.5 else 0  # in the cluster configuration
        self.gateways = [SimulatedGateway(f"10.0.0.{n}:7000", self._make_clock()) for n in range(gateways)]
        self.coordinators = [SimulatedCoordinator(f"10.1.0.{n}:7000", self._make_clock()) for n in range(coordinators)]
        members = tuple(coordinator.name for coordinator in self.coordinators)
        if coordinators > 3:
            members = members[:-1]
        self.membership = SimulatedMembership(self, LeaseMembership(1, members), is_joint)
        for coordinator in self.coordinators:
            self._start_coordinator(coordinator)
        for gateway in self.gateways:
            self._start_gateway(gateway)

    def _make_clock(self) -> SteadyClock:
        speed = 1.0 if self.is_fault_free else self.rng.uniform(0.995, 1.005)
        return SteadyClock(self.env, self.rng.uniform(0, 1e7), speed)

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in simulated time."""
        self.env.timeout(delay_ms).callbacks.append(lambda _: action())

    def run_for(self, duration_ms: float) -> None:
        """Advance the simulated time."""
        self.env.run(until=self.env.now + duration_ms)

    # --- processes

    def start(self, process: SimulatedProcess) -> None:
        """Start a process without state, as a new incarnation."""
        if isinstance(process, SimulatedCoordinator):
            self._start_coordinator(process)
        elif isinstance(process, SimulatedGateway):
            self._start_gateway(process)

    def _start_coordinator(self, coordinator: SimulatedCoordinator) -> None:
        coordinator.incarnation = self._next_incarnation()
        now = coordinator.clock()
        coordinator.table = LeaseTable(coordinator.incarnation, now)
        coordinator.table.set_membership(now, self.membership.accepted[coordinator.name])

    def _start_gateway(self, gateway: SimulatedGateway) -> None:
        gateway.incarnation = self._next_incarnation()
        gateway.counter = TenantCounter(QUOTA, gateway.incarnation)
        gateway.reserve = LocalReserve(QUOTA, gateway.clock())
        gateway.reserve.set_max_gateways(self._max_gateways)
        if self.is_fault_free or self.seed % 3:  # otherwise the number may not be configured yet
            gateway.reserve.set_max_gateways(math.ceil(len(self.gateways) * 1.1))
        gateway.lease_client = LeaseClient(
            gateway.name, gateway.incarnation, QUOTA.window_ms, gateway.counter.on_lease_acquired
        )
        self._update_view(gateway)
        self._start_claim_loop(gateway)

    def _next_incarnation(self) -> int:
        self._last_incarnation += 1
        return self._last_incarnation

    def kill(self, process: SimulatedProcess, down_ms: float) -> None:
        """Kill a process and restart it after a delay."""
        if process.incarnation:
            process.incarnation = 0
            process.frozen_until = 0.0
            process.died_at = self.env.now
            self.schedule(down_ms, lambda: self.start(process))

    def run_in(self, process: SimulatedProcess, incarnation: int, action: Callable[[], None]) -> None:
        """Run an action in one incarnation of a process; while the process is frozen, the action waits."""
        if process.incarnation != incarnation:
            return
        if self.env.now < process.frozen_until:
            delay_ms = process.frozen_until - self.env.now + self.rng.random()
            self.schedule(delay_ms, lambda: self.run_in(process, incarnation, action))
        else:
            action()

    def send(
        self,
        source: SimulatedProcess,
        target: SimulatedProcess,
        on_receive: Callable[[], None],
        may_duplicate: bool = True,
    ) -> None:
        """Send a message, which may be lost, delayed or duplicated.

        It is delivered to the incarnation of the target that runs when it arrives.
        """
        if source.partition != target.partition:
            return
        copies = 1
        max_delay_ms = 60.0
        if not self.is_fault_free:
            draw = self.rng.random()
            if draw < 0.03:
                copies = 0
            elif draw < 0.06 and may_duplicate:
                copies = 2
            if self.rng.random() < 0.04:
                max_delay_ms = 2500.0
        for _ in range(copies):
            self.schedule(
                self.rng.uniform(0.5, max_delay_ms),
                lambda: self.run_in(target, target.incarnation or -1, on_receive),
            )

    def shut_down(self, gateway: SimulatedGateway) -> None:
        """Shut a gateway down gracefully: it releases its buckets and ends one second later."""
        incarnation = gateway.incarnation
        if incarnation:
            gateway.lease_client.release_all(gateway.clock())
            self._send_claims(gateway)
            self.schedule(1000, lambda: self.kill(gateway, 300.0) if gateway.incarnation == incarnation else None)

    def change_members(self) -> None:
        """Replace, add or remove a member; sometimes change the members twice, or kill a voter during the change."""
        for _ in range(self.rng.choice((1, 1, 2))):
            members = [*self.membership.latest_members]
            spares = [coordinator.name for coordinator in self.coordinators if coordinator.name not in members]
            draw = self.rng.random()
            if draw < 0.8 and len(members) > 2:
                members.remove(self.rng.choice(members))
            if draw > 0.2 and spares:
                members.append(self.rng.choice(spares))
            self.membership.change(tuple(members))
        if self.rng.random() < 0.5:
            voter = self.rng.choice(self.coordinators)
            self.schedule(self.rng.uniform(0, 1500), lambda: self.kill(voter, self.rng.choice((20.0, 1500.0))))

    # --- leases

    def _update_view(self, gateway: SimulatedGateway) -> None:
        """Update a gateway's view of the gateways, and of the holders from one coordinator; the view may be wrong."""
        now = gateway.clock()
        listed = [
            peer for peer in self.gateways if peer.incarnation or self.env.now < peer.died_at + LISTED_AFTER_DEATH_MS
        ]
        seen = [peer.name for peer in listed if self.is_fault_free or self.rng.random() > 0.1 or peer is gateway]
        gateway.lease_client.set_gateways(now, seen)
        gateway.reserve.observe_gateways(now, len(seen), is_quorum=False)
        coordinator = self.rng.choice(self.coordinators)
        if coordinator.incarnation and coordinator.partition == gateway.partition:
            if self.is_fault_free or self.rng.random() < 0.5:
                gateway.lease_client.set_membership(now, self.membership.accepted[coordinator.name])
            gateway.lease_client.set_holders(now, coordinator.table.holders(coordinator.clock()))

    def _start_claim_loop(self, gateway: SimulatedGateway) -> None:
        incarnation = gateway.incarnation

        def claim() -> None:
            if self.rng.random() < (1.0 if self.is_fault_free else 0.5):
                self._update_view(gateway)
            self._send_claims(gateway)
            self.schedule(self.rng.uniform(300, 500), lambda: self.run_in(gateway, incarnation, claim))

        self.schedule(self.rng.uniform(0, 300), lambda: self.run_in(gateway, incarnation, claim))

    def _send_claims(self, gateway: SimulatedGateway) -> None:
        """Send one claim to every voter."""
        claim = gateway.lease_client.next_claim(gateway.clock(), gateway.counter)
        for coordinator in self.coordinators:
            if coordinator.name not in gateway.lease_client.voters:
                continue
            coordinator_incarnation = gateway.lease_client.coordinator_incarnation(coordinator.name)
            addressed = replace(claim, coordinator_incarnation=coordinator_incarnation)
            on_receive = partial(self._vote, gateway, gateway.incarnation, coordinator, addressed)
            self.send(gateway, coordinator, on_receive)

    def _vote(
        self, gateway: SimulatedGateway, incarnation: int, coordinator: SimulatedCoordinator, claim: LeaseClaim
    ) -> None:
        votes = coordinator.table.vote(coordinator.clock(), claim)

        def on_votes() -> None:
            # Votes only reach the incarnation that sent the claim, because its connections end with it.
            if gateway.incarnation != incarnation:
                return
            if gateway.lease_client.on_votes(gateway.clock(), coordinator.name, claim.sequence, votes):
                self.schedule(
                    self.rng.uniform(0, 5),
                    lambda: self.run_in(gateway, incarnation, lambda: self._send_claims(gateway)),
                )
            gateway.reserve.observe_gateways(gateway.clock(), gateway.lease_client.gateways_seen, is_quorum=True)

        self.send(coordinator, gateway, on_votes)

    def holder_of(self, tenant: str) -> SimulatedGateway | None:
        """Return the holder of the tenant's bucket by its own clock; fail if there are two."""
        bucket = bucket_of(tenant)
        holders = [gateway for gateway in self.gateways if gateway.incarnation and gateway.is_holder(bucket)]
        assert len(holders) < 2, f"two holders of the bucket of {tenant} at simulated ms {self.env.now}"
        return holders[0] if holders else None
