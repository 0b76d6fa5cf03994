"""Entry point of the programs: reads the settings file, runs the event loop, handles signals and shuts down.

SIGTERM and SIGINT shut the program down gracefully; SIGHUP reloads the settings file, also one that arrived while the
program's modules were imported (`reload_signal`). If the settings file is invalid at the start, the exit code is 2 and
one line on standard error gives the reason.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from typing import Final, Protocol

import uvloop

from hallhitch.node import logs
from hallhitch.node.errors import SettingsError
from hallhitch.node.settings import NodeSettings
from hallhitch.node.settings_file import read_settings
from hallhitch.programs.reload_signal import deliver_reloads

SETTINGS_FILE_VARIABLE: Final = "HALLHITCH_NODE_FILE"
SETTINGS_EXIT_CODE: Final = 2


class Program(Protocol):
    """What `main` requires of a program."""

    async def start(self) -> None:
        """Start serving."""

    def apply_settings(self, node: NodeSettings) -> None:
        """Apply the settings of a reloaded file."""

    async def shut_down(self) -> None:
        """Shut down gracefully within the grace period."""


def main(build: Callable[[NodeSettings], Program]) -> None:
    """Run a program until SIGTERM or SIGINT."""
    logs.configure()
    try:
        path = _settings_path()
        node = read_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(SETTINGS_EXIT_CODE)
    uvloop.run(_run(build(node), path))


def _settings_path() -> str:
    path = os.environ.get(SETTINGS_FILE_VARIABLE, "")
    if not path:
        raise SettingsError(
            f"{SETTINGS_FILE_VARIABLE} is not set; this environment variable has to name the settings file"
        )
    return path


async def _run(program: Program, path: str) -> None:
    log, loop, shutdown_requested = logs.ComponentLogger("node"), asyncio.get_running_loop(), asyncio.Event()

    def on_hangup() -> None:
        try:
            program.apply_settings(read_settings(path))
            log.info("settings reloaded")
        except SettingsError as error:
            log.error("settings rejected", error=error)  # noqa: TRY400  # an error in the operator's file needs no traceback

    loop.add_signal_handler(signal.SIGTERM, shutdown_requested.set)
    loop.add_signal_handler(signal.SIGINT, shutdown_requested.set)
    loop.add_signal_handler(signal.SIGHUP, on_hangup)
    deliver_reloads()
    await program.start()
    await shutdown_requested.wait()
    log.info("shutting down")
    await program.shut_down()
    log.info("stopped")
