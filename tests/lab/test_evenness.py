"""Evenness of logs whose answer is known, and the other choices that the module is compared with."""

from __future__ import annotations

import itertools
import random
import tempfile
import unittest
from pathlib import Path

from hallhitch.lab.cases import load_cases
from hallhitch.lab.checker import check
from hallhitch.lab.evenness import Arrival, evenness
from hallhitch.lab.journal import Event
from hallhitch.lab.node_load import make_heat_map
from hallhitch.lab.scenario import replaced
from hallhitch.lab.virtual_run import play
from tests.cli.command_runner import run_command
from tests.lab.short_scenarios import CASES_FILE, short_scenario
from tests.stand_ins import ROOT

SECONDS = 10.0
WORLD: Event = (0.0, "world", {}, {}, [0.25, 1000.0, 3.0], SECONDS)


def node(name: str, capacity: float = 2.0, at: float = 0.0, cold: float = 0.0) -> Event:
    """One that comes up; a cold one can do a quarter."""
    return (at, "node", name, "up", 0, capacity * (0.25 if cold else 1.0), cold)


def log(*events: Event, seconds: float = SECONDS) -> list[Event]:
    """A log, in order."""
    return [(*WORLD[:5], seconds), *sorted(events, key=lambda e: e[0])]


_ids = itertools.count(1)


def work(at: float, to: str, lasts: float = 1.0, gateway: int = 0) -> list[Event]:
    """A request at a node."""
    id = next(_ids)
    return [(at, "send", id, 0, gateway, to), (at, "arrive", id, 0, to, 1.0), (at + lasts, "done", id, 0, "ok")]


