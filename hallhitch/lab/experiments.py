"""Experiments: scenarios times settings times seeds, in parallel, kept in SQLite, compared by paired seeds.

A result is written as soon as it is there, under what it depends on: an experiment that was interrupted goes on where
it was, and ends with the same results, since each depends on its scenario, setting and seed alone.
"""

from __future__ import annotations

import contextlib
import hashlib
import logging
import multiprocessing
import os
import platform
import sqlite3
import subprocess
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Annotated, Any

import msgspec
import numpy as np
import structlog
from msgspec import Meta, Struct

from hallhitch.decision import policy
from hallhitch.lab.checker import check
from hallhitch.lab.figures import Figures, figures
from hallhitch.lab.scenario import Scenario, replaced
from hallhitch.lab.virtual_run import play
from hallhitch.settings_file import SettingsError, read

DRAWS = 4_000  # of the bootstrap
TABLES = """
CREATE TABLE IF NOT EXISTS result (
    key TEXT PRIMARY KEY, experiment TEXT NOT NULL, scenario TEXT NOT NULL, setting TEXT NOT NULL,
    seed INTEGER NOT NULL, figures BLOB NOT NULL, broken BLOB NOT NULL, code TEXT NOT NULL, machine TEXT NOT NULL,
    seconds REAL NOT NULL, at REAL NOT NULL, what BLOB NOT NULL);
CREATE INDEX IF NOT EXISTS result_of ON result (experiment, scenario, setting, seed);
"""


class Setting(Struct, frozen=True, forbid_unknown_fields=True):
    """One of the settings compared: fields of the scenario, and constants of the decision module, replaced."""

    name: Annotated[str, Meta(min_length=1)]
    scenario: dict[str, Any] = {}  # dotted path to value, such as "world.nodes"
    module: dict[str, float] = {}  # name of a constant of decision/policy.py to value


class Experiment(Struct, frozen=True, forbid_unknown_fields=True):
    """An experiment's file."""

    name: Annotated[str, Meta(min_length=1)]
    scenarios: Annotated[tuple[str, ...], Meta(min_length=1)]  # paths; they start at the file's folder
    seeds: Annotated[int, Meta(ge=1, le=100_000)] = 20
    first_seed: int = 1
    settings: Annotated[tuple[Setting, ...], Meta(min_length=1)] = (Setting("as it is"),)
    about: str = ""

    def __post_init__(self) -> None:
        names = [setting.name for setting in self.settings]
        if len(set(names)) < len(names):
            raise ValueError("field 'settings': two have the same name")
        for number, setting in enumerate(self.settings):
            for constant in setting.module:
                if not isinstance(getattr(policy, constant, None), int | float):
                    raise ValueError(f"field 'settings.{number}.module.{constant}': decision/policy.py has none")


class Job(Struct, frozen=True):
    """One run to make."""

    experiment: str
    scenario: Scenario
    setting: Setting
    seed: int

    @property
    def key(self) -> str:
        """What the result depends on."""
        what = msgspec.json.encode(
            (self.scenario, self.setting.scenario, self.setting.module, self.seed, code()), order="deterministic"
        )
        return hashlib.sha256(self.experiment.encode() + self.setting.name.encode() + what).hexdigest()


class Outcome(Struct, frozen=True):
    """What one run came to."""

    figures: Figures
    broken: list[str]
    seconds: float


_code = ""


def code() -> str:
    """A hash of the program's text: a result of other code is another result."""
    global _code
    if not _code:
        digest = hashlib.sha256()
        root = Path(__file__).parents[1]
        for folder in ("core", "decision", "lab"):
            for path in sorted((root / folder).rglob("*.py")):
                digest.update(path.read_bytes())
        _code = digest.hexdigest()[:16]
    return _code


def commit() -> str:
    """The commit that the tree stands at, or nothing."""
    done = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=Path(__file__).parent, capture_output=True, text=True, check=False
    )
    return done.stdout.strip()


@contextlib.contextmanager
def constants(values: dict[str, float]) -> Iterator[None]:
    """The decision module with some of its constants replaced, in this process."""
    was = {name: getattr(policy, name) for name in values}
    try:
        for name, value in values.items():
            setattr(policy, name, type(was[name])(value))
        yield
    finally:
        for name, value in was.items():
            setattr(policy, name, value)


def make(job: Job) -> Outcome:
    """Make one run."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    began = time.perf_counter()
    with constants(job.setting.module):
        result = play(replaced(job.scenario, job.setting.scenario), job.seed)
    found = figures(result.journal.events, result.traffic, result.counter_calls)
    return Outcome(found, [str(b) for b in check(result.journal.events)], time.perf_counter() - began)


def load(path: str) -> tuple[Experiment, list[Scenario]]:
    """An experiment's file and its scenarios, all settings tried on them once."""
    told = read(path, Experiment)
    scenarios = [read(str(Path(path).parent / name), Scenario) for name in told.scenarios]
    for scenario in scenarios:
        for number, setting in enumerate(told.settings):
            try:
                replaced(scenario, setting.scenario)
            except (ValueError, LookupError) as error:
                raise SettingsError(f"{path}: field 'settings.{number}.scenario': {error}") from error
    return told, scenarios


