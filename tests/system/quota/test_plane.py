"""Planes of four gateways and three coordinators, over messages, in simulated time."""

from __future__ import annotations

import asyncio

from hallhitch.messages.system_pb2 import CountRequest, Envelope
from hallhitch.node.settings import NodeSettings, RuleBounds
from hallhitch.planes.quota.limits import BUCKETS, bucket_of
from hallhitch.planes.quota.plane import LeaseKeeper, QuotaPlane
from hallhitch.planes.values import ClusterConfig, Gateway, LeaseMembership, RequestLimits, Tenant
from tests.system.quota.virtual import VirtualLoop, Wires, run

TENANT = Tenant("t", ("k",), None, 50.0, 50.0)
WORD = ClusterConfig(1, 1, {}, {}, {"t": TENANT}, {"k": TENANT}, RequestLimits())


def node(number: int) -> NodeSettings:
    return NodeSettings(
        name=f"edge-{number}",
        role="gateway",
        machine_class="edge",
        serves=frozenset(),
        ip_address=f"10.0.0.{number}",
        zone="z",
        region="r",
        internal_port_range=(7000, 7000),
        seed_nodes=(),
        is_first_start=True,
        region_by_zone={},
        listen_addresses={},
        bounds=RuleBounds(quota_window_ms=5000.0, quota_overshoot_ratio=0.1, quota_slack=20.0),
        tolerated_machine_losses=1,
        memory_mb=300.0,
        max_open_files=1000,
        data_directory=None,
        cloud_api_address=None,
        cloud_api_rate_per_s=1.0,
        endpoint_list_lag_ms=0.0,
        cluster_name="",
    )


class Planes:
    """The planes, and news told to all of them every 100 ms by one coordinator's table."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.wires = loop, Wires()
        self.keepers = {f"10.1.0.{number}:7000": LeaseKeeper(loop.now, number + 1) for number in range(3)}
        self.nodes = [node(number) for number in range(4)]
        self.planes = [QuotaPlane(one, self.wires, loop.now, number) for number, one in enumerate(self.nodes)]
        members = LeaseMembership(1, tuple(self.keepers))
        for address, keeper in self.keepers.items():
            keeper.set_membership(members)
            self.wires.handlers[address] = keeper.handle
        for one, plane in zip(self.nodes, self.planes, strict=True):
            plane.set_config(WORD)
            plane.set_membership(members)
            self.wires.handlers[one.internal_address] = plane.handle

    async def news(self) -> None:
        while True:
            keeper = next(iter(self.keepers.values()))
            for plane, one in zip(self.planes, self.nodes, strict=True):
                plane.set_gateways(
                    one.name,
                    [
                        Gateway(told.name, told.internal_address, 1, "edge", "z", "r", f"{told.ip_address}:80", True)
                        for told in self.nodes
                    ],
                )
                plane.set_holders(keeper.holders(self.loop.now()))
            await asyncio.sleep(0.1)

    async def begin(self) -> None:
        self.told = asyncio.ensure_future(self.news())
        for plane in self.planes:
            await plane.start()
        await asyncio.sleep(9)

    async def takes(self, number: int, gap: float) -> int:
        passed = 0
        for at in range(number):
            passed += (await self.planes[1 + at % 3].counter.admit(TENANT, 500.0)).is_admitted
            await asyncio.sleep(gap)
        return passed


def test_buckets_are_spread_and_requests_counted_in_one_place() -> None:
    async def main(loop: VirtualLoop) -> None:
        fleet = Planes(loop)
        await fleet.begin()
        held = [plane.held() for plane in fleet.planes]
        assert sorted(bucket for buckets in held for bucket in buckets) == list(range(BUCKETS)) and all(held)
        assert await fleet.takes(60, 0.01) == 60
        before = len(fleet.wires.calls)
        holder = next(
            one.internal_address for one, buckets in zip(fleet.nodes, held, strict=True) if bucket_of("t") in buckets
        )
        await fleet.takes(3, 0.0)
        assert {address for address, asked in fleet.wires.calls[before:] if asked.HasField("count_request")} <= {holder}
        stranger = Envelope(count_request=CountRequest(tenant="unheard of"))
        answers = [plane.handle(stranger).count_response for plane in fleet.planes]
        assert sum(answer.is_lease_holder and answer.is_tenant_unknown for answer in answers) == 1

    run(main)


def test_a_holder_that_leaves_takes_no_room_with_it() -> None:
    async def main(loop: VirtualLoop) -> None:
        fleet = Planes(loop)
        await fleet.begin()
        gone = next(at for at, plane in enumerate(fleet.planes) if bucket_of("t") in plane.held())
        fleet.planes.append(fleet.planes.pop(gone))  # it stays a caller
        fleet.nodes.append(fleet.nodes.pop(gone))
        assert await fleet.takes(60, 0.03) == 60
        await fleet.planes[-1].leave()
        assert fleet.planes[-1].held() == []
        assert await fleet.takes(90, 0.03) >= 85

    run(main)


def test_without_a_majority_only_reserves_are_left() -> None:
    async def main(loop: VirtualLoop) -> None:
        fleet = Planes(loop)
        await fleet.begin()
        fleet.wires.silent.update(list(fleet.keepers)[:2])
        await asyncio.sleep(2)
        assert not any(plane.held() for plane in fleet.planes)
        assert 0 < await fleet.takes(120, 0.0) < 70
        fleet.wires.silent.clear()
        await asyncio.sleep(4)
        assert sum(len(plane.held()) for plane in fleet.planes) == BUCKETS
        assert await fleet.takes(30, 0.05) == 30

    run(main)
