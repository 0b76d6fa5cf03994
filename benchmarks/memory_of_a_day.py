"""Memory of the real gateways over a long day: fresh clients, replaced nodes, failures, departures.

    python -m benchmarks.memory_of_a_day [--seconds 480] [--rate 100] [--write docs/measured/memory-of-a-day.md]

The long scenario on sockets, its faults moved to fit; each gateway counts what it holds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from hallhitch.lab.scenario import Scenario, replaced
from hallhitch.lab.sockets.run import SocketRun


def lines(seconds: float, rate: float) -> list[list[dict[str, Any]]]:
    """What each gateway told, line by line."""
    scenario = msgspec.toml.decode((Path("scenarios") / "long.toml").read_bytes(), type=Scenario)
    share = seconds / scenario.seconds
    faults = [{**msgspec.to_builtins(f), "at_s": f.at_s * share, "for_s": f.for_s * share} for f in scenario.faults]
    run = SocketRun(replaced(scenario, {"seconds": seconds, "traffic.rate": rate, "faults": faults}), 1)
    run.module = "benchmarks.counted_gateway"
    with tempfile.TemporaryDirectory() as folder:
        os.environ["COUNTS_TO"] = str(Path(folder) / "counts")
        asyncio.run(run.play())
        return [[json.loads(line) for line in path.read_text().splitlines()] for path in sorted(Path(folder).iterdir())]


def main() -> None:
    """Measure and print tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=480.0)
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--write", type=Path)
    told = parser.parse_args()
    found = lines(told.seconds, told.rate)
    rows = ["| gateway | s | resident, MiB | collected | resident behind it |", "| --- | --- | --- | --- | --- |"]
    for number, each in enumerate(found):
        rows += [
            f"| {number} | {at['s']} | {at['rss'] / 1024:.1f} | {at['collected']} | {at['after'] / 1024:.1f} |"
            for at in each[::4]
        ]
    rows += ["", "Objects and tables of the first gateway, at three times:", ""]
    picked = [found[0][n] for n in (len(found[0]) // 5, len(found[0]) // 2, -1)]
    rows += ["| what | " + " | ".join(f"{at['s']} s" for at in picked) + " |", "| --- | --- | --- | --- |"]
    for part in ("types", "tables"):
        for name in picked[-1][part]:
            rows.append(f"| {name} | {' | '.join(str(at[part].get(name, '')) for at in picked)} |")
    text = "\n".join(
        [
            "# Memory of a long day",
            "",
            f"`python -m benchmarks.memory_of_a_day --seconds {told.seconds:g} --rate {told.rate:g}`: the long",
            "scenario on sockets; each gateway collects and counts every 15 s, so what is counted is held by somebody.",
            "",
            *rows,
            "",
        ]
    )
    print(text)
    if told.write:
        told.write.write_text(text)


if __name__ == "__main__":
    main()
