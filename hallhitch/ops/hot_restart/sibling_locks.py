"""Detection of other processes of the same gateway by byte-range locks on a shared file.

Each process owns a slot of two bytes in the file. It locks the first byte when it starts and the second when it begins
to accept clients. The kernel releases the locks when the process ends, even if it is killed. If the file cannot be
opened, the process assumes that it is the only one.
"""

from __future__ import annotations

import fcntl
import os
from enum import IntEnum
from pathlib import Path
from typing import Final

import structlog

MAX_PROCESSES: Final = 8  # concurrent processes of one gateway; a ninth finds no free slot and is not detected
LOCK_FILE_NAME: Final = "hallhitch.processes"
log = structlog.get_logger()


class LockByte(IntEnum):
    """The bytes of a slot, by offset; a process keeps a byte locked while the state applies to it."""

    RUNNING = 0
    SERVING = 1  # the process accepts clients


class SiblingLocks:
    """Owns the slot of this process and checks the slots of the others."""

    def __init__(self, folder: str | None) -> None:
        """`folder` is shared by all processes of this gateway; None disables detection."""
        self._file = -1
        self._slot = -1
        if folder is None:
            return
        try:
            self._file = os.open(Path(folder) / LOCK_FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            self._slot = next((slot for slot in range(MAX_PROCESSES) if self._lock(slot, LockByte.RUNNING)), -1)
        except OSError as error:
            log.warning("detection of sibling processes unavailable", error=str(error))

    def announce_serving(self) -> None:
        """Signal to the other processes that this one accepts clients."""
        if self._slot >= 0:
            self._lock(self._slot, LockByte.SERVING)

    def has_sibling(self, byte: LockByte) -> bool:
        """Return whether another process has locked this byte of its slot."""
        return self._slot >= 0 and any(
            not self._is_free(slot, byte) for slot in range(MAX_PROCESSES) if slot != self._slot
        )

    def close(self) -> None:
        """Release the slot of this process."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
            self._slot = -1

    def _lock(self, slot: int, byte: LockByte) -> bool:
        """Try to lock a byte without waiting; return whether this process holds the lock."""
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
