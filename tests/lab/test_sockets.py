"""Runs on real sockets with real gateway processes."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import msgspec

from hallhitch.lab.checker import check
from hallhitch.lab.figures import figures
from hallhitch.lab.scenario import Scenario, replaced
from hallhitch.lab.sockets.run import SocketRun
from hallhitch.settings_file import read
from tests.stand_ins import ROOT


class SocketRuns(unittest.IsolatedAsyncioTestCase):
    """Short runs, checked by the rules."""

    async def asyncSetUp(self) -> None:
        # unittest turns the loop's debugging on, which would make slow nodes of all of them.
        asyncio.get_running_loop().set_debug(False)

    async def short(self, name: str, settings: dict[str, Any] | None = None) -> SocketRun:
        """Run a scenario with its faults within six seconds."""
        whole = replaced(
            read(str(ROOT / "scenarios" / f"{name}.toml"), Scenario),
            {
                "world.gateways": 2,
                "world.nodes": 5,
                "world.list_late": [100.0, 400.0],
                "traffic.load": 0.35,
                **(settings or {}),
            },
        )
        faults = tuple(
            msgspec.structs.replace(f, at_s=1.5 + n * 0.3, for_s=min(f.for_s, 2.0)) for n, f in enumerate(whole.faults)
        )
        run = SocketRun(msgspec.structs.replace(whole, seconds=6.0, faults=faults), 3)
        await run.play()
        return run

    async def test_rules_hold_while_gateways_and_nodes_die(self) -> None:
        """The journal has all kinds of events, and no rule is violated."""
        run = await self.short("gateways-die")
        events = run.journal.events
        self.assertEqual([str(b) for b in check(events)], [])
        names = {event[1] for event in events}
        self.assertLessEqual({"ask", "send", "arrive", "run", "done", "answer", "told", "gateway", "node"}, names)
        self.assertIn("killed", {event[3] for event in events if event[1] == "gateway"})
        self.assertGreater(figures(events, run.traffic, run.counter.calls).service, 0.5)

    async def test_suspended_and_reloaded_gateways(self) -> None:
        """A gateway that was suspended, or moved to another counter and discovery, violates no rule."""
        run = await self.short("gateways-stop")
        events = run.journal.events
        self.assertEqual([str(b) for b in check(events)], [])
        states = [event[3] for event in events if event[1] == "gateway"]
        for state in ("stopped", "resumed", "reloaded"):
            self.assertIn(state, states)
        reloaded = [event for event in events if event[1] == "gateway" and event[3] == "reloaded"]
        number = reloaded[0][2]
        later = [e for e in events if e[1] == "told" and e[2] == number and e[0] > reloaded[0][0]]
        self.assertTrue(later, "it polls the new discovery")

    async def test_counter_over_resp(self) -> None:
        """Quotas are counted over RESP too."""
        run = await self.short("counter-slow", {"world.counter_form": "resp", "traffic.heavy": 0.5})
        events = run.journal.events
        self.assertEqual([str(b) for b in check(events)], [])
        self.assertGreater(run.counter.calls, 50)
        counted = run.counter.totals()
        self.assertGreater(sum(counted), 20.0, "units were added, not rejected")

    async def test_rolling_replacement_of_all_nodes(self) -> None:
        """All nodes are drained and replaced without a violation."""
        run = await self.short("rolling")
        self.assertEqual([str(b) for b in check(run.journal.events)], [])
        drained = [e for e in run.journal.events if e[1] == "node" and e[3] == "drain"]
        self.assertEqual(len(drained), 5)
