"""Three complete coordinator programs with simulated links, disks and clock."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable
from dataclasses import replace

from hallhitch.lab.simulation.in_memory_storage import InMemoryStorage
from hallhitch.lab.simulation.node_settings import coordinator_settings
from hallhitch.messages.inbound_link import CallHandler
from hallhitch.messages.system_pb2 import Envelope, StateRequest, StateUpdate
from hallhitch.node.errors import RequestTimeout
from hallhitch.planes.distribution.state_messages import encode_gateway
from hallhitch.programs.coordinator import CoordinatorProgram
from hallhitch.programs.runtime import Runtime
from tests.system.distribution.simulated_peers import SimulatedPeers, make_gateway

SEEDS = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")
DISK_DELAY_S = 0.002


class ProgramLink:
    """Delivers the calls of one program to the others, and theirs to it."""

    def __init__(self, coordinators: SimulatedCoordinators, address: str, handler: CallHandler) -> None:
        self._coordinators = coordinators
        self._address = address
        self.handler = handler

    async def serve(self, address: str) -> None:
        """Make the program reachable."""
        self._coordinators.links[address] = self

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Call another program."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._coordinators.peers.transmit(self._address, address)
                if address not in self._coordinators.links:
                    raise RequestTimeout("connect", address, "no program at this address")
                reply = self._coordinators.links[address].handler(Envelope.FromString(envelope.SerializeToString()))
                reply = await reply if isinstance(reply, Awaitable) else reply
                await self._coordinators.peers.transmit(address, self._address)
                return Envelope.FromString(reply.SerializeToString())
        except TimeoutError:
            raise RequestTimeout("call", address, "no reply") from None

    def close(self) -> None:
        """Do nothing, as there are no connections."""


class SimulatedCoordinators:
    """The coordinators of one cluster."""

    def __init__(self, peers: SimulatedPeers) -> None:
        self.peers = peers
        self.links: dict[str, ProgramLink] = {}
        self.programs = {address: self._build_program(address) for address in SEEDS}

    def _build_program(self, address: str) -> CoordinatorProgram:
        async def run_delayed(operation: object) -> None:
            await asyncio.sleep(DISK_DELAY_S)
            assert callable(operation)
            operation()

        runtime = Runtime(
            clock=self.peers.clock,
            random=random.Random(address),
            connect=lambda cluster, own, incarnation, handler: ProgramLink(self, own, handler),
            storage=InMemoryStorage(),
            run_blocking=run_delayed,
        )
        return CoordinatorProgram(replace(coordinator_settings(address, True, SEEDS, 1), listen_addresses={}), runtime)

    async def start(self) -> None:
        """Start all programs for the first time."""
        for program in self.programs.values():
            await program.start()

    async def pull(self, address: str, gateway_name: str, serial: int) -> StateUpdate:
        """Return the reply to a gateway that has the configuration with this serial (0 = none)."""
        request = StateRequest(requester=encode_gateway(make_gateway(gateway_name)), max_wait_ms=0.0)
        request.known_versions["config"].number = serial
        reply = self.links[address].handler(Envelope(state_request=request))
        return (await reply if isinstance(reply, Awaitable) else reply).state_update
