"""Experiments: comparison of settings, and the commands that run, continue and report them."""

from __future__ import annotations

import re
import sqlite3
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hallhitch.lab import experiments
from hallhitch.lab.experiments import Outcome
from hallhitch.lab.figures import Figures
from hallhitch.lab.statistics import bootstrap_interval, compare
from tests.cli.command_runner import run_command
from tests.stand_ins import ROOT

SCENARIO = (
    (ROOT / "scenarios" / "calm.toml").read_text().replace("seconds = 30.0", "seconds = 3.0\n[traffic]\nrate = 90.0")
)
EXPERIMENT = """
name = "small"
scenarios = ["calm.toml"]
seeds = 6
[[settings]]
name = "as it is"
[[settings]]
name = "few nodes"
scenario = { "world.nodes" = 4 }
"""


def make_outcome(service: float) -> Outcome:
    """Make an outcome whose only figure other than 0 is `service`."""
    figures: dict[str, Any] = dict.fromkeys(Figures.__struct_fields__, 0)
    figures |= {"by_class": {}, "by_plan": {}, "curve": [], "service": service}
    return Outcome(Figures(**figures), [], 1.0)


class ComparisonTest(unittest.TestCase):
    """Comparison of two settings."""

    def test_verdicts(self) -> None:
        """A significant difference gets a verdict; noise and too few pairs do not."""
        base = {seed: make_outcome(0.9 + seed % 3 * 0.01) for seed in range(20)}
        noisy = {seed: make_outcome(0.9 + (seed * 7) % 3 * 0.01) for seed in range(20)}
        better = {seed: make_outcome(o.figures.service + 0.01 + seed % 2 * 0.002) for seed, o in base.items()}
        self.assertEqual(compare(base, noisy).verdict, "cannot tell")
        self.assertEqual(compare(base, better).verdict, "better")
        self.assertEqual(compare(better, base).verdict, "worse")
        self.assertEqual(compare(base, better, more_is_better=False).verdict, "worse")
        few = dict(list(better.items())[:4])
        self.assertEqual(compare(base, few).verdict, "cannot tell")
        with self.assertRaises(ValueError):
            compare({1: make_outcome(1)}, {2: make_outcome(1)})
        interval = bootstrap_interval([o.figures.service for o in base.values()])
        self.assertTrue(interval.low < interval.mean < interval.high)
        self.assertEqual(
            interval, bootstrap_interval([o.figures.service for o in base.values()]), "the bootstrap is deterministic"
        )


class ExperimentCommands(unittest.TestCase):
    """The `hallhitch experiment` commands, from settings files to reports."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "calm.toml").write_text(SCENARIO)
        (self.folder / "small.toml").write_text(EXPERIMENT)
        self.db = str(self.folder / "results.db")

    def test_interrupted_experiment_continues_to_the_same_results(self) -> None:
        """Only the missing runs are executed, and their results are the same as before."""
        file = str(self.folder / "small.toml")
        first = run_command("experiment", "run", file, "--workers", "2", "--db", self.db)
        self.assertIn("12 runs executed, 0 already stored", first.stdout, first.stderr)
        with sqlite3.connect(self.db) as db:
            all_results = db.execute("SELECT key, figures FROM result ORDER BY key").fetchall()
            db.execute("DELETE FROM result WHERE seed IN (2, 5)")  # the state after an interrupted run
        again = run_command("experiment", "run", file, "--workers", "2", "--db", self.db)
        self.assertIn("4 runs executed, 8 already stored", again.stdout, again.stderr)
        with sqlite3.connect(self.db) as db:
            self.assertEqual(db.execute("SELECT key, figures FROM result ORDER BY key").fetchall(), all_results)
        compared = run_command("experiment", "compare", "small", "as it is", "few nodes", "--db", self.db)
        self.assertRegex(compared.stdout, r"calm\s+6\s+-0\.\d+ \(-.*worse", compared.stdout + compared.stderr)
        listed = run_command("experiment", "list", "--db", self.db)
        self.assertRegex(listed.stdout, r"small\s+12\s+0")
        page = self.folder / "report.html"
        result = run_command("experiment", "report", "small", "--db", self.db, "--to", str(page))
        self.assertEqual(result.returncode, 0, result.stderr)
        text = page.read_text()
        self.assertIn("no rule", text)
        self.assertIn("few nodes", text)
        self.assertEqual(re.findall(r'(?:src|href)="(?!data:)', text), [], "the page loads nothing from outside")

    def test_try_command(self) -> None:
        """A scenario is run and logged; invalid settings are reported in one line."""
        path = str(self.folder / "calm.toml")
        result = run_command("experiment", "try", path, "--set", "world.nodes=6", "--log", str(self.folder / "log"))
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("service", result.stdout)
        self.assertTrue((self.folder / "log").read_bytes().startswith(b'[0.0,"world"'))
        for arguments, expected in [(("--set", "world.nodez=6"), "nodez"), (("--set", "world.nodes=x"), "--set")]:
            failed = run_command("experiment", "try", path, *arguments)
            self.assertEqual((failed.returncode, len(failed.stderr.splitlines())), (2, 1), failed.stderr)
            self.assertIn(expected, failed.stderr)
        (self.folder / "small.toml").write_text(EXPERIMENT + "module = { NO_SUCH = 1.0 }\n")
        failed = run_command("experiment", "run", str(self.folder / "small.toml"), "--db", self.db)
        self.assertEqual(failed.returncode, 2)
        self.assertIn("NO_SUCH", failed.stderr)

    def test_replaced_constants_are_restored_after_an_error(self) -> None:
        """Replaced constants are restored even if the block raises an error."""
        from hallhitch.decision import policy

        original = policy.EWMA_WEIGHT
        with self.assertRaises(ZeroDivisionError), experiments.replaced_constants({"EWMA_WEIGHT": 0.5}):
            self.assertEqual(policy.EWMA_WEIGHT, 0.5)
            raise ZeroDivisionError
        self.assertEqual(policy.EWMA_WEIGHT, original)
