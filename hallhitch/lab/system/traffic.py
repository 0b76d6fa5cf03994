"""What clients want, when: drawn before a run, so that one seed is one day; and sent at its times.

The schedule is plain values; `Traffic` sends it open loop and counts what came of it, by second and by region.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hallhitch.lab.streams import Streams
from hallhitch.lab.system.clients import Outcome, Want
from hallhitch.lab.system.shape import Shape
from hallhitch.lab.system.world import World
from hallhitch.node.clock import now

Tick = Callable[[int, list[Outcome]], None]
Fault = tuple[float, str, Callable[[], Awaitable[None]]]  # s after the begin, in words, what is done


@dataclass(frozen=True, slots=True)
class Intent:
    """One request that a client will want, `at` ms after the begin."""

    at: float
    client: int
    want: Want


def schedule(shape: Shape, seconds: float, clients: int, load: float = 1.0) -> list[Intent]:
    """All requests of a run, by time: each kind at its rate times `load`."""
    streams, made = Streams(shape.seed), list[Intent]()
    who = streams.of("who")
    for path in shape.paths:
        times, at = streams.of(f"times {path.name}"), 0.0
        while (at := at + times.exponential(1000 / (path.rate * load))) < seconds * 1000:
            roll, tenant = who.random(), shape.tenants[-1]
            for each in shape.tenants:
                roll -= each.share
                if roll < 0:
                    tenant = each
                    break
            keys = shape.keys(tenant)
            made.append(Intent(at, who.index(clients), path.want(len(made), keys[who.index(len(keys))])))
    return sorted(made, key=lambda intent: intent.at)


@dataclass(slots=True)
class Traffic:
    """One run of a schedule."""

    world: World
    intents: list[Intent]
    outcomes: list[Outcome] = field(default_factory=list)
    late: list[float] = field(default_factory=list)  # ms by which requests left after their time

    async def run(self, faults: list[Fault], tick: Tick = lambda second, outcomes: None) -> None:
        """Send all, have the faults happen, and wait for what is out. `tick` hears each second what ended in it."""
        begin = now() + 100.0
        tasks = [asyncio.create_task(self._fault(begin + at * 1000, what)) for at, _, what in faults]
        second, told = 0, 0
        for intent in self.intents:
            due = begin + intent.at
            while (wait := due - now()) > 0:
                await asyncio.sleep(wait / 1000)
            while intent.at >= (second + 1) * 1000:
                tick(second, self.outcomes[told:])
                second, told = second + 1, len(self.outcomes)
            self.late.append(now() - due)
            tasks.append(asyncio.create_task(self._one(intent)))
        await asyncio.gather(*tasks)
        tick(second, self.outcomes[told:])

    async def _one(self, intent: Intent) -> None:
        self.outcomes.append(await self.world.clients[intent.client].ask(intent.want))

    async def _fault(self, at: float, what: Callable[[], Awaitable[None]]) -> None:
        await asyncio.sleep(max(0.0, at - now()) / 1000)
        await what()
