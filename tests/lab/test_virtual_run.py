"""Runs in virtual time: every scenario under a few seeds, checked by the rules, and replayed byte for byte."""

from __future__ import annotations

import hashlib
import os
import subprocess
import sys
import unittest
from collections import Counter

from hallhitch.lab.checker import check
from hallhitch.lab.figures import compute_figures
from hallhitch.lab.scenario import Scenario, replaced
from hallhitch.lab.streams import Streams
from hallhitch.lab.virtual_run import Result, VirtualRun, play
from hallhitch.settings_file import read
from tests.lab.short_scenarios import SCENARIOS, short_scenario
from tests.stand_ins import ROOT

SEEDS = [int(seed) for seed in os.environ.get("HALLHITCH_LAB_SEEDS", "1 2").split()]


class AllScenarios(unittest.TestCase):
    """The rules in all scenarios."""

    def test_no_scenario_violates_a_rule(self) -> None:
        """No rule is violated under the faults that were seen in service, and none of them loses half the service."""
        for path in SCENARIOS:
            for seed in SEEDS:
                with self.subTest(scenario=path.stem, seed=seed):
                    result = play(short_scenario(path), seed)
                    self.assertEqual([str(b) for b in check(result.journal.events)], [])
                    found = compute_figures(result.journal.events, result.traffic, result.counter_calls)
                    self.assertGreater(found.service, 0.5)
                    self.assertLessEqual(found.service, 1.0)
                    self.assertEqual(found.missed, 0)


class GatewayIndexes(unittest.TestCase):
    """The indexes that gateways of a large fleet get."""

    def test_gateways_have_distinct_indexes_and_subsets_cover_all_nodes(self) -> None:
        """Each gateway has an index of its own, and the subsets together have all nodes."""
        base = replaced(short_scenario(ROOT / "scenarios" / "calm.toml"), {"world.gateways": 12, "world.nodes": 40})
        run = VirtualRun(base, 3)
        modules = [gateway.core.gateway for gateway in run.gateways.values() if gateway is not None]
        self.assertEqual([module.config.index for module in modules], list(range(12)))
        run.time.run(run.time.now + 1.0)
        near = Counter(s.entry.server for module in modules for s in module.subset)
        self.assertEqual(set(near), set(run.nodes))


class Replay(unittest.TestCase):
    """Runs that can be compared."""

    def test_same_seed_gives_the_same_journal_under_any_hash_seed(self) -> None:
        """A journal depends on scenario and seed, not on the order of hash tables or on earlier runs."""
        code = (
            "import hashlib, structlog, logging\n"
            "structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))\n"
            "from hallhitch.lab.virtual_run import play\n"
            "from tests.lab.short_scenarios import ROOT, short_scenario\n"
            "r = play(short_scenario(ROOT / 'scenarios' / 'gateways-die.toml'), 7)\n"
            "print(hashlib.sha256(b''.join(r.journal.encoded_lines())).hexdigest())"
        )
        here = hashlib.sha256(
            b"".join(play(short_scenario(ROOT / "scenarios" / "gateways-die.toml"), 7).journal.encoded_lines())
        )
        for hash_seed in ("0", "4242"):
            done = subprocess.run(
                [sys.executable, "-c", code],
                cwd=ROOT,
                capture_output=True,
                text=True,
                env={"PYTHONHASHSEED": hash_seed},
            )
            self.assertEqual(done.stdout.strip(), here.hexdigest(), done.stderr)

    def test_streams_are_independent(self) -> None:
        """Settings of other parts leave the traffic as it is; another seed changes it."""

        def asked(result: Result) -> list[tuple[float, str, float]]:
            return [(i.due_at, i.key, i.service_ms) for i in result.traffic.planned_requests]

        base = short_scenario(ROOT / "scenarios" / "calm.toml")
        other = replaced(base, {"world.nodes": base.world.nodes, "world.slots": 3, "world.counter_per_s": 200.0})
        self.assertEqual(asked(play(base, 5)), asked(play(other, 5)))
        self.assertNotEqual(asked(play(base, 5)), asked(play(base, 6)))
        one, two = Streams(9), Streams(9)
        two.of("another part").random()
        self.assertEqual([one.of("x").random() for _ in range(3)], [two.of("x").random() for _ in range(3)])

    def test_unknown_setting_is_an_error(self) -> None:
        """A path that leads to no field is an error."""
        base = read(str(ROOT / "scenarios" / "calm.toml"), Scenario)
        for path in ("world.nodez", "wrld.nodes", "classes.inspekt.aim"):
            with self.subTest(path=path), self.assertRaises(ValueError):
                replaced(base, {path: 1})
