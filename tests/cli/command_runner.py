"""Runs commands of `hallhitch` as processes."""

from __future__ import annotations

import subprocess
import sys

from tests.stand_ins import GUARD, ROOT


def run_command(*words: str, **environ: str) -> subprocess.CompletedProcess[str]:
    """Run a command to its end, with an environment of its own."""
    return subprocess.run(
        [sys.executable, "-m", "hallhitch", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=GUARD,
        env={"PATH": "/usr/bin:/bin", **environ},
    )
