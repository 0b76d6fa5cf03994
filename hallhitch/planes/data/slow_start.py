"""Slow start: which backends are warming up, and what this gateway may send them so that all stay within the bound.

While it warms up a backend belongs to the first few gateways in its rendezvous order, each with a fixed share of the
request rate that it bears. Owns what is known of each backend's warm-up, and the sends to it in the last rate window.
Invariant: a gateway sends a warming backend at most `owned_share` requests in any rate window. The shares add up to
the bound also where one gateway's view of the others lacks one: one share more is cut than there are owners.
Times are steady ms.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from hallhitch.planes.data.rendezvous import RendezvousWeights
from hallhitch.planes.values import Backend, Gateway, Service

OWNERS_PER_BACKEND: Final = 2  # one owner may be gone without anybody knowing
SHARES_PER_BACKEND: Final = OWNERS_PER_BACKEND + 1  # a view that lacks one gateway makes one owner more
RATE_WINDOW_MS: Final = 1100.0  # the rule's second, and the time a connection may take between decision and send
VIEW_SETTLING_MS: Final = 1500.0  # after a start or a new gateway: the view of the gateways may be incomplete
GATEWAY_MEMORY_MS: Final = 6000.0  # how long a gateway that left the list keeps its rank: it may only be unseen
NEW_BACKEND_WARMING_SHARE: Final = 0.5  # of the slow-start time, for a new backend whose entry does not say it is cold
CAPACITY_RECOVERY_MS: Final = 1500.0  # after the warm-up, over which the capacity of a backend grows to its full slots


@dataclass(frozen=True, slots=True)
class SlowStartBounds:
    """How far all gateways together may exceed a backend's slow-start rate."""

    overshoot_ratio: float
    slack: float  # requests a second
    endpoint_list_lag_ms: float  # how far the endpoint list runs behind


@dataclass(slots=True)
class WarmingBackend:
    """The warm-up of one backend instance, and this gateway's sends to it in the last rate window."""

    warming_until_ms: float = 0.0  # the latest time announced or assumed
    sent_at_ms: deque[float] = field(default_factory=deque)


