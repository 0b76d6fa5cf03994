"""Membership of a gateway process and its successor during a hot restart."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.membership.fleet_case import FAST_SETTINGS
from tests.ops.hot_restart.replacement_case import ReplacementCase
from tests.stand_ins import Program, free_port, soon


class HotRestartTest(ReplacementCase):
    """Predecessor and successor run at the same time under one name, as intended."""

    def peers(self, program: Program) -> list[str]:
        path = Path(self.shared_folder) / "peers.toml"
        path.write_text(f'listen = "{self.place}"\ncluster = "one"\n{FAST_SETTINGS}')
        return ["--peers", str(path)]

    async def asyncSetUp(self) -> None:
        self.place = f"127.0.0.1:{free_port()}"
        await super().asyncSetUp()
        await self.program.stop()
        await self.program.start(*self.peers(self.program))
        await self.program.logged('"serving"')

    async def members(self, program: Program) -> dict[str, Any]:
        return dict(json.loads((await program.call("/api/members"))[1]))

    async def wait(self, program: Program, holds: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        async def look() -> dict[str, Any]:
            while not holds(found := await self.members(program)):
                await asyncio.sleep(0.02)
            return found

        return await soon(look())

    async def test_successor_is_not_a_conflict_and_returns_to_the_configured_address(self) -> None:
        new = Program(
            self.shared_folder, self.discovery.address, self.counter.address, self.nodes, self.counter_timeout_ms
        )
        new.config["ops"] = f"127.0.0.1:{free_port()}"
        self.prepare_program(new)
        await new.start(*self.peers(new))
        await new.logged('"serving"')
        both = await self.wait(self.program, lambda found: len(found["members"]) == 2)
        # Both are one gateway, and no other has been seen: the configured count stays in effect.
        self.assertEqual((both["conflicts"], both["places"], both["budgets"]), ({}, 2, 2))
        self.assertEqual(len({member["address"] for member in both["members"]}), 2)
        old, self.program = self.program, new
        self.assertEqual((await old.stop())[0], 0)
        found = await self.wait(
            new, lambda found: any(m["self"] and m["address"] == self.place for m in found["members"])
        )
        self.assertEqual({m["state"] for m in found["members"] if not m["self"]}, {"left"})
