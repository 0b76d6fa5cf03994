"""SIGHUP while a program starts: it does not end the process, and the settings are read again."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from hallhitch.node.settings import NodeSettings
from hallhitch.programs import running
from hallhitch.programs.reload_signal import deliver_reloads, hold_back_reloads
from tests.system.data.data_plane_harness import make_node_settings

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


# Guards against a program that is ended by a SIGHUP which arrives while it imports its modules.
@pytest.mark.parametrize("program", ["hallhitch.programs.gateway", "hallhitch.programs.coordinator"])
def test_signal_during_the_imports_does_not_end_the_process(program: str) -> None:
    environment = {name: value for name, value in os.environ.items() if name != running.SETTINGS_FILE_VARIABLE}
    completed = subprocess.run(
        [sys.executable, "-c", SIGNAL_AT_FIRST_IMPORT, program],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == running.SETTINGS_EXIT_CODE, completed.stderr
    assert running.SETTINGS_FILE_VARIABLE in completed.stderr


class RecordingProgram:
    """A program that records the settings that it is given, and asks for its own end."""

    def __init__(self) -> None:
        self.applied: list[NodeSettings] = []

    async def start(self) -> None:
        """Do nothing."""

    def apply_settings(self, node: NodeSettings) -> None:
        """Record the settings and end the program."""
        self.applied.append(node)
        os.kill(os.getpid(), signal.SIGTERM)

    async def shut_down(self) -> None:
        """Do nothing."""


def test_signal_that_was_held_back_reloads_the_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    node = make_node_settings()
    monkeypatch.setattr(running, "read_settings", lambda path: node)
    program = RecordingProgram()
    hold_back_reloads()
    try:
        os.kill(os.getpid(), signal.SIGHUP)
        asyncio.run(running._run(program, "settings.toml"))
    finally:
        deliver_reloads()
    assert program.applied == [node]
