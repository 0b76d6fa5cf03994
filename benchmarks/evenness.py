"""How evenly gateways with thin views load a fleet: by their number, against other ways to choose, and by lateness.

    python -m benchmarks.evenness sizes [--seeds 20] [--sizes 1,4,40,200]
    python -m benchmarks.evenness choices [--seeds 20] [--sizes 200]
    python -m benchmarks.evenness late [--seeds 20] [--sizes 200]
    python -m benchmarks.evenness loss [--seeds 20] [--sizes 1,4,40,200]
    python -m benchmarks.evenness cases [--seeds 20] [--sizes 40]

`--constant UNSEEN_ATTEMPTS=0` plays the module without places in its choice. `cases` plays each hard case with and
without, by paired seeds, with three nodes to two gateways. The others: virtual time, 100 nodes, 700 requests a second,
a calm day. Each prints a table of docs/measured/evenness.md.
"""

from __future__ import annotations

import argparse
import logging
import math
import multiprocessing
import os
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import structlog

from hallhitch.lab import virtual_run
from hallhitch.lab.cases import load_cases
from hallhitch.lab.checker import check
from hallhitch.lab.evenness import measure_evenness
from hallhitch.lab.experiments import replaced_constants
from hallhitch.lab.figures import compute_figures
from hallhitch.lab.scenario import Scenario, replaced
from hallhitch.lab.statistics import bootstrap_interval
from hallhitch.settings_file import read

SCENARIOS: Final = Path(__file__).parents[1] / "scenarios"
CASES_FILE: Final = str(SCENARIOS / "cases" / "evenness.toml")
SERVERS: Final = 100
REQUESTS_PER_S: Final = 700.0
CASE_DURATION_S: Final = 20.0
WITHOUT_PLACES: Final = {"UNSEEN_ATTEMPTS": 0.0}  # constant of the policy that gives places no part in the choice
INFORMED_LATENESS_MS: Final = (0.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0)
HEADINGS_BY_FIGURE: Final = {
    "service": "service",
    "p99": "p99, ms",
    "moment_cv": "CV of requests in work",
    "idle": "idle nodes",
    "second_cv": "CV of a second",
    "second_most": "fullest / mean, a second",
    "run_least": "whole run: least",
    "run_most": "most",
    "herd_pairs": "pairs in a connect time / chance",
}
LOSS_FIGURES: Final = ("service", "refused", "failed", "late", "beyond_cost", "attempts", "counter_calls")
PAIRED_FIGURE_DIGITS: Final = {"p99": 0, "idle": 3, "second_cv": 3, "attempts": 3, "fair": 2, "rush": 2, "broken": 2}
FIGURE_DIGITS: Final = {"service": 4, "p99": 0}
DEFAULT_DIGITS: Final = 3
Figures = dict[str, float]


@dataclass(frozen=True, slots=True)
class Variant:
    """A way to choose: a row's name, and the scenario's settings that differ."""

    name: str
    overrides: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CalmRun:
    """One run of a calm day."""

    gateways: int
    seed: int
    duration_s: float
    overrides: dict[str, Any]
    constants: dict[str, float]


@dataclass(frozen=True, slots=True)
class CaseRun:
    """One run of a hard case."""

    case: str
    gateways: int
    seed: int
    constants: dict[str, float]


def _silence_logs() -> None:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


def run_calm_day(run: CalmRun) -> Figures:
    """Return the figures of one run of a calm day."""
    _silence_logs()
    day = {
        "world.gateways": run.gateways,
        "world.nodes": SERVERS,
        "traffic.rate": REQUESTS_PER_S,
        "seconds": run.duration_s,
    }
    scenario = replaced(read(str(SCENARIOS / "calm.toml"), Scenario), day | run.overrides)
    return measure(scenario, run.seed, run.constants)


