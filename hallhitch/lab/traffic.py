"""Clients: who they are, and all that they will ask, drawn ahead so that no setting of a gateway changes it."""

from __future__ import annotations

import bisect
import itertools
import math
from dataclasses import dataclass

import numpy as np

from hallhitch.lab.scenario import Scenario
from hallhitch.lab.streams import Stream, Streams


@dataclass(slots=True)
class Customer:
    """One client of the service."""

    name: str
    plan: int
    kind: str  # calm, full, heavy, spiky or fresh
    first: int  # the number of the first gateway of its set
    spread: int
    use: float  # of its rate, when it asks as usual


@dataclass(slots=True)
class Intent:
    """One try that a client will make: all that chance decides about it is decided here."""

    at: float  # ms since the run began
    customer: Customer
    klass: int
    work: float
    patience: float
    retries: bool
    retry_wait: float
    leaves: float  # the share of its patience after which the client leaves; above 1: it stays
    gateway: int
    again: int  # the gateway of its retry
    key: str
    inside: bool = True  # whether one that sees all tries would count it inside the quota


@dataclass(slots=True)
class Traffic:
    """All that will be asked, in order, with the plans' figures of the day."""

    intents: list[Intent]
    rates: dict[str, tuple[float, float]]
    customers: list[Customer]


def draw(scenario: Scenario, seed: int) -> Traffic:
    """Draw a run's traffic."""
    streams, t, w = Streams(seed), scenario.traffic, scenario.world
    who, when = streams.of("customers"), streams.of("arrivals")
    rates = {}
    for name, plan in scenario.plans.items():
        rate = who.between(*plan.rate)
        rates[name] = rate, rate * who.between(*plan.burst_s)
    mean_work = sum(k.share * (k.work[0] + k.work[1]) / 2 for k in scenario.classes.values())
    total = t.rate or t.load * w.nodes * w.cores * 1000 / mean_work
    customers: list[Customer] = []
    for number, (name, plan) in enumerate(scenario.plans.items()):
        wanted = total * plan.share / rates[name][0]
        while wanted > 0:
            customer = _customer(scenario, who, number, len(customers))
            wanted -= min(1.0, customer.use)
            customers.append(customer)
    intents = []
    for customer in customers:
        rate, burst = rates[list(scenario.plans)[customer.plan]]
        mine = _asks(scenario, when, customer, rate)
        _mark_inside(mine, rate, burst)
        intents += mine
    intents += _extra(scenario, streams, customers)
    intents += _fresh(scenario, streams)
    _crowd(scenario, streams, intents)
    intents.sort(key=lambda i: (i.at, i.key))
    return Traffic(intents, rates, customers)


def _customer(scenario: Scenario, who: Stream, plan: int, number: int) -> Customer:
    t, gateways = scenario.traffic, scenario.world.gateways
    roll = who.random()
    kind = (
        "full"
        if roll < t.full
        else "heavy"
        if roll < t.full + t.heavy
        else "spiky"
        if roll < t.full + t.heavy + t.spiky
        else "calm"
    )
    use = {"full": who.between(0.85, 0.98), "heavy": who.between(*t.heavy_x)}.get(kind, who.between(*t.calm_use))
    spread = max(1, min(gateways, round(gateways * who.between(*t.spread))))
    return Customer(f"{0x10000 + number * 7919:016x}", plan, kind, who.index(gateways), spread, use)


def _times(scenario: Scenario, when: Stream, customer: Customer, rate: float) -> list[float]:
    """When a client asks: at random, by an intensity that its kind and the faults change."""
    end, t = scenario.seconds * 1000, scenario.traffic
    spikes: list[tuple[float, float, float]] = []
    if customer.kind == "spiky":
        at = when.between(0, t.spike_every_s[1] * 1000)
        while at < end:
            long = when.between(*t.spike_s) * 1000
            spikes.append((at, at + long, when.between(*t.spiky_x) / max(customer.use, 1e-6)))
            at += long + when.between(*t.spike_every_s) * 1000
    for fault in scenario.faults:
        if fault.kind == "flash":
            spikes.append((fault.at_s * 1000, (fault.at_s + fault.for_s) * 1000, fault.size))
    base = rate * customer.use / 1000
    most = base * max([1.0, *(size for *_, size in spikes)])
    times, at = [], when.exponential(1 / most)
    while at < end:
        size = max([1.0, *(size for begin, stop, size in spikes if begin <= at < stop)])
        if when.chance(base * size / most):
            times.append(at)
        at += when.exponential(1 / most)
    return times


