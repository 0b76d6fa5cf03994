"""Backup, restore and verification of a store's database.

A restored store begins a later epoch than any it can know of, so that no version that gateways hold comes again with
other content.
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

BACKUP_STEP_PAGES: Final = 512  # copied at a time: writers get their turn between two steps


def backup(folder: Path, target: Path) -> LoadResult:
    """Copy a store, in use or not, to a new file, and verify the copy; the file appears complete or not at all.

    Raises:
        StoreError: The target exists, the store cannot be read or the copy not be written.
        CorruptStoreError: The copy does not verify.
    """
    if target.exists():
        raise StoreError(target, "exists; a backup overwrites nothing")
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
        return loaded  # noqa: TRY300  the common case reads first
    except (sqlite3.Error, OSError) as error:
        raise StoreError(target, error) from error
    finally:
        source.close()
        temporary.unlink(missing_ok=True)


def verify(path: Path) -> LoadResult:
    """Verify each page and each row of a database file.

    Raises:
        CorruptStoreError: Names the first row that does not fit.
    """
    db = connect(path, readonly=True)
    try:
        (result,) = db.execute("PRAGMA integrity_check(1)").fetchone()
        if result != "ok":
            raise CorruptStoreError(path, result)
        loaded = load(db, path)
        for actor, key, at_ms, fingerprint, body, checksum in db.execute("SELECT * FROM answer"):
            if columns_checksum(actor, key, at_ms, fingerprint, body) != checksum:
                raise CorruptStoreError(f"{path}: table answer, actor {actor}, key {key}", "the checksum does not fit")
        return loaded  # noqa: TRY300  the common case reads first
    except sqlite3.Error as error:
        raise CorruptStoreError(path, error) from error
    finally:
        db.close()


def restore(folder: Path, source: Path, at_least: int = 0) -> Catalog:
    """Put a backup in a store's place, in a later epoch than any it can know of, and return its catalog.

    The database that was there is moved aside, not deleted. `at_least` is an epoch that gateways are known to hold.

    Raises:
        StoreError: The store is in use or cannot be written.
        CorruptStoreError: The backup does not verify.
    """
    lock = StoreLock(folder)
    try:
        loaded = verify(source)
        epoch = max(loaded.catalog.epoch, at_least, _latest_epoch(folder)) + 1
        # Seconds of the clock too: a backup restored twice, on new folders, must give two epochs.
        epoch = max(epoch, int(time.time()))
        temporary = folder / RESTORE_FILE
        temporary.unlink(missing_ok=True)
        with (
            contextlib.closing(connect(source, readonly=True)) as old,
            contextlib.closing(sqlite3.connect(temporary, isolation_level=None)) as db,
        ):
            old.backup(db)
            migrate(db, temporary)
            catalog = _rewrite_in_epoch(db, loaded.catalog, epoch)
            db.execute("PRAGMA journal_mode=DELETE")
        _sync_file(temporary)
        _replace_database(folder, temporary)
        return catalog  # noqa: TRY300  the common case reads first
    except (sqlite3.Error, OSError) as error:
        raise StoreError(folder, error) from error
    finally:
        lock.release()


def _sync_file(path: Path) -> None:
    with open(path, "rb") as file:
        os.fsync(file.fileno())


def _rewrite_in_epoch(db: sqlite3.Connection, base: Catalog, epoch: int) -> Catalog:
    """Write the same state as the first snapshot of a later epoch; the log of the earlier epoch is deleted."""
    catalog = Catalog(epoch, base.version, base.tenants, base.operators, base.hosts, base.checksum)
    db.execute("BEGIN IMMEDIATE")
    (last_id,) = db.execute("SELECT coalesce(max(id), 0) FROM snapshot").fetchone()
    db.execute("DELETE FROM snapshot")
    db.execute("DELETE FROM piece")
    db.execute("DELETE FROM change")
    id = last_id + 1
    rows = list(catalog_rows(catalog))
    chunks = 0
    for start in range(0, len(rows), SNAPSHOT_CHUNK_ROWS):
        body = encode_rows(rows[start : start + SNAPSHOT_CHUNK_ROWS])
        db.execute("INSERT INTO piece VALUES (?,?,?,?)", (id, chunks, body, columns_checksum(id, chunks, body)))
        chunks += 1
    write_snapshot_head(db, id, catalog, chunks)
    db.execute("COMMIT")
    return catalog


def _latest_epoch(folder: Path) -> int:
    """Return the epoch of the database in a directory; 0 where it cannot be read."""
    try:
        with contextlib.closing(connect(folder / DATABASE_FILE, readonly=True)) as db:
            row = db.execute(
                "SELECT max(epoch) FROM (SELECT epoch FROM change UNION ALL SELECT epoch FROM snapshot)"
            ).fetchone()
            return int(row[0] or 0)
    except (StoreError, sqlite3.Error):  # what cannot be read is why one restores
        return 0


def _replace_database(folder: Path, restored: Path) -> None:
    """Move the old files aside and the restored one in; a start in between sees RESTORE_FILE and reports it."""
    number = 1 + sum(1 for _ in folder.glob(f"{SUPERSEDED_PREFIX}-*"))
    aside = folder / f"{SUPERSEDED_PREFIX}-{number:04}-{time.strftime('%Y%m%dT%H%M%S')}"
    aside.mkdir()
    for name in (DATABASE_FILE, f"{DATABASE_FILE}-wal", f"{DATABASE_FILE}-shm"):
        if (folder / name).exists():
            os.rename(folder / name, aside / name)
    sync_folder(folder)
    os.rename(restored, folder / DATABASE_FILE)
    sync_folder(folder)
