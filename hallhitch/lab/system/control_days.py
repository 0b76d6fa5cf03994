"""Days for the control side: it is cut off, exchanged machine by machine, and changed hundreds of times.

Beside the rules of every day, what was acknowledged is read back while the trouble lasts, also through a coordinator
that may have no majority and may then stay without an answer. One order or read is under way at a time wherever a read
is judged, so that it is plain what it must hold. Moments are seconds from the begin of traffic.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

from hallhitch.lab.system.records import Config
from hallhitch.lab.system.rig import Machine
from hallhitch.lab.system.shape import configuration, moved
from hallhitch.lab.system.traffic import Fault
from hallhitch.lab.system.world import World
from hallhitch.node.clock import now

PAUSE = 0.5  # s between orders
ALONE = 1200.0  # ms for which one that may have no majority is asked: a call is given up after 1000
OVERLAP = 1.0  # s for which the old machine runs on beside its successor
CHANGES = 300
GONE_FOR = 20  # changes that a coordinator misses


@dataclass(slots=True)
class Sequel:
    """Configurations one after the other, each with a number of its own, that send one route now here, now there."""

    world: World
    _versions: Iterator[int] = field(default_factory=lambda: itertools.count(2))

    def next(self) -> Config:
        """The next one."""
        version = next(self._versions)
        return self.under(version, "shelf" if version % 2 else "vault")

    def under(self, version: int, service: str) -> Config:
        """The one that sends the route to a service."""
        return moved(configuration(self.world.shape, version), "ask", service, version)

    def two_under_one_number(self) -> tuple[Config, Config]:
        """Two contents with the same number."""
        version = next(self._versions)
        return self.under(version, "shelf"), self.under(version, "vault")


async def _orders_meanwhile(world: World, sequel: Sequel, seconds: float) -> None:
    """One order after the other, each read back."""
    ends = now() + seconds * 1000
    while now() < ends:
        await world.operator.replace(sequel.next())
        await world.operator.read_back()
        await asyncio.sleep(PAUSE)


def control_cut(world: World, seconds: float) -> list[Fault]:
    """A coordinator is cut off from the others for a third of the day, then as long from all gateways; orders go on
    on both sides, and two of them under one number as each cut ends. Needs links between the processes."""
    alone, *others = world.rig.of("coordinator")
    gateways, lasts = world.rig.of("gateway"), seconds / 3
    here, there, sequel = world.operator_at([alone]), world.operator_at(others), Sequel(world)

    async def both_sides(ends: float) -> None:
        while now() < ends:
            await there.replace(sequel.next())
            await here.read_if_answered(ALONE)
            await here.replace(sequel.next(), ALONE)
            await there.read_back()
            await asyncio.sleep(PAUSE)

    def cut_from(machines: list[Machine]) -> Callable[[], Awaitable[None]]:
        async def happens() -> None:
            cut = asyncio.ensure_future(world.cut([alone], machines, lasts))
            await both_sides(now() + (lasts - PAUSE) * 1000)
            one, other = sequel.two_under_one_number()
            await asyncio.gather(cut, here.replace(one), there.replace(other))
            await world.operator.read_back()

        return happens

    words = f"for {lasts:g} s, orders on both sides"
    return [
        (seconds * 0.05, f"{alone.name} cut off from the other coordinators {words}", cut_from(others)),
        (seconds * 0.55, f"{alone.name} cut off from all gateways {words}", cut_from(gateways)),
    ]


def exchange(world: World, seconds: float) -> list[Fault]:
    """Every coordinator gives way to a new, empty one at another host, and right after each exchange, as soon as a
    further loss must be borne, another coordinator is killed and stays away as long; orders meanwhile."""
    old_ones, sequel = world.rig.of("coordinator"), Sequel(world)
    catch_up = world.shape.catch_up / 1000

    def exchanged(old: Machine) -> Callable[[], Awaitable[None]]:
        async def happens() -> None:
            new = await world.succeed(old)
            counts_from = asyncio.ensure_future(asyncio.sleep(catch_up))
            await asyncio.sleep(OVERLAP)
            await world.rig.remove(old)
            await counts_from
            other = next(each for each in world.rig.of("coordinator") if each is not new)
            await world.rig.kill(other)
            await asyncio.sleep(catch_up)
            await world.rig.back(other, "killed")

        return happens

    step = seconds * 0.9 / len(old_ones)
    faults: list[Fault] = [(seconds * 0.05, "orders go on", lambda: _orders_meanwhile(world, sequel, seconds * 0.9))]
    return faults + [
        (
            seconds * 0.05 + step * number,
            f"a new machine comes for {old.name}, which leaves; another one is killed for {catch_up:g} s",
            exchanged(old),
        )
        for number, old in enumerate(old_ones)
    ]


def hundreds(world: World, seconds: float) -> list[Fault]:
    """Hundreds of changes, one coordinator restarted and another wiped meanwhile, each away for some of them; then the
    one that was there all the time is killed, and the two answer for it."""
    restarted, wiped, steady = world.rig.of("coordinator")[:3]
    sequel, rig = Sequel(world), world.rig

    async def restart() -> None:
        await rig.term(restarted)

    befalls: dict[int, Callable[[], Awaitable[None]]] = {
        CHANGES // 3: restart,
        CHANGES // 3 + GONE_FOR: lambda: rig.back(restarted, "restarted"),
        CHANGES * 2 // 3: lambda: rig.kill(wiped, wipe=True),
        CHANGES * 2 // 3 + GONE_FOR: lambda: rig.back(wiped, "wiped"),
    }

    async def changed() -> None:
        for number in range(CHANGES):
            if number in befalls:
                await befalls[number]()
            await world.operator.replace(sequel.next())
        await asyncio.sleep(world.shape.catch_up / 1000)
        await rig.kill(steady)
        for machine in (restarted, wiped):
            await world.operator_at([machine]).read_back()
        await rig.back(steady, "killed")

    return [(seconds * 0.05, f"{CHANGES} changes; {restarted.name} is restarted, {wiped.name} loses its disk", changed)]