class Known(unittest.TestCase):
    """Logs with a known answer."""

    def test_all_on_one_of_two(self) -> None:
        """Guards against figures that do not see the plainest unevenness."""
        one = [event for _ in range(3) for event in work(0.0, "a", 10_000.0)]
        found = evenness(log(node("a"), node("b"), *one))
        self.assertAlmostEqual(found.moment_cv, 1.0)
        self.assertAlmostEqual(found.idle, 0.5)
        self.assertAlmostEqual(found.idle_beside_line, 0.5)
        self.assertEqual((found.run_least, found.run_most), (0.0, 2.0))

    def test_twice_as_much_to_one_that_can_do_twice_as_much_is_even(self) -> None:
        """Guards against counting requests where ability counts."""
        some = [
            event for second in range(10) for to in ("a", "a", "b") for event in work(second * 1000.0 + 1, to, 990.0)
        ]
        found = evenness(log(node("a", 4.0), node("b", 2.0), *some))
        self.assertLess(found.moment_cv + found.second_cv, 1e-9)
        self.assertAlmostEqual(found.run_most, 1.0)

    def test_a_cold_one_counts_by_what_it_can_do(self) -> None:
        """Guards against a cold node that is called idle for getting its part."""
        # Warm after 8 s, from a quarter on: so much of its ability in the middle of its third second.
        cold = [node("a"), node("b", cold=8_000.0)]
        part = 0.25 + 0.75 * 2.5 / 8
        some = [e for n in range(1000) for e in work(2000.0 + n, "a")]
        some += [e for n in range(round(1000 * part)) for e in work(2000.0 + n, "b")]
        self.assertLess(evenness(log(*cold, *some)).second_cv, 0.002)

    def test_work_ends_where_the_node_is_done_and_gone_nodes_do_not_count(self) -> None:
        """Guards against idle nodes hidden by answers under way, and dead ones counted as idle."""
        events = [
            *work(0.0, "a", 10000.0),
            (5000.0, "run", next(_ids) - 1, "a", "k", False),
            (5000.0, "node", "b", "down", 0, 0.0, 0.0),
        ]
        found = evenness(log(node("a"), node("b"), *events))
        self.assertAlmostEqual(found.idle, (0.5 + 1.0) / 2)
        heat_map = make_heat_map(log(node("a"), node("b"), *events), 1000.0)
        self.assertEqual((heat_map.names, len(heat_map.moments)), (["a", "b"], 10))
        self.assertEqual(heat_map.values[0][:5].tolist(), [0.5] * 5)
        self.assertTrue(all(value != value for value in heat_map.values[1][5:]))

    def test_a_node_that_starts_again_is_another_one(self) -> None:
        """Guards against the work of a node's first life counted for its second."""
        first = [e for at in range(10, 3_000, 100) for to in ("a", "b") for e in work(float(at), to)]
        down: Event = (4_000.0, "node", "b", "down", 0, 0.0, 0.0)
        later = [e for at in range(6_010, 10_000, 100) for e in work(float(at), "a")]
        found = evenness(log(node("a"), node("b"), *first, down, node("b", at=6_000.0), *later))
        self.assertEqual(found.arrivals, [Arrival("b", float("inf"), 0.0, float("inf"))])
        self.assertAlmostEqual(found.run_most, 1.0)  # of those that were up all the while

    def test_a_herd_is_told_from_chance(self) -> None:
        """Guards against a bare maximum that calls chance a herd, and herds that chance hides."""
        draw = random.Random(1)
        nodes = [node(f"n{n}") for n in range(10)]
        plain = [e for n in range(3000) for e in work(draw.random() * 10_000, f"n{draw.randrange(10)}", gateway=n)]
        found = evenness(log(*nodes, *plain))
        self.assertAlmostEqual(found.herd_pairs, 1.0, delta=0.25)
        self.assertGreater(found.herd_chance, 0.01)
        herd = [e for burst in range(0, 10_000, 500) for n in range(6) for e in work(burst + 1.0, "n3", gateway=n)]
        found = evenness(log(*nodes, *plain, *herd))
        self.assertGreater(found.herd_pairs, 1.3)
        self.assertEqual(found.herd_chance, 0.0)
        self.assertGreaterEqual(found.herd_most, 6)
        alone = [e for burst in range(0, 10_000, 500) for _ in range(6) for e in work(burst + 1.0, "n3", gateway=1)]
        self.assertEqual(evenness(log(*nodes, *alone)).herd_most, 1)

    def test_moves_with_and_without_a_cause(self) -> None:
        """Guards against work that wanders, and against blaming what a fault makes it do."""
        stays = [e for at in range(100, 30_000, 1000) for e in work(float(at), "a")]
        goes = work(25_500.0, "b")
        found = evenness(log(node("a"), node("b"), *stays, *goes, seconds=30.0))
        self.assertAlmostEqual(found.moves, 1 / 21)  # of those past the first ten seconds
        fault: Event = (25_000.0, "fault", "slow", "begins", ["a"])
        self.assertEqual(evenness(log(node("a"), node("b"), *stays, *goes, fault, seconds=30.0)).moves, 0.0)

    def test_how_a_newcomer_is_met(self) -> None:
        """Guards against a rush at what has just come up that no mean shows."""
        usual = [e for at in range(100) for to in ("a", "b") for e in work(at * 100.0 + 1, to)]
        late = node("c", at=2_000.0)
        rush = [e for n in range(8) for e in work(2_500.0 + n, "c", gateway=n)]
        found = evenness(log(node("a"), node("b"), late, *usual, *rush)).arrivals
        self.assertEqual([(a.node, a.rush, a.fair) for a in found], [("c", 1.0, 0.0)])
        self.assertAlmostEqual(found[0].met, 503.5)
        spread = [e for n in range(8) for e in work(2_500.0 + 900 * n, "c", gateway=n)]
        self.assertEqual(evenness(log(node("a"), node("b"), late, *usual, *spread)).arrivals[0].rush, 0.0)
        nobody = evenness(log(node("a"), node("b"), late, *usual)).arrivals
        self.assertEqual(nobody, [Arrival("c", float("inf"), 0.0, float("inf"))])

    def test_the_time_that_processes_take_to_start_does_not_count(self) -> None:
        """Guards against nodes called idle, and called newcomers, before anything was asked."""
        events = [e for at in range(0, 10_000, 50) for to in ("a", "b", "b") for e in work(float(at), to, 40.0)]
        at_once = evenness(log(node("a"), node("b"), *events))
        moved = [(e[0] + 7_300.0, *e[1:]) for e in events]
        late = evenness(log(node("a", at=12.0), node("b", at=14.0), *moved))
        for name in ("moment_cv", "idle", "second_cv", "run_most", "arrivals"):
            self.assertEqual(getattr(late, name), getattr(at_once, name), name)

    def test_logs_with_nothing_in_them(self) -> None:
        """Guards against a run that ended early and takes the report with it."""
        for events in (log(), log(node("a"))):
            self.assertEqual(evenness(events).moves, 0.0)


