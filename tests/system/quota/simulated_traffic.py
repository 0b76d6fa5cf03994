"""Requests of tenants to a simulated cluster, and a record of their outcomes."""

from __future__ import annotations

from bisect import bisect_right, insort
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from hallhitch.planes.quota.limits import RateLimit, bucket_of
from tests.system.quota.simulated_process import QUOTA, SimulatedGateway

if TYPE_CHECKING:
    from tests.system.quota.simulated_cluster import SimulatedCluster


def max_in_window(times: list[float], window_ms: float) -> int:
    """Return the largest number of the sorted times that are within any window of length `window_ms`."""
    return max((bisect_right(times, start + window_ms) - index for index, start in enumerate(times)), default=0)


@dataclass
class AdmissionRecord:
    """The outcomes of the requests: sorted times by tenant."""

    admitted: dict[str, list[float]] = field(default_factory=dict)
    admitted_by_holders: dict[str, list[float]] = field(default_factory=dict)
    rejected: dict[str, list[float]] = field(default_factory=dict)
    admitted_by_reserves: int = 0

    def max_admitted(self, tenant: str) -> int:
        """Return the largest number of requests admitted in any sliding window."""
        return max_in_window(self.admitted.get(tenant, []), QUOTA.window_ms)

    def max_admitted_by_holders(self, tenant: str) -> int:
        """Return the largest number of requests admitted by holders in any sliding window.

        The window is slightly shorter than the rule's, because the holders' clocks differ.
        """
        return max_in_window(self.admitted_by_holders.get(tenant, []), QUOTA.window_ms * 0.99)


@dataclass(frozen=True)
class Load:
    """Requests of one tenant at random times; the share `cancel_ratio` of those admitted by a holder never runs."""

    tenant: str
    limit: RateLimit
    interval_ms: float
    cancel_ratio: float = 0.0


@dataclass(frozen=True)
class _Request:
    load: Load
    gateway: SimulatedGateway
    incarnation: int  # of the gateway


class SimulatedTraffic:
    """The requests sent to one cluster."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self._cluster = cluster
        self.record = AdmissionRecord()

    def add(self, tenant: str, limit: RateLimit, interval_ms: float, cancel_ratio: float = 0.0) -> None:
        """Send requests of a tenant to random gateways from now on, one every `interval_ms` on average."""
        load = Load(tenant, limit, interval_ms, cancel_ratio)

        def send_request() -> None:
            gateway = self._cluster.rng.choice(self._cluster.gateways)
            self._handle(_Request(load, gateway, gateway.incarnation))
            self._cluster.schedule(self._cluster.rng.expovariate(1 / interval_ms), send_request)

        send_request()

    def _handle(self, request: _Request) -> None:
        """Have the tenant's holder count a request, or the gateway's reserve if the holder does not respond."""
        gateway = request.gateway
        if not gateway.incarnation or self._cluster.env.now < gateway.frozen_until:
            return
        holder = self._cluster.holder_of(request.load.tenant)
        if holder is None or not self._is_reachable(gateway, holder):
            self._take_from_reserve(request)
        elif holder is gateway:
            self._count(request, holder)
        else:
            self._cluster.send(gateway, holder, partial(self._count, request, holder))

    def _is_reachable(self, gateway: SimulatedGateway, holder: SimulatedGateway) -> bool:
        if holder.partition != gateway.partition:
            return False
        return self._cluster.is_fault_free or self._cluster.rng.random() >= 0.03

    def _count(self, request: _Request, holder: SimulatedGateway) -> None:
        """Count a request at a holder and record its outcome."""
        cluster, load, gateway = self._cluster, request.load, request.gateway
        if not holder.is_holder(bucket_of(load.tenant)):
            return
        result = holder.counter.add(holder.clock(), load.tenant, 1, load.limit)
        if result.is_over_limit and cluster.is_fault_free and not result.is_over_share:
            self._reject(load.tenant)
        elif result.is_over_limit:  # with faults, callers use their reserves even if the holder forbids it
            is_still_waiting = gateway.incarnation == request.incarnation and cluster.env.now >= gateway.frozen_until
            if is_still_waiting:
                self._take_from_reserve(request)
        elif cluster.rng.random() < load.cancel_ratio:
            refund = partial(self._refund, holder, load.tenant, result.slot)
            cluster.send(gateway, holder, refund, may_duplicate=False)
        else:
            insort(self.record.admitted_by_holders.setdefault(load.tenant, []), float(cluster.env.now))
            self._admit(load.tenant)

    def _refund(self, holder: SimulatedGateway, tenant: str, slot: int) -> None:
        if holder.is_holder(bucket_of(tenant)):
            holder.counter.refund(holder.clock(), tenant, 1, slot)

    def _take_from_reserve(self, request: _Request) -> None:
        gateway, load = request.gateway, request.load
        if gateway.reserve.take(gateway.clock(), load.tenant, load.limit) is not None:
            self.record.admitted_by_reserves += 1
            self._admit(load.tenant)
        else:
            self._reject(load.tenant)

    def _admit(self, tenant: str) -> None:
        """Record that a request is admitted and sent to a backend now."""
        insort(self.record.admitted.setdefault(tenant, []), float(self._cluster.env.now))

    def _reject(self, tenant: str) -> None:
        insort(self.record.rejected.setdefault(tenant, []), self._cluster.env.now)
