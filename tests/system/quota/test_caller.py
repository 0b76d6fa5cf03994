"""One request's way to its unit: asked, refused, silent, given back."""

from __future__ import annotations

import asyncio

from hallhitch.messages.system_pb2 import CountResponse, Envelope
from hallhitch.planes.quota.counter_client import AWAY, FIRST, CounterClient
from hallhitch.planes.quota.holder import Sum
from hallhitch.planes.quota.limits import BUCKETS, Quota
from hallhitch.planes.quota.local_reserve import LocalReserve
from hallhitch.planes.values import Tenant
from tests.system.quota.virtual import VirtualLoop, Wires, run

QUOTA = Quota(5000.0, 0.1, 20.0)
TENANT = Tenant("t", ("k",), None, 10.0, 10.0)
FREE = Tenant("free", ("f",), None, 0.0, 0.0)


class Nothing:
    """A gateway that holds nothing."""

    def count(self, tenant: str, rate: float, burst: float) -> Sum | None:
        return None

    def give_back(self, tenant: str, slot: int) -> None:
        raise AssertionError


def units(rate: float, burst: float, gateways: float) -> int:
    """What one reserve passes at once after a rest."""
    _, even, rest = QUOTA.reserve(rate, burst, gateways)
    return int(even) + int(rest)


def client(loop: VirtualLoop, wires: Wires, gateways: int = 9) -> tuple[CounterClient, int]:
    """A caller whose reserve is open, and the units that it has."""
    reserve = LocalReserve(QUOTA, loop.now() - 6000)
    reserve.heard(loop.now(), gateways, True)
    made = CounterClient("me", wires, Nothing(), reserve, loop.now)
    made.set_holders(dict.fromkeys(range(BUCKETS), "holder"))
    return made, units(TENANT.rate_per_s, TENANT.burst, gateways * 1.25 + 1)


def test_what_the_holder_says_holds() -> None:
    async def main(loop: VirtualLoop) -> None:
        wires = Wires()
        counter, own = client(loop, wires)
        wires.handlers["holder"] = lambda _: Envelope(count_response=CountResponse(is_lease_holder=True, slot=7))
        taken = await counter.admit(TENANT, 1000.0)
        assert taken.is_admitted and not wires.calls[0][1].count_request.rate_per_s
        counter.refund(taken)
        await asyncio.sleep(1)
        assert (wires.calls[1][1].count_request.units, wires.calls[1][1].count_request.slot) == (-1, 7)
        wires.handlers["holder"] = lambda _: Envelope(
            count_response=CountResponse(
                is_lease_holder=True, is_over_limit=True, is_over_share=True, retry_after_ms=420
            )
        )
        told = [await counter.admit(TENANT, 1000.0) for _ in range(own + 1)]
        assert [one.is_admitted for one in told] == [True] * own + [False]  # its own reserve on top, no more
        assert told[-1].retry_after_ms == 420 and not told[-1].is_counter_unavailable
        wires.handlers["holder"] = lambda _: Envelope(
            count_response=CountResponse(is_lease_holder=True, is_over_limit=True, retry_after_ms=20)
        )
        await asyncio.sleep(6)
        again = await counter.admit(TENANT, 1000.0)
        assert (
            not again.is_admitted and again.retry_after_ms == 250
        )  # over its limit: no reserve, and no way back at once
        assert (await counter.admit(FREE, 1000.0)).is_admitted

    run(main)


def test_a_holder_that_does_not_know_the_tenant_is_told_its_limits() -> None:
    async def main(loop: VirtualLoop) -> None:
        wires = Wires()
        counter, _ = client(loop, wires)
        wires.handlers["holder"] = lambda asked: Envelope(
            count_response=CountResponse(
                is_lease_holder=True, is_tenant_unknown=not asked.count_request.rate_per_s, slot=1
            )
        )
        assert (await counter.admit(TENANT, 1000.0)).is_admitted
        assert [asked.count_request.rate_per_s for _, asked in wires.calls] == [0.0, 10.0]

    run(main)


