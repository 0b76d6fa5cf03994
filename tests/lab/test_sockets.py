"""The world on real sockets, with real gateways: the rules hold there too."""

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


class Sockets(unittest.IsolatedAsyncioTestCase):
    """Short runs."""

    async def asyncSetUp(self) -> None:
        # unittest turns the loop's debugging on, which would make slow nodes of all of them.
        asyncio.get_running_loop().set_debug(False)

    async def short(self, name: str, settings: dict[str, Any] | None = None) -> SocketRun:
        """A scenario's faults within six seconds."""
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

    async def test_the_rules_hold_on_sockets_while_gateways_and_nodes_die(self) -> None:
        """Guards against rules that hold in the model alone, and an emulator whose log says something else."""
        run = await self.short("gateways-die")
        events = run.journal.events
        self.assertEqual([str(b) for b in check(events)], [])
        names = {event[1] for event in events}
        self.assertLessEqual({"ask", "send", "arrive", "run", "done", "answer", "told", "gateway", "node"}, names)
        self.assertIn("killed", {event[3] for event in events if event[1] == "gateway"})
        self.assertGreater(figures(events, run.traffic, run.counter.calls).service, 0.5)

    async def test_a_gateway_that_stood_still_and_one_that_reads_its_file_again(self) -> None:
        """Guards against a gateway that breaks a rule once it was stopped, or moved to another counter or list."""
        run = await self.short("gateways-stop")
        events = run.journal.events
        self.assertEqual([str(b) for b in check(events)], [])
        states = [event[3] for event in events if event[1] == "gateway"]
        for state in ("stopped", "resumed", "reloaded"):
            self.assertIn(state, states)
        reloaded = [event for event in events if event[1] == "gateway" and event[3] == "reloaded"]
        number = reloaded[0][2]
        later = [e for e in events if e[1] == "told" and e[2] == number and e[0] > reloaded[0][0]]
        self.assertTrue(later, "it asked the new discovery for the list")

    async def test_a_counter_that_speaks_resp(self) -> None:
        """Guards against quotas that hold with one form of the counter alone."""
        run = await self.short("counter-slow", {"world.counter_form": "resp", "traffic.heavy": 0.5})
        events = run.journal.events
        self.assertEqual([str(b) for b in check(events)], [])
        self.assertGreater(run.counter.calls, 50)
        counted = run.counter.totals()
        self.assertGreater(sum(counted), 20.0, "units were added, not refused")

    async def test_all_nodes_are_replaced(self) -> None:
        """Guards against a drain that is missed, or a client left without an answer, where real processes do it."""
        run = await self.short("rolling")
        self.assertEqual([str(b) for b in check(run.journal.events)], [])
        drained = [e for e in run.journal.events if e[1] == "node" and e[3] == "drain"]
        self.assertEqual(len(drained), 5)
