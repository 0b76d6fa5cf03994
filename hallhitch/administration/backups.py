"""Backup, restore and verification of a store's database.

A restored store starts an epoch later than any that it knows of. Otherwise a version number that gateways already hold
would be assigned again, to different content.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
import time
from pathlib import Path
from typing import Final

from hallhitch.administration.errors import CorruptStoreError, StoreError
from hallhitch.administration.store import SNAPSHOT_CHUNK_ROWS, write_snapshot_head
from hallhitch.administration.store_files import (
    DATABASE_FILE,
    RESTORE_FILE,
    SUPERSEDED_PREFIX,
    StoreLock,
    connect,
    sync_folder,
)
from hallhitch.administration.store_records import columns_checksum
from hallhitch.administration.store_recovery import LoadResult, load
from hallhitch.administration.store_schema import migrate
from hallhitch.catalog.history import encode_rows
from hallhitch.catalog.model import Catalog
from hallhitch.catalog.rows import catalog_rows

BACKUP_STEP_PAGES: Final = 512  # pages copied per step; writers can write between two steps


def backup(folder: Path, target: Path) -> LoadResult:
    """Copy a store to a new file and verify the copy.

    The store may be in use. The target appears under its name only once it is complete and verified.

    Raises:
        StoreError: The target exists already, the store cannot be read, or the copy cannot be written.
        CorruptStoreError: The copy fails the verification.
    """
    if target.exists():
        raise StoreError(target, "the file exists already; a backup does not overwrite files")
    temporary = target.with_name(target.name + ".tmp")
    source = connect(folder / DATABASE_FILE, readonly=True)
    try:
        temporary.unlink(missing_ok=True)
        with contextlib.closing(sqlite3.connect(temporary)) as copy:
            source.backup(copy, pages=BACKUP_STEP_PAGES)
            copy.execute("PRAGMA journal_mode=DELETE")
        loaded = verify(temporary)
        _sync_file(temporary)
        os.rename(temporary, target)
        sync_folder(target.parent)
        return loaded  # noqa: TRY300  kept in the `try` block, before the error handling
    except (sqlite3.Error, OSError) as error:
        raise StoreError(target, error) from error
    finally:
        source.close()
        temporary.unlink(missing_ok=True)


def verify(path: Path) -> LoadResult:
    """Verify every page and every row of a database file.

    Raises:
        CorruptStoreError: A page or row is damaged; the error names the first one found.
    """
    db = connect(path, readonly=True)
    try:
        (result,) = db.execute("PRAGMA integrity_check(1)").fetchone()
        if result != "ok":
            raise CorruptStoreError(path, result)
        loaded = load(db, path)
        for actor, key, at_ms, fingerprint, body, checksum in db.execute("SELECT * FROM answer"):
            if columns_checksum(actor, key, at_ms, fingerprint, body) != checksum:
                raise CorruptStoreError(
                    f"{path}: table answer, actor {actor}, key {key}", "the checksum does not match"
                )
        return loaded  # noqa: TRY300  kept in the `try` block, before the error handling
    except sqlite3.Error as error:
        raise CorruptStoreError(path, error) from error
    finally:
        db.close()


def restore(folder: Path, source: Path, highest_known_epoch: int = 0) -> Catalog:
    """Replace a store's database by a backup, in a new epoch, and return its catalog.

    The previous database is moved to a directory beside it and not deleted. The new epoch is later than those of the
    backup and of the previous database, and later than `highest_known_epoch`, which gateways are known to hold.

    Raises:
        StoreError: The store is in use, or cannot be written.
        CorruptStoreError: The backup fails the verification.
    """
    lock = StoreLock(folder)
    try:
        loaded = verify(source)
        epoch = max(loaded.catalog.epoch, highest_known_epoch, _latest_epoch(folder)) + 1
        # The epoch is at least the Unix time: the same backup restored into two new directories must get two epochs.
        epoch = max(epoch, int(time.time()))
        temporary = folder / RESTORE_FILE
        temporary.unlink(missing_ok=True)
        with (
            contextlib.closing(connect(source, readonly=True)) as source_db,
            contextlib.closing(sqlite3.connect(temporary, isolation_level=None)) as db,
        ):
            source_db.backup(db)
            migrate(db, temporary)
            catalog = _rewrite_in_epoch(db, loaded.catalog, epoch)
            db.execute("PRAGMA journal_mode=DELETE")
        _sync_file(temporary)
        _replace_database(folder, temporary)
        return catalog  # noqa: TRY300  kept in the `try` block, before the error handling
    except (sqlite3.Error, OSError) as error:
        raise StoreError(folder, error) from error
    finally:
        lock.release()


def _sync_file(path: Path) -> None:
    with open(path, "rb") as file:
        os.fsync(file.fileno())


def _rewrite_in_epoch(db: sqlite3.Connection, base: Catalog, epoch: int) -> Catalog:
    """Write the state as the first snapshot of a later epoch, and delete the change log of the earlier epoch."""
    catalog = Catalog(epoch, base.version, base.tenants, base.operators, base.hosts, base.checksum)
    db.execute("BEGIN IMMEDIATE")
    (last_id,) = db.execute("SELECT coalesce(max(id), 0) FROM snapshot").fetchone()
    db.execute("DELETE FROM snapshot")
    db.execute("DELETE FROM piece")
    db.execute("DELETE FROM change")
    snapshot_id = last_id + 1
    rows = list(catalog_rows(catalog))
    chunks = 0
    for start in range(0, len(rows), SNAPSHOT_CHUNK_ROWS):
        body = encode_rows(rows[start : start + SNAPSHOT_CHUNK_ROWS])
        db.execute(
            "INSERT INTO piece VALUES (?,?,?,?)",
            (snapshot_id, chunks, body, columns_checksum(snapshot_id, chunks, body)),
        )
        chunks += 1
    write_snapshot_head(db, snapshot_id, catalog, chunks)
    db.execute("COMMIT")
    return catalog


def _latest_epoch(folder: Path) -> int:
    """Return the latest epoch of the database in a directory; 0 if it cannot be read."""
    try:
        with contextlib.closing(connect(folder / DATABASE_FILE, readonly=True)) as db:
            row = db.execute(
                "SELECT max(epoch) FROM (SELECT epoch FROM change UNION ALL SELECT epoch FROM snapshot)"
            ).fetchone()
            return int(row[0] or 0)
    except (StoreError, sqlite3.Error):  # an unreadable database is a reason to restore a backup
        return 0


def _replace_database(folder: Path, restored: Path) -> None:
    """Move the previous database to a directory beside it, then rename the restored file to DATABASE_FILE.

    A process that starts between the two steps finds RESTORE_FILE and reports the interrupted restore.
    """
    number = 1 + sum(1 for _ in folder.glob(f"{SUPERSEDED_PREFIX}-*"))
    superseded = folder / f"{SUPERSEDED_PREFIX}-{number:04}-{time.strftime('%Y%m%dT%H%M%S')}"
    superseded.mkdir()
    for name in (DATABASE_FILE, f"{DATABASE_FILE}-wal", f"{DATABASE_FILE}-shm"):
        if (folder / name).exists():
            os.rename(folder / name, superseded / name)
    sync_folder(folder)
    os.rename(restored, folder / DATABASE_FILE)
    sync_folder(folder)