class Choices(unittest.TestCase):
    """What the module is compared with."""

    def test_each_keeps_the_rules_and_knowing_more_is_more_even(self) -> None:
        """Guards against baselines that are none: they choose, and nothing else is changed."""
        base = replaced(
            short_scenario(ROOT / "scenarios" / "calm.toml"), {"world.gateways": 12, "world.nodes": 20, "seconds": 8.0}
        )
        found = {}
        for choice in ("module", "uniform", "round_robin", "two", "least", "informed"):
            told = replaced(base, {"world.choice": choice})
            events = play(told, 1).journal.events
            self.assertEqual([str(b) for b in check(events)], [], choice)
            found[choice] = evenness(events)
        self.assertLess(found["informed"].moment_cv, 0.85 * found["module"].moment_cv)
        self.assertLess(found["module"].moment_cv, found["uniform"].moment_cv)
        self.assertEqual(found["two"].arrivals, [])

    def test_old_news_of_load_make_herds_and_none_do_not(self) -> None:
        """Guards against load that is told between gateways later than it changes: all go to what was idle."""
        base = replaced(
            short_scenario(ROOT / "scenarios" / "calm.toml"), {"world.gateways": 12, "world.nodes": 20, "seconds": 8.0}
        )
        old = replaced(base, {"world.choice": "informed", "world.choice_late_ms": 500.0})
        told, plain = (evenness(play(scenario, 1).journal.events) for scenario in (old, base))
        self.assertGreater(told.moment_cv, 1.2 * plain.moment_cv)
        self.assertGreater(told.herd_pairs, 1.3 * plain.herd_pairs)
        self.assertLess(told.herd_chance, 0.02)
        self.assertGreater(plain.herd_chance, 0.2)


class Page(unittest.TestCase):
    """What people see."""

    def test_a_page_from_logs_and_what_is_no_log(self) -> None:
        """Guards against a page that needs the network or drops a run, and a traceback for a file that is no log."""
        told = load_cases(CASES_FILE, {"world.gateways": 3, "world.nodes": 9, "traffic.load": 0.3, "seconds": 12.0})[
            "zone"
        ]
        journal = play(told, 1).journal
        with tempfile.TemporaryDirectory() as folder:
            log_, page, bad = (Path(folder) / name for name in ("first <run>.log", "page.html", "bad.log"))
            log_.write_bytes(b"".join(journal.encoded_lines()))
            bad.write_text("[1, 2]\n")
            done = run_command("fleet", "report", str(log_), "--write", str(page))
            self.assertEqual(done.returncode, 0, done.stderr)
            text = page.read_text()
            self.assertIn("first &lt;run&gt;", text)
            self.assertEqual(text.count("data:image/png"), 2)
            self.assertNotRegex(text, r"(src|href)=\"http")
            self.assertEqual(text.count("<td>node-"), 3)  # the zone that came back
            done = run_command("fleet", "report", str(bad), "--write", str(page))
            self.assertEqual(done.returncode, 1)
            self.assertIn("bad.log: line 1", done.stderr)
