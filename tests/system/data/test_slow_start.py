"""The rate bound of warming backends: over all gateways, in every second, and with views that differ by one."""

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
    """The most of these times in any second."""
    times = sorted(times)
    return max((sum(1 for t in times[i:] if t < start + 1000.0) for i, start in enumerate(times)), default=0)


def settled_slow_start(own: Gateway, view: list[Gateway], entries: list[Backend]) -> SlowStart:
    """The slow start of a gateway that sees these gateways and backends since time 0."""
    slow_start = SlowStart(own.name, own.region, SlowStartBounds(OVERSHOOT_RATIO, SLACK, 800.0), RendezvousWeights())
    slow_start.set_gateways(0.0, view)
    slow_start.set_backends(0.0, entries, {"s": SERVICE})
    return slow_start


@pytest.mark.parametrize("seed", range(150))
def test_all_gateways_stay_within_the_bound_when_each_misses_one(seed: int) -> None:
    rng = Random(seed)
    fleet = [gateway(f"g{n}", rng.choice(list(REGION_BY_ZONE))) for n in range(rng.randint(2, 12))]
    entries = [backend(f"i{n}", rng.choice(list(REGION_BY_ZONE)), warming_until_ms=START_MS + 9000.0) for n in range(3)]
    slow_starts = []
    for own in fleet:
        unseen = rng.choice(fleet)
        slow_starts.append(settled_slow_start(own, [g for g in fleet if g is own or g is not unseen], entries))
    sent_at_ms: dict[str, list[float]] = {e.instance: [] for e in entries}
    for _ in range(1500):  # every gateway sends all that it may
        now = START_MS + rng.random() * 3000.0 if rng.random() < 0.1 else START_MS + len(sent_at_ms["i0"]) * 9.0
        entry, slow_start = rng.choice(entries), rng.choice(slow_starts)
        now = max([now, *(times[-1] for times in sent_at_ms.values() if times)])
        if slow_start.admits(now, entry, SERVICE):
            slow_start.record_send(now, entry)
            sent_at_ms[entry.instance].append(now)
    assert max(max_per_second(times) for times in sent_at_ms.values()) <= RATE_PER_S * OVERSHOOT_RATIO + SLACK
    assert sum(len(times) for times in sent_at_ms.values()) > 0


def test_a_new_instance_is_assumed_to_warm_up_and_the_first_list_is_trusted() -> None:
    own, first, second = gateway("g0", "a1"), backend("old"), backend("new")
    slow_start = settled_slow_start(own, [own], [first])
    slow_start.set_backends(5000.0, [first, second], {"s": SERVICE})
    assert slow_start.warming_until_ms(first) <= 5000.0
    assert slow_start.warming_until_ms(second) == 6500.0
    slow_start.set_backends(5500.0, [first, backend("new", warming_until_ms=8200.0)], {"s": SERVICE})
    assert slow_start.warming_until_ms(second) == 8200.0


def test_a_restored_zone_is_assumed_to_warm_up_beyond_the_lag_of_the_list() -> None:
    own, entry = gateway("g0", "a1"), backend("i", "a2")
    slow_start = settled_slow_start(own, [own], [entry])
    slow_start.set_evacuated_zones(5000.0, frozenset({"a2"}), [entry], {"s": SERVICE})
    slow_start.set_evacuated_zones(9000.0, frozenset(), [entry], {"s": SERVICE})
    assert slow_start.warming_until_ms(entry) == 9000.0 + 3000.0 + 2 * 800.0


def test_nothing_is_admitted_until_the_view_of_the_gateways_has_settled() -> None:
    own, entry = gateway("g0", "a1"), backend("i", warming_until_ms=60_000.0)
    slow_start = settled_slow_start(own, [own], [entry])
    assert not slow_start.admits(100.0, entry, SERVICE)
    assert slow_start.admits(2000.0, entry, SERVICE)
    slow_start.set_gateways(2000.0, [own, gateway("g1", "a1")])
    assert not slow_start.admits(2100.0, entry, SERVICE)
    # A gateway that left the list keeps its rank: it may be there unseen.
    for count in range(2, 30):
        slow_start.set_gateways(2000.0, [own, *(gateway(f"g{n}", "a1") for n in range(1, count))])
    is_owner = slow_start.admits(4000.0, entry, SERVICE)
    slow_start.set_gateways(4000.0, [own])
    assert slow_start.admits(4001.0, entry, SERVICE) == is_owner