class SlowStart:
    """Answer which backends are warming up, and admit requests to them."""

    def __init__(self, own: str, region: str, bounds: SlowStartBounds, weights: RendezvousWeights) -> None:
        """`own` and `region` are the name and region of this gateway."""
        self._own, self._region = own, region
        self._overshoot_ratio, self._slack = bounds.overshoot_ratio, bounds.slack
        self._endpoint_list_lag_ms = bounds.endpoint_list_lag_ms
        self._weights = weights
        self._backends: dict[str, WarmingBackend] = {}
        self._has_endpoint_list = False
        self._gateway_regions: dict[str, str] = {}
        self._gateway_seen_at_ms: dict[str, float] = {}  # when each gateway was last listed
        self._view_grown_at_ms: dict[str, float] = {}  # when a gateway was last added, by region
        self._evacuated_zones: frozenset[str] = frozenset()
        self._is_owner: dict[str, bool] = {}  # whether this gateway owns a backend, by instance

    def set_backends(self, now: float, entries: Sequence[Backend], services: Mapping[str, Service]) -> None:
        """Replace the list of backends; an instance first listed while this process runs is assumed to warm up."""
        known = self._backends
        self._backends = {}
        for entry in entries:
            backend = known.get(entry.instance)
            if backend is None:
                backend = WarmingBackend()
                service = services.get(entry.service)
                if self._has_endpoint_list and service is not None:
                    share = 1.0 if entry.warming_until_ms > now else NEW_BACKEND_WARMING_SHARE
                    backend.warming_until_ms = now + share * service.slow_start_ms
            if entry.warming_until_ms > now:
                backend.warming_until_ms = max(backend.warming_until_ms, entry.warming_until_ms)
            self._backends[entry.instance] = backend
        self._has_endpoint_list = self._has_endpoint_list or bool(entries)
        self._is_owner.clear()

    def set_gateways(self, now: float, entries: Sequence[Gateway]) -> None:
        """Replace the list of live gateways; those that left it keep their ranks for a while."""
        for entry in entries:
            if not entry.frontend and entry.name != self._own:
                continue
            if entry.name not in self._gateway_seen_at_ms:
                self._view_grown_at_ms[entry.region] = now
            self._gateway_seen_at_ms[entry.name] = now
            self._gateway_regions[entry.name] = entry.region
        if self._own not in self._gateway_seen_at_ms:
            self._view_grown_at_ms[self._region] = now
        self._gateway_seen_at_ms[self._own] = now
        self._gateway_regions[self._own] = self._region
        for name in [n for n, seen_at_ms in self._gateway_seen_at_ms.items() if now - seen_at_ms > GATEWAY_MEMORY_MS]:
            del self._gateway_seen_at_ms[name], self._gateway_regions[name]
        self._is_owner.clear()

    def set_evacuated_zones(
        self, now: float, zones: frozenset[str], entries: Sequence[Backend], services: Mapping[str, Service]
    ) -> None:
        """Replace the evacuated zones; backends of a zone taken back may be cold, which the list shows late."""
        restored_zones = self._evacuated_zones - zones
        self._evacuated_zones = zones
        for entry in entries:
            service = services.get(entry.service)
            if entry.zone in restored_zones and service is not None:
                until_ms = now + service.slow_start_ms + 2.0 * self._endpoint_list_lag_ms
                self.assume_warming(entry.instance, until_ms)

    def assume_warming(self, instance: str, until_ms: float) -> None:
        """Treat a backend as warming up until then, or longer where that is known."""
        backend = self._backends.get(instance)
        if backend is not None:
            backend.warming_until_ms = max(backend.warming_until_ms, until_ms)

    def warming_until_ms(self, backend: Backend) -> float:
        """Return when its warm-up ends; a time in the past means warm, 0 never seen to warm up."""
        known = self._backends.get(backend.instance)
        return known.warming_until_ms if known is not None else backend.warming_until_ms

    def owned_share(self, service: Service) -> float:
        """Return the requests a rate window that one owner may send a warming backend; infinite without a bound."""
        if service.slow_start_rate_per_s <= 0:
            return float("inf")
        bound = service.slow_start_rate_per_s * self._overshoot_ratio + self._slack
        return bound // SHARES_PER_BACKEND

    def admits(self, now: float, backend: Backend, service: Service) -> bool:
        """Return whether one more request may go to this warming backend now."""
        share = self.owned_share(service)
        if share == float("inf"):
            return True
        known = self._backends.get(backend.instance)
        if known is None or not self._owns(backend):
            return False
        # The backends of a region without gateways are shared by all gateways.
        view_grown_at_ms = self._view_grown_at_ms.get(backend.region, max(self._view_grown_at_ms.values()))
        if now - view_grown_at_ms < VIEW_SETTLING_MS:
            return False
        while known.sent_at_ms and known.sent_at_ms[0] <= now - RATE_WINDOW_MS:
            known.sent_at_ms.popleft()
        return len(known.sent_at_ms) < share

    def utilization(self, now: float, backend: Backend, service: Service) -> float:
        """Return this gateway's sends of the last rate window, as a share of what the backend bears while warming up.

        It may turn cold at any time, which the list shows late: sending evenly to warm ones keeps to the bound too.
        """
        known = self._backends.get(backend.instance)
        if known is None or service.slow_start_rate_per_s <= 0:
            return 0.0
        sent_at_ms = known.sent_at_ms
        while sent_at_ms and sent_at_ms[0] <= now - RATE_WINDOW_MS:
            sent_at_ms.popleft()
        return len(sent_at_ms) / (service.slow_start_rate_per_s * self._overshoot_ratio + self._slack)

    def record_send(self, now: float, backend: Backend) -> None:
        """Record one request; for warm backends too, since one may turn out to be cold a moment later."""
        known = self._backends.get(backend.instance)
        if known is not None:
            known.sent_at_ms.append(now)
            if known.sent_at_ms[0] <= now - RATE_WINDOW_MS:
                known.sent_at_ms.popleft()

    def _owns(self, backend: Backend) -> bool:
        is_owner = self._is_owner.get(backend.instance)
        if is_owner is None:
            in_region = [name for name, region in self._gateway_regions.items() if region == backend.region]
            gateways = in_region or list(self._gateway_regions)
            is_owner = (
                self._own in gateways and self._weights.rank(backend.instance, self._own, gateways) < OWNERS_PER_BACKEND
            )
            self._is_owner[backend.instance] = is_owner
        return is_owner
