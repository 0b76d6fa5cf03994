"""What both programs share: the settings file, the loop, signals, the end."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Protocol

import uvloop

from hallhitch.node import logs
from hallhitch.node.errors import SettingsError
from hallhitch.node.settings import NodeSettings
from hallhitch.node.settings_file import read_settings

SETTINGS = "HALLHITCH_NODE_FILE"


class Program(Protocol):
    """A program, as it is run."""

    async def start(self) -> None:
        """Begin to serve."""

    def settings(self, node: NodeSettings) -> None:
        """The settings file has changed."""

    async def leave(self) -> None:
        """SIGTERM: end in order, within the grace period."""


def main(build: Callable[[NodeSettings], Program]) -> None:
    """Run a program until SIGTERM; exit code 2 with one line where the settings cannot be used."""
    logs.configure()
    path = os.environ.get(SETTINGS, "")
    try:
        if not path:
            raise SettingsError(f"{SETTINGS} is not set: it names the settings file")
        node = read_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    uvloop.run(_run(build(node), path))


async def _run(program: Program, path: str) -> None:
    log, loop, ending = logs.ComponentLogger("node"), asyncio.get_running_loop(), asyncio.Event()

    def again() -> None:
        try:
            program.settings(read_settings(path))
            log.info("settings reloaded")
        except SettingsError as error:
            log.error("settings rejected", error=error)

    loop.add_signal_handler(signal.SIGTERM, ending.set)
    loop.add_signal_handler(signal.SIGINT, ending.set)
    loop.add_signal_handler(signal.SIGHUP, again)
    starting: Awaitable[None] = program.start()
    await starting
    await ending.wait()
    log.info("shutting down")
    await program.leave()
    log.info("stopped")
