"""Files of a store's directory: their names, the lock against a second process, and connections to the database."""

from __future__ import annotations

import contextlib
import fcntl
import os
import sqlite3
from pathlib import Path
from typing import Final

from hallhitch.administration.errors import StoreError

DATABASE_FILE: Final = "state.db"
LOCK_FILE: Final = "lock"
RESTORE_FILE: Final = "restore.tmp"  # a restored database before it is renamed to DATABASE_FILE
SUPERSEDED_PREFIX: Final = "before-restore"  # of the directories that hold databases replaced by a restore
BUSY_TIMEOUT_S: Final = 5.0  # how long a write waits for another connection's lock, such as that of a backup


class StoreLock:
    """Exclusive lock on a store's directory; the lock file contains the id of the process that holds it."""

    def __init__(self, folder: Path) -> None:
        try:
            self._file = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise StoreError(folder, error.strerror) from error
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            holder = os.pread(self._file, 20, 0).decode(errors="replace").strip() or "unknown"
            os.close(self._file)
            raise StoreError(folder, f"the store is in use by process {holder}") from error
        with contextlib.suppress(OSError):  # on a full disk the lock is held without the process id in the file
            os.ftruncate(self._file, 0)
            os.pwrite(self._file, str(os.getpid()).encode(), 0)

    def release(self) -> None:
        """Release the lock."""
        os.close(self._file)


def connect(path: Path, create: bool = False, readonly: bool = False) -> sqlite3.Connection:
    """Open the database; a writable connection uses the write-ahead log and full synchronisation.

    Raises:
        StoreError: There is no database, or it cannot be opened.
    """
    if not create and not path.exists():
        raise StoreError(path, "there is no store; create one with 'hallhitch control init'")
    try:
        mode = "rwc" if create else "ro" if readonly else "rw"
        db = sqlite3.connect(
            f"file:{path}?mode={mode}", uri=True, isolation_level=None, timeout=BUSY_TIMEOUT_S, check_same_thread=False
        )
        if not readonly:
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            db.execute("PRAGMA wal_autocheckpoint=4000")  # pages, that is, a checkpoint every few hundred changes
        db.execute("PRAGMA cache_size=-16000")
        db.execute("SELECT count(*) FROM sqlite_master").fetchone()
    except sqlite3.Error as error:
        raise StoreError(path, error) from error
    return db


def sync_folder(folder: Path) -> None:
    """Synchronise a directory with the disk, which makes renames in it durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
