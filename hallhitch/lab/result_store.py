"""Stores results of experiments in SQLite, each under a key that covers all of its inputs (`Job.key`)."""

from __future__ import annotations

import os
import platform
import sqlite3
import time
from pathlib import Path
from typing import Final

import msgspec
from msgspec import Struct

from hallhitch.lab.experiments import Job, Outcome, code_hash, commit
from hallhitch.lab.figures import Figures

TABLES: Final = """
CREATE TABLE IF NOT EXISTS result (
    key TEXT PRIMARY KEY, experiment TEXT NOT NULL, scenario TEXT NOT NULL, setting TEXT NOT NULL,
    seed INTEGER NOT NULL, figures BLOB NOT NULL, broken BLOB NOT NULL, code TEXT NOT NULL, machine TEXT NOT NULL,
    seconds REAL NOT NULL, at REAL NOT NULL, what BLOB NOT NULL);
CREATE INDEX IF NOT EXISTS result_of ON result (experiment, scenario, setting, seed);
"""
OutcomesBySetting = dict[tuple[str, str], dict[int, Outcome]]  # by (scenario, setting), then by seed


class ExperimentSummary(Struct, frozen=True):
    """The number of stored runs of an experiment, and the time of the last one."""

    name: str
    runs: int
    runs_with_violations: int
    last_at: float  # Unix seconds


class ResultStore:
    """The results in one database file."""

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self._database = sqlite3.connect(path, isolation_level=None)
        self._database.execute("PRAGMA journal_mode=WAL")
        self._database.executescript(TABLES)

    def close(self) -> None:
        """Close the database."""
        self._database.close()

    def missing(self, jobs: list[Job]) -> list[Job]:
        """Return the jobs that have no result yet."""
        existing = {key for (key,) in self._database.execute("SELECT key FROM result")}
        return [job for job in jobs if job.key not in existing]

    def save(self, job: Job, outcome: Outcome) -> None:
        """Store the result of a job."""
        definition = msgspec.json.encode({"scenario": job.scenario, "setting": job.setting})
        self._database.execute(
            "INSERT OR REPLACE INTO result VALUES (?,?,?,?,?,?,?,?,?,?,?,?)",
            (
                job.key,
                job.experiment,
                job.scenario.name,
                job.setting.name,
                job.seed,
                msgspec.json.encode(outcome.figures),
                msgspec.json.encode(outcome.broken),
                f"{code_hash()} {commit()}",
                f"{platform.machine()} {os.cpu_count()} cores",
                outcome.seconds,
                time.time(),
                definition,
            ),
        )

    def experiments(self) -> list[ExperimentSummary]:
        """Return the experiments that have results, ordered by their newest result."""
        rows = self._database.execute(
            "SELECT experiment, count(*), sum(CAST(broken AS TEXT) <> '[]'), max(at) FROM result "
            "GROUP BY experiment ORDER BY max(at)"
        )
        return [ExperimentSummary(*row) for row in rows]

    def outcomes(self, experiment: str) -> OutcomesBySetting:
        """Return the newest outcome of an experiment for each scenario, setting and seed."""
        outcomes: OutcomesBySetting = {}
        rows = self._database.execute(
            "SELECT scenario, setting, seed, figures, broken, seconds FROM result WHERE experiment=? ORDER BY at",
            (experiment,),
        )
        for scenario, setting, seed, figures, broken, seconds in rows:
            outcome = Outcome(msgspec.json.decode(figures, type=Figures), msgspec.json.decode(broken), seconds)
            outcomes.setdefault((scenario, setting), {})[seed] = outcome
        return outcomes
