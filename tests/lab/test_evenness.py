"""Tests of the evenness figures on journals with known results, and of the baselines of server selection."""

from __future__ import annotations

import itertools
import random
import tempfile
import unittest
from pathlib import Path

from hallhitch.lab.cases import load_cases
from hallhitch.lab.checker import check
from hallhitch.lab.evenness import Arrival, measure_evenness
from hallhitch.lab.journal import Event
from hallhitch.lab.node_load import make_heat_map
from hallhitch.lab.scenario import replaced
from hallhitch.lab.virtual_run import play
from tests.cli.command_runner import run_command
from tests.lab.short_scenarios import CASES_FILE, short_scenario
from tests.stand_ins import ROOT

SECONDS = 10.0
WORLD: Event = (0.0, "world", {}, {}, [0.25, 1000.0, 3.0], SECONDS)


def node_started(name: str, capacity: float = 2.0, at: float = 0.0, warm_up_ms: float = 0.0) -> Event:
    """Return the event of a node that starts; a warming node starts with a quarter of its capacity."""
    return (at, "node", name, "up", 0, capacity * (0.25 if warm_up_ms else 1.0), warm_up_ms)


def journal_of(*events: Event, seconds: float = SECONDS) -> list[Event]:
    """Return a journal of the events in order of time."""
    return [(*WORLD[:5], seconds), *sorted(events, key=lambda e: e[0])]


_ids = itertools.count(1)


def request(at: float, to: str, duration_ms: float = 1.0, gateway: int = 0) -> list[Event]:
    """Return the events of a request that a node serves."""
    id = next(_ids)
    return [(at, "send", id, 0, gateway, to), (at, "arrive", id, 0, to, 1.0), (at + duration_ms, "done", id, 0, "ok")]


