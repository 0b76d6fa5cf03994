"""Difficult cases for load distribution: each in virtual time over several seeds, and with real processes."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

import msgspec

from hallhitch.lab.cases import load_cases, load_scenario
from hallhitch.lab.checker import check
from hallhitch.lab.evenness import measure_evenness
from hallhitch.lab.figures import compute_figures
from hallhitch.lab.journal import Event
from hallhitch.lab.node_load import NodeTimeline, RequestTable
from hallhitch.lab.scenario import Scenario
from hallhitch.lab.sockets.run import SocketRun
from hallhitch.lab.virtual_run import play
from hallhitch.settings_file import SettingsError
from tests.cli.command_runner import run_command
from tests.lab.short_scenarios import CASES_FILE
from tests.stand_ins import ROOT

SEEDS = (1, 2, 3)


def relative_share(events: list[Event], nodes: set[str], begin: float, end: float) -> float:
    """Return the share of sends in an interval that went to some nodes, divided by their share of all nodes."""
    timeline = NodeTimeline(events)
    requests = RequestTable(events)
    inside = (requests.sent_at >= begin) & (requests.sent_at < end)
    names = [timeline.names[index] for index in requests.sent_to[inside].tolist()]
    return sum(name in nodes for name in names) / max(1, len(names)) / (len(nodes) / len(set(timeline.names)))


class CasesInVirtualTime(unittest.TestCase):
    """Each case in virtual time, with six gateways and 24 nodes."""

    def setUp(self) -> None:
        self.cases = load_cases(
            CASES_FILE, {"world.gateways": 6, "world.nodes": 24, "traffic.load": 0.45, "seconds": 14.0}
        )

    def journals(self, name: str) -> list[list[Event]]:
        """Run a case with each seed, assert that no rule is violated, and return the journals."""
        journals = []
        for seed in SEEDS:
            events = play(self.cases[name], seed).journal.events
            self.assertEqual([str(violation) for violation in check(events)], [], (name, seed))
            journals.append(events)
        return journals

    def fault_targets(self, events: list[Event], kind: str) -> set[str]:
        return {name for e in events if e[1] == "fault" and e[2] == kind and e[3] == "begins" for name in e[4]}

    def test_every_case_keeps_the_rules(self) -> None:
        """No case violates a rule, and service stays above 0.75."""
        for name, scenario in self.cases.items():
            with self.subTest(case=name):
                result = play(scenario, 4)
                self.assertEqual([str(violation) for violation in check(result.journal.events)], [])
                self.assertGreater(
                    compute_figures(result.journal.events, result.traffic, result.counter_calls).service, 0.75
                )

    def test_node_that_fails_quickly_attracts_no_load(self) -> None:
        """A node that fails requests quickly is not mistaken for the least loaded one."""
        for events in self.journals("black hole"):
            self.assertLess(relative_share(events, self.fault_targets(events, "quick_failures"), 7_000, 14_000), 0.7)

    def test_slow_and_stalled_nodes_are_avoided(self) -> None:
        """Slow and stalled nodes get less than their share of the load."""
        for events in self.journals("slow"):
            self.assertLess(relative_share(events, self.fault_targets(events, "slow"), 7_000, 14_000), 0.7)
        for events in self.journals("stall"):
            self.assertLess(relative_share(events, self.fault_targets(events, "stall"), 7_500, 11_000), 0.35)

    def test_nodes_of_a_recovered_zone_are_used_gradually(self) -> None:
        """Gateways start to use restarted nodes, but not all of them at the same time."""
        for events in self.journals("zone"):
            used = [a for a in measure_evenness(events).arrivals if a.met < 1e9]
            self.assertGreaterEqual(len(used), 6)  # of eight
            self.assertLess(sum(a.rush for a in used) / len(used), 0.5)

    def test_stronger_node_gets_more_load(self) -> None:
        """A node with four times the capacity gets more than an equal share."""
        for events in self.journals("able"):
            strong, normal = (
                relative_share(events, {"node-0"}, 4_000, 14_000),
                relative_share(events, {"node-1"}, 4_000, 14_000),
            )
            self.assertGreater(strong, 1.15 * normal)

    def test_few_busy_gateways_do_not_overload_few_nodes(self) -> None:
        """Busy gateways also use servers outside their subsets."""
        for events in self.journals("crowded"):
            measured = measure_evenness(events)
            self.assertLess(measured.run_most, 2.0)
            self.assertGreater(measured.run_least, 0.4)

    def test_delayed_list_affects_its_gateway_alone(self) -> None:
        """Five of six gateways receive updates of the list while those to one gateway are delayed."""
        for events in self.journals("old list"):
            updated = {e[2] for e in events if e[1] == "told" and 5_000 < e[0] < 15_000}
            self.assertEqual(len(updated), 5)

    def test_error_in_file_names_its_field(self) -> None:
        """An error names the field of an invalid case, or lists the existing cases if a case is unknown."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "cases.toml"
            base = f'base = "{ROOT}/scenarios/calm.toml"\n'
            for text, field in (
                ('[[case]]\nname = "a"\n[[case]]\nname = "a"\n', "case.1.name"),
                ('[[case]]\nname = "a"\nsettings = { "world.shops" = 3 }\n', "case.0.settings"),
            ):
                path.write_text(base + text)
                with self.assertRaisesRegex(SettingsError, field):
                    load_cases(str(path), {})
        with self.assertRaisesRegex(SettingsError, "no case 'zones'; the cases are able"):
            load_scenario(f"{CASES_FILE}:zones")
        self.assertEqual(load_scenario(f"{CASES_FILE}:zone").faults[0].kind, "zone_lost")
        self.assertEqual(run_command("check", CASES_FILE).stdout.split(": ")[1].strip(), "valid (cases)")


class CasesWithProcesses(unittest.IsolatedAsyncioTestCase):
    """Each case with three real gateway processes and eight nodes, for six seconds."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # debug mode slows down all emulated nodes

    async def case(self, name: str) -> None:
        """Run a case with its faults moved into six seconds, and check the rules and the service."""
        full_case = load_cases(
            CASES_FILE, {"world.gateways": 3, "world.nodes": 8, "world.list_late": [100.0, 400.0], "traffic.load": 0.3}
        )[name]
        faults = tuple(
            msgspec.structs.replace(
                f, at_s=1.5, for_s=min(f.for_s, 2.0), part=max(f.part, 0.1), size=f.size if f.kind != "burst" else 12.0
            )
            for f in full_case.faults
        )
        run = SocketRun(self.without_membership(msgspec.structs.replace(full_case, seconds=6.0, faults=faults)), 3)
        await run.play()
        self.assertEqual([str(violation) for violation in check(run.journal.events)], [])
        self.assertGreater(compute_figures(run.journal.events, run.traffic, run.counter.calls).service, 0.5)

    @staticmethod
    def without_membership(scenario: Scenario) -> Scenario:
        """Drop partitions between gateways, which run without membership here; tests/membership covers them."""
        faults = tuple(f for f in scenario.faults if f.kind != "gateways_split")
        return msgspec.structs.replace(
            scenario, world=msgspec.structs.replace(scenario.world, peers=False), faults=faults
        )


def _add_process_test(name: str) -> None:
    async def test(self: CasesWithProcesses) -> None:
        await self.case(name)

    test.__doc__ = f"No rule is violated in the case '{name}' with real processes."
    setattr(CasesWithProcesses, "test_" + name.replace(" ", "_"), test)


for _name in load_cases(CASES_FILE, {}):
    _add_process_test(_name)
