"""Experiments: one run for each combination of scenario, setting and seed, in parallel processes.

Each result is saved when its run ends, under a key that covers all that it depends on: the scenario, the setting, the
seed and the source code. An interrupted experiment therefore resumes where it stopped and ends with the same results.
"""

from __future__ import annotations

import contextlib
import hashlib
import logging
import multiprocessing
import subprocess
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from functools import cache
from pathlib import Path
from typing import Annotated, Any, Protocol

import msgspec
import structlog
from msgspec import Meta, Struct

from hallhitch.decision import policy
from hallhitch.lab.checker import check
from hallhitch.lab.figures import Figures, compute_figures
from hallhitch.lab.scenario import Scenario, replaced
from hallhitch.lab.virtual_run import play
from hallhitch.settings_file import SettingsError, read

PACKAGE = Path(__file__).parents[1]
CODE_FOLDERS = ("core", "decision", "lab")  # folders of the package whose source code a result depends on


class Setting(Struct, frozen=True, forbid_unknown_fields=True):
    """One of the settings to compare: it replaces fields of the scenario and constants of the decision module."""

    name: Annotated[str, Meta(min_length=1)]
    scenario: dict[str, Any] = {}  # dotted path to value, such as "world.nodes"
    module: dict[str, float] = {}  # name of a constant of decision/policy.py to value


class Experiment(Struct, frozen=True, forbid_unknown_fields=True):
    """The content of an experiment file."""

    name: Annotated[str, Meta(min_length=1)]
    scenarios: Annotated[tuple[str, ...], Meta(min_length=1)]  # paths relative to this file's directory
    seeds: Annotated[int, Meta(ge=1, le=100_000)] = 20
    first_seed: int = 1
    settings: Annotated[tuple[Setting, ...], Meta(min_length=1)] = (Setting("as it is"),)
    about: str = ""

    def __post_init__(self) -> None:
        names = [setting.name for setting in self.settings]
        if len(set(names)) < len(names):
            raise ValueError("field 'settings': names must be unique")
        for number, setting in enumerate(self.settings):
            for constant in setting.module:
                if not isinstance(getattr(policy, constant, None), int | float):
                    where = f"field 'settings.{number}.module.{constant}'"
                    raise ValueError(f"{where}: decision/policy.py has no such number")  # noqa: TRY004  msgspec reports it


class Job(Struct, frozen=True):
    """One run of an experiment."""

    experiment: str
    scenario: Scenario
    setting: Setting
    seed: int

    @property
    def key(self) -> str:
        """The hash of all inputs of the result, and of the names of the experiment and the setting."""
        inputs = (self.scenario, self.setting.scenario, self.setting.module, self.seed, code_hash())
        encoded = msgspec.json.encode(inputs, order="deterministic")
        return hashlib.sha256(self.experiment.encode() + self.setting.name.encode() + encoded).hexdigest()


class Outcome(Struct, frozen=True):
    """The result of one run."""

    figures: Figures
    broken: list[str]  # the rule violations, as text
    seconds: float  # duration of the run


class OutcomeStore(Protocol):
    """Storage of outcomes by job."""

    def missing(self, jobs: list[Job]) -> list[Job]:
        """Return the jobs that have no result yet."""

    def save(self, job: Job, outcome: Outcome) -> None:
        """Store the result of a job."""


@cache
def code_hash() -> str:
    """Hash the source code, so that results of different code are kept apart."""
    digest = hashlib.sha256()
    for folder in CODE_FOLDERS:
        for path in sorted((PACKAGE / folder).rglob("*.py")):
            digest.update(path.read_bytes())
    return digest.hexdigest()[:16]


def commit() -> str:
    """Return the short hash of the checked-out commit, or an empty string outside a repository."""
    completed = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=Path(__file__).parent, capture_output=True, text=True, check=False
    )
    return completed.stdout.strip()


@contextlib.contextmanager
def replaced_constants(values: dict[str, float]) -> Iterator[None]:
    """Replace constants of the decision module, in this process, while the context is open."""
    originals = {name: getattr(policy, name) for name in values}
    try:
        for name, value in values.items():
            setattr(policy, name, type(originals[name])(value))
        yield
    finally:
        for name, value in originals.items():
            setattr(policy, name, value)


def load_experiment(path: str) -> tuple[Experiment, list[Scenario]]:
    """Read an experiment file and its scenarios, and check that each setting is valid for each scenario.

    Raises:
        SettingsError: a file cannot be read or a setting is invalid; names the field.
    """
    experiment = read(path, Experiment)
    scenarios = [read(str(Path(path).parent / name), Scenario) for name in experiment.scenarios]
    for scenario in scenarios:
        for number, setting in enumerate(experiment.settings):
            try:
                replaced(scenario, setting.scenario)
            except (ValueError, LookupError) as error:
                raise SettingsError(f"{path}: field 'settings.{number}.scenario': {error}") from error
    return experiment, scenarios


def make_jobs(experiment: Experiment, scenarios: list[Scenario]) -> list[Job]:
    """Return all runs of an experiment, ordered by seed so that early results can already be compared."""
    return [
        Job(experiment.name, scenario, setting, experiment.first_seed + number)
        for number in range(experiment.seeds)
        for scenario in scenarios
        for setting in experiment.settings
    ]


def run_job(job: Job) -> Outcome:
    """Execute one run in this process."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    started_at = time.perf_counter()
    with replaced_constants(job.setting.module):
        result = play(replaced(job.scenario, job.setting.scenario), job.seed)
    events = result.journal.events
    run_figures = compute_figures(events, result.traffic, result.counter_calls)
    violations = [str(violation) for violation in check(events)]
    return Outcome(run_figures, violations, time.perf_counter() - started_at)


def run_missing(store: OutcomeStore, jobs: list[Job], workers: int, on_outcome: Callable[[Job, Outcome], None]) -> int:
    """Execute the runs that have no result yet in parallel processes, and return their number."""
    missing = store.missing(jobs)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context) as pool:
        futures = {pool.submit(run_job, job): job for job in missing}
        try:
            for future in as_completed(futures):
                store.save(futures[future], future.result())
                on_outcome(futures[future], future.result())
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return len(missing)
