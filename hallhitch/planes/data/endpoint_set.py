"""Endpoint selection within one service: the candidates for a request, their capacity and their cost.

The set considers groups of endpoints in a fixed order and selects the cheapest endpoint of a group, as in "power of d
choices". A gateway does not see the requests that its peers send to a backend. It estimates them from its own load, and
they also show in responses that take longer than the mean.

Invariants:
- A selected endpoint has capacity for one more request on top of the estimated requests of other gateways.
- Only panic mode selects an ejected endpoint.
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

# Candidates. Primary endpoints are those of its own region that a gateway considers first; six are enough to find an
# idle one.
MIN_PRIMARY_ENDPOINTS: Final = 6
MIN_GATEWAYS_PER_ENDPOINT: Final = 3  # for which each endpoint is primary, if there are that many gateways
SAMPLE_SIZE: Final = 10  # of the other endpoints: the best of ten is hardly worse than the best of all

# Capacity of an endpoint. A queue ratio is the number of requests that may queue there divided by the number of slots.
QUEUE_RATIO: Final = 0.4  # while no endpoint has a free slot
FULL_QUEUE_RATIO: Final = 0.7  # for idempotent requests when all queues are that full: still better than a rejection
# Factor of the queue ratio for non-idempotent requests, which cannot be retried if the backend resets the connection.
NON_IDEMPOTENT_QUEUE_FACTOR: Final = 0.5
# Share of the slots that each non-preferred gateway may use, since together they could overload the backend.
SHARED_SLOTS_RATIO: Final = 0.5
MAX_WARMING_IN_FLIGHT: Final = 2  # requests in flight at an endpoint in slow start
RECOVERY_RESERVED_RATIO: Final = 0.5  # of the slots, counted as occupied when slow start ends, then falling to zero
LOAD_AVERAGING_MS: Final = 1000.0  # time constant of this gateway's average load, the estimate for that of its peers

# Half-open attempts are limited by a token bucket that the requests to the service refill.
HALF_OPEN_ATTEMPT_RATIO: Final = 0.1  # tokens per request, each for one attempt at an endpoint after its ejection
MAX_HALF_OPEN_TOKENS: Final = 3.0

# Cost of an endpoint, as a multiple of the route's mean latency.
WARMING_LATENCY_FACTOR: Final = 2.0  # factor of the expected latency of a backend in slow start
SUSPECT_COST: Final = 1.0  # after a failure, or while the endpoint is unresponsive
# Utilization (see `SlowStart.utilization`) that costs nothing. A higher one means that this gateway distributes its
# requests unevenly.
FREE_UTILIZATION: Final = 0.3
UTILIZATION_COST: Final = 3.0  # per unit of utilization above the free one
FULL_SLOTS_COST: Final = 0.2  # when all slots are occupied and nothing queues yet: some backends slow down by then
TIE_BREAK_COST: Final = 0.1  # maximum of a random cost, so that gateways choose differently among equal endpoints

# Cost of distance, as a multiple of the route's latency target.
CROSS_ZONE_COST: Final = 0.01
CROSS_ZONE_DOWNLOAD_COST: Final = 0.15
CROSS_REGION_COST: Final = 0.25  # mainly for the traffic between regions, less for the added latency


@dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """The properties of a request that determine which endpoints it may go to and what they cost."""

    now: float
    kind: RequestKind
    is_non_idempotent: bool  # the request must not run twice
    target_ms: float  # latency target of the route
    mean_latency_ms: float  # of the route
    allowed_regions: frozenset[str]  # empty = any
    excluded_instances: frozenset[str]  # instances that the request has already tried
    priority: int  # 0 is the highest


class EndpointSet:
    """All endpoints of one service that take new requests."""

    def __init__(self, service: Service, slow_start: SlowStart) -> None:
        self.service = service
        self.latency = LatencyEstimate()
        self.queued = QueuedRequests()
        self.primary: list[Endpoint] = []  # in this gateway's region, where its rank is low; considered first
        self.secondary: list[Endpoint] = []  # the other endpoints of this gateway's region
        self.remote: list[Endpoint] = []  # in other regions
        self._slow_start = slow_start
        self._half_open_tokens = 0.0  # one per half-open attempt that is due
        self._gateway_count = 1  # gateways that share the endpoints of this gateway's region
        self._region_slots = 1  # total slots of the endpoints in this gateway's region
        self._max_slots = 1  # maximum slots of any endpoint
        self._average_load = 0.0
        self._load_updated_at_ms = 0.0

    def set_endpoints(self, endpoints: list[Endpoint], gateway_count: int) -> None:
        """Replace the endpoints, whose localities and ranks are already set.

        `gateway_count` is the number of gateways in this gateway's region, which share the region's endpoints.
        """
        in_region = [e for e in endpoints if e.locality is not Locality.REMOTE_REGION]
        self.remote = [e for e in endpoints if e.locality is Locality.REMOTE_REGION]
        self._gateway_count = max(gateway_count, 1)
        ranks_needed = -(-MIN_PRIMARY_ENDPOINTS * self._gateway_count // max(len(in_region), 1))
        primary_ranks = max(MIN_GATEWAYS_PER_ENDPOINT, ranks_needed)
        self.primary = [e for e in in_region if e.rank < primary_ranks]
        self.secondary = [e for e in in_region if e.rank >= primary_ranks]
        for endpoint in endpoints:
            endpoint.is_primary = False
        for endpoint in self.primary:
            endpoint.is_primary = True
        self._region_slots = max(1, sum(e.slots for e in in_region))
        self._max_slots = max((e.slots for e in endpoints), default=1)

    # Selection

    def select(self, criteria: SelectionCriteria, rng: Random) -> Endpoint | None:
        """Return the cheapest endpoint with capacity now; None if there is none.

        Endpoints of this gateway's region come before remote ones, and free slots come before queues. Downloads leave
        the region only when none of its endpoints is selectable.
        """
        load = self.estimate_load(criteria.now)
        # If the peers are estimated to occupy all slots, there is no free one among the endpoints that they prefer.
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
        if healthy and not criteria.is_non_idempotent:
            return self._cheapest(healthy, load, criteria, FULL_QUEUE_RATIO, rng)
        return None

    def _select_in_region(
        self, load: float, may_find_idle: bool, criteria: SelectionCriteria, rng: Random
    ) -> Endpoint | None:
        """Select a primary endpoint with a free slot, else a secondary one, else a primary one with room to queue."""
        best = self._cheapest(self.primary, load, criteria, 0.0, rng)
        if best is None and may_find_idle:
            best = self._cheapest(_sample(self.secondary, rng), load, criteria, 0.0, rng)
        if best is None:
            best = self._cheapest(self.primary, load, criteria, QUEUE_RATIO, rng)
        return best

    def select_in_panic(self, criteria: SelectionCriteria, rng: Random) -> Endpoint | None:
        """Return the endpoint that failed longest ago if no eligible endpoint is healthy; None otherwise.

        If all backends fail at once, the cause is more likely this gateway's network than the backends.
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
        """Return an endpoint whose ejection is over and spend a token on it, if a half-open attempt is due."""
        if self._half_open_tokens < 1.0 or criteria.is_non_idempotent or criteria.kind is RequestKind.DOWNLOAD:
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

    def refill_half_open_tokens(self) -> None:
        """Add one request's share to the token bucket for half-open attempts."""
        self._half_open_tokens = min(self._half_open_tokens + HALF_OPEN_ATTEMPT_RATIO, MAX_HALF_OPEN_TOKENS)

    def is_reserved_for_higher_priority(self, endpoint: Endpoint, criteria: SelectionCriteria) -> bool:
        """Return whether a queued request of a higher priority may use this endpoint."""
        return self.queued.has_higher_priority(criteria.priority, endpoint.backend.region)

    # Load and capacity

    def estimate_load(self, now: float) -> float:
        """Update and return the estimated share of occupied slots, as if all gateways were as loaded as this one."""
        in_flight = sum(e.in_flight for e in self.primary) + sum(e.in_flight for e in self.secondary)
        current_load = min(1.0, in_flight * self._gateway_count / self._region_slots)
        elapsed_ms = max(0.0, now - self._load_updated_at_ms)
        self._average_load += (current_load - self._average_load) * (1.0 - exp(-elapsed_ms / LOAD_AVERAGING_MS))
        self._load_updated_at_ms = now
        return self._average_load

    def estimated_peer_requests(self, endpoint: Endpoint, load: float) -> float:
        """Return the estimated number of requests that other gateways have in flight at the endpoint."""
        return 0.0 if endpoint.is_preferred else load * endpoint.slots

    def has_capacity(self, endpoint: Endpoint, load: float, criteria: SelectionCriteria, queue_ratio: float) -> bool:
        """Return whether one more request may go there if up to `queue_ratio` times its slots may queue."""
        now, slots = criteria.now, endpoint.slots
        if endpoint.timed_out_attempts and endpoint.timed_out_attempts[0].deadline_ms <= now:
            endpoint.release_expired(now)
        if self._slow_start.warming_until_ms(endpoint.backend) > now:
            return endpoint.in_flight < MAX_WARMING_IN_FLIGHT and self._slow_start.admits(
                now, endpoint.backend, self.service
            )
        if endpoint.is_preferred:
            own_queue_ratio = queue_ratio * (NON_IDEMPOTENT_QUEUE_FACTOR if criteria.is_non_idempotent else 1.0)
            capacity = slots * (1.0 + own_queue_ratio)
        else:
            # Each of the other gateways may send as many, and together they must not overload the endpoint.
            is_split_evenly = criteria.is_non_idempotent or endpoint.locality is Locality.REMOTE_REGION
            capacity = max(1.0, slots / self._gateway_count if is_split_evenly else slots * SHARED_SLOTS_RATIO)
        in_flight = endpoint.in_flight + 1
        if in_flight > capacity:
            return False
        return in_flight + self.estimated_peer_requests(endpoint, load) <= slots * (1.0 + queue_ratio)

    # Cost

    def estimate_cost_ms(self, endpoint: Endpoint, load: float, criteria: SelectionCriteria, rng: Random) -> float:
        """Return the expected latency of one more request there, plus penalties for distance and risk in ms."""
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
        if utilization > FREE_UTILIZATION:
            cost_ms += mean_ms * (utilization - FREE_UTILIZATION) * UTILIZATION_COST
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

    # Health

    def _is_selectable(self, endpoint: Endpoint, criteria: SelectionCriteria) -> bool:
        """Return whether the request may go to the endpoint, judged by its eligibility and health but not its load."""
        now, health = criteria.now, endpoint.health
        if not _is_eligible(endpoint.backend, criteria) or now < health.overloaded_until_ms:
            return False
        state = health.state(now)
        if criteria.is_non_idempotent:
            return state is HealthState.HEALTHY and not self._is_unresponsive(endpoint, now)
        if state is HealthState.HEALTHY:
            return True
        # `take_half_open_endpoint` selects half-open primary endpoints.
        admits_one = state is HealthState.SUSPECT or (state is HealthState.HALF_OPEN and not endpoint.is_primary)
        return admits_one and endpoint.in_flight == 0

    def _is_unresponsive(self, endpoint: Endpoint, now: float) -> bool:
        is_remote = endpoint.locality is Locality.REMOTE_REGION
        return self.latency.is_unresponsive(now, endpoint.unanswered_sends, endpoint.zone_unanswered_sends, is_remote)

    def _slow_start_admits(self, endpoint: Endpoint, now: float) -> bool:
        backend = endpoint.backend
        return self._slow_start.warming_until_ms(backend) <= now or self._slow_start.admits(now, backend, self.service)


def _is_eligible(backend: Backend, criteria: SelectionCriteria) -> bool:
    """Return whether the request has not tried this backend yet, may run there and may be served in its region."""
    if backend.instance in criteria.excluded_instances:
        return False
    if backend.is_idempotent_only and criteria.is_non_idempotent:
        return False
    return not criteria.allowed_regions or backend.region in criteria.allowed_regions


def _not_misdirected(endpoints: list[Endpoint], criteria: SelectionCriteria) -> list[Endpoint]:
    return [e for e in endpoints if _is_eligible(e.backend, criteria) and not e.health.is_misdirected]


def _sample(endpoints: list[Endpoint], rng: Random) -> list[Endpoint]:
    return rng.sample(endpoints, SAMPLE_SIZE) if len(endpoints) > SAMPLE_SIZE else endpoints
