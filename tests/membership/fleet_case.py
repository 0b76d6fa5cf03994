"""Fleets of real gateway processes with membership, and the helpers of their tests."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from typing import Any

from hallhitch.lab.checker import check
from hallhitch.lab.fleet.member_views import View, member_states, present_members
from hallhitch.lab.fleet.processes import GatewayFleet
from hallhitch.lab.scenario import Scenario, replaced
from hallhitch.settings_file import read
from tests.stand_ins import ROOT

# The protocol periods are less than two thirds of the defaults. The minimum suspicion time-out, 1.2 s, is longer than
# the delays on a busy machine.
FAST_SETTINGS = (
    "[periods]\nprobe_s = 0.3\nanswer_s = 0.12\nreach_s = 0.6\nexchange_s = 0.5\n"
    "[follow]\nsettle_s = 0.5\npause_s = 1.0\nstep_s = 0.3\nhold_s = 30.0\nfade_s = 4.0\n"
)


def make_fleet(
    gateways: int,
    seconds: float = 8.0,
    kind: type[GatewayFleet] = GatewayFleet,
    peers_settings: str = FAST_SETTINGS,
    **options: Any,
) -> GatewayFleet:
    """Return a fleet in front of four nodes, to be used as a context manager."""
    scenario = replaced(
        read(str(ROOT / "scenarios" / "calm.toml"), Scenario),
        {"world.gateways": gateways, "world.nodes": 4, "seconds": seconds},
    )
    return kind(scenario, 1, peers_settings=peers_settings, **options)


def all_views_hold(name: str, state: str) -> Callable[[dict[int, View]], bool]:
    """Return a condition: all views have this member in this state."""
    return lambda views: all(member_states(view).get(name) == state for view in views.values())


def sees_exactly(*names: str) -> Callable[[View], bool]:
    """Return a condition: exactly these members are present in a view."""
    return lambda view: sorted(present_members(view)) == sorted(names)


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Base class of tests with a fleet of gateway processes."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)

    def reported_failures(self, fleet: GatewayFleet, number: int) -> list[str]:
        """Return the names of the members that a gateway logged as failed."""
        return [name for line in fleet.log_lines_of(number, "members failed") for name in line["names"]]

    def assert_no_violations(self, fleet: GatewayFleet) -> None:
        """Assert that the run violated no invariant, and that no gateway logged an internal error."""
        self.assertEqual([str(violation) for violation in check(fleet.journal.events)], [])
        for number in range(fleet.count):
            self.assertEqual(fleet.log_lines_of(number, "actor failed"), [])