class Results:
    """The results kept in a file."""

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self._db = sqlite3.connect(path, isolation_level=None)
        self._db.execute("PRAGMA journal_mode=WAL")
        self._db.executescript(TABLES)

    def close(self) -> None:
        """Let go of the file."""
        self._db.close()

    def missing(self, jobs: list[Job]) -> list[Job]:
        """The runs that have no result yet."""
        have = {key for (key,) in self._db.execute("SELECT key FROM result")}
        return [job for job in jobs if job.key not in have]

    def keep(self, job: Job, outcome: Outcome) -> None:
        """Write a result."""
        what = msgspec.json.encode({"scenario": job.scenario, "setting": job.setting})
        self._db.execute(
            "INSERT OR REPLACE INTO result VALUES (?,?,?,?,?,?,?,?,?,?,?,?)",
            (
                job.key,
                job.experiment,
                job.scenario.name,
                job.setting.name,
                job.seed,
                msgspec.json.encode(outcome.figures),
                msgspec.json.encode(outcome.broken),
                f"{code()} {commit()}",
                f"{platform.machine()} {os.cpu_count()} cores",
                outcome.seconds,
                time.time(),
                what,
            ),
        )

    def experiments(self) -> list[tuple[str, int, int, float]]:
        """Each experiment: its name, runs, runs with a broken rule, when it last got one."""
        return self._db.execute(
            "SELECT experiment, count(*), sum(CAST(broken AS TEXT) <> '[]'), max(at) FROM result "
            "GROUP BY experiment ORDER BY max(at)"
        ).fetchall()

    def of(self, experiment: str) -> dict[tuple[str, str], dict[int, Outcome]]:
        """Newest results of an experiment, by scenario and setting, by seed."""
        found: dict[tuple[str, str], dict[int, Outcome]] = {}
        for scenario, setting, seed, body, broken, seconds in self._db.execute(
            "SELECT scenario, setting, seed, figures, broken, seconds FROM result WHERE experiment=? ORDER BY at",
            (experiment,),
        ):
            found.setdefault((scenario, setting), {})[seed] = Outcome(
                msgspec.json.decode(body, type=Figures), msgspec.json.decode(broken), seconds
            )
        return found


def jobs_of(told: Experiment, scenarios: list[Scenario]) -> list[Job]:
    """All runs of an experiment, seed by seed, so that what is there early can be compared."""
    return [
        Job(told.name, scenario, setting, told.first_seed + number)
        for number in range(told.seeds)
        for scenario in scenarios
        for setting in told.settings
    ]


def run(results: Results, jobs: list[Job], workers: int, done: Callable[[Job, Outcome], None]) -> int:
    """Make what is missing; how many runs that was."""
    todo = results.missing(jobs)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context) as pool:
        futures = {pool.submit(make, job): job for job in todo}
        try:
            for future in as_completed(futures):
                results.keep(futures[future], future.result())
                done(futures[future], future.result())
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return len(todo)


class Interval(Struct, frozen=True):
    """A mean with the interval that holds it in 95 of 100 draws of seeds."""

    mean: float
    low: float
    high: float
    count: int

    def __str__(self) -> str:
        return f"{self.mean:.4f} ({self.low:.4f} to {self.high:.4f})"


def interval(values: list[float]) -> Interval:
    """A bootstrap interval of a mean."""
    numbers = np.asarray(values, dtype=float)
    rng = np.random.Generator(np.random.PCG64(len(values)))
    means = rng.choice(numbers, (DRAWS, len(numbers))).mean(axis=1)
    low, high = np.percentile(means, [2.5, 97.5])
    return Interval(float(numbers.mean()), float(low), float(high), len(numbers))


class Compared(Struct, frozen=True):
    """Two settings by the seeds that both have: the second less the first."""

    difference: Interval
    verdict: str  # better, worse or cannot tell


def compare(
    first: dict[int, Outcome], second: dict[int, Outcome], figure: str = "service", more_is_better: bool = True
) -> Compared:
    """Compare by paired seeds; with fewer than five pairs nothing is told."""
    seeds = sorted(set(first) & set(second))
    if not seeds:
        raise ValueError("the two have no seed in common")
    pairs = [float(getattr(second[s].figures, figure)) - float(getattr(first[s].figures, figure)) for s in seeds]
    found = interval(pairs)
    if len(seeds) < 5 or found.low <= 0 <= found.high:
        return Compared(found, "cannot tell")
    return Compared(found, "better" if (found.low > 0) == more_is_better else "worse")
