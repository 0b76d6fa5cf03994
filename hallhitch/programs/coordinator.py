"""The coordinator: keeps the cluster configuration, reads the platform's list, tells gateways.

`python -O -m hallhitch.programs.coordinator`
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import Awaitable

from hallhitch.messages.system_pb2 import ClusterState, Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.node.http_server import HttpReply, HttpServer
from hallhitch.node.logs import ComponentLogger, RateLimitedLog
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.operator_api import OperatorApi
from hallhitch.planes.control.plane import ControlPlane
from hallhitch.planes.discovery.directory import Directory
from hallhitch.planes.discovery.endpoint_list import due, turn
from hallhitch.planes.discovery.gateway_registry import GatewayRegistry, united
from hallhitch.planes.discovery.platform import Platform
from hallhitch.planes.distribution.peer_sync import PeerSync
from hallhitch.planes.distribution.state_hub import StateHub, gateway_of
from hallhitch.planes.quota.lease import LEASE, MARGIN
from hallhitch.planes.quota.plane import LeaseKeeper
from hallhitch.planes.values import Gateway
from hallhitch.programs.running import main
from hallhitch.programs.runtime import Runtime

TICK = 100.0  # ms between looks at who fell silent and whether the list is to be read
YOUNG = 600.0  # ms after its start in which a coordinator knows too few gateways to tell of them
ALIVE = 1800.0  # ms within which another coordinator answered to count as live
LIST_SHARE = 0.2  # of the drain bound: how often the list is read; its way to the last gateway takes the rest
LIST_MOST = 1000.0  # ms between readings at most
FLEET = "gateways"  # the note of how many there may be: reserves of quotas are cut by it after a loss of everything
FLEET_ROOM = 1.1  # how many more there may be than are seen, before it is noted anew
NOTE_EVERY = 1000.0  # ms between two tries to note it
LEAVING_SHARE = 0.5  # of the grace period, to hand the seat on; the rest is for calls under way
BODY_MOST = 32 * 1024 * 1024


class CoordinatorProgram:
    """All parts of one coordinator."""

    def __init__(self, node: NodeSettings, runtime: Runtime | None = None) -> None:
        runtime = runtime or Runtime()
        self._node, self._log, self._clock = node, ComponentLogger("coordinator"), runtime.clock
        self._incarnation = runtime.random.getrandbits(62) + 1
        self._began, self._contact = self._clock(), False
        self._links = runtime.connect(node.cluster_name, node.internal_address, self._incarnation, self._handle)
        self._hub = StateHub(self._incarnation, self._clock)
        self._hub.tells_gateways = False
        self._registry = GatewayRegistry()
        self._peer_sync = PeerSync(self._links, self._hub, self._own, self._unite, self._clock, node.bounds)
        self._control = ControlPlane(
            node,
            self._links,
            self._told,
            disk=runtime.disk,
            run=runtime.run,
            clock=self._clock,
            rng=random.Random(runtime.random.getrandbits(64)),
            lease_ms=LEASE + MARGIN,
        )
        self._hub.contact_age = self._contact_age
        self._hub.hands_first_config = self._has_contact
        self._leases = LeaseKeeper(self._clock, runtime.random.getrandbits(48))
        self._orders = OperatorApi(node, self._control, self._clock)
        self._directory = Directory(node.region_by_zone, node.bounds.max_ttl_ms)
        self._platform = Platform(node.cloud_api_address) if node.cloud_api_address is not None else None
        self._rarely = RateLimitedLog(ComponentLogger("list"))
        self._operator = HttpServer("operator", self._orders.handle, BODY_MOST)
        self._resolve = HttpServer("directory", self._resolved)
        self._every = min(LIST_MOST, node.bounds.drain_timeout_ms * LIST_SHARE)
        self._tasks: list[asyncio.Task[None]] = []

    def _own(self) -> Gateway:
        n = self._node
        return Gateway(n.name, n.internal_address, self._incarnation, n.machine_class, n.zone, n.region)

    def _resolved(self, method: str, target: str, body: bytes) -> HttpReply:
        """Where clients go: without contact with the core, only to gateways that this process hears itself."""
        gateways = self._hub.gateways if self._control.has_quorum_contact else self._hub.direct
        return self._directory.call(method, target, gateways.values())

    def _contact_age(self) -> float:
        return self._control.lease.age_ms(self._clock())

    def _has_contact(self) -> bool:
        return self._control.has_quorum_contact

    def _handle(self, envelope: Envelope) -> Envelope | Awaitable[Envelope]:
        if envelope.HasField("state_request"):
            return self._pulled(envelope)
        if envelope.HasField("lease_request"):
            self._leases.set_membership(self._control.lease_membership)
            granted = self._leases.handle(envelope)
            self._hub.set_holders(self._leases.holders(self._clock()))
            return granted
        answer = self._control.handle(envelope)
        return answer if answer is not None else Envelope(error="a coordinator does not answer that")

    def _pulled(self, envelope: Envelope) -> Awaitable[Envelope]:
        other = gateway_of(envelope.state_request.requester)
        if other.frontend:
            self._registry.hear(self._clock(), other)
            self._unite()
        elif other.address:
            self._peer_sync.meet((other.address,))
        return self._hub.answer(envelope.state_request)

    def _unite(self) -> None:
        """Who incarnations, out of what is heard here and by the others."""
        if self._hub.direct.replace(self._registry.entries):
            self._hub.changed()
        clock = self._clock()
        self._hub.set_gateways(
            united(
                self._registry.entries,
                [s.gateways.items for s in self._peer_sync.sources.values() if clock - s.heard < ALIVE],
            )
        )

    def _told(self, value: ClusterState) -> None:
        """The register has a newer word."""
        self._hub.members = tuple(value.members)
        self._hub.set_membership(self._control.lease_membership)
        self._hub.take_config(
            value.serial, value.config_version, value.config, value.evacuations, int(value.annotations.get(FLEET, "0"))
        )
        self._peer_sync.meet(value.members)

    async def start(self) -> None:
        """The register first; then whoever asks."""
        await self._links.serve(self._node.internal_address)
        await self._control.start()
        self._peer_sync.meet(self._node.seed_addresses)
        for name, web in (("controlPlane", self._operator), ("directoryApi", self._resolve)):
            if name in self._node.listen_addresses:
                await web.serve(self._node.listen_addresses[name])
        self._tasks = [asyncio.ensure_future(task) for task in (self._look(), self._read(), self._note())]

    async def _look(self) -> None:
        """Now and then: who fell silent, who is out of touch."""
        while True:
            await asyncio.sleep(TICK / 1000)
            clock = self._clock()
            self._hub.tells_gateways = clock - self._began > YOUNG
            self._registry.forget_silent(clock)
            self._unite()
            alive = self._peer_sync.alive(ALIVE)
            self._control.set_live_coordinators(alive)
            self._hub.core = (self._node.internal_address, *alive)
            self._peer_sync.forget_gone({*self._control.members, *self._node.seed_addresses})
            if self._contact != self._control.has_quorum_contact:
                self._contact = not self._contact
                self._hub.changed()  # pulls that wait may be answered now, or are better told at once
            self._hub.set_holders(self._leases.holders(clock))

    async def _note(self) -> None:
        """Write down how many gateways there may be, where there are more than was noted."""
        while True:
            await asyncio.sleep(NOTE_EVERY / 1000)
            seen = sum(1 for g in self._hub.gateways.values() if g.frontend)
            noted = int(self._control.committed_state.annotations.get(FLEET, "0"))
            mine = turn(self._node.internal_address, self._peer_sync.alive(ALIVE)) == 0
            if seen > noted and mine and self._control.has_quorum_contact:
                with contextlib.suppress(PeerCallError, TimeoutError):
                    await self._control.propose(
                        state_transitions.annotate(FLEET, str(math.ceil(seen * FLEET_ROOM))), NOTE_EVERY
                    )

    async def _read(self) -> None:
        """The platform's list, where it is this coordinator's turn and a majority has confirmed it once."""
        while self._platform is not None:
            await asyncio.sleep(TICK / 2000)
            place = turn(self._node.internal_address, self._peer_sync.alive(ALIVE))
            confirmed = self._control.lease.confirmed_at_ms > float("-inf")
            if confirmed and due(self._clock() - self._hub.read_at, place, self._every):
                try:
                    self._hub.take_list(*await self._platform.read())
                except PeerCallError as error:
                    self._rarely.warning(self._clock(), str(error))
                    await asyncio.sleep(self._every / 4000)

    def settings(self, node: NodeSettings) -> None:
        """Other seeds; the rest holds from the next start on."""
        self._control.apply_settings(node)
        self._orders.apply_settings(node)
        self._peer_sync.meet(node.seed_addresses)

    async def leave(self) -> None:
        """The seat in the register goes to another while calls are answered; then those under way end."""
        await self._control.leave(LEAVING_SHARE * self._node.bounds.grace_period_ms)
        for web in (self._operator, self._resolve):
            await web.close()
        for task in self._tasks:
            task.cancel()
        self._peer_sync.stop()
        await self._control.stop()
        if self._platform is not None:
            self._platform.close()
        self._links.close()


if __name__ == "__main__":
    main(CoordinatorProgram)
