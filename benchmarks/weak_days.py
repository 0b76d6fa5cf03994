"""What the platform's two weakest kinds of day cost in the emulator: by load, and by how many connections a node takes.

    python -m benchmarks.weak_days [--seeds 6] [--write docs/measured/weak-days.md]

Each day is played in virtual time with its faults and without them, under the same seeds: differences are paired.
"""

from __future__ import annotations

import argparse
import logging
import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
import structlog

from hallhitch.lab import virtual_run
from hallhitch.lab.figures import Figures, compute_figures
from hallhitch.lab.scenario import Scenario, replaced
from hallhitch.lab.statistics import bootstrap_interval
from hallhitch.settings_file import read

ROOT = Path(__file__).parents[1] / "scenarios"
LOADS = (0.55, 0.85)
CONNECTIONS = (64, 7, 5)
SECONDS = 30.0
Job = tuple[str, float, int, int, bool]


def one(job: Job) -> Figures:
    """One run: scenario, load, connections of a node, seed, and whether its faults come."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    name, load, connections, seed, faults = job
    told = replaced(
        read(str(ROOT / f"{name}.toml"), Scenario),
        {"traffic.load": load, "world.gateways": 4, "world.connections": connections, "seconds": SECONDS},
    )
    if not faults:
        told = msgspec.structs.replace(told, faults=())
    run = virtual_run.play(told, seed)
    return compute_figures(run.journal.events, run.traffic, run.counter_calls)


def main() -> None:
    """Measure and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--write", type=Path)
    told = parser.parse_args()
    days = [
        (name, load, connections)
        for name in ("resets", "quick-failures")
        for load in LOADS
        for connections in CONNECTIONS
    ]
    jobs: list[Job] = [
        (*day, seed, faults) for day in days for seed in range(1, told.seeds + 1) for faults in (False, True)
    ]
    with ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
        found = dict(zip(jobs, pool.map(one, jobs), strict=True))
    rows = []
    for day in days:
        calm, hurt = ([found[(*day, seed, faults)] for seed in range(1, told.seeds + 1)] for faults in (False, True))
        cost = bootstrap_interval([c.service - h.service for c, h in zip(calm, hurt, strict=True)])
        mean = [
            sum(getattr(each, field) for each in hurt) / len(hurt)
            for field in ("service", "refused", "attempts", "resets", "errors", "p99")
        ]
        shares = " | ".join(f"{value:.3f}" for value in mean[:-1])
        span = f"{cost.mean:.4f} ({cost.low:.4f} to {cost.high:.4f})"
        rows.append(f"| {day[0]} | {day[1]:g} | {day[2]} | {span} | {shares} | {mean[-1]:.0f} |")
    text = "\n".join(
        [
            "# The two weakest kinds of day, in the emulator",
            "",
            f"`python -m benchmarks.weak_days --seeds {told.seeds}`: four gateways, {SECONDS:g} s in virtual time;",
            "what the faults cost of service, by paired seeds with intervals, and means of the days with faults.",
            "",
            "| day | load | connections a node takes | cost in service | service | refused | attempts a try | resets |"
            " errors | p99, ms |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
            *rows,
            "",
        ]
    )
    print(text)
    if told.write:
        told.write.write_text(text)


if __name__ == "__main__":
    main()
