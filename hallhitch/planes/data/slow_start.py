"""Slow start: limits the request rate of backends that are warming up, without communication between gateways.

While a backend warms up, only its owners send it requests: the first few gateways in its rendezvous order. Each owner
may use a fixed share of the request rate that the backend can take. There is one share more than there are owners, so
that the total stays within the bound even if one gateway is missing in another's list and a further gateway therefore
considers itself an owner. Times are milliseconds of the monotonic clock.

Invariant: a gateway sends a warming backend at most `max_sends_per_owner` requests in any rate window.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from hallhitch.planes.data.rendezvous import RendezvousWeights
from hallhitch.planes.values import Backend, Gateway, Service

OWNERS_PER_BACKEND: Final = 2  # one owner may be down without the other gateways knowing
SHARES_PER_BACKEND: Final = OWNERS_PER_BACKEND + 1  # a list in which one gateway is missing leads to one more owner
# The bound holds for each second; the rest is the time that connecting may take between the decision and the send.
RATE_WINDOW_MS: Final = 1100.0
# Time after a start or a new gateway during which the list of gateways may be incomplete.
GATEWAY_LIST_SETTLING_MS: Final = 1500.0
# Time for which a gateway that is no longer listed keeps its rank, since it may still be running.
GATEWAY_MEMORY_MS: Final = 6000.0
# Share of the slow-start time for a new backend whose entry does not announce a slow start.
NEW_BACKEND_SLOW_START_RATIO: Final = 0.5
CAPACITY_RECOVERY_MS: Final = 1500.0  # time after slow start in which a backend's capacity grows to its full slots


@dataclass(frozen=True, slots=True)
class SlowStartBounds:
    """The bound on the requests that all gateways together send a warming backend.

    Per second these are at most the backend's slow-start rate times `overshoot_ratio`, plus `slack`.
    """

    overshoot_ratio: float
    slack: float  # requests per second
    endpoint_list_lag_ms: float  # how far the endpoint list may lag behind the platform


@dataclass(slots=True)
class BackendWarmUp:
    """The warm-up of one backend instance and this gateway's sends to it in the last rate window."""

    warming_until_ms: float = 0.0  # the latest end of the warm-up that was announced or assumed
    sent_at_ms: deque[float] = field(default_factory=deque)


