"""The real gateway under cProfile: `python -O -m benchmarks.profiled_gateway` is started like the gateway itself.

At its end, where PROFILE_TO names a file, the functions that took most time of their own are written there, in us of
each request answered. The profiler costs time itself: shares are what it tells, not times.
"""

from __future__ import annotations

import cProfile
import os
import pstats
import sys
import time
from collections import defaultdict
from pathlib import Path

from hallhitch import gateway

FUNCTIONS = 40


def table(profile: cProfile.Profile) -> str:
    """Own time a request by function, largest first."""
    stats = pstats.Stats(profile)
    found: dict[tuple[str, int, str], tuple[int, int, float, float, object]] = stats.stats  # type: ignore[attr-defined]
    answers = max(1, sum(calls for (_, _, name), (calls, *_) in found.items() if name == "_answer"))
    whole = sum(own for _, _, own, *_ in found.values())
    files: defaultdict[str, float] = defaultdict(float)
    for (file, line, _), (_, _, own, *_) in found.items():
        files["/".join(Path(file).parts[-2:]) if line else "built-in"] += own
    lines = [
        f"| all of `{file}` | | {own / answers * 1e6:.1f} | {own / whole:.1%} |"
        for file, own in sorted(files.items(), key=lambda one: -one[1])[:14]
    ]
    for (file, line, name), (calls, _, own, *_) in sorted(found.items(), key=lambda one: -one[1][2])[:FUNCTIONS]:
        where = f"{Path(file).stem}:{line} {name}" if line else name
        lines.append(f"| `{where}` | {calls / answers:.1f} | {own / answers * 1e6:.1f} | {own / whole:.1%} |")
    head = ["| function | calls a request | own us a request | share |", "| --- | --- | --- | --- |"]
    return "\n".join([*head, *lines, ""])


def main() -> int:
    """Run the gateway to its end."""
    profile = cProfile.Profile(time.thread_time)  # waiting is not what is looked for
    profile.enable()
    try:
        return gateway.main()
    finally:
        profile.disable()
        if path := os.environ.get("PROFILE_TO"):
            Path(path).write_text(table(profile))


if __name__ == "__main__":
    sys.exit(main())
