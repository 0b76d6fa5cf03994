"""Hubs at addresses and the ways between them, in virtual time: slow, cut in one direction, counted."""

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
from hallhitch.planes.discovery.endpoint_list import Listed
from hallhitch.planes.distribution.gateway_sync import GatewaySync
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.values import Gateway

BOUNDS = RuleBounds()


def gateway(name: str, **more: Any) -> Gateway:
    """A gateway that is ready."""
    return Gateway(name, f"{name}:1", 1, "edge", "z", "r", f"{name}:80", **{"is_ready": True, **more})


def listed(number: int, draining: bool = False) -> Listed:
    """A backend."""
    return Listed(f"i-{number}", "s", "10.0.0.1", 80, "z", 3, draining, 0.0)


class Ways:
    """Who answers at which address; `delay` is the time (ms) of one way."""

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop, self.rng = loop, random.Random(seed)
        self.hubs: dict[str, StateHub] = {}
        self.contact: dict[str, float] = {}  # when a majority confirmed a coordinator; absent = at all times
        self.cut: set[tuple[str, str]] = set()
        self.delay: Callable[[], float] = lambda: 1.0
        self.pulls: Counter[str] = Counter()
        self.whole: Counter[tuple[str, str]] = Counter()  # whole lists sent, by (from, to)
        self.never: asyncio.Future[None] = loop.create_future()

    def clock(self) -> float:
        """Steady ms."""
        return self.loop.time() * 1000

    def core(self, address: str, serial: int = 0) -> StateHub:
        """One more coordinator, in contact unless `contact` says otherwise."""
        hub = self.hubs[address] = StateHub(len(self.hubs) + 1, self.clock)
        hub.contact_age = lambda: self.clock() - self.contact.get(address, self.clock())
        hub.hands_first_config = lambda: hub.contact_age() <= BOUNDS.serving_lease_ms
        hub.take_config(serial, serial, b"", [])
        return hub

    def edge(self, name: str, seeds: list[str]) -> GatewaySync:
        """One more gateway, not started."""
        hub = self.hubs[f"{name}:1"] = StateHub(len(self.hubs) + 1, self.clock)
        return GatewaySync(_Wire(self, f"{name}:1"), hub, lambda: gateway(name), seeds, self.clock, BOUNDS)

    async def way(self, one: str, other: str) -> None:
        """One message's time; for ever over a cut."""
        await asyncio.sleep(self.delay() / 1000)
        if (one, other) in self.cut:
            await asyncio.shield(self.never)


class _Wire:
    """One process's links."""

    def __init__(self, ways: Ways, own: str) -> None:
        self._ways, self._own = ways, own

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """One call."""
        ways, pull = self._ways, StateRequest.FromString(envelope.state_request.SerializeToString())
        ways.pulls[address] += 1
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await ways.way(self._own, address)
                if address not in ways.hubs:
                    raise RequestTimeout("connect", address, "nobody there")
                answer = await ways.hubs[address].answer(pull)
                ways.whole[address, self._own] += answer.state_update.backends.is_snapshot
                await ways.way(address, self._own)
        except TimeoutError:
            raise RequestTimeout("call", address, "silence") from None
        return Envelope.FromString(answer.SerializeToString())


def play(scene: Callable[[Ways], Coroutine[Any, Any, None]], seed: int = 1) -> None:
    """Run a scene in virtual time."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(scene(Ways(loop, seed)))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