def test_silence_costs_one_wait_and_then_only_the_reserve() -> None:
    async def main(loop: VirtualLoop) -> None:
        wires = Wires()
        counter, own = client(loop, wires)
        wires.silent.add("holder")
        began = loop.now()
        told = [await counter.admit(TENANT, 1000.0) for _ in range(own + 3)]
        assert [one.is_admitted for one in told] == [True] * own + [False] * 3
        assert (
            told[-1].is_counter_unavailable
            and told[-1].retry_after_ms > 0
            and len(wires.calls) == 1
            and loop.now() - began <= FIRST
        )
        counter.refund(told[0])
        assert (await counter.admit(TENANT, 1000.0)).is_admitted
        await asyncio.sleep(AWAY / 1000 + 0.01)
        wires.silent.clear()
        wires.handlers["holder"] = lambda _: Envelope(count_response=CountResponse(is_lease_holder=True))
        both = await asyncio.gather(counter.admit(TENANT, 1000.0), counter.admit(TENANT, 1000.0))
        assert sorted(one.is_admitted for one in both) == [False, True] and len(wires.calls) == 2  # one call tries
        assert (await counter.admit(TENANT, 1000.0)).is_admitted and len(wires.calls) == 3

    run(main)


def test_who_holds_nothing_is_not_asked_again_at_once() -> None:
    async def main(loop: VirtualLoop) -> None:
        wires = Wires()
        counter, _ = client(loop, wires)
        wires.handlers["holder"] = lambda _: Envelope(count_response=CountResponse())
        await counter.admit(TENANT, 1000.0)
        await counter.admit(TENANT, 1000.0)
        assert len(wires.calls) == 1
        counter.set_holders(dict.fromkeys(range(BUCKETS), "other"))
        wires.handlers["other"] = lambda _: Envelope(count_response=CountResponse(is_lease_holder=True))
        assert (await counter.admit(TENANT, 1000.0)).is_admitted and len(wires.calls) == 2

    run(main)


def test_reserves_together_stay_in_their_part_and_a_new_life_has_none() -> None:
    for gateways in (1, 3, 9, 100):
        bound = QUOTA.bound(155.0, 155.0)
        length, even, rest = QUOTA.reserve(155.0, 155.0, gateways)
        assert (5000 / length) % 1 == 0  # a window that is no whole part would let one more fit in
        assert QUOTA.held(155.0, 155.0) + gateways * (even * (5000 / length) + rest) <= bound
    reserve = LocalReserve(QUOTA, 0.0)
    reserve.heard(100.0, 9, True)
    assert reserve.take(4000.0, "t", 155.0, 155.0) is None
    reserve.heard(6000.0, 3, False)
    assert reserve.take(6000.0, "t", 155.0, 155.0) is None  # no majority has told how many there are
    reserve.heard(6001.0, 3, True)
    passed = sum(reserve.take(6002.0, "t", 155.0, 155.0) is not None for _ in range(100))
    assert passed == units(155.0, 155.0, 9 * 1.25 + 1)  # nine were heard of within the last minute


def test_a_noted_fleet_opens_the_reserve_after_one_window_of_its_own() -> None:
    length, limit, _ = QUOTA.reserve(155.0, 155.0, 10)
    reserve = LocalReserve(QUOTA, 0.0)
    reserve.note(10)
    reserve.heard(100.0, 2, False)
    assert length < 1000.0 and reserve.take(length, "t", 155.0, 155.0) is None  # its last incarnation may have used it
    began = length + 100
    assert sum(reserve.take(began, "t", 155.0, 155.0) is not None for _ in range(100)) == int(limit)
    assert reserve.take(began + length - 60, "t", 155.0, 155.0) is None
    assert reserve.take(began + length + 110, "t", 155.0, 155.0) is not None
    reserve.heard(2300.0, 11, False)  # one more than was noted: as if nothing were, and no majority has told
    assert reserve.take(4000.0, "t", 155.0, 155.0) is None
