"""Backup, restore and verification of a store's folder.

A restored store begins a later epoch, so that versions told to gateways before it never seem to come again.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
import time
from pathlib import Path

from hallhitch.administration.store import (
    DATABASE_FILE,
    RESTORE_FILE,
    SNAPSHOT_CHUNK_ROWS,
    SUPERSEDED_PREFIX,
    CorruptStoreError,
    LoadResult,
    StoreError,
    StoreLock,
    connect,
    load,
    migrate,
    write_snapshot_head,
)
from hallhitch.administration.store import columns_checksum as digest_of
from hallhitch.catalog.history import encode_rows
from hallhitch.catalog.model import Catalog
from hallhitch.catalog.rows import Row, catalog_rows

BACKUP_STEP_PAGES = 512  # of a backup's step: writers get their turn between two


def sync_folder(folder: Path) -> None:
    """Make renames in a folder durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def backup(folder: Path, target: Path) -> LoadResult:
    """Copy a store, in use or not, to a new file, and verify the copy. It appears whole or not at all."""
    if target.exists():
        raise StoreError(f"{target}: exists; a backup overwrites nothing")
    half = target.with_name(target.name + ".tmp")
    source = connect(folder / DATABASE_FILE, readonly=True)
    try:
        half.unlink(missing_ok=True)
        with contextlib.closing(sqlite3.connect(half)) as copy:
            source.backup(copy, pages=BACKUP_STEP_PAGES)
            copy.execute("PRAGMA journal_mode=DELETE")
        found = verify(half)
        with open(half, "rb") as file:
            os.fsync(file.fileno())
        os.rename(half, target)
        sync_folder(target.parent)
        return found
    except (sqlite3.Error, OSError) as error:
        raise StoreError(f"{target}: {error}") from error
    finally:
        source.close()
        half.unlink(missing_ok=True)


def verify(path: Path) -> LoadResult:
    """Check every page and every row of a store's file; Damaged names what does not fit."""
    db = connect(path, readonly=True)
    try:
        (said,) = db.execute("PRAGMA integrity_check(1)").fetchone()
        if said != "ok":
            raise CorruptStoreError(f"{path}: {said}")
        found = load(db, path)
        for actor, key, at, asked, body, kept in db.execute("SELECT * FROM answer"):
            if digest_of(actor, key, at, asked, body) != kept:
                raise CorruptStoreError(f"{path}: table answer, actor {actor}, key {key}: the checksum does not fit")
        return found
    except sqlite3.Error as error:
        raise CorruptStoreError(f"{path}: {error}") from error
    finally:
        db.close()


def restore(folder: Path, source: Path, at_least: int = 0) -> Catalog:
    """Put a backup in a store's place, in a later epoch than any it can know of.

    What stood there is moved aside, not deleted. `at_least` is an epoch that gateways are known to hold.
    """
    lock = StoreLock(folder)
    try:
        found = verify(source)
        epoch = max(found.catalog.epoch, at_least, _latest_epoch(folder)) + 1
        # Seconds of the clock too: a backup restored twice, on new folders, must give two epochs.
        epoch = max(epoch, int(time.time()))
        half = folder / RESTORE_FILE
        half.unlink(missing_ok=True)
        with (
            contextlib.closing(connect(source, readonly=True)) as old,
            contextlib.closing(sqlite3.connect(half, isolation_level=None)) as db,
        ):
            old.backup(db)
            migrate(db, half)
            made = _rewrite_in_epoch(db, found.catalog, epoch)
            db.execute("PRAGMA journal_mode=DELETE")
        with open(half, "rb") as file:
            os.fsync(file.fileno())
        _replace_database(folder, half)
        return made
    except (sqlite3.Error, OSError) as error:
        raise StoreError(f"{folder}: {error}") from error
    finally:
        lock.release()


def _rewrite_in_epoch(db: sqlite3.Connection, was: Catalog, epoch: int) -> Catalog:
    """The same state as the first snapshot of a later epoch; the log of the earlier ends with it."""
    made = Catalog(epoch, was.version, was.tenants, was.operators, was.hosts, was.checksum)
    db.execute("BEGIN IMMEDIATE")
    (last,) = db.execute("SELECT coalesce(max(id), 0) FROM snapshot").fetchone()
    db.execute("DELETE FROM snapshot")
    db.execute("DELETE FROM piece")
    db.execute("DELETE FROM change")
    rows: list[Row] = list(catalog_rows(made))
    pieces = 0
    for start in range(0, len(rows), SNAPSHOT_CHUNK_ROWS):
        body = encode_rows(rows[start : start + SNAPSHOT_CHUNK_ROWS])
        db.execute("INSERT INTO piece VALUES (?,?,?,?)", (last + 1, pieces, body, digest_of(last + 1, pieces, body)))
        pieces += 1
    write_snapshot_head(db, last + 1, made, pieces)
    db.execute("COMMIT")
    return made


def _latest_epoch(folder: Path) -> int:
    """The epoch of what stands in a folder, as far as it can be read."""
    try:
        with contextlib.closing(connect(folder / DATABASE_FILE, readonly=True)) as db:
            row = db.execute(
                "SELECT max(epoch) FROM (SELECT epoch FROM change UNION ALL SELECT epoch FROM snapshot)"
            ).fetchone()
            return int(row[0] or 0)
    except (StoreError, sqlite3.Error):  # what cannot be read is why one restores
        return 0


def _replace_database(folder: Path, half: Path) -> None:
    """Move the old files aside and the new one in; a start in between finds `half` and says so."""
    number = 1 + sum(1 for _ in folder.glob(f"{SUPERSEDED_PREFIX}-*"))
    aside = folder / f"{SUPERSEDED_PREFIX}-{number:04}-{time.strftime('%Y%m%dT%H%M%S')}"
    aside.mkdir()
    for name in (DATABASE_FILE, f"{DATABASE_FILE}-wal", f"{DATABASE_FILE}-shm"):
        if (folder / name).exists():
            os.rename(folder / name, aside / name)
    sync_folder(folder)
    os.rename(half, folder / DATABASE_FILE)
    sync_folder(folder)
