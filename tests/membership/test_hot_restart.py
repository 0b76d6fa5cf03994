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

    def peers_arguments(self, program: Program) -> list[str]:
        path = Path(self.shared_folder) / "peers.toml"
        path.write_text(f'listen = "{self.membership_address}"\ncluster = "one"\n{FAST_SETTINGS}')
        return ["--peers", str(path)]

    async def asyncSetUp(self) -> None:
        self.membership_address = f"127.0.0.1:{free_port()}"
        await super().asyncSetUp()
        await self.program.stop()
        await self.program.start(*self.peers_arguments(self.program))
        await self.program.logged('"serving"')

    async def fetch_view(self, program: Program) -> dict[str, Any]:
        return dict(json.loads((await program.call("/api/members"))[1]))

    async def wait_for_view(self, program: Program, condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        async def poll() -> dict[str, Any]:
            while not condition(view := await self.fetch_view(program)):
                await asyncio.sleep(0.02)
            return view

        return await soon(poll())

    async def test_successor_is_not_a_conflict_and_returns_to_the_configured_address(self) -> None:
        successor = Program(
            self.shared_folder, self.discovery.address, self.counter.address, self.nodes, self.counter_timeout_ms
        )
        successor.config["ops"] = f"127.0.0.1:{free_port()}"
        self.prepare_program(successor)
        await successor.start(*self.peers_arguments(successor))
        await successor.logged('"serving"')
        view_of_both = await self.wait_for_view(self.program, lambda view: len(view["members"]) == 2)
        # Both are one gateway, and no other has been seen: the configured count stays in effect.
        self.assertEqual((view_of_both["conflicts"], view_of_both["places"], view_of_both["budgets"]), ({}, 2, 2))
        self.assertEqual(len({member["address"] for member in view_of_both["members"]}), 2)
        predecessor, self.program = self.program, successor
        self.assertEqual((await predecessor.stop())[0], 0)
        view = await self.wait_for_view(
            successor, lambda view: any(m["self"] and m["address"] == self.membership_address for m in view["members"])
        )
        self.assertEqual({m["state"] for m in view["members"] if not m["self"]}, {"left"})
