"""Errors of the emulator."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path


class EmulatorError(Exception):
    """Base class of the errors that stop a run of the emulator."""


class ProcessExitedError(EmulatorError):
    """A process of the system exited unexpectedly."""

    def __init__(self, descriptions: Sequence[str]) -> None:
        super().__init__("; ".join(descriptions))
        self.descriptions = descriptions


class ConditionTimeout(EmulatorError, TimeoutError):  # noqa: N818  named after the event, like TimeoutError
    """A condition did not become true in time; `directory` contains the logs."""

    def __init__(self, reason: str, directory: Path) -> None:
        super().__init__(f"{reason}; logs are in {directory}")
        self.directory = directory
