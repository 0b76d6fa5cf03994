"""Draws the clients and all requests that they will send before a run starts, so that no gateway setting changes them.

Invariant: requests depend only on the seed and on the scenario's size, classes, plans, traffic and faults. A change in
the order of the draws changes the traffic of a seed. Times in ms, rates per second unless a name says otherwise.
"""

from __future__ import annotations

import bisect
import itertools
import math
from dataclasses import dataclass
from typing import Final

import numpy as np

from hallhitch.lab.scenario import Scenario
from hallhitch.lab.streams import Stream, Streams

FULL_USE: Final = (0.85, 0.98)  # ratio of the quota used by clients that use nearly all of it
NO_LEAVE: Final = 2.0  # leave ratio of clients that wait for their answer: any value above 1
MIN_BURST_S: Final = 0.05
BURST_SKEW: Final = 0.5  # skew of the requests of a burst over gateways
FRESH_SKEW: Final = 1.0  # skew of the requests of fresh clients over gateways
FIRST_CUSTOMER_ID: Final = 0x10000
CUSTOMER_ID_STEP: Final = 7919  # a prime, so that the ids differ in all digits
FIRST_FRESH_ID: Final = 0x1_0000_0000
FRESH_GATEWAYS: Final = 2  # through which the request of a fresh client may come


@dataclass(slots=True)
class Customer:
    """One client of the service."""

    name: str
    plan_index: int
    kind: str  # calm, full, heavy, spiky or fresh
    first_gateway: int  # index of the first of its consecutive gateways
    gateway_count: int
    use_ratio: float  # of its quota rate, outside spikes


@dataclass(slots=True)
class PlannedRequest:
    """A request that a client will send, with all of its drawn properties."""

    due_at: float  # since the start of the run
    customer: Customer
    class_index: int
    service_ms: float  # work, as time on one core
    deadline_ms: float
    is_retried: bool  # whether the client itself retries once
    retry_delay_ms: float
    leave_ratio: float  # of the deadline, after which the client disconnects; above 1: never
    gateway: int
    retry_gateway: int
    key: str
    is_within_quota: bool = True  # for an ideal counter that sees the first tries of all gateways


@dataclass(frozen=True, slots=True)
class _Spike:
    """A period in which a client sends a multiple of its usual rate."""

    begins_at: float
    ends_at: float
    multiple: float


@dataclass(slots=True)
class Traffic:
    """All requests of a run in order of time, its clients, and the drawn rate and burst of each plan."""

    planned_requests: list[PlannedRequest]
    rates: dict[str, tuple[float, float]]
    customers: list[Customer]


def draw_traffic(scenario: Scenario, seed: int) -> Traffic:
    """Draw the traffic of a run."""
    streams = Streams(seed)
    customer_stream, arrival_stream = streams.of("customers"), streams.of("arrivals")
    rates = {}
    for name, plan in scenario.plans.items():
        rate = customer_stream.uniform(*plan.rate)
        rates[name] = rate, rate * customer_stream.uniform(*plan.burst_s)
    customers = _draw_customers(scenario, customer_stream, rates)
    requests: list[PlannedRequest] = []
    for customer in customers:
        rate, burst = rates[list(scenario.plans)[customer.plan_index]]
        own_requests = _draw_requests(scenario, arrival_stream, customer, rate)
        _mark_within_quota(own_requests, rate, burst)
        requests += own_requests
    requests += _draw_bursts(scenario, streams, customers)
    requests += _draw_fresh_clients(scenario, streams)
    _crowd_gateways(scenario, streams, requests)
    requests.sort(key=lambda request: (request.due_at, request.key))
    return Traffic(requests, rates, customers)


def _draw_customers(scenario: Scenario, stream: Stream, rates: dict[str, tuple[float, float]]) -> list[Customer]:
    """Draw clients of each plan until their use within quotas reaches the plan's share of the traffic."""
    world, traffic = scenario.world, scenario.traffic
    mean_work_ms = sum(each.share * (each.work[0] + each.work[1]) / 2 for each in scenario.classes.values())
    total_rate = traffic.rate or traffic.load * world.nodes * world.cores * 1000 / mean_work_ms
    customers: list[Customer] = []
    for plan_index, (name, plan) in enumerate(scenario.plans.items()):
        remaining_use = total_rate * plan.share / rates[name][0]
        while remaining_use > 0:
            customer = _draw_customer(scenario, stream, plan_index, len(customers))
            remaining_use -= min(1.0, customer.use_ratio)
            customers.append(customer)
    return customers