class KnownResults(unittest.TestCase):
    """Journals for which the figures are known."""

    def test_all_load_on_one_of_two_nodes(self) -> None:
        """The figures show the greatest possible unevenness of two nodes."""
        requests = [event for _ in range(3) for event in request(0.0, "a", 10_000.0)]
        measured = measure_evenness(journal_of(node_started("a"), node_started("b"), *requests))
        self.assertAlmostEqual(measured.moment_cv, 1.0)
        self.assertAlmostEqual(measured.idle, 0.5)
        self.assertAlmostEqual(measured.idle_beside_line, 0.5)
        self.assertEqual((measured.run_least, measured.run_most), (0.0, 2.0))

    def test_load_in_proportion_to_capacity_is_even(self) -> None:
        """Load is measured relative to capacity: a node with twice the capacity gets twice the requests."""
        requests = [
            event for second in range(10) for to in ("a", "a", "b") for event in request(second * 1000.0 + 1, to, 990.0)
        ]
        measured = measure_evenness(journal_of(node_started("a", 4.0), node_started("b", 2.0), *requests))
        self.assertLess(measured.moment_cv + measured.second_cv, 1e-9)
        self.assertAlmostEqual(measured.run_most, 1.0)

    def test_warming_node_counts_with_its_reduced_capacity(self) -> None:
        """A warming node that gets its share by reduced capacity does not count as underused."""
        # The capacity rises from a quarter to all within 8 s; the ratio is that in the middle of the third second.
        nodes = [node_started("a"), node_started("b", warm_up_ms=8_000.0)]
        capacity_ratio = 0.25 + 0.75 * 2.5 / 8
        requests = [e for n in range(1000) for e in request(2000.0 + n, "a")]
        requests += [e for n in range(round(1000 * capacity_ratio)) for e in request(2000.0 + n, "b")]
        self.assertLess(measure_evenness(journal_of(*nodes, *requests)).second_cv, 0.002)

    def test_request_ends_when_the_node_has_served_it_and_down_nodes_do_not_count(self) -> None:
        """A node is idle once it has served its request, though the answer is in transit; a down node is not idle."""
        events = [
            *request(0.0, "a", 10000.0),
            (5000.0, "run", next(_ids) - 1, "a", "k", False),
            (5000.0, "node", "b", "down", 0, 0.0, 0.0),
        ]
        measured = measure_evenness(journal_of(node_started("a"), node_started("b"), *events))
        self.assertAlmostEqual(measured.idle, (0.5 + 1.0) / 2)
        heat_map = make_heat_map(journal_of(node_started("a"), node_started("b"), *events), 1000.0)
        self.assertEqual((heat_map.names, len(heat_map.moments)), (["a", "b"], 10))
        self.assertEqual(heat_map.values[0][:5].tolist(), [0.5] * 5)
        self.assertTrue(all(value != value for value in heat_map.values[1][5:]))

    def test_restarted_node_counts_as_another_node(self) -> None:
        """Requests before a node's restart do not count for the node after it."""
        before = [e for at in range(10, 3_000, 100) for to in ("a", "b") for e in request(float(at), to)]
        down: Event = (4_000.0, "node", "b", "down", 0, 0.0, 0.0)
        after = [e for at in range(6_010, 10_000, 100) for e in request(float(at), "a")]
        measured = measure_evenness(
            journal_of(node_started("a"), node_started("b"), *before, down, node_started("b", at=6_000.0), *after)
        )
        self.assertEqual(measured.arrivals, [Arrival("b", float("inf"), 0.0, float("inf"))])
        self.assertAlmostEqual(measured.run_most, 1.0)  # counts only nodes that were up throughout

    def test_herd_is_distinguished_from_chance(self) -> None:
        """Random coincidences do not count as a herd, and a herd among random sends is detected."""
        rng = random.Random(1)
        nodes = [node_started(f"n{n}") for n in range(10)]
        plain = [e for n in range(3000) for e in request(rng.random() * 10_000, f"n{rng.randrange(10)}", gateway=n)]
        measured = measure_evenness(journal_of(*nodes, *plain))
        self.assertAlmostEqual(measured.herd_pairs, 1.0, delta=0.25)
        self.assertGreater(measured.herd_chance, 0.01)
        herd = [e for burst in range(0, 10_000, 500) for n in range(6) for e in request(burst + 1.0, "n3", gateway=n)]
        measured = measure_evenness(journal_of(*nodes, *plain, *herd))
        self.assertGreater(measured.herd_pairs, 1.3)
        self.assertEqual(measured.herd_chance, 0.0)
        self.assertGreaterEqual(measured.herd_most, 6)
        one_gateway = [
            e for burst in range(0, 10_000, 500) for _ in range(6) for e in request(burst + 1.0, "n3", gateway=1)
        ]
        self.assertEqual(measure_evenness(journal_of(*nodes, *one_gateway)).herd_most, 1)

    def test_moves_with_and_without_a_cause(self) -> None:
        """Sends to a node that was not in use count as moves, unless a fault explains them."""
        steady = [e for at in range(100, 30_000, 1000) for e in request(float(at), "a")]
        moved = request(25_500.0, "b")
        measured = measure_evenness(journal_of(node_started("a"), node_started("b"), *steady, *moved, seconds=30.0))
        self.assertAlmostEqual(measured.moves, 1 / 21)  # sends in the first ten seconds do not count
        fault: Event = (25_000.0, "fault", "slow", "begins", ["a"])
        self.assertEqual(
            measure_evenness(
                journal_of(node_started("a"), node_started("b"), *steady, *moved, fault, seconds=30.0)
            ).moves,
            0.0,
        )

    def test_how_gateways_start_to_use_a_new_node(self) -> None:
        """A rush of all gateways to a node that has just started shows, although no mean shows it."""
        steady = [e for at in range(100) for to in ("a", "b") for e in request(at * 100.0 + 1, to)]
        started = node_started("c", at=2_000.0)
        rush = [e for n in range(8) for e in request(2_500.0 + n, "c", gateway=n)]
        measured = measure_evenness(journal_of(node_started("a"), node_started("b"), started, *steady, *rush)).arrivals
        self.assertEqual([(a.node, a.rush, a.fair) for a in measured], [("c", 1.0, 0.0)])
        self.assertAlmostEqual(measured[0].met, 503.5)
        spread = [e for n in range(8) for e in request(2_500.0 + 900 * n, "c", gateway=n)]
        self.assertEqual(
            measure_evenness(journal_of(node_started("a"), node_started("b"), started, *steady, *spread))
            .arrivals[0]
            .rush,
            0.0,
        )
        unused = measure_evenness(journal_of(node_started("a"), node_started("b"), started, *steady)).arrivals
        self.assertEqual(unused, [Arrival("c", float("inf"), 0.0, float("inf"))])

    def test_start_of_the_processes_does_not_count(self) -> None:
        """Before the first request, nodes count neither as idle nor as started during the run."""
        events = [e for at in range(0, 10_000, 50) for to in ("a", "b", "b") for e in request(float(at), to, 40.0)]
        immediate = measure_evenness(journal_of(node_started("a"), node_started("b"), *events))
        delayed_events = [(e[0] + 7_300.0, *e[1:]) for e in events]
        delayed = measure_evenness(journal_of(node_started("a", at=12.0), node_started("b", at=14.0), *delayed_events))
        for name in ("moment_cv", "idle", "second_cv", "run_most", "arrivals"):
            self.assertEqual(getattr(delayed, name), getattr(immediate, name), name)

    def test_journals_without_requests(self) -> None:
        """The journal of a run that ended early does not make the figures fail."""
        for events in (journal_of(), journal_of(node_started("a"))):
            self.assertEqual(measure_evenness(events).moves, 0.0)


