"""How evenly gateways with thin views load a fleet: by their number, against other ways to choose, and by lateness.

    python -m benchmarks.evenness sizes [--seeds 20] [--sizes 1,4,40,200]
    python -m benchmarks.evenness choices [--seeds 20] [--sizes 200]
    python -m benchmarks.evenness late [--seeds 20] [--sizes 200]
    python -m benchmarks.evenness loss [--seeds 20] [--sizes 1,4,40,200]
    python -m benchmarks.evenness cases [--seeds 20] [--sizes 40]

`--constant UNSEEN=0` plays the module without places in its choice. `cases` plays each hard case with and without, by
paired seeds, with three nodes to two gateways. The others: virtual time, 100 nodes, 700 requests a second, a calm day.
Each prints a table of docs/measured/evenness.md.
"""

from __future__ import annotations

import argparse
import logging
import math
import multiprocessing
import os
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import structlog

from hallhitch.lab import virtual_run
from hallhitch.lab.cases import load_cases
from hallhitch.lab.checker import check
from hallhitch.lab.evenness import evenness
from hallhitch.lab.experiments import replaced_constants
from hallhitch.lab.figures import figures
from hallhitch.lab.scenario import Scenario, replaced
from hallhitch.lab.statistics import bootstrap_interval
from hallhitch.settings_file import read

ROOT = Path(__file__).parents[1] / "scenarios"
CASES = str(ROOT / "cases" / "evenness.toml")
Job = tuple[int, int, float, dict[str, Any], dict[str, float]]
CaseJob = tuple[str, int, int, dict[str, float]]
COLUMNS: tuple[str, ...] = (
    "service",
    "p99",
    "moment_cv",
    "idle",
    "second_cv",
    "second_most",
    "run_least",
    "run_most",
    "herd_pairs",
)
HEADS: tuple[str, ...] = (
    "service",
    "p99, ms",
    "CV of requests in work",
    "idle nodes",
    "CV of a second",
    "fullest / mean, a second",
    "whole run: least",
    "most",
    "pairs in a connect time / chance",
)
PAIRS = {"p99": 0, "idle": 3, "second_cv": 3, "attempts": 3, "fair": 2, "rush": 2, "broken": 2}
LOSSES: tuple[str, ...] = ("service", "refused", "failed", "late", "beyond_cost", "attempts", "counter_calls")
DIGITS = {"service": 4, "p99": 0}


def play(job: Job) -> dict[str, float]:
    """One run."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    gateways, seed, seconds, sets, module = job
    told = replaced(
        read(str(ROOT / "calm.toml"), Scenario),
        {"world.gateways": gateways, "world.nodes": 100, "traffic.rate": 700.0, "seconds": seconds} | sets,
    )
    return measured(told, seed, module)


def play_case(job: CaseJob) -> dict[str, float]:
    """One run of a case."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    name, gateways, seed, module = job
    spread = [min(1.0, 3 / gateways), min(1.0, 4 / gateways)]
    told = load_cases(
        CASES,
        {
            "world.gateways": gateways,
            "world.nodes": max(20, gateways * 3 // 2),
            "traffic.load": 0.5,
            "traffic.spread": spread,
            "seconds": 20.0,
        },
    )
    return measured(told[name], seed, module)


def measured(told: Scenario, seed: int, module: dict[str, float]) -> dict[str, float]:
    """All figures of one run that are numbers, with breaches of the rules and how newcomers were met."""
    with replaced_constants(module):
        run = virtual_run.play(told, seed)
    worth = figures(run.journal.events, run.traffic, run.counter_calls)
    even = evenness(run.journal.events)
    found = {
        name: float(getattr(where, name))
        for where in (worth, even)
        for name in where.__struct_fields__
        if isinstance(getattr(where, name), int | float)
    }
    found["broken"] = float(len(check(run.journal.events)))
    came = even.arrivals
    found["rush"] = sum(a.rush for a in came) / len(came) if came else math.nan
    found["fair"] = sum(math.isfinite(a.fair) for a in came) / len(came) if came else math.nan
    return found


def cell(runs: list[dict[str, float]], name: str) -> str:
    """A mean with its interval."""
    found, digits = bootstrap_interval([run[name] for run in runs]), DIGITS.get(name, 3)
    return f"{found.mean:.{digits}f} ({found.low:.{digits}f} to {found.high:.{digits}f})"


def all_cases(sizes: list[int], seeds: int, workers: int) -> None:
    """Print each case with and without places in the choice, and the paired difference of service."""
    print(
        "| case | gateways | service | difference to without (paired) | p99, ms: without, with | idle nodes | "
        "CV of a second | attempts a try | newcomers at their part | rush | rules broken |"
    )
    print("| --- " * 11 + "|")
    with ProcessPoolExecutor(workers) as pool:
        for size in sizes:
            for name in load_cases(CASES, {}):
                ways: list[dict[str, float]] = [{"UNSEEN": 0.0}, {}]
                off, on = (
                    list(pool.map(play_case, [(name, size, seed, way) for seed in range(1, seeds + 1)])) for way in ways
                )
                gain = bootstrap_interval([b["service"] - a["service"] for a, b in zip(off, on, strict=True)])
                pairs = " | ".join(both(off, on, key, digits) for key, digits in PAIRS.items())
                print(f"| {name} | {size} | {cell(on, 'service')} | {gain} | {pairs} |", flush=True)


def both(off: list[dict[str, float]], on: list[dict[str, float]], key: str, digits: int) -> str:
    """Two means, or none where there is nothing to be told."""
    means = [sum(run[key] for run in runs) / len(runs) for runs in (off, on)]
    return "-" if math.isnan(sum(means)) else ", ".join(f"{mean:.{digits}f}" for mean in means)


def main() -> None:
    """Measure what is asked for."""
    multiprocessing.set_start_method("spawn")
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=["sizes", "choices", "late", "loss", "cases"])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--sizes", default="1,4,40,200")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    parser.add_argument("--constant", action="append", default=[], help="Of decision/policy.py: NAME=VALUE.")
    told = parser.parse_args()
    module = {name: float(value) for name, _, value in (text.partition("=") for text in told.constant)}
    if told.what == "cases":
        return all_cases([int(size) for size in told.sizes.split(",")], told.seeds, told.workers)
    rows: list[tuple[str, dict[str, Any]]] = [("module", {})]
    if told.what == "choices":
        rows += [
            (f"{name}, {'few' if near else 'all'} servers", {"world.choice": name, "world.choice_near": near})
            for name in ("uniform", "round_robin", "two", "least")
            for near in (True, False)
        ]
        rows.append(("told what nodes hold, all servers", {"world.choice": "informed", "world.choice_near": False}))
    elif told.what == "late":
        rows += [
            (f"told what nodes hold {late} ms late", {"world.choice": "informed", "world.choice_late_ms": late})
            for late in (0.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0)
        ]
    columns, heads = (LOSSES, LOSSES) if told.what == "loss" else (COLUMNS, HEADS)
    print("| gateways | choice | " + " | ".join(heads) + " |\n" + "| --- " * (len(heads) + 2) + "|")
    with ProcessPoolExecutor(told.workers) as pool:
        for size in (int(size) for size in told.sizes.split(",")):
            for name, sets in rows:
                runs = list(
                    pool.map(play, [(size, seed, told.seconds, sets, module) for seed in range(1, told.seeds + 1)])
                )
                cells = " | ".join(cell(runs, column) for column in columns)
                print(f"| {size} | {name} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
