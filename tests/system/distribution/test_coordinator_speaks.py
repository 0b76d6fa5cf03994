"""What the whole coordinator program says without contact with a majority: directory, first configurations, notes."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable
from dataclasses import replace

from hallhitch.lab.simulation.in_memory_storage import InMemoryStorage
from hallhitch.lab.simulation.node_settings import coordinator_settings
from hallhitch.messages.inbound_link import CallHandler
from hallhitch.messages.system_pb2 import Envelope, StateRequest
from hallhitch.node.errors import RequestTimeout
from hallhitch.planes.control import state_transitions
from hallhitch.planes.distribution.state_hub import StateHub, entry_of
from hallhitch.programs.coordinator import CoordinatorProgram
from hallhitch.programs.runtime import Runtime
from tests.system.distribution.ways import Ways, gateway, play

SEEDS = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")


class _Links:
    """A program's links to the others of its kind."""

    def __init__(self, world: Core, address: str, handler: CallHandler) -> None:
        self._world, self._address, self.handler = world, address, handler

    async def serve(self, address: str) -> None:
        """Be reachable."""
        self._world.links[address] = self

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """One call."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._world.ways.way(self._address, address)
                if address not in self._world.links:
                    raise RequestTimeout("connect", address, "nobody there")
                answer = self._world.links[address].handler(Envelope.FromString(envelope.SerializeToString()))
                answer = await answer if isinstance(answer, Awaitable) else answer
                await self._world.ways.way(address, self._address)
                return Envelope.FromString(answer.SerializeToString())
        except TimeoutError:
            raise RequestTimeout("call", address, "silence") from None

    def close(self) -> None:
        """Be gone."""


class Core:
    """Three coordinators, as they run in service but for links, disks and clock."""

    def __init__(self, ways: Ways) -> None:
        self.ways, self.links = ways, dict[str, _Links]()
        self.programs = {address: self._program(address) for address in SEEDS}

    def _program(self, address: str) -> CoordinatorProgram:
        async def run(call: object) -> None:
            await asyncio.sleep(0.002)
            assert callable(call)
            call()

        runtime = Runtime(
            clock=self.ways.clock,
            random=random.Random(address),
            connect=lambda cluster, own, incarnation, handler: _Links(self, own, handler),
            disk=InMemoryStorage(),
            run=run,
        )
        return CoordinatorProgram(replace(coordinator_settings(address, True, SEEDS, 1), listen_addresses={}), runtime)

    async def start(self) -> None:
        """The first start of all."""
        for program in self.programs.values():
            await program.start()

    async def pull(self, address: str, name: str, serial: int) -> tuple[int, float]:
        """A gateway pulls: the serial that it is handed (0 = none) and the age of the contact that it is told."""
        hub = StateHub(5, self.ways.clock)
        pull = StateRequest(requester=entry_of(gateway(name)), max_wait_ms=0.0)
        pull.known_versions["config"].number = serial
        answer = self.links[address].handler(Envelope(state_request=pull))
        news = (await answer if isinstance(answer, Awaitable) else answer).state_update
        assert hub.config.serial == 0
        return news.config.serial, news.quorum_contact_age_ms


def test_a_coordinator_without_contact_says_only_what_it_hears_itself() -> None:
    async def scene(ways: Ways) -> None:
        core = Core(ways)
        await core.start()
        await asyncio.sleep(1)
        one, two, _ = (core.programs[address] for address in SEEDS)
        await two._control.propose(state_transitions.replace_config(1, b"x"), 800)
        for _ in range(12):
            await core.pull(SEEDS[0], "near", 0)
            await core.pull(SEEDS[1], "far", 0)
            await asyncio.sleep(0.3)
        serial, age = await core.pull(SEEDS[0], "new", 0)
        assert serial == one._control.committed_state.serial and 0 <= age <= one._control.lease.length_ms
        assert {"near:80", "far:80"} <= named(one)
        others = SEEDS[1:]
        ways.cut = {(one, SEEDS[0]) for one in others} | {(SEEDS[0], one) for one in others}
        ways.loop.skip.at += 20  # frozen: nothing of it has run since
        assert "near:80" in named(one) and "far:80" not in named(one)
        assert (await core.pull(SEEDS[0], "newer", 0))[0] == 0  # nothing for one that has none
        serial, age = await core.pull(SEEDS[0], "near", 0)
        assert age > one._control.lease.length_ms
        assert (await core.pull(SEEDS[0], "near", 1))[0] >= serial
        await asyncio.sleep(1)
        assert (await core.pull(SEEDS[1], "newer", 0))[0] > 0
        ways.cut = set()
        await asyncio.sleep(1)
        assert (await core.pull(SEEDS[0], "newer", 0))[0] > 0
        for program in core.programs.values():
            await program.leave()

    def named(program: CoordinatorProgram) -> set[str]:
        status, _, body = program._resolved("GET", "/hallhitch/resolve?name=h&region=r&zone=z", b"")
        return set(json.loads(body)["addresses"]) if status == 200 else set()

    play(scene)
