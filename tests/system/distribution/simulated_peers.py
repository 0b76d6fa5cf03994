"""State hubs and the links between them in virtual time; links can be delayed or cut in one direction."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from hallhitch.lab.simulation.virtual_time import VirtualLoop
from hallhitch.messages.system_pb2 import Envelope, StateRequest
from hallhitch.node.errors import RequestTimeout
from hallhitch.node.settings import RuleBounds
from hallhitch.planes.discovery.endpoint_list import ListedBackend
from hallhitch.planes.distribution.gateway_sync import GatewaySync
from hallhitch.planes.distribution.ports import SyncContext
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.values import Gateway

BOUNDS = RuleBounds()


def make_gateway(name: str, region: str = "r", **fields: Any) -> Gateway:
    """Return a gateway that is ready, unless `fields` say otherwise."""
    return Gateway(
        name,
        f"{name}:1",
        incarnation=1,
        machine_class="edge",
        zone=f"{region}-z",
        region=region,
        frontend=f"{name}:80",
        **{"is_ready": True, **fields},
    )


def make_backend(instance: str, *, is_draining: bool = False, warming_until_ms: float = 0.0) -> ListedBackend:
    """Return an entry of the endpoint list."""
    return ListedBackend(instance, "s", "10.0.0.1", 80, "z", 3, is_draining, warming_until_ms)


class SimulatedPeers:
    """The hubs of coordinators and gateways, and the links between them."""

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.hubs: dict[str, StateHub] = {}  # by address
        self.confirmed_at: dict[
            str, float
        ] = {}  # last contact of a coordinator with a majority; absent = permanent contact
        self.cut_links: set[tuple[str, str]] = set()  # (from, to)
        self.delay_ms: Callable[[], float] = lambda: 1.0  # of one message
        self.request_count: Counter[str] = Counter()  # by recipient
        self.snapshot_count: Counter[tuple[str, str]] = Counter()  # of the endpoint list, by (from, to)
        self._never: asyncio.Future[None] = loop.create_future()

    def clock(self) -> float:
        """Return the steady time in ms."""
        return self.loop.time() * 1000

    def add_coordinator(self, address: str, serial: int = 0) -> StateHub:
        """Add a coordinator, which has quorum contact unless `confirmed_at` says otherwise."""
        hub = self.hubs[address] = StateHub(len(self.hubs) + 1, self.clock)
        hub.quorum_contact_age_ms = lambda: self.clock() - self.confirmed_at.get(address, self.clock())
        hub.can_bootstrap_peers = lambda: hub.quorum_contact_age_ms() <= BOUNDS.serving_lease_ms
        hub.update_config(serial, serial, b"", [])
        return hub

    def add_gateway(self, name: str, seeds: list[str]) -> GatewaySync:
        """Add a gateway without starting it."""
        hub = self.hubs[f"{name}:1"] = StateHub(len(self.hubs) + 1, self.clock)
        link = SimulatedLink(self, f"{name}:1")
        return GatewaySync(SyncContext(link, hub, lambda: make_gateway(name), self.clock, BOUNDS), seeds)

    async def transmit(self, sender: str, recipient: str) -> None:
        """Wait for the delay of one message; forever if the link is cut."""
        await asyncio.sleep(self.delay_ms() / 1000)
        if (sender, recipient) in self.cut_links:
            await asyncio.shield(self._never)


class SimulatedLink:
    """Delivers the calls of one process to the others."""

    def __init__(self, peers: SimulatedPeers, address: str) -> None:
        self._peers = peers
        self._address = address

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Pull state from the hub at an address."""
        peers, request = self._peers, StateRequest.FromString(envelope.state_request.SerializeToString())
        peers.request_count[address] += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await peers.transmit(self._address, address)
                if address not in peers.hubs:
                    raise RequestTimeout("connect", address, "no process at this address")
                reply = await peers.hubs[address].respond(request)
                peers.snapshot_count[address, self._address] += reply.state_update.backends.is_snapshot
                await peers.transmit(address, self._address)
        except TimeoutError:
            raise RequestTimeout("call", address, "no reply") from None
        return Envelope.FromString(reply.SerializeToString())


def run_in_virtual_time(scenario: Callable[[SimulatedPeers], Coroutine[Any, Any, None]], seed: int = 1) -> None:
    """Run a scenario in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(scenario(SimulatedPeers(loop, seed)))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
