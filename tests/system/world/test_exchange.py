"""A coordinator is exchanged for an empty machine, with real processes; every wait is for something to happen."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from hallhitch.cli.demo_system import NAMES
from hallhitch.lab.system.backend import Kind
from hallhitch.lab.system.control_days import Sequel
from hallhitch.lab.system.days import DAYS
from hallhitch.lab.system.linked import CALLERS
from hallhitch.lab.system.paths import Paths
from hallhitch.lab.system.relay import End, Relays
from hallhitch.lab.system.rules import check
from hallhitch.lab.system.shape import Shape
from hallhitch.lab.system.world import World

SHAPE = Shape(
    regions=1,
    edges=1,
    backends=((Kind("shelf", slots=4, work=1), 1), (Kind("vault", slots=4, work=1), 1)),
    between=1.0,
    grace=2000.0,
)
GUARD = 120.0  # s


def test_a_new_machine_takes_the_place_of_one_that_leaves(tmp_path: Path) -> None:
    """The newcomer, started with no word of being the first, answers for what was acknowledged before it came; the old
    one ends in order and is asked for nothing more; what is acknowledged afterwards is read back from each."""

    async def body() -> None:
        async with World(SHAPE, tmp_path, linked=True) as world:
            await world.configured()
            sequel, old = Sequel(world), world.rig.of("coordinator")[0]
            assert (await world.operator.replace(sequel.next(), GUARD * 1000)).acked is not None
            new = await world.succeed(old)
            assert "firstStart = false" in (new.folder / "settings.toml").read_text()

            async def answers() -> bool:
                return (await world.operator_at([new]).read_if_answered(GUARD * 1000)).config is not None

            await world.until(answers, "the new machine answers", GUARD)
            assert await world.rig.remove(old) == 0
            assert old not in world.rig.of("coordinator") and not old.data.exists()
            assert (await world.operator.replace(sequel.next(), GUARD * 1000)).acked is not None
            reads = [
                await world.operator_at([machine]).read_back(GUARD * 1000) for machine in world.rig.of("coordinator")
            ]
            assert [read.config and read.config["configVersion"] for read in reads] == [3, 3, 3]
            assert world.rig.fallen() == []
        # Bounds of time judge nothing here: what a busy machine delays is no breach.
        broken = check(world.records, replace(SHAPE.figures, config=GUARD * 1000, back=GUARD * 1000))
        assert {name: found for name, found in broken.items() if found} == {}

    asyncio.run(body())


def test_relays_tell_no_more_machines_apart_than_there_are_images() -> None:
    relays = Relays(Paths(0, 0, {}), [], 1)
    with pytest.raises(ValueError, match=f"edge-9: {CALLERS} machines at most"):
        asyncio.run(relays.add(End(CALLERS + 1, "edge-9", "127.1.1.1")))


def test_the_demo_offers_every_day() -> None:
    assert set(NAMES) == set(DAYS)
