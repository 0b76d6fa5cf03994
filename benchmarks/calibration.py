"""The model in virtual time beside real gateways on sockets: the same scenarios and seeds, figure by figure.

    python -m benchmarks.calibration [--seeds 20] [--seconds 20] [--parallel 3] [--write docs/measured/calibration.md]

Differences are sockets less virtual, by paired seeds, with bootstrap intervals. Each socket run needs two cores or so.
"""

from __future__ import annotations

import argparse
import logging
import multiprocessing
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import structlog

from hallhitch.lab import virtual_run
from hallhitch.lab.checker import check
from hallhitch.lab.figures import Figures, compute_figures
from hallhitch.lab.scenario import Scenario, replaced
from hallhitch.lab.sockets import run
from hallhitch.lab.statistics import bootstrap_interval
from hallhitch.settings_file import read

ROOT = Path(__file__).parents[1] / "scenarios"
SCENARIOS = ("calm", "quick-failures", "resets", "counter-down", "gateways-die")
FIGURES = ("service", "in_time", "refused", "beyond_units", "attempts", "resets", "errors", "p50", "p99")


def both(name: str, seed: int, seconds: float) -> tuple[Figures, Figures, int]:
    """One seed both ways, and how many rules broke on sockets."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    told = replaced(read(str(ROOT / f"{name}.toml"), Scenario), {"world.gateways": 2})
    by = min(1.0, seconds / told.seconds)
    faults = tuple(msgspec.structs.replace(f, at_s=f.at_s * by, for_s=f.for_s * by) for f in told.faults)
    told = msgspec.structs.replace(told, seconds=told.seconds * by, faults=faults)
    virtual = virtual_run.play(told, seed)
    real = run.play(told, seed)
    return (
        compute_figures(virtual.journal.events, virtual.traffic, virtual.counter_calls),
        compute_figures(real.journal.events, real.traffic, real.counter.calls),
        len(check(real.journal.events)),
    )


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--parallel", type=int, default=3)
    parser.add_argument("--write", type=Path)
    told = parser.parse_args()
    jobs = [(name, seed) for name in SCENARIOS for seed in range(1, told.seeds + 1)]
    found: dict[str, list[Any]] = {name: [] for name in SCENARIOS}
    with ProcessPoolExecutor(told.parallel, mp_context=multiprocessing.get_context("spawn")) as pool:
        futures = [(name, pool.submit(both, name, seed, told.seconds)) for name, seed in jobs]
        for name, future in futures:
            found[name].append(future.result())
    rows, broken = [], 0
    for name, results in found.items():
        broken += sum(b for *_, b in results)
        for figure in FIGURES:
            virtual = bootstrap_interval([float(getattr(v, figure)) for v, _, _ in results])
            real = bootstrap_interval([float(getattr(r, figure)) for _, r, _ in results])
            apart = bootstrap_interval([float(getattr(r, figure)) - float(getattr(v, figure)) for v, r, _ in results])
            says = "agree" if apart.low <= 0 <= apart.high else "differ"
            rows.append(
                f"| {name} | {figure} | {virtual.mean:.4g} | {real.mean:.4g} | {apart.mean:.4g} "
                f"({apart.low:.4g} to {apart.high:.4g}) | {says} |"
            )
    text = "\n".join(
        [
            "# Virtual runs beside runs on sockets",
            "",
            f"`python -m benchmarks.calibration --seeds {told.seeds} --seconds {told.seconds:g} "
            f"--parallel {told.parallel}`: two gateways, {told.seeds} seeds each; {broken} rules broken on sockets.",
            "",
            "| scenario | figure | virtual | sockets | difference | |",
            "| --- | --- | --- | --- | --- | --- |",
            *rows,
            "",
        ]
    )
    print(text)
    if told.write:
        told.write.write_text(text)


if __name__ == "__main__":
    main()