def _intent(
    scenario: Scenario, draw: Stream, customer: Customer, at: float, klass: int, key: str, weights: list[float]
) -> Intent:
    t = scenario.traffic
    kind = list(scenario.classes.values())[klass]

    def gateway() -> int:
        number = bisect.bisect_right(weights, draw.random(), hi=len(weights) - 1)
        return (customer.first + number) % scenario.world.gateways

    return Intent(
        at,
        customer,
        klass,
        draw.between(*kind.work),
        kind.deadline * draw.between(*t.patience),
        draw.chance(t.retry),
        draw.between(*t.retry_wait),
        draw.random() if draw.chance(t.leave) else 2.0,
        gateway(),
        gateway(),
        key,
    )


def _weights(draw: Stream, customer: Customer, skew: float) -> list[float]:
    """How unevenly a client's requests come through its gateways, for a while: shares added up."""
    order = sorted(range(customer.spread), key=lambda _: draw.random())
    raw = [math.exp(-skew * order[n]) for n in range(customer.spread)]
    whole = sum(raw)
    return list(itertools.accumulate(value / whole for value in raw))


def _asks(scenario: Scenario, when: Stream, customer: Customer, rate: float) -> list[Intent]:
    t = scenario.traffic
    shares = np.cumsum([k.share for k in scenario.classes.values()])
    times = _times(scenario, when, customer, rate)
    weights, shifts = _weights(when, customer, when.between(*t.skew)), when.between(*t.shift_s) * 1000
    made = []
    for number, at in enumerate(times):
        while at >= shifts:
            weights = _weights(when, customer, when.between(*t.skew))
            shifts += when.between(*t.shift_s) * 1000
        klass = min(len(shares) - 1, int(np.searchsorted(shares, when.random())))
        made.append(_intent(scenario, when, customer, at, klass, f"{customer.name[-6:]}-{number}", weights))
    return made


def _mark_inside(intents: list[Intent], rate: float, burst: float) -> None:
    """What one gateway that saw all first tries would let in."""
    store, at = burst, 0.0
    for intent in intents:
        store = min(burst, store + (intent.at - at) / 1000 * rate)
        at = intent.at
        intent.inside = store >= 1
        if intent.inside:
            store -= 1


def _extra(scenario: Scenario, streams: Streams, customers: list[Customer]) -> list[Intent]:
    """Bursts: so many requests of the dearest class from the clients of the first plan, within `for_s`."""
    made: list[Intent] = []
    draw = streams.of("bursts")
    worth = [k.worth for k in scenario.classes.values()]
    klass = worth.index(max(worth))
    small = [c for c in customers if c.plan == 0] or customers
    for number, fault in enumerate(scenario.faults):
        if fault.kind != "burst":
            continue
        for turn in range(round(fault.size)):
            customer = small[turn % len(small)]
            at = (fault.at_s + max(0.05, fault.for_s) * draw.random()) * 1000
            made.append(
                _intent(scenario, draw, customer, at, klass, f"burst-{number}-{turn}", _weights(draw, customer, 0.5))
            )
    return made


def _crowd(scenario: Scenario, streams: Streams, intents: list[Intent]) -> None:
    """Give few gateways much of the traffic, if the scenario says so."""
    draw, many = streams.of("crowd"), scenario.world.gateways
    few, part = scenario.traffic.crowded
    if not part:
        return
    busy = max(1, round(few * many))
    # Of what comes by itself the busy ones have their share already.
    chance = max(0.0, (part - busy / many) / max(1e-9, 1 - busy / many))
    for intent in intents:
        if draw.chance(chance):
            intent.gateway = draw.index(busy) * many // busy


def _fresh(scenario: Scenario, streams: Streams) -> list[Intent]:
    """Clients never seen before, each with one request."""
    made: list[Intent] = []
    draw = streams.of("fresh")
    if not scenario.traffic.fresh_per_s:
        return made
    at = draw.exponential(1000 / scenario.traffic.fresh_per_s)
    while at < scenario.seconds * 1000:
        customer = Customer(
            f"{0x1_0000_0000 + len(made):016x}",
            len(made) % len(scenario.plans),
            "fresh",
            draw.index(scenario.world.gateways),
            min(2, scenario.world.gateways),
            0.0,
        )
        klass = draw.index(len(scenario.classes))
        made.append(_intent(scenario, draw, customer, at, klass, f"fresh-{len(made)}", _weights(draw, customer, 1.0)))
        at += draw.exponential(1000 / scenario.traffic.fresh_per_s)
    return made
