"""Scenario runs on sockets, with real gateway processes."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import msgspec

from hallhitch.lab.checker import check
from hallhitch.lab.figures import compute_figures
from hallhitch.lab.scenario import Scenario, replaced
from hallhitch.lab.sockets.run import SocketRun
from hallhitch.settings_file import read
from tests.stand_ins import ROOT


class SocketRuns(unittest.IsolatedAsyncioTestCase):
    """Shortened scenarios whose journals are checked against the rules."""

    async def asyncSetUp(self) -> None:
        # unittest enables the debug mode of the event loop, which would slow down all emulated nodes.
        asyncio.get_running_loop().set_debug(False)

    async def run_shortened(self, name: str, settings: dict[str, Any] | None = None) -> SocketRun:
        """Run a scenario shortened to six seconds, with all its faults."""
        scenario = replaced(
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
            msgspec.structs.replace(fault, at_s=1.5 + index * 0.3, for_s=min(fault.for_s, 2.0))
            for index, fault in enumerate(scenario.faults)
        )
        run = SocketRun(msgspec.structs.replace(scenario, seconds=6.0, faults=faults), 3)
        await run.play()
        return run

    async def test_rules_hold_while_gateways_and_nodes_die(self) -> None:
        """Gateways are killed and nodes stop: all kinds of events are journalled and no rule is violated."""
        run = await self.run_shortened("gateways-die")
        events = run.journal.events
        self.assertEqual([str(violation) for violation in check(events)], [])
        event_names = {event[1] for event in events}
        self.assertLessEqual({"ask", "send", "arrive", "run", "done", "answer", "told", "gateway", "node"}, event_names)
        self.assertIn("killed", {event[3] for event in events if event[1] == "gateway"})
        self.assertGreater(compute_figures(events, run.traffic, run.counter.calls).service, 0.5)

    async def test_suspended_and_reloaded_gateways(self) -> None:
        """A gateway that is suspended, or reloaded with another counter and discovery, violates no rule."""
        run = await self.run_shortened("gateways-stop")
        events = run.journal.events
        self.assertEqual([str(violation) for violation in check(events)], [])
        states = [event[3] for event in events if event[1] == "gateway"]
        for state in ("stopped", "resumed", "reloaded"):
            self.assertIn(state, states)
        reloaded = [event for event in events if event[1] == "gateway" and event[3] == "reloaded"]
        number = reloaded[0][2]
        later_updates = [
            update for update in events if update[1] == "told" and update[2] == number and update[0] > reloaded[0][0]
        ]
        self.assertTrue(later_updates, "the reloaded gateway polls the new discovery agent")

    async def test_counter_over_resp(self) -> None:
        """Gateways count quotas over RESP."""
        run = await self.run_shortened("counter-slow", {"world.counter_form": "resp", "traffic.heavy": 0.5})
        events = run.journal.events
        self.assertEqual([str(violation) for violation in check(events)], [])
        self.assertGreater(run.counter.calls, 50)
        totals = run.counter.totals()
        self.assertGreater(sum(totals), 20.0, "the counter added the units and did not reject them")

    async def test_rolling_replacement_of_all_nodes(self) -> None:
        """All nodes are drained and replaced without a violation."""
        run = await self.run_shortened("rolling")
        self.assertEqual([str(violation) for violation in check(run.journal.events)], [])
        drained = [event for event in run.journal.events if event[1] == "node" and event[3] == "drain"]
        self.assertEqual(len(drained), 5)
