"""The bound of cold backends: over all gateways, in every second, also with views that differ by one."""

from __future__ import annotations

from random import Random

import pytest

from hallhitch.planes.data.rendezvous import RendezvousWeights
from hallhitch.planes.data.slow_start import SlowStart, SlowStartBounds
from hallhitch.planes.values import Backend, Gateway, Service
from tests.system.data.choice_rig import START, ZONES, backend, gateway

RATE, OVER, SLACK = 10.0, 1.5, 5.0
SERVICE = Service("s", "/", 100, 3000.0, RATE)


def most_in_a_second(times: list[float]) -> int:
    """The most of these moments in any second."""
    times = sorted(times)
    return max((sum(1 for t in times[i:] if t < at + 1000.0) for i, at in enumerate(times)), default=0)


def gate(own: Gateway, view: list[Gateway], entries: list[Backend]) -> SlowStart:
    """What one gateway knows of cold backends, settled."""
    cold = SlowStart(own.name, own.region, SlowStartBounds(OVER, SLACK, 800.0), RendezvousWeights())
    cold.set_gateways(0.0, view)
    cold.set_backends(0.0, entries, {"s": SERVICE})
    return cold


@pytest.mark.parametrize("seed", range(150))
def test_all_gateways_with_views_that_lack_one_stay_within_the_bound(seed: int) -> None:
    rng = Random(seed)
    fleet = [gateway(f"g{n}", rng.choice(list(ZONES))) for n in range(rng.randint(2, 12))]
    entries = [backend(f"i{n}", rng.choice(list(ZONES)), cold=START + 9000.0) for n in range(3)]
    gates = []
    for own in fleet:
        unseen = rng.choice(fleet)
        gates.append(gate(own, [g for g in fleet if g is own or g is not unseen], entries))
    sent: dict[str, list[float]] = {e.instance: [] for e in entries}
    for _ in range(1500):  # everybody presses as hard as it may
        now = START + rng.random() * 3000.0 if rng.random() < 0.1 else START + len(sent["i0"]) * 9.0
        entry, mind = rng.choice(entries), rng.choice(gates)
        now = max([now, *(t[-1] for t in sent.values() if t)])
        if mind.admits(now, entry, SERVICE):
            mind.record_send(now, entry)
            sent[entry.instance].append(now)
    assert max(most_in_a_second(times) for times in sent.values()) <= RATE * OVER + SLACK
    assert sum(len(times) for times in sent.values()) > 0


def test_a_new_life_is_presumed_cold_and_a_first_list_is_trusted() -> None:
    own, first, second = gateway("g0", "a1"), backend("old"), backend("new")
    cold = gate(own, [own], [first])
    cold.set_backends(5000.0, [first, second], {"s": SERVICE})
    assert cold.warming_until_ms(first) <= 5000.0
    assert cold.warming_until_ms(second) == 6500.0
    cold.set_backends(5500.0, [first, backend("new", cold=8200.0)], {"s": SERVICE})
    assert cold.warming_until_ms(second) == 8200.0


def test_a_zone_taken_back_is_presumed_cold_past_the_lists_lag() -> None:
    own, entry = gateway("g0", "a1"), backend("i", "a2")
    cold = gate(own, [own], [entry])
    cold.set_evacuated_zones(5000.0, frozenset({"a2"}), [entry], {"s": SERVICE})
    cold.set_evacuated_zones(9000.0, frozenset(), [entry], {"s": SERVICE})
    assert cold.warming_until_ms(entry) == 9000.0 + 3000.0 + 2 * 800.0


def test_a_gateway_just_started_or_with_a_newcomer_waits_before_it_counts_itself_in() -> None:
    own, entry = gateway("g0", "a1"), backend("i", cold=60_000.0)
    cold = gate(own, [own], [entry])
    assert not cold.admits(100.0, entry, SERVICE)
    assert cold.admits(2000.0, entry, SERVICE)
    cold.set_gateways(2000.0, [own, gateway("g1", "a1")])
    assert not cold.admits(2100.0, entry, SERVICE)
    # One that is no longer told keeps its place: it may be there unseen.
    for n in range(2, 30):
        cold.set_gateways(2000.0, [own, *(gateway(f"g{m}", "a1") for m in range(1, n))])
    owner = cold.admits(4000.0, entry, SERVICE)
    cold.set_gateways(4000.0, [own])
    assert cold.admits(4001.0, entry, SERVICE) == owner
