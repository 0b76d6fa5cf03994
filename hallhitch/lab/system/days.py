"""Days with faults: what befalls a world, when, by name. Each is a function from a world and a length to its faults.

Moments are seconds from the begin of traffic. Every day undoes what it does, so that the end of it is calm.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from hallhitch.lab.system.control_days import control_cut, exchange, hundreds
from hallhitch.lab.system.rig import Machine
from hallhitch.lab.system.shape import Path, configuration, moved
from hallhitch.lab.system.traffic import Fault
from hallhitch.lab.system.world import World

BACK = 1.0  # s after which a killed process is started again
Day = Callable[[World, float], list[Fault]]


def _killed(world: World, machine: Machine, wipe: bool = False) -> Callable[[], Awaitable[None]]:
    async def happens() -> None:
        await world.rig.kill(machine, wipe)
        await asyncio.sleep(BACK)
        await world.rig.back(machine, "killed")

    return happens


def _kill(world: World, at: float, machine: Machine, wipe: bool = False) -> Fault:
    words = f"{machine.name} is killed{' and loses its disk' if wipe else ''}, and back after {BACK:g} s"
    return at, words, _killed(world, machine, wipe)


def _cut(world: World, at: float, whom: Sequence[Machine], to: Sequence[Machine | str], lasts: float) -> Fault:
    names = " and ".join(m.name for m in whom)
    others = " and ".join(m if isinstance(m, str) else m.name for m in to) or "everybody"
    return at, f"{names} cut off from {others} for {lasts:g} s", lambda: world.cut(whom, to, lasts)


def kills(world: World, seconds: float) -> list[Fault]:
    """A coordinator and a gateway are killed."""
    cores, edges = world.rig.of("coordinator"), world.rig.of("gateway")
    return [_kill(world, seconds * 0.3, cores[0]), _kill(world, seconds * 0.6, edges[-1])]


def herd(world: World, seconds: float) -> list[Fault]:
    """All coordinators at once, then half of the gateways at once."""
    cores, edges = world.rig.of("coordinator"), world.rig.of("gateway")
    return [*(_kill(world, seconds * 0.2, m) for m in cores), *(_kill(world, seconds * 0.6, m) for m in edges[::2])]


def wipes(world: World, seconds: float) -> list[Fault]:
    """Right after a configuration was acknowledged a coordinator loses its disk; later another one does."""
    cores = world.rig.of("coordinator")

    async def change() -> None:
        await world.operator.replace(moved(configuration(world.shape, 1), "ask", "shelf", 4))
        await _killed(world, cores[0], True)()

    return [
        (seconds * 0.2, f"version 4; {cores[0].name} is killed and loses its disk", change),
        _kill(world, seconds * 0.65, cores[-1], True),
    ]


def links(world: World, seconds: float) -> list[Fault]:
    """Single machines are cut off, then the core is cut in two. Needs links between the processes."""
    cores, edges = world.rig.of("coordinator"), world.rig.of("gateway")
    lasts = seconds * 0.15
    return [
        _cut(world, seconds * 0.1, edges[:1], [], lasts),
        _cut(world, seconds * 0.35, cores[:1], [*cores[1:], *edges], lasts),
        _cut(world, seconds * 0.65, cores[:1], cores[1:], lasts),
    ]


def frozen(world: World, seconds: float) -> list[Fault]:
    """A gateway and a coordinator stand still for a while; another gateway leaves in order and comes back."""
    cores, edges = world.rig.of("coordinator"), world.rig.of("gateway")

    def freeze(machine: Machine, lasts: float) -> Callable[[], Awaitable[None]]:
        async def happens() -> None:
            world.rig.freeze(machine)
            await asyncio.sleep(lasts)
            world.rig.thaw(machine)

        return happens

    async def leaves() -> None:
        await world.rig.term(edges[-1])
        await world.rig.back(edges[-1], "left")

    return [
        (seconds * 0.2, f"{edges[0].name} stands still for 3 s", freeze(edges[0], 3.0)),
        (seconds * 0.45, f"{cores[0].name} stands still for 3 s", freeze(cores[0], 3.0)),
        (seconds * 0.6, f"{edges[-1].name} is told to leave, and comes back", leaves),
    ]


def backends(world: World, seconds: float) -> list[Fault]:
    """Backends drain, crash, come back cold; answers are lost, broken off, doubled; the list goes away."""
    fleet, drain = world.fleet, world.shape.figures.drain

    def of(service: str, number: int) -> str:
        return [b.instance for b in fleet.backends.values() if b.kind.service == service][number]

    services = [kind.service for kind, _ in world.shape.backends]
    first, second = services[0], services[-1]

    async def drains() -> None:
        fleet.drain(fleet.backends[of(first, 0)], drain + 1000)
        await world.backend(first, 1, 1, cold=True)

    async def crashes() -> None:
        fleet.crash(fleet.backends[of(first, 1)])
        await world.backend(first, 2 if world.shape.regions > 1 else 1, 1, cold=True)

    async def cold() -> None:
        for number in (2, 3):
            fleet.chill(fleet.backends[of(first, number)], 3000)

    async def trouble() -> None:
        fleet.shares |= {"lost": 0.01, "broken": 0.01, "doubled": 0.02, "late": 0.02, "garbled": 0.01}
        await asyncio.sleep(seconds * 0.2)
        fleet.shares.clear()

    async def list_away() -> None:
        world.platform_state("down")
        fleet.crash(fleet.backends[of(second, 0)])
        await asyncio.sleep(seconds * 0.15)
        world.platform_state("up")

    return [
        (seconds * 0.1, "a backend drains, a new one starts cold", drains),
        (seconds * 0.3, "a backend crashes, a new one starts cold", crashes),
        (seconds * 0.4, "two backends turn cold", cold),
        (seconds * 0.5, "answers are lost, broken off, doubled, late, garbled", trouble),
        (seconds * 0.75, "the list is down, a backend crashes", list_away),
    ]


def changes(world: World, seconds: float) -> list[Fault]:
    """Configurations with more routes and moved ones, two operators at once, invalid ones, an evacuation."""
    shape, operator = world.shape, world.operator
    more = [Path(f"fresh{n}", "idempotent", ((shape.backends[0][0].service, 1),), 1.0, 500, 2000) for n in range(20)]

    async def grows() -> None:
        await operator.replace(configuration(shape, 3, more))
        await asyncio.sleep(shape.figures.config / 1000)
        await asyncio.gather(
            *(
                world.clients[0].probe(address, more[0].want(1, shape.keys(shape.tenants[0])[0]))
                for address in world.place.names
            )
        )

    async def race() -> None:
        one = moved(configuration(shape, 3, more), "ask", "shelf", 5)
        other = moved(configuration(shape, 3, more), "look", "vault", 6)
        await asyncio.gather(operator.replace(one), operator.replace(other))

    async def invalid() -> None:
        wrong = moved(configuration(shape, 3, more), "look", "nowhere", 9)
        await operator.replace(wrong, 3000)

    async def evacuation() -> None:
        zone = shape.zone(1, 1)
        await operator.evacuate(zone)
        await asyncio.sleep(seconds * 0.2)
        await operator.take_back(zone)

    return [
        (seconds * 0.1, "twenty routes more", grows),
        (seconds * 0.35, "two operators at once", race),
        (seconds * 0.5, "an invalid configuration", invalid),
        (seconds * 0.55, f"{shape.zone(1, 1)} is evacuated, and taken back", evacuation),
    ]


def press(world: World, seconds: float) -> list[Fault]:
    """One tenant sends many times its usual for a part of the day."""
    shape = world.shape
    keys, client = shape.keys(shape.tenants[-1]), world.clients[-3:]

    async def presses() -> None:
        wants = [
            shape.paths[number % 2].want(10_000 + number, keys[number % len(keys)])
            for number in range(int(seconds * 0.3 * 200))
        ]
        tasks = []
        for number, want in enumerate(wants):
            tasks.append(asyncio.create_task(client[number % len(client)].ask(want)))
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)

    return [(seconds * 0.3, f"{shape.tenants[-1].name} sends 200 a second more", presses)]


DAYS: dict[str, Day] = {
    each.__name__: each
    for each in (kills, herd, wipes, links, frozen, backends, changes, press, control_cut, exchange, hundreds)
}