def run_case(run: CaseRun) -> Figures:
    """Return the figures of one run of a case, with three servers to two gateways."""
    _silence_logs()
    spread = [min(1.0, 3 / run.gateways), min(1.0, 4 / run.gateways)]
    scenarios = load_cases(
        CASES_FILE,
        {
            "world.gateways": run.gateways,
            "world.nodes": max(20, run.gateways * 3 // 2),
            "traffic.load": 0.5,
            "traffic.spread": spread,
            "seconds": CASE_DURATION_S,
        },
    )
    return measure(scenarios[run.case], run.seed, run.constants)


def measure(scenario: Scenario, seed: int, constants: dict[str, float]) -> Figures:
    """Return all numeric figures of one run, with broken rules and how arriving servers were met."""
    with replaced_constants(constants):
        run = virtual_run.play(scenario, seed)
    service = compute_figures(run.journal.events, run.traffic, run.counter_calls)
    balance = measure_evenness(run.journal.events)
    values = {
        name: float(getattr(record, name))
        for record in (service, balance)
        for name in record.__struct_fields__
        if isinstance(getattr(record, name), int | float)
    }
    arrivals = balance.arrivals
    values["broken"] = float(len(check(run.journal.events)))
    values["rush"] = sum(arrival.rush for arrival in arrivals) / len(arrivals) if arrivals else math.nan
    values["fair"] = sum(math.isfinite(arrival.fair) for arrival in arrivals) / len(arrivals) if arrivals else math.nan
    return values


def mean_cell(runs: Sequence[Figures], name: str) -> str:
    """Return the mean of a figure with its interval."""
    interval = bootstrap_interval([run[name] for run in runs])
    digits = FIGURE_DIGITS.get(name, DEFAULT_DIGITS)
    return f"{interval.mean:.{digits}f} ({interval.low:.{digits}f} to {interval.high:.{digits}f})"


def paired_cell(without: Sequence[Figures], with_places: Sequence[Figures], name: str) -> str:
    """Return the means of a figure without and with places, or a dash where a run has none."""
    means = [sum(run[name] for run in runs) / len(runs) for runs in (without, with_places)]
    if math.isnan(sum(means)):
        return "-"
    digits = PAIRED_FIGURE_DIGITS[name]
    return ", ".join(f"{mean:.{digits}f}" for mean in means)


def print_cases(sizes: Sequence[int], seeds: int, workers: int) -> None:
    """Print each case with and without places in the choice, and the paired difference of service."""
    print(
        "| case | gateways | service | difference to without (paired) | p99, ms: without, with | idle nodes | "
        "CV of a second | attempts a try | newcomers at their part | rush | rules broken |"
    )
    print("| --- " * 11 + "|")
    with ProcessPoolExecutor(workers) as pool:
        for gateways in sizes:
            for case in load_cases(CASES_FILE, {}):
                without, with_places = (
                    list(pool.map(run_case, [CaseRun(case, gateways, seed + 1, constants) for seed in range(seeds)]))
                    for constants in (WITHOUT_PLACES, dict[str, float]())
                )
                print(_case_row(case, gateways, without, with_places), flush=True)


def _case_row(case: str, gateways: int, without: Sequence[Figures], with_places: Sequence[Figures]) -> str:
    gain = bootstrap_interval(
        [after["service"] - before["service"] for before, after in zip(without, with_places, strict=True)]
    )
    pairs = " | ".join(paired_cell(without, with_places, name) for name in PAIRED_FIGURE_DIGITS)
    return f"| {case} | {gateways} | {mean_cell(with_places, 'service')} | {gain} | {pairs} |"


def variants_of(table: str) -> list[Variant]:
    """Return the ways to choose that a table compares."""
    variants = [Variant("module")]
    if table == "choices":
        variants += [
            Variant(
                f"{name}, {'few' if is_near else 'all'} servers",
                {"world.choice": name, "world.choice_near": is_near},
            )
            for name in ("uniform", "round_robin", "two", "least")
            for is_near in (True, False)
        ]
        informed = {"world.choice": "informed", "world.choice_near": False}
        variants.append(Variant("told what nodes hold, all servers", informed))
    elif table == "late":
        variants += [
            Variant(
                f"told what nodes hold {late_ms} ms late",
                {"world.choice": "informed", "world.choice_late_ms": late_ms},
            )
            for late_ms in INFORMED_LATENESS_MS
        ]
    return variants


@dataclass(frozen=True, slots=True)
class CalmTable:
    """What a table of calm days compares, and by how many runs."""

    table: str
    sizes: Sequence[int]
    seeds: int
    duration_s: float
    constants: dict[str, float]

    def print(self, workers: int) -> None:
        """Print a row for each size and way to choose."""
        is_loss = self.table == "loss"
        columns = LOSS_FIGURES if is_loss else tuple(HEADINGS_BY_FIGURE)
        headings = LOSS_FIGURES if is_loss else tuple(HEADINGS_BY_FIGURE.values())
        print("| gateways | choice | " + " | ".join(headings) + " |")
        print("| --- " * (len(headings) + 2) + "|")
        with ProcessPoolExecutor(workers) as pool:
            for gateways in self.sizes:
                for variant in variants_of(self.table):
                    runs = list(pool.map(run_calm_day, self._runs(gateways, variant)))
                    cells = " | ".join(mean_cell(runs, column) for column in columns)
                    print(f"| {gateways} | {variant.name} | {cells} |", flush=True)

    def _runs(self, gateways: int, variant: Variant) -> list[CalmRun]:
        return [
            CalmRun(gateways, seed, self.duration_s, variant.overrides, self.constants)
            for seed in range(1, self.seeds + 1)
        ]


def main() -> None:
    """Print the table that is asked for."""
    multiprocessing.set_start_method("spawn")
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=["sizes", "choices", "late", "loss", "cases"])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--sizes", default="1,4,40,200")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    parser.add_argument("--constant", action="append", default=[], help="Of decision/policy.py: NAME=VALUE.")
    arguments = parser.parse_args()
    sizes = [int(size) for size in arguments.sizes.split(",")]
    if arguments.what == "cases":
        print_cases(sizes, arguments.seeds, arguments.workers)
        return
    assignments = (text.partition("=") for text in arguments.constant)
    constants = {name: float(value) for name, _, value in assignments}
    CalmTable(arguments.what, sizes, arguments.seeds, arguments.seconds, constants).print(arguments.workers)


if __name__ == "__main__":
    main()