def _draw_customer(scenario: Scenario, stream: Stream, plan_index: int, number: int) -> Customer:
    traffic, gateways = scenario.traffic, scenario.world.gateways
    kind = _kind_of(scenario, stream.random())
    # All three are drawn for every client, so that the later draws do not depend on its kind.
    full_use, heavy_use = stream.uniform(*FULL_USE), stream.uniform(*traffic.heavy_x)
    calm_use = stream.uniform(*traffic.calm_use)
    use_ratio = {"full": full_use, "heavy": heavy_use}.get(kind, calm_use)
    gateway_count = max(1, min(gateways, round(gateways * stream.uniform(*traffic.spread))))
    name = f"{FIRST_CUSTOMER_ID + number * CUSTOMER_ID_STEP:016x}"
    return Customer(name, plan_index, kind, stream.index(gateways), gateway_count, use_ratio)


def _kind_of(scenario: Scenario, draw: float) -> str:
    traffic = scenario.traffic
    if draw < traffic.full:
        return "full"
    if draw < traffic.full + traffic.heavy:
        return "heavy"
    if draw < traffic.full + traffic.heavy + traffic.spiky:
        return "spiky"
    return "calm"


def _draw_spikes(scenario: Scenario, stream: Stream, customer: Customer) -> list[_Spike]:
    """Draw the spikes of a client, and add one for each fault `flash`."""
    traffic, end = scenario.traffic, scenario.seconds * 1000
    spikes: list[_Spike] = []
    if customer.kind == "spiky":
        at = stream.uniform(0, traffic.spike_every_s[1] * 1000)
        while at < end:
            duration_ms = stream.uniform(*traffic.spike_s) * 1000
            multiple = stream.uniform(*traffic.spiky_x) / max(customer.use_ratio, 1e-6)
            spikes.append(_Spike(at, at + duration_ms, multiple))
            at += duration_ms + stream.uniform(*traffic.spike_every_s) * 1000
    for fault in scenario.faults:
        if fault.kind == "flash":
            spikes.append(_Spike(fault.at_s * 1000, (fault.at_s + fault.for_s) * 1000, fault.size))
    return spikes


def _draw_times(scenario: Scenario, stream: Stream, customer: Customer, rate: float) -> list[float]:
    """Draw the times of a client's requests: an inhomogeneous Poisson process with its spikes, by thinning."""
    end = scenario.seconds * 1000
    spikes = _draw_spikes(scenario, stream, customer)
    base_intensity = rate * customer.use_ratio / 1000
    peak_intensity = base_intensity * max([1.0, *(spike.multiple for spike in spikes)])
    times, at = [], stream.exponential(1 / peak_intensity)
    while at < end:
        multiple = max([1.0, *(spike.multiple for spike in spikes if spike.begins_at <= at < spike.ends_at)])
        if stream.chance(base_intensity * multiple / peak_intensity):
            times.append(at)
        at += stream.exponential(1 / peak_intensity)
    return times


@dataclass(frozen=True, slots=True)
class _RequestDraw:
    """Draws requests of one client from one stream."""

    scenario: Scenario
    stream: Stream
    customer: Customer

    def request(self, due_at: float, class_index: int, key: str, weights: list[float]) -> PlannedRequest:
        """Draw a request; its gateways are drawn by cumulative weights."""
        traffic, stream = self.scenario.traffic, self.stream
        request_class = list(self.scenario.classes.values())[class_index]
        return PlannedRequest(
            due_at,
            self.customer,
            class_index,
            stream.uniform(*request_class.work),
            request_class.deadline * stream.uniform(*traffic.patience),
            stream.chance(traffic.retry),
            stream.uniform(*traffic.retry_wait),
            stream.random() if stream.chance(traffic.leave) else NO_LEAVE,
            self._gateway(weights),
            self._gateway(weights),
            key,
        )

    def gateway_weights(self, skew: float) -> list[float]:
        """Draw the cumulative weights of the client's gateways; a higher skew makes them less even."""
        count = self.customer.gateway_count
        order = sorted(range(count), key=lambda _: self.stream.random())
        raw = [math.exp(-skew * order[number]) for number in range(count)]
        total = sum(raw)
        return list(itertools.accumulate(value / total for value in raw))

    def _gateway(self, weights: list[float]) -> int:
        number = bisect.bisect_right(weights, self.stream.random(), hi=len(weights) - 1)
        return (self.customer.first_gateway + number) % self.scenario.world.gateways


