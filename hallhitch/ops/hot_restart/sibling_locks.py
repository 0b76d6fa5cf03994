"""Detection of other processes of the same gateway by locks on bytes of one file.

Each process holds a slot of two bytes: one from its start on, one from when it accepts clients. The kernel releases a
lock when its holder ends, however that happens. Where the file is not available, a process regards itself as alone.
"""

from __future__ import annotations

import fcntl
import os
from enum import IntEnum
from pathlib import Path
from typing import Final

import structlog

MAX_PROCESSES: Final = 8  # of one gateway at once; a ninth is not detected
LOCK_FILE_NAME: Final = "hallhitch.processes"
log = structlog.get_logger()


class LockByte(IntEnum):
    """The bytes of a slot; each is locked while its statement holds."""

    RUNNING = 0
    SERVING = 1  # accepts clients


class SiblingLocks:
    """The slot of this process, and a view of the others' slots."""

    def __init__(self, folder: str | None) -> None:
        """`folder` is shared by all processes of this gateway; None means that there are no others."""
        self._file = -1
        self._slot = -1
        if folder is None:
            return
        try:
            self._file = os.open(Path(folder) / LOCK_FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            self._slot = next((slot for slot in range(MAX_PROCESSES) if self._lock(slot, LockByte.RUNNING)), -1)
        except OSError as error:
            log.warning("sibling detection unavailable", error=str(error))

    def announce_serving(self) -> None:
        """Show the others that this process accepts clients."""
        if self._slot >= 0:
            self._lock(self._slot, LockByte.SERVING)

    def has_sibling(self, byte: LockByte) -> bool:
        """Return whether another process holds this byte of its slot."""
        return self._slot >= 0 and any(
            not self._is_free(slot, byte) for slot in range(MAX_PROCESSES) if slot != self._slot
        )

    def close(self) -> None:
        """Release this process's slot."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
            self._slot = -1

    def _lock(self, slot: int, byte: LockByte) -> bool:
        """Try to lock a byte; return whether it is locked by this process now."""
        try:
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, _offset(slot, byte))
        except OSError:
            return False
        return True

    def _is_free(self, slot: int, byte: LockByte) -> bool:
        if not self._lock(slot, byte):
            return False
        fcntl.lockf(self._file, fcntl.LOCK_UN, 1, _offset(slot, byte))
        return True


def _offset(slot: int, byte: LockByte) -> int:
    return slot * len(LockByte) + byte
