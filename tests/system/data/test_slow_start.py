"""Tests of slow start: all gateways together keep to the rate bound of warming backends in every second.

The bound must also hold if one gateway is missing in the gateway list of another.
"""

from __future__ import annotations

from random import Random

import pytest

from hallhitch.planes.data.rendezvous import RendezvousWeights
from hallhitch.planes.data.slow_start import SlowStart, SlowStartBounds
from hallhitch.planes.values import Backend, Gateway, Service
from tests.system.data.load_balancer_harness import REGION_BY_ZONE, START_MS, backend, gateway

RATE_PER_S, OVERSHOOT_RATIO, SLACK = 10.0, 1.5, 5.0
SERVICE = Service("s", "/", 100, 3000.0, RATE_PER_S)


def max_per_second(times: list[float]) -> int:
    """Return the maximum number of these times within any second."""
    times = sorted(times)
    return max((sum(1 for t in times[i:] if t < start + 1000.0) for i, start in enumerate(times)), default=0)


def slow_start_at(own: Gateway, known_gateways: list[Gateway], entries: list[Backend]) -> SlowStart:
    """Return the slow start of a gateway that has known these gateways and backends since time 0."""
    slow_start = SlowStart(own.name, own.region, SlowStartBounds(OVERSHOOT_RATIO, SLACK, 800.0), RendezvousWeights())
    slow_start.set_gateways(0.0, known_gateways)
    slow_start.set_backends(0.0, entries, {"s": SERVICE})
    return slow_start


@pytest.mark.parametrize("seed", range(150))
def test_all_gateways_stay_within_the_bound_when_each_does_not_know_another(seed: int) -> None:
    rng = Random(seed)
    fleet = [gateway(f"g{n}", rng.choice(list(REGION_BY_ZONE))) for n in range(rng.randint(2, 12))]
    entries = [backend(f"i{n}", rng.choice(list(REGION_BY_ZONE)), warming_until_ms=START_MS + 9000.0) for n in range(3)]
    slow_starts = []
    for own in fleet:
        unknown = rng.choice(fleet)
        slow_starts.append(slow_start_at(own, [g for g in fleet if g is own or g is not unknown], entries))
    sent_at_ms: dict[str, list[float]] = {e.instance: [] for e in entries}
    for _ in range(1500):  # every gateway sends as many requests as it may
        now = START_MS + rng.random() * 3000.0 if rng.random() < 0.1 else START_MS + len(sent_at_ms["i0"]) * 9.0
        entry, slow_start = rng.choice(entries), rng.choice(slow_starts)
        now = max([now, *(times[-1] for times in sent_at_ms.values() if times)])
        if slow_start.admits(now, entry, SERVICE):
            slow_start.record_send(now, entry)
            sent_at_ms[entry.instance].append(now)
    assert max(max_per_second(times) for times in sent_at_ms.values()) <= RATE_PER_S * OVERSHOOT_RATIO + SLACK
    assert sum(len(times) for times in sent_at_ms.values()) > 0


def test_a_new_instance_is_assumed_to_warm_up_unless_it_is_in_the_first_list() -> None:
    own, first, second = gateway("g0", "a1"), backend("old"), backend("new")
    slow_start = slow_start_at(own, [own], [first])
    slow_start.set_backends(5000.0, [first, second], {"s": SERVICE})
    assert slow_start.warming_until_ms(first) <= 5000.0
    assert slow_start.warming_until_ms(second) == 6500.0
    slow_start.set_backends(5500.0, [first, backend("new", warming_until_ms=8200.0)], {"s": SERVICE})
    assert slow_start.warming_until_ms(second) == 8200.0


def test_backends_of_a_restored_zone_are_assumed_to_warm_up_for_longer_than_the_list_lags() -> None:
    own, entry = gateway("g0", "a1"), backend("i", "a2")
    slow_start = slow_start_at(own, [own], [entry])
    slow_start.set_evacuated_zones(5000.0, frozenset({"a2"}), [entry], {"s": SERVICE})
    slow_start.set_evacuated_zones(9000.0, frozenset(), [entry], {"s": SERVICE})
    assert slow_start.warming_until_ms(entry) == 9000.0 + 3000.0 + 2 * 800.0


def test_nothing_is_admitted_until_the_list_of_gateways_has_settled() -> None:
    own, entry = gateway("g0", "a1"), backend("i", warming_until_ms=60_000.0)
    slow_start = slow_start_at(own, [own], [entry])
    assert not slow_start.admits(100.0, entry, SERVICE)
    assert slow_start.admits(2000.0, entry, SERVICE)
    slow_start.set_gateways(2000.0, [own, gateway("g1", "a1")])
    assert not slow_start.admits(2100.0, entry, SERVICE)
    # A gateway that is no longer listed keeps its rank, since it may still be running.
    for count in range(2, 30):
        slow_start.set_gateways(2000.0, [own, *(gateway(f"g{n}", "a1") for n in range(1, count))])
    is_owner = slow_start.admits(4000.0, entry, SERVICE)
    slow_start.set_gateways(4000.0, [own])
    assert slow_start.admits(4001.0, entry, SERVICE) == is_owner
