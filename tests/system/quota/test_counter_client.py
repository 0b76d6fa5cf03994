"""Decisions on single requests by the holder and by the local reserve, and refunds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from hallhitch.lab.simulation.virtual_time import VirtualLoop
from hallhitch.messages.system_pb2 import CountResponse, Envelope
from hallhitch.planes.quota.counter_client import HOLDER_BACKOFF_MS, INITIAL_CALL_TIMEOUT_MS, CounterClient
from hallhitch.planes.quota.limits import BUCKET_COUNT, QuotaRule, RateLimit
from hallhitch.planes.quota.local_reserve import LocalReserve
from hallhitch.planes.quota.tenant_counter import CountResult
from hallhitch.planes.values import Tenant
from tests.system.quota.virtual_network import VirtualNetwork, run

QUOTA = QuotaRule(5000.0, 0.1, 20.0)
LIMIT = RateLimit(10.0, 10.0)
TENANT = Tenant("t", ("k",), None, LIMIT.rate_per_s, LIMIT.burst)
UNLIMITED_TENANT = Tenant("free", ("f",), None, 0.0, 0.0)


class HoldsNoBucket:
    """The local counter of a gateway that holds no bucket."""

    def count(self, tenant: str, limit: RateLimit) -> CountResult | None:
        return None

    def refund(self, tenant: str, slot: int) -> None:
        raise AssertionError


@dataclass
class Caller:
    """A counter client whose reserve has `reserve_units` units available."""

    counter: CounterClient
    network: VirtualNetwork
    reserve_units: int

    def holder_replies(self, response: CountResponse) -> None:
        """Make the holder reply to every call with `response`."""
        self.network.handlers["holder"] = lambda _: Envelope(count_response=response)

    async def admit(self, requests: int) -> list[bool]:
        """Send requests one after another; return whether each was admitted."""
        return [(await self.counter.admit(TENANT, 1000.0)).is_admitted for _ in range(requests)]


def make_caller(loop: VirtualLoop, gateways: int = 9) -> Caller:
    network = VirtualNetwork()
    reserve = LocalReserve(QUOTA, loop.now() - 6000)
    reserve.observe_gateways(loop.now(), gateways, is_quorum=True)
    counter = CounterClient("me", network, HoldsNoBucket(), reserve, loop.now)
    counter.set_holders(dict.fromkeys(range(BUCKET_COUNT), "holder"))
    limits = QUOTA.reserve_limits(LIMIT, gateways * 1.25 + 1)
    return Caller(counter, network, int(limits.steady.units) + int(limits.burst_units))


def test_holder_admits_and_gets_the_refund() -> None:
    async def main(loop: VirtualLoop) -> None:
        caller = make_caller(loop)
        caller.holder_replies(CountResponse(is_lease_holder=True, slot=7))
        decision = await caller.counter.admit(TENANT, 1000.0)
        calls = caller.network.calls
        assert decision.is_admitted and not calls[0][1].count_request.rate_per_s
        caller.counter.refund(decision)
        await asyncio.sleep(1)
        assert (calls[1][1].count_request.units, calls[1][1].count_request.slot) == (-1, 7)

    run(main)


def test_reserve_is_used_over_the_holders_share_but_not_over_the_limit() -> None:
    async def main(loop: VirtualLoop) -> None:
        caller = make_caller(loop)
        caller.holder_replies(
            CountResponse(is_lease_holder=True, is_over_limit=True, is_over_share=True, retry_after_ms=420)
        )
        assert await caller.admit(caller.reserve_units) == [True] * caller.reserve_units
        rejected = await caller.counter.admit(TENANT, 1000.0)
        assert not rejected.is_admitted
        assert rejected.retry_after_ms == 420 and not rejected.is_counter_unavailable

        await asyncio.sleep(6)
        caller.holder_replies(CountResponse(is_lease_holder=True, is_over_limit=True, retry_after_ms=20))
        rejected = await caller.counter.admit(TENANT, 1000.0)
        assert not rejected.is_admitted and rejected.retry_after_ms == 250  # MIN_RETRY_AFTER_MS

    run(main)


def test_tenant_without_limit_is_admitted_without_counting() -> None:
    async def main(loop: VirtualLoop) -> None:
        caller = make_caller(loop)
        assert (await caller.counter.admit(UNLIMITED_TENANT, 1000.0)).is_admitted
        assert not caller.network.calls

    run(main)


def test_holder_that_does_not_know_the_tenant_is_sent_its_limit() -> None:
    async def main(loop: VirtualLoop) -> None:
        caller = make_caller(loop)
        caller.network.handlers["holder"] = lambda envelope: Envelope(
            count_response=CountResponse(
                is_lease_holder=True, is_tenant_unknown=not envelope.count_request.rate_per_s, slot=1
            )
        )
        assert (await caller.counter.admit(TENANT, 1000.0)).is_admitted
        assert [envelope.count_request.rate_per_s for _, envelope in caller.network.calls] == [0.0, 10.0]

    run(main)


def test_unresponsive_holder_causes_one_time_out_and_then_only_the_reserve_is_used() -> None:
    async def main(loop: VirtualLoop) -> None:
        caller = make_caller(loop)
        counter, network, units = caller.counter, caller.network, caller.reserve_units
        network.unresponsive.add("holder")
        began = loop.now()
        decisions = [await counter.admit(TENANT, 1000.0) for _ in range(units + 3)]
        assert [decision.is_admitted for decision in decisions] == [True] * units + [False] * 3
        assert decisions[-1].is_counter_unavailable and decisions[-1].retry_after_ms > 0
        assert len(network.calls) == 1 and loop.now() - began <= INITIAL_CALL_TIMEOUT_MS
        counter.refund(decisions[0])
        assert (await counter.admit(TENANT, 1000.0)).is_admitted

        await asyncio.sleep(HOLDER_BACKOFF_MS / 1000 + 0.01)
        network.unresponsive.clear()
        caller.holder_replies(CountResponse(is_lease_holder=True))
        both = await asyncio.gather(counter.admit(TENANT, 1000.0), counter.admit(TENANT, 1000.0))
        # One request makes the trial call to the holder; the other can only use the reserve, which is used up.
        assert sorted(decision.is_admitted for decision in both) == [False, True] and len(network.calls) == 2
        assert (await counter.admit(TENANT, 1000.0)).is_admitted and len(network.calls) == 3

    run(main)


def test_gateway_that_does_not_hold_the_bucket_is_not_called_again_at_once() -> None:
    async def main(loop: VirtualLoop) -> None:
        caller = make_caller(loop)
        counter, network = caller.counter, caller.network
        network.handlers["holder"] = lambda _: Envelope(count_response=CountResponse())
        await counter.admit(TENANT, 1000.0)
        await counter.admit(TENANT, 1000.0)
        assert len(network.calls) == 1
        counter.set_holders(dict.fromkeys(range(BUCKET_COUNT), "other"))
        network.handlers["other"] = lambda _: Envelope(count_response=CountResponse(is_lease_holder=True))
        assert (await counter.admit(TENANT, 1000.0)).is_admitted and len(network.calls) == 2

    run(main)