def _draw_requests(scenario: Scenario, stream: Stream, customer: Customer, rate: float) -> list[PlannedRequest]:
    """Draw the regular requests of a client, whose gateway weights change from time to time."""
    traffic = scenario.traffic
    cumulative_shares = np.cumsum([each.share for each in scenario.classes.values()])
    times = _draw_times(scenario, stream, customer, rate)
    draw = _RequestDraw(scenario, stream, customer)
    weights = draw.gateway_weights(stream.uniform(*traffic.skew))
    shifts_at = stream.uniform(*traffic.shift_s) * 1000
    requests = []
    for number, due_at in enumerate(times):
        while due_at >= shifts_at:
            weights = draw.gateway_weights(stream.uniform(*traffic.skew))
            shifts_at += stream.uniform(*traffic.shift_s) * 1000
        class_index = min(len(cumulative_shares) - 1, int(np.searchsorted(cumulative_shares, stream.random())))
        requests.append(draw.request(due_at, class_index, f"{customer.name[-6:]}-{number}", weights))
    return requests


def _mark_within_quota(requests: list[PlannedRequest], rate: float, burst: float) -> None:
    """Mark the requests within quota: those that a single token bucket over all gateways would admit."""
    tokens, updated_at = burst, 0.0
    for request in requests:
        tokens = min(burst, tokens + (request.due_at - updated_at) / 1000 * rate)
        updated_at = request.due_at
        request.is_within_quota = tokens >= 1
        if request.is_within_quota:
            tokens -= 1


def _draw_bursts(scenario: Scenario, streams: Streams, customers: list[Customer]) -> list[PlannedRequest]:
    """Draw the requests of faults `burst`: `size` of the most valuable class, from clients of the first plan."""
    requests: list[PlannedRequest] = []
    stream = streams.of("bursts")
    values = [each.worth for each in scenario.classes.values()]
    class_index = values.index(max(values))
    senders = [customer for customer in customers if customer.plan_index == 0] or customers
    for fault_number, fault in enumerate(scenario.faults):
        if fault.kind != "burst":
            continue
        for number in range(round(fault.size)):
            draw = _RequestDraw(scenario, stream, senders[number % len(senders)])
            due_at = (fault.at_s + max(MIN_BURST_S, fault.for_s) * stream.random()) * 1000
            weights = draw.gateway_weights(BURST_SKEW)
            requests.append(draw.request(due_at, class_index, f"burst-{fault_number}-{number}", weights))
    return requests


def _crowd_gateways(scenario: Scenario, streams: Streams, requests: list[PlannedRequest]) -> None:
    """Move requests to a few busy gateways until these have the share of the traffic that `traffic.crowded` gives."""
    stream, gateways = streams.of("crowd"), scenario.world.gateways
    busy_share, traffic_share = scenario.traffic.crowded
    if not traffic_share:
        return
    busy_count = max(1, round(busy_share * gateways))
    # The busy gateways get this share of the requests without any move.
    usual_share = busy_count / gateways
    move_probability = max(0.0, (traffic_share - usual_share) / max(1e-9, 1 - usual_share))
    for request in requests:
        if stream.chance(move_probability):
            request.gateway = stream.index(busy_count) * gateways // busy_count


def _draw_fresh_clients(scenario: Scenario, streams: Streams) -> list[PlannedRequest]:
    """Draw clients that no gateway has seen before, each with one request."""
    requests: list[PlannedRequest] = []
    stream = streams.of("fresh")
    rate, gateways = scenario.traffic.fresh_per_s, scenario.world.gateways
    if not rate:
        return requests
    due_at = stream.exponential(1000 / rate)
    while due_at < scenario.seconds * 1000:
        number = len(requests)
        customer = Customer(
            f"{FIRST_FRESH_ID + number:016x}",
            number % len(scenario.plans),
            "fresh",
            stream.index(gateways),
            min(FRESH_GATEWAYS, gateways),
            0.0,
        )
        draw = _RequestDraw(scenario, stream, customer)
        class_index = stream.index(len(scenario.classes))
        weights = draw.gateway_weights(FRESH_SKEW)
        requests.append(draw.request(due_at, class_index, f"fresh-{number}", weights))
        due_at += stream.exponential(1000 / rate)
    return requests
