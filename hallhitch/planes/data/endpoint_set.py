"""The endpoints of one service as this gateway sees them: which one a request goes to, and what each costs now.

Owns the order in which endpoints are considered and the comparison between them: a cost per endpoint, the cheapest of
a few, as in "power of d choices". The requests of other gateways are not seen: they are estimated from this gateway's
own load, and show in responses that take longer than the mean. Invariant: an endpoint that is selected has capacity for
one more request beside the estimated requests of its peers; only panic mode takes one that is ejected.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from random import Random
from typing import Final

from hallhitch.planes.data.endpoint import Endpoint, Locality
from hallhitch.planes.data.latency import LatencyEstimate
from hallhitch.planes.data.outlier_detection import HealthState
from hallhitch.planes.data.queued_requests import QueuedRequests
from hallhitch.planes.data.slow_start import CAPACITY_RECOVERY_MS, SlowStart
from hallhitch.planes.values import Backend, RequestKind, Service

# Which endpoints are considered.
MIN_PRIMARY_ENDPOINTS: Final = 6  # of its own region, that a gateway considers first: enough to find an idle one
MIN_GATEWAYS_PER_ENDPOINT: Final = 3  # that consider an endpoint first, where there are that many gateways
SAMPLE_SIZE: Final = 10  # of the others: the best of ten is hardly worse than the best of all

# How many requests an endpoint takes, in rounds of its slots.
QUEUE_RATIO: Final = 0.4  # that may queue at an endpoint while no other has capacity either
FULL_QUEUE_RATIO: Final = 0.7  # of idempotent requests, once all have that much: still better than rejection
UNSAFE_QUEUE_FACTOR: Final = 0.5  # of the queue for a request that must not run twice: a reset would lose it
SHARED_SLOTS_RATIO: Final = 0.5  # that each gateway but the preferred may use, or they overload it together
MAX_WARMING_IN_FLIGHT: Final = 2  # requests in flight at an endpoint in slow start
RECOVERY_RESERVED_RATIO: Final = 0.5  # of the slots that count as taken at the end of slow start, falling to none
LOAD_AVERAGING_MS: Final = 1000.0  # time constant of the own load, by which that of others is estimated

# Half-open attempts: a token bucket that requests to the service fill.
HALF_OPEN_SHARE: Final = 0.1  # of the requests that may test an ejected endpoint
MAX_HALF_OPEN_TOKENS: Final = 3.0  # saved up

# What an endpoint costs, in mean latencies of the route.
WARMING_LATENCY_FACTOR: Final = 2.0  # of a backend in slow start
SUSPECT_COST: Final = 1.0  # after a failure, or while it is unresponsive
EVEN_UTILIZATION: Final = 0.3  # of what a warming backend bears: more from one gateway in a second is uneven
UNEVEN_UTILIZATION_COST: Final = 3.0  # for each whole utilization beyond
FULL_SLOTS_COST: Final = 0.2  # of full slots though nothing queues: some backends slow down
TIE_BREAK_COST: Final = 0.1  # at most, drawn at random: gateways must not all choose the same of equals

# What the distance costs, in latency targets of the route.
CROSS_ZONE_COST: Final = 0.01
CROSS_ZONE_DOWNLOAD_COST: Final = 0.15
CROSS_REGION_COST: Final = 0.25  # for bytes more than for time


@dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """What one request asks of an endpoint."""

    now: float
    kind: RequestKind
    is_unsafe: bool  # it must not run twice
    target_ms: float  # latency target of the route
    mean_latency_ms: float  # of the route
    allowed_regions: frozenset[str]  # empty = any
    excluded_instances: frozenset[str]  # tried before
    priority: int  # 0 is the highest


class EndpointSet:
    """All endpoints of one service that take new requests."""

    def __init__(self, service: Service, slow_start: SlowStart) -> None:
        self.service = service
        self.latency = LatencyEstimate()
        self.queued = QueuedRequests()
        self.primary: list[Endpoint] = []  # own region, low rank
        self.secondary: list[Endpoint] = []  # own region otherwise
        self.remote: list[Endpoint] = []
        self._slow_start = slow_start
        self._half_open_tokens = 0.0  # half-open attempts that are due to this service
        self._gateways = 1  # that share the endpoints of the own region
        self._region_slots = 1
        self._max_slots = 1  # of any endpoint
        self._load = 0.0
        self._load_updated_at_ms = 0.0

    def set_endpoints(self, endpoints: list[Endpoint], gateways: int) -> None:
        """Replace the endpoints, localities and ranks set; `gateways` of the own region share them."""
        in_region = [e for e in endpoints if e.locality is not Locality.REMOTE_REGION]
        self.remote = [e for e in endpoints if e.locality is Locality.REMOTE_REGION]
        self._gateways = max(gateways, 1)
        endpoint_shares = -(-MIN_PRIMARY_ENDPOINTS * self._gateways // max(len(in_region), 1))
        primary_ranks = max(MIN_GATEWAYS_PER_ENDPOINT, endpoint_shares)
        self.primary = [e for e in in_region if e.rank < primary_ranks]
        self.secondary = [e for e in in_region if e.rank >= primary_ranks]
        for endpoint in endpoints:
            endpoint.is_primary = False
        for endpoint in self.primary:
            endpoint.is_primary = True
        self._region_slots = max(1, sum(e.slots for e in in_region))
        self._max_slots = max((e.slots for e in endpoints), default=1)

    # Selection.

    def select(self, criteria: SelectionCriteria, rng: Random) -> Endpoint | None:
        """Return the cheapest endpoint with capacity now; None if there is none.

        Own region before others, free slots before queues. Downloads leave the region only when nothing in it is
        healthy.
        """
        load = self.estimate_load(criteria.now)
        # Where peers are estimated to leave no slot free there is none to look for among theirs.
        may_find_idle = (1.0 - load) * self._max_slots >= 1.0
        best = self._select_in_region(load, may_find_idle, criteria, rng)
        if best is not None:
            return best
        in_region = [e for e in self.primary + self.secondary if _is_eligible(e.backend, criteria)]
        healthy = [e for e in in_region if self._is_selectable(e, criteria)]
        stays_in_region = criteria.kind is RequestKind.DOWNLOAD and bool(healthy)
        if not stays_in_region:
            for queue_ratio in (0.0, QUEUE_RATIO) if may_find_idle else (QUEUE_RATIO,):
                best = self._cheapest(_sample(self.remote, rng), load, criteria, queue_ratio, rng)
                if best is not None:
                    return best
        if healthy and not criteria.is_unsafe:
            return self._cheapest(healthy, load, criteria, FULL_QUEUE_RATIO, rng)
        return None

    def _select_in_region(
        self, load: float, may_find_idle: bool, criteria: SelectionCriteria, rng: Random
    ) -> Endpoint | None:
        """Select a free slot of a primary endpoint, then of others of the region, then a primary one's queue."""
        best = self._cheapest(self.primary, load, criteria, 0.0, rng)
        if best is None and may_find_idle:
            best = self._cheapest(_sample(self.secondary, rng), load, criteria, 0.0, rng)
        if best is None:
            best = self._cheapest(self.primary, load, criteria, QUEUE_RATIO, rng)
        return best

    def select_in_panic(self, criteria: SelectionCriteria, rng: Random) -> Endpoint | None:
        """Return the endpoint that failed longest ago where all are ejected or suspect; None elsewhere.

        That all fail at once is more likely the fault of this gateway's network than of every backend.
        """
        now = criteria.now
        eligible = _not_misdirected(self.primary + self.secondary, criteria)
        eligible = eligible or _not_misdirected(self.remote, criteria)
        if not eligible or any(e.health.state(now) is HealthState.HEALTHY for e in eligible):
            return None
        eligible = [e for e in eligible if e.in_flight < max(1, e.slots // 2) and self._slow_start_admits(e, now)]
        if not eligible:
            return None
        return min(eligible, key=lambda e: (e.health.last_failure_ms, rng.random()))

    def take_half_open_endpoint(self, criteria: SelectionCriteria) -> Endpoint | None:
        """Return an endpoint whose ejection is over, if a half-open attempt is due; it spends one token."""
        if self._half_open_tokens < 1.0 or criteria.is_unsafe or criteria.kind is RequestKind.DOWNLOAD:
            return None
        for endpoint in self.primary:
            if (
                endpoint.health.state(criteria.now) is HealthState.HALF_OPEN
                and not endpoint.health.has_half_open_attempt
                and not endpoint.in_flight
                and _is_eligible(endpoint.backend, criteria)
                and self._slow_start_admits(endpoint, criteria.now)
            ):
                self._half_open_tokens -= 1.0
                return endpoint
        return None

    def earn_half_open_token(self) -> None:
        """Add one request's share of a half-open attempt."""
        self._half_open_tokens = min(self._half_open_tokens + HALF_OPEN_SHARE, MAX_HALF_OPEN_TOKENS)

    def is_reserved_for_higher_priority(self, endpoint: Endpoint, criteria: SelectionCriteria) -> bool:
        """Return whether a queued request of a higher priority comes first at this endpoint."""
        return self.queued.has_higher_priority(criteria.priority, endpoint.backend.region)

    # Load and capacity.

    def estimate_load(self, now: float) -> float:
        """Update and return the share of slots that peers are estimated to use, were all as loaded as this gateway."""
        in_flight = sum(e.in_flight for e in self.primary) + sum(e.in_flight for e in self.secondary)
        current = min(1.0, in_flight * self._gateways / self._region_slots)
        elapsed_ms = max(0.0, now - self._load_updated_at_ms)
        self._load += (current - self._load) * (1.0 - exp(-elapsed_ms / LOAD_AVERAGING_MS))
        self._load_updated_at_ms = now
        return self._load

    def estimated_peer_requests(self, endpoint: Endpoint, load: float) -> float:
        """Return how many requests of other gateways are likely there."""
        return 0.0 if endpoint.is_preferred_here else load * endpoint.slots

    def has_capacity(self, endpoint: Endpoint, load: float, criteria: SelectionCriteria, queue_ratio: float) -> bool:
        """Return whether one more request may go there, with `queue_ratio` rounds of its slots allowed to queue."""
        now, slots = criteria.now, endpoint.slots
        if endpoint.timed_out and endpoint.timed_out[0].deadline_ms <= now:
            endpoint.release_expired(now)
        if self._slow_start.warming_until_ms(endpoint.backend) > now:
            return endpoint.in_flight < MAX_WARMING_IN_FLIGHT and self._slow_start.admits(
                now, endpoint.backend, self.service
            )
        if endpoint.is_preferred_here:
            own_queue_ratio = queue_ratio * (UNSAFE_QUEUE_FACTOR if criteria.is_unsafe else 1.0)
            capacity = slots * (1.0 + own_queue_ratio)
        else:
            # All other gateways may have the same there, and together must not fill it.
            is_split_evenly = criteria.is_unsafe or endpoint.locality is Locality.REMOTE_REGION
            capacity = max(1.0, slots / self._gateways if is_split_evenly else slots * SHARED_SLOTS_RATIO)
        in_flight = endpoint.in_flight + 1
        if in_flight > capacity:
            return False
        return in_flight + self.estimated_peer_requests(endpoint, load) <= slots * (1.0 + queue_ratio)

    # Cost.

    def estimate_cost_ms(self, endpoint: Endpoint, load: float, criteria: SelectionCriteria, rng: Random) -> float:
        """Return how long one more request there is expected to take, distance and risks as ms on top."""
        now, slots, mean_ms = criteria.now, endpoint.slots, criteria.mean_latency_ms
        occupied = endpoint.in_flight + self.estimated_peer_requests(endpoint, load)
        latency_ms = mean_ms * endpoint.latency_ratio.value(now)
        warming_until_ms = self._slow_start.warming_until_ms(endpoint.backend)
        if warming_until_ms > now:
            latency_ms *= WARMING_LATENCY_FACTOR
        elif warming_until_ms > now - CAPACITY_RECOVERY_MS and warming_until_ms > 0.0:
            occupied += slots * RECOVERY_RESERVED_RATIO * (1.0 - (now - warming_until_ms) / CAPACITY_RECOVERY_MS)
        queue_rounds = max(0.0, occupied + 1.0 - slots) / slots
        cost_ms = latency_ms * (1.0 + queue_rounds + FULL_SLOTS_COST * min(1.0, occupied / slots))
        if endpoint.health.state(now) is not HealthState.HEALTHY or self._is_unresponsive(endpoint, now):
            cost_ms += mean_ms * SUSPECT_COST
        utilization = self._slow_start.utilization(now, endpoint.backend, self.service)
        if utilization > EVEN_UTILIZATION:
            cost_ms += mean_ms * (utilization - EVEN_UTILIZATION) * UNEVEN_UTILIZATION_COST
        if endpoint.locality is Locality.SAME_REGION:
            is_download = criteria.kind is RequestKind.DOWNLOAD
            cost_ms += criteria.target_ms * (CROSS_ZONE_DOWNLOAD_COST if is_download else CROSS_ZONE_COST)
        elif endpoint.locality is Locality.REMOTE_REGION:
            cost_ms += criteria.target_ms * CROSS_REGION_COST
        return cost_ms + mean_ms * TIE_BREAK_COST * rng.random()

    def _cheapest(
        self, endpoints: list[Endpoint], load: float, criteria: SelectionCriteria, queue_ratio: float, rng: Random
    ) -> Endpoint | None:
        cheapest, lowest_cost_ms = None, 0.0
        for endpoint in endpoints:
            if (
                endpoint.in_flight + 1 <= endpoint.slots * (1.0 + queue_ratio)
                and self._is_selectable(endpoint, criteria)
                and self.has_capacity(endpoint, load, criteria, queue_ratio)
            ):
                cost_ms = self.estimate_cost_ms(endpoint, load, criteria, rng)
                if cheapest is None or cost_ms < lowest_cost_ms:
                    cheapest, lowest_cost_ms = endpoint, cost_ms
        return cheapest

    # Health.

    def _is_selectable(self, endpoint: Endpoint, criteria: SelectionCriteria) -> bool:
        """Return whether a request may go there by the endpoint's health, whatever its load."""
        now, health = criteria.now, endpoint.health
        if not _is_eligible(endpoint.backend, criteria) or now < health.overloaded_until_ms:
            return False
        state = health.state(now)
        if criteria.is_unsafe:
            return state is HealthState.HEALTHY and not self._is_unresponsive(endpoint, now)
        if state is HealthState.HEALTHY:
            return True
        # Half-open primary endpoints get their attempts from `take_half_open_endpoint`.
        is_open_to_one = state is HealthState.SUSPECT or (state is HealthState.HALF_OPEN and not endpoint.is_primary)
        return is_open_to_one and endpoint.in_flight == 0

    def _is_unresponsive(self, endpoint: Endpoint, now: float) -> bool:
        is_remote = endpoint.locality is Locality.REMOTE_REGION
        return self.latency.is_unresponsive(now, endpoint.unanswered, endpoint.zone_unanswered, is_remote)

    def _slow_start_admits(self, endpoint: Endpoint, now: float) -> bool:
        backend = endpoint.backend
        return self._slow_start.warming_until_ms(backend) <= now or self._slow_start.admits(now, backend, self.service)


def _is_eligible(backend: Backend, criteria: SelectionCriteria) -> bool:
    """Return whether the request may go to this backend at all."""
    if backend.instance in criteria.excluded_instances:
        return False
    return not criteria.allowed_regions or backend.region in criteria.allowed_regions


def _not_misdirected(endpoints: list[Endpoint], criteria: SelectionCriteria) -> list[Endpoint]:
    return [e for e in endpoints if _is_eligible(e.backend, criteria) and not e.health.is_misdirected]


def _sample(endpoints: list[Endpoint], rng: Random) -> list[Endpoint]:
    return rng.sample(endpoints, SAMPLE_SIZE) if len(endpoints) > SAMPLE_SIZE else endpoints