class SlowStart:
    """Tracks which backends are warming up and limits the requests sent to them."""

    def __init__(self, own_name: str, region: str, bounds: SlowStartBounds, weights: RendezvousWeights) -> None:
        """Start without backends; `own_name` and `region` are the name and region of this gateway."""
        self._own_name, self._own_region = own_name, region
        self._overshoot_ratio, self._slack = bounds.overshoot_ratio, bounds.slack
        self._endpoint_list_lag_ms = bounds.endpoint_list_lag_ms
        self._weights = weights
        self._backends: dict[str, BackendWarmUp] = {}  # by instance
        self._has_endpoint_list = False
        self._gateway_regions: dict[str, str] = {}  # by gateway name
        self._gateway_seen_at_ms: dict[str, float] = {}  # when each gateway was last listed
        self._gateway_added_at_ms: dict[str, float] = {}  # when a gateway was last added, by region
        self._evacuated_zones: frozenset[str] = frozenset()
        self._is_owner: dict[str, bool] = {}  # whether this gateway owns a backend, by instance

    def set_backends(self, now: float, entries: Sequence[Backend], services: Mapping[str, Service]) -> None:
        """Replace the list of backends; an instance that is added after the first list is assumed to warm up."""
        previous = self._backends
        self._backends = {}
        for entry in entries:
            warm_up = previous.get(entry.instance)
            if warm_up is None:
                warm_up = BackendWarmUp()
                service = services.get(entry.service)
                if self._has_endpoint_list and service is not None:
                    ratio = 1.0 if entry.warming_until_ms > now else NEW_BACKEND_SLOW_START_RATIO
                    warm_up.warming_until_ms = now + ratio * service.slow_start_ms
            if entry.warming_until_ms > now:
                warm_up.warming_until_ms = max(warm_up.warming_until_ms, entry.warming_until_ms)
            self._backends[entry.instance] = warm_up
        self._has_endpoint_list = self._has_endpoint_list or bool(entries)
        self._is_owner.clear()

    def set_gateways(self, now: float, entries: Sequence[Gateway]) -> None:
        """Replace the list of live gateways; those that are no longer listed keep their ranks for a while."""
        for entry in entries:
            if not entry.frontend and entry.name != self._own_name:
                continue
            if entry.name not in self._gateway_seen_at_ms:
                self._gateway_added_at_ms[entry.region] = now
            self._gateway_seen_at_ms[entry.name] = now
            self._gateway_regions[entry.name] = entry.region
        if self._own_name not in self._gateway_seen_at_ms:
            self._gateway_added_at_ms[self._own_region] = now
        self._gateway_seen_at_ms[self._own_name] = now
        self._gateway_regions[self._own_name] = self._own_region
        for name in [n for n, seen_at_ms in self._gateway_seen_at_ms.items() if now - seen_at_ms > GATEWAY_MEMORY_MS]:
            del self._gateway_seen_at_ms[name], self._gateway_regions[name]
        self._is_owner.clear()

    def set_evacuated_zones(
        self, now: float, zones: frozenset[str], entries: Sequence[Backend], services: Mapping[str, Service]
    ) -> None:
        """Replace the evacuated zones and assume that the backends of restored zones warm up.

        They may be cold, and the endpoint list shows that only after a delay.
        """
        restored_zones = self._evacuated_zones - zones
        self._evacuated_zones = zones
        for entry in entries:
            service = services.get(entry.service)
            if entry.zone in restored_zones and service is not None:
                until_ms = now + service.slow_start_ms + 2.0 * self._endpoint_list_lag_ms
                self.assume_warming(entry.instance, until_ms)

    def assume_warming(self, instance: str, until_ms: float) -> None:
        """Treat a backend as warming up at least until `until_ms`."""
        warm_up = self._backends.get(instance)
        if warm_up is not None:
            warm_up.warming_until_ms = max(warm_up.warming_until_ms, until_ms)

    def warming_until_ms(self, backend: Backend) -> float:
        """Return when the backend's warm-up ends; a time in the past means warm, 0 that it was never warming up."""
        warm_up = self._backends.get(backend.instance)
        return warm_up.warming_until_ms if warm_up is not None else backend.warming_until_ms

    def max_sends_per_owner(self, service: Service) -> float:
        """Return how many requests an owner may send a warming backend per rate window; infinity without a bound."""
        if service.slow_start_rate_per_s <= 0:
            return float("inf")
        bound = service.slow_start_rate_per_s * self._overshoot_ratio + self._slack
        return bound // SHARES_PER_BACKEND

    def admits(self, now: float, backend: Backend, service: Service) -> bool:
        """Return whether one more request may go to this warming backend now."""
        max_sends = self.max_sends_per_owner(service)
        if max_sends == float("inf"):
            return True
        warm_up = self._backends.get(backend.instance)
        if warm_up is None or not self._owns(backend):
            return False
        # All gateways share the backends of a region without gateways.
        gateway_added_at_ms = self._gateway_added_at_ms.get(backend.region, max(self._gateway_added_at_ms.values()))
        if now - gateway_added_at_ms < GATEWAY_LIST_SETTLING_MS:
            return False
        while warm_up.sent_at_ms and warm_up.sent_at_ms[0] <= now - RATE_WINDOW_MS:
            warm_up.sent_at_ms.popleft()
        return len(warm_up.sent_at_ms) < max_sends

    def utilization(self, now: float, backend: Backend, service: Service) -> float:
        """Return this gateway's sends in the last rate window, divided by what the backend can take while warming up.

        Any backend may turn cold, and the endpoint list shows that only after a delay. Even distribution of the
        requests to warm backends keeps them within the bound as well.
        """
        warm_up = self._backends.get(backend.instance)
        if warm_up is None or service.slow_start_rate_per_s <= 0:
            return 0.0
        sent_at_ms = warm_up.sent_at_ms
        while sent_at_ms and sent_at_ms[0] <= now - RATE_WINDOW_MS:
            sent_at_ms.popleft()
        return len(sent_at_ms) / (service.slow_start_rate_per_s * self._overshoot_ratio + self._slack)

    def record_send(self, now: float, backend: Backend) -> None:
        """Record one request, also for a warm backend, since it may turn out to be cold a moment later."""
        warm_up = self._backends.get(backend.instance)
        if warm_up is not None:
            warm_up.sent_at_ms.append(now)
            if warm_up.sent_at_ms[0] <= now - RATE_WINDOW_MS:
                warm_up.sent_at_ms.popleft()

    def _owns(self, backend: Backend) -> bool:
        """Return whether this gateway is among the owners of a backend."""
        is_owner = self._is_owner.get(backend.instance)
        if is_owner is None:
            in_region = [name for name, region in self._gateway_regions.items() if region == backend.region]
            gateways = in_region or list(self._gateway_regions)
            is_owner = (
                self._own_name in gateways
                and self._weights.rank(backend.instance, self._own_name, gateways) < OWNERS_PER_BACKEND
            )
            self._is_owner[backend.instance] = is_owner
        return is_owner
