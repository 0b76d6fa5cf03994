"""Whether another process of this gateway is there: each holds locks on its own bytes of one file.

A lock is gone with its holder, however that ended; nothing else is known of the other, and nothing is guessed. Where
the file cannot be had, a process is alone for all that it knows.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import structlog

SLOTS = 8  # processes of one gateway that can be there at once; one past that is unseen
LIVES, SERVES = 0, 1  # a slot's bytes: held from the start on, and from when clients are taken
NAME = "hallhitch.processes"
log = structlog.get_logger()


class Neighbour:
    """This process's slot, and a look at the others'."""

    def __init__(self, folder: str | None) -> None:
        self._file, self._slot = -1, -1
        if folder is None:
            return
        try:
            self._file = os.open(Path(folder) / NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            self._slot = next((slot for slot in range(SLOTS) if self._lock(slot, LIVES)), -1)
        except OSError as error:
            log.warning("other processes are not seen", error=str(error))

    def serves(self) -> None:
        """Clients are taken by this process from now on."""
        if self._slot >= 0:
            self._lock(self._slot, SERVES)

    def other(self, byte: int) -> bool:
        """Whether another process holds this byte of its slot: it LIVES, or it SERVES."""
        return self._slot >= 0 and any(
            not self._lock(slot, byte, test=True) for slot in range(SLOTS) if slot != self._slot
        )

    def close(self) -> None:
        """Be gone."""
        if self._file >= 0:
            os.close(self._file)
            self._file = self._slot = -1

    def _lock(self, slot: int, byte: int, test: bool = False) -> bool:
        place = slot * 2 + byte
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, place)
        except OSError:
            return False
        if test:
            fcntl.lockf(self._file, fcntl.LOCK_UN, 1, place)
        return True
