"""Runs a program: reads the settings file, starts the event loop, handles signals, shuts down in order.

SIGTERM and SIGINT shut the program down, SIGHUP reads the settings file again. If the settings file cannot be used, the
exit code is 2 and one line on standard error gives the reason.
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

SETTINGS_FILE_VARIABLE: Final = "HALLHITCH_NODE_FILE"
SETTINGS_EXIT_CODE: Final = 2


class Program(Protocol):
    """A program as it is run."""

    async def start(self) -> None:
        """Start to serve."""

    def apply_settings(self, node: NodeSettings) -> None:
        """Apply a settings file that has changed."""

    async def shut_down(self) -> None:
        """Shut down in order, within the grace period."""


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
        raise SettingsError(f"{SETTINGS_FILE_VARIABLE} is not set: it names the settings file")
    return path


async def _run(program: Program, path: str) -> None:
    log, loop, is_ending = logs.ComponentLogger("node"), asyncio.get_running_loop(), asyncio.Event()

    def on_hangup() -> None:
        try:
            program.apply_settings(read_settings(path))
            log.info("settings reloaded")
        except SettingsError as error:
            log.error("settings rejected", error=error)  # noqa: TRY400  # the operator's file is at fault: no traceback

    loop.add_signal_handler(signal.SIGTERM, is_ending.set)
    loop.add_signal_handler(signal.SIGINT, is_ending.set)
    loop.add_signal_handler(signal.SIGHUP, on_hangup)
    await program.start()
    await is_ending.wait()
    log.info("shutting down")
    await program.shut_down()
    log.info("stopped")