class Baselines(unittest.TestCase):
    """The baselines of server selection in virtual time."""

    def test_each_baseline_keeps_the_rules_and_knowledge_of_load_improves_evenness(self) -> None:
        """Baselines change only the selection: no rule is violated, and their evenness is ordered as expected."""
        base = replaced(
            short_scenario(ROOT / "scenarios" / "calm.toml"), {"world.gateways": 12, "world.nodes": 20, "seconds": 8.0}
        )
        measured = {}
        for choice in ("module", "uniform", "round_robin", "two", "least", "informed"):
            scenario = replaced(base, {"world.choice": choice})
            events = play(scenario, 1).journal.events
            self.assertEqual([str(violation) for violation in check(events)], [], choice)
            measured[choice] = measure_evenness(events)
        self.assertLess(measured["informed"].moment_cv, 0.85 * measured["module"].moment_cv)
        self.assertLess(measured["module"].moment_cv, measured["uniform"].moment_cv)
        self.assertEqual(measured["two"].arrivals, [])

    def test_selection_by_delayed_loads_causes_herds(self) -> None:
        """If gateways see loads later than these change, all of them send to the nodes that were idle before."""
        base = replaced(
            short_scenario(ROOT / "scenarios" / "calm.toml"), {"world.gateways": 12, "world.nodes": 20, "seconds": 8.0}
        )
        delayed_loads = replaced(base, {"world.choice": "informed", "world.choice_late_ms": 500.0})
        delayed, plain = (measure_evenness(play(scenario, 1).journal.events) for scenario in (delayed_loads, base))
        self.assertGreater(delayed.moment_cv, 1.2 * plain.moment_cv)
        self.assertGreater(delayed.herd_pairs, 1.3 * plain.herd_pairs)
        self.assertLess(delayed.herd_chance, 0.02)
        self.assertGreater(plain.herd_chance, 0.2)


class Page(unittest.TestCase):
    """The HTML page of `fleet report`."""

    def test_page_from_journals_and_error_for_an_invalid_journal(self) -> None:
        """The page is self-contained and shows each run; an invalid journal gives an error message, not a traceback."""
        scenario = load_cases(
            CASES_FILE, {"world.gateways": 3, "world.nodes": 9, "traffic.load": 0.3, "seconds": 12.0}
        )["zone"]
        journal = play(scenario, 1).journal
        with tempfile.TemporaryDirectory() as folder:
            valid, page, invalid = (Path(folder) / name for name in ("first <run>.log", "page.html", "bad.log"))
            valid.write_bytes(b"".join(journal.encoded_lines()))
            invalid.write_text("[1, 2]\n")
            completed = run_command("fleet", "report", str(valid), "--write", str(page))
            self.assertEqual(completed.returncode, 0, completed.stderr)
            text = page.read_text()
            self.assertIn("first &lt;run&gt;", text)
            self.assertEqual(text.count("data:image/png"), 2)
            self.assertNotRegex(text, r"(src|href)=\"http")
            self.assertEqual(text.count("<td>node-"), 3)  # the nodes of the zone that recovered
            completed = run_command("fleet", "report", str(invalid), "--write", str(page))
            self.assertEqual(completed.returncode, 1)
            self.assertIn("bad.log: line 1", completed.stderr)
