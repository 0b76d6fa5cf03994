"""SIGHUP while a program starts: it does not end the process, and the settings are read again."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from hallhitch.programs import running

ROOT = Path(__file__).parents[3]
SIGNAL_AT_FIRST_IMPORT = """
import os, signal, sys
from importlib.abc import MetaPathFinder

class SignalAtFirstImport(MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "hallhitch.programs.running":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignalAtFirstImport())
sys.argv[0] = "-m"
import runpy
runpy.run_module(sys.argv[1], run_name="__main__")
"""


def run_python(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run Python code in a process of its own, without a settings file."""
    environment = {name: value for name, value in os.environ.items() if name != running.SETTINGS_FILE_VARIABLE}
    return subprocess.run(
        [sys.executable, "-c", *arguments], cwd=ROOT, env=environment, capture_output=True, text=True, check=False
    )


# Guards against a program that is ended by a SIGHUP which arrives while it imports its modules.
@pytest.mark.parametrize("program", ["hallhitch.programs.gateway", "hallhitch.programs.coordinator"])
def test_signal_during_the_imports_does_not_end_the_process(program: str) -> None:
    completed = run_python(SIGNAL_AT_FIRST_IMPORT, program)
    assert completed.returncode == running.SETTINGS_EXIT_CODE, completed.stderr
    assert running.SETTINGS_FILE_VARIABLE in completed.stderr


# A process of its own, as another thread of this one would take the signal.
PENDING_SIGNAL = """
import asyncio, os, signal
from hallhitch.programs import running
from hallhitch.programs.reload_signal import hold_back_reloads

class RecordingProgram:
    async def start(self):
        pass

    def apply_settings(self, node):
        print("applied", node)
        os.kill(os.getpid(), signal.SIGTERM)

    async def shut_down(self):
        pass

hold_back_reloads()
os.kill(os.getpid(), signal.SIGHUP)
running.read_settings = lambda path: f"settings of {path}"
asyncio.run(running._run(RecordingProgram(), "the-file"))
"""


def test_signal_that_was_held_back_reloads_the_settings() -> None:
    completed = run_python(PENDING_SIGNAL)
    assert (completed.returncode, completed.stdout) == (0, "applied settings of the-file\n"), completed.stderr
