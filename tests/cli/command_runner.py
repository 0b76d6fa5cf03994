"""Runs commands of `hallhitch` as processes."""

from __future__ import annotations

import subprocess
import sys

from tests.stand_ins import GUARD, ROOT


def run_command(*arguments: str, **environ: str) -> subprocess.CompletedProcess[str]:
    """Run a command until it exits. Its environment is PATH and `environ`; nothing is inherited."""
    return subprocess.run(
        [sys.executable, "-m", "hallhitch", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=GUARD,
        env={"PATH": "/usr/bin:/bin", **environ},
    )
