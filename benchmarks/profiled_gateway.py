"""The real gateway under cProfile; started like the gateway itself.

`python -O -m benchmarks.profiled_gateway`. At its end, where the environment's PROFILE_TO names a file, the functions
that took most time of their own are written there, in us of each request answered. The profiler costs time itself:
shares are meaningful, times are not.
"""

from __future__ import annotations

import cProfile
import os
import pstats
import sys
import time
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from hallhitch import gateway

FILE_ROWS: Final = 14
FUNCTION_ROWS: Final = 40
ANSWER_FUNCTION: Final = "_answer"  # called once for each request


@dataclass(frozen=True, slots=True)
class FunctionCost:
    """Calls and own time of one function."""

    path: str
    line: int  # 0 for built-in functions
    name: str
    calls: int
    own_s: float

    @property
    def file(self) -> str:
        """The file's name with its directory."""
        return "/".join(Path(self.path).parts[-2:]) if self.line else "built-in"

    @property
    def label(self) -> str:
        """Where the function is defined, and its name."""
        return f"{Path(self.path).stem}:{self.line} {self.name}" if self.line else self.name


def function_costs(profile: cProfile.Profile) -> list[FunctionCost]:
    """Return the cost of each function."""
    stats: dict[tuple[str, int, str], tuple[int, int, float, float, object]]
    stats = pstats.Stats(profile).stats  # type: ignore[attr-defined]
    return [FunctionCost(*function, calls, own_s) for function, (calls, _, own_s, *_) in stats.items()]


def render_table(costs: list[FunctionCost]) -> str:
    """Return own time a request by file and by function, largest first."""
    requests = max(1, sum(cost.calls for cost in costs if cost.name == ANSWER_FUNCTION))
    total_s = sum(cost.own_s for cost in costs)
    file_s: defaultdict[str, float] = defaultdict(float)
    for cost in costs:
        file_s[cost.file] += cost.own_s
    files = sorted(file_s.items(), key=lambda item: -item[1])[:FILE_ROWS]
    functions = sorted(costs, key=lambda cost: -cost.own_s)[:FUNCTION_ROWS]
    lines = ["| function | calls a request | own us a request | share |", "| --- | --- | --- | --- |"]
    lines += [f"| all of `{file}` | | {own_s / requests * 1e6:.1f} | {own_s / total_s:.1%} |" for file, own_s in files]
    lines += [
        f"| `{cost.label}` | {cost.calls / requests:.1f} | {cost.own_s / requests * 1e6:.1f} | "
        f"{cost.own_s / total_s:.1%} |"
        for cost in functions
    ]
    return "\n".join([*lines, ""])


def main() -> int:
    """Run the gateway to its end."""
    profile = cProfile.Profile(time.thread_time)  # processor time: waiting is not of interest
    profile.enable()
    try:
        return gateway.main()
    finally:
        profile.disable()
        if path := os.environ.get("PROFILE_TO"):
            Path(path).write_text(render_table(function_costs(profile)))


if __name__ == "__main__":
    sys.exit(main())
