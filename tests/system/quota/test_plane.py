"""Quota planes of four gateways and three coordinators that exchange messages in virtual time."""

from __future__ import annotations

import asyncio

from hallhitch.lab.simulation.virtual_time import VirtualLoop
from hallhitch.messages.system_pb2 import CountRequest, Envelope
from hallhitch.node.settings import NodeSettings, RuleBounds
from hallhitch.planes.quota.lease_coordinator import LeaseCoordinator
from hallhitch.planes.quota.limits import BUCKET_COUNT, bucket_of
from hallhitch.planes.quota.plane import QuotaPlane
from hallhitch.planes.values import ClusterConfig, Gateway, LeaseMembership, RequestLimits, Tenant
from tests.system.quota.virtual_network import VirtualNetwork, run

TENANT = Tenant("t", ("k",), None, 50.0, 50.0)
CONFIG = ClusterConfig(1, 1, {}, {}, {"t": TENANT}, {"k": TENANT}, RequestLimits())


def make_node(number: int) -> NodeSettings:
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


class PlaneCluster:
    """Quota planes that receive the gateways and holders from one coordinator every 100 ms."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.network = VirtualNetwork()
        self.coordinators = {f"10.1.0.{number}:7000": LeaseCoordinator(loop.now, number + 1) for number in range(3)}
        self.nodes = [make_node(number) for number in range(4)]
        self.planes = [QuotaPlane(node, self.network, loop.now, number) for number, node in enumerate(self.nodes)]
        membership = LeaseMembership(1, tuple(self.coordinators))
        for address, coordinator in self.coordinators.items():
            coordinator.set_membership(membership)
            self.network.handlers[address] = coordinator.handle
        for node, plane in zip(self.nodes, self.planes, strict=True):
            plane.set_config(CONFIG)
            plane.set_membership(membership)
            self.network.handlers[node.internal_address] = plane.handle

    async def start(self) -> None:
        """Start the planes and wait until the leases are spread over them."""
        self.updates = asyncio.create_task(self._send_updates())
        for plane in self.planes:
            await plane.start()
        await asyncio.sleep(9)

    async def count_admitted(self, requests: int, interval_s: float) -> int:
        """Send requests in turn to all gateways except the first; return how many were admitted."""
        admitted = 0
        for number in range(requests):
            decision = await self.planes[1 + number % 3].counter.admit(TENANT, 500.0)
            admitted += decision.is_admitted
            await asyncio.sleep(interval_s)
        return admitted

    def held_buckets(self) -> list[list[int]]:
        """Return the buckets that each plane holds."""
        return [plane.held_buckets() for plane in self.planes]

    def holder_index(self) -> int:
        """Return the index of the plane that holds TENANT's bucket."""
        return next(index for index, buckets in enumerate(self.held_buckets()) if bucket_of("t") in buckets)

    async def _send_updates(self) -> None:
        while True:
            coordinator = next(iter(self.coordinators.values()))
            for plane in self.planes:
                plane.set_gateways([_gateway_entry(node) for node in self.nodes])
                plane.set_holders(coordinator.holders(self.loop.now()))
            await asyncio.sleep(0.1)


def _gateway_entry(node: NodeSettings) -> Gateway:
    return Gateway(node.name, node.internal_address, 1, "edge", "z", "r", f"{node.ip_address}:80", True)


def test_buckets_are_spread_and_each_tenant_is_counted_in_one_place() -> None:
    async def main(loop: VirtualLoop) -> None:
        cluster = PlaneCluster(loop)
        await cluster.start()
        held = cluster.held_buckets()
        assert sorted(bucket for buckets in held for bucket in buckets) == list(range(BUCKET_COUNT)) and all(held)
        assert await cluster.count_admitted(60, 0.01) == 60
        calls_before = len(cluster.network.calls)
        holder = cluster.nodes[cluster.holder_index()].internal_address
        await cluster.count_admitted(3, 0.0)
        calls = cluster.network.calls[calls_before:]
        assert {address for address, envelope in calls if envelope.HasField("count_request")} <= {holder}
        unknown_tenant = Envelope(count_request=CountRequest(tenant="unheard of"))
        responses = [plane.handle(unknown_tenant).count_response for plane in cluster.planes]
        assert sum(response.is_lease_holder and response.is_tenant_unknown for response in responses) == 1

    run(main)


def test_graceful_shutdown_of_a_holder_rejects_few_requests() -> None:
    async def main(loop: VirtualLoop) -> None:
        cluster = PlaneCluster(loop)
        await cluster.start()
        holder = cluster.holder_index()
        cluster.planes.append(cluster.planes.pop(holder))  # as the last plane, to which requests are still sent
        cluster.nodes.append(cluster.nodes.pop(holder))
        assert await cluster.count_admitted(60, 0.03) == 60
        await cluster.planes[-1].release_all()
        assert cluster.planes[-1].held_buckets() == []
        assert await cluster.count_admitted(90, 0.03) >= 85

    run(main)


def test_without_a_majority_of_coordinators_only_reserves_admit() -> None:
    async def main(loop: VirtualLoop) -> None:
        cluster = PlaneCluster(loop)
        await cluster.start()
        cluster.network.unresponsive.update(list(cluster.coordinators)[:2])
        await asyncio.sleep(2)
        assert not any(cluster.held_buckets())
        assert 0 < await cluster.count_admitted(120, 0.0) < 70
        cluster.network.unresponsive.clear()
        await asyncio.sleep(4)
        assert sum(map(len, cluster.held_buckets())) == BUCKET_COUNT
        assert await cluster.count_admitted(30, 0.05) == 30

    run(main)
