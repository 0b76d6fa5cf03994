"""Durable storage of the catalog in SQLite: change log, state tables, stored responses, audit log and snapshots.

A batch of changes is one transaction (WAL, synchronous FULL): when its `with` block has ended, either the whole batch
is on disk or nothing of it. Checksums guard the rows that the catalog depends on; `store_recovery` verifies them at
each start.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Final, Protocol

from hallhitch.administration.errors import BatchNotWrittenError, CorruptStoreError, StoreError
from hallhitch.administration.store_files import DATABASE_FILE, RESTORE_FILE, StoreLock, connect
from hallhitch.administration.store_records import (
    AuditEntry,
    LoggedChange,
    StoredResponse,
    checksum_text,
    columns_checksum,
    encode_parts,
    logged_change_from_row,
)
from hallhitch.administration.store_recovery import LoadResult, load
from hallhitch.administration.store_schema import migrate
from hallhitch.catalog.history import Diff, encode_diff, encode_rows
from hallhitch.catalog.model import Catalog
from hallhitch.catalog.rows import Row

SNAPSHOT_CHUNK_ROWS: Final = 2_000  # each chunk is a transaction of its own; batches run between two chunks


class Batch(Protocol):
    """Operations of one transaction; a failure of the database rolls it back and raises BatchNotWrittenError."""

    def stored_response(self, actor: str, key: str) -> StoredResponse | None:
        """Return the stored response to an actor's call with this idempotency key; None if there is none."""

    def store_response(self, actor: str, key: str, response: StoredResponse) -> None:
        """Store a response, which answers retries of its call."""

    def append_change(self, catalog: Catalog, diff: Diff, at_ms: int, tenant: str, actor: str) -> None:
        """Append the change that produced `catalog`."""

    def audit(self, entry: AuditEntry) -> None:
        """Append an entry to the audit log."""


class Store(Protocol):
    """Durable storage of the catalog, with one writing process.

    A batch is durable as a whole once its `with` block has ended.
    """

    def batch(self) -> contextlib.AbstractContextManager[Batch]:
        """Return the context manager of one transaction."""

    def latest_version(self) -> tuple[int, int]:
        """Return the epoch and the version of the latest change on disk."""

    def logged_change(self, epoch: int, version: int) -> LoggedChange | None:
        """Return one change of the log; None if it is no longer there."""

    def audit_entries(self, tenant: str | None, before: int, limit: int) -> list[AuditEntry]:
        """Return audit entries with ids below `before`, newest first."""

    def write_snapshot_chunk(self, snapshot: int, number: int, rows: list[Row]) -> None:
        """Write a chunk of a snapshot, which has no effect before `commit_snapshot`."""

    def commit_snapshot(self, snapshot: int, catalog: Catalog, chunks: int, retained_changes: int) -> None:
        """Commit a snapshot whose chunks are written, and delete older snapshots and the changes that it replaces."""

    def delete_responses(self, before_ms: int) -> int:
        """Delete the responses stored before a time (Unix ms), and return their number."""


class SqliteBatch:
    """Operations of an open SQLite transaction."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db

    def stored_response(self, actor: str, key: str) -> StoredResponse | None:
        """Return the stored response to an actor's call with this idempotency key; None if there is none.

        Raises:
            CorruptStoreError: The row's checksum does not match.
        """
        row = self._db.execute(
            "SELECT at, asked, body, digest FROM answer WHERE actor=? AND key=?", (actor, key)
        ).fetchone()
        if row is None:
            return None
        if columns_checksum(actor, key, *row[:3]) != row[3]:
            raise CorruptStoreError(f"table answer, actor {actor}, key {key}", "the checksum does not match")
        return StoredResponse(*row[:3])

    def store_response(self, actor: str, key: str, response: StoredResponse) -> None:
        """Store a response, which answers retries of its call."""
        values = (actor, key, response.stored_at_ms, response.fingerprint, response.body)
        self._db.execute("INSERT OR REPLACE INTO answer VALUES (?,?,?,?,?,?)", (*values, columns_checksum(*values)))

    def append_change(self, catalog: Catalog, diff: Diff, at_ms: int, tenant: str, actor: str) -> None:
        """Append the change that produced `catalog` to the log, and apply it to the state tables."""
        values = (catalog.epoch, catalog.version, at_ms, tenant, actor, encode_diff(diff), checksum_text(catalog))
        self._db.execute("INSERT INTO change VALUES (?,?,?,?,?,?,?,?)", (*values, columns_checksum(*values)))
        for removed_tenant in diff.reset:
            self._db.execute("DELETE FROM row WHERE tenant=?", (removed_tenant,))
            self._db.execute("DELETE FROM part WHERE tenant=?", (removed_tenant,))
        for row in diff.rows:
            self._apply_row(row)
        for name, (created_in_version, version) in diff.parts.items():
            self._db.execute("INSERT OR REPLACE INTO part VALUES (?,?,?)", (name, created_in_version, version))

    def audit(self, entry: AuditEntry) -> None:
        """Append an entry to the audit log; the database assigns its id."""
        self._db.execute(
            "INSERT INTO audit VALUES (NULL,?,?,?,?,?,?,?)",
            (entry.at_ms, entry.tenant, entry.actor, entry.action, entry.status, entry.epoch, entry.version),
        )

    def _apply_row(self, row: Row) -> None:
        if row.value is None:
            self._db.execute(
                "DELETE FROM row WHERE tenant=? AND kind=? AND name=?", (row.tenant, row.kind.value, row.name)
            )
            return
        self._db.execute(
            "INSERT OR REPLACE INTO row VALUES (?,?,?,?,?)",
            (row.tenant, row.kind.value, row.name, row.version, row.encoded_value()),
        )


class SqliteStore:
    """Store in one directory.

    Writes come from one thread. A second connection serves queries concurrently.
    """

    def __init__(self, folder: Path, create: bool = False) -> None:
        self.path = folder / DATABASE_FILE
        if not create and not self.path.exists() and (folder / RESTORE_FILE).exists():
            raise StoreError(folder, "a restore was interrupted; run the restore again")
        self._lock = StoreLock(folder)
        try:
            self._db = connect(self.path, create)
            migrate(self._db, self.path)
            self._reader = connect(self.path)
        except BaseException:
            self._lock.release()
            raise

    def close(self) -> None:
        """Close the database and release the lock."""
        with contextlib.suppress(sqlite3.Error):  # the committed changes stay in the write-ahead log
            self._db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        self._reader.close()
        self._db.close()
        self._lock.release()

    @contextlib.contextmanager
    def batch(self) -> Iterator[SqliteBatch]:
        """Run one transaction.

        Raises:
            BatchNotWrittenError: SQLite failed; the transaction was rolled back.
        """
        try:
            self._db.execute("BEGIN IMMEDIATE")
            yield SqliteBatch(self._db)
            self._db.execute("COMMIT")
        except BaseException as error:
            with contextlib.suppress(sqlite3.Error):
                if self._db.in_transaction:
                    self._db.execute("ROLLBACK")
            if isinstance(error, sqlite3.Error):
                raise BatchNotWrittenError(self.path, error) from error
            raise

    def latest_version(self) -> tuple[int, int]:
        """Return the epoch and the version of the latest change or snapshot on disk; (0, 0) for an empty store."""
        row = self._db.execute(
            "SELECT epoch, version FROM (SELECT epoch, version FROM change UNION ALL "
            "SELECT epoch, version FROM snapshot) ORDER BY epoch DESC, version DESC LIMIT 1"
        ).fetchone()
        return (row[0], row[1]) if row else (0, 0)

    def logged_change(self, epoch: int, version: int) -> LoggedChange | None:
        """Return one change of the log; None if it is no longer there."""
        row = self._reader.execute("SELECT * FROM change WHERE epoch=? AND version=?", (epoch, version)).fetchone()
        return logged_change_from_row(row) if row else None

    def audit_entries(self, tenant: str | None, before: int, limit: int) -> list[AuditEntry]:
        """Return audit entries with ids below `before`, newest first; without a tenant, those of all tenants."""
        tenant_condition, values = ("", ()) if tenant is None else ("tenant=? AND ", (tenant,))
        rows = self._reader.execute(
            f"SELECT * FROM audit WHERE {tenant_condition}id<? ORDER BY id DESC LIMIT ?", (*values, before, limit)
        )
        return [AuditEntry(*row) for row in rows]

    def write_snapshot_chunk(self, snapshot: int, number: int, rows: list[Row]) -> None:
        """Write a chunk of a snapshot, which has no effect before `commit_snapshot`."""
        body = encode_rows(rows)
        with self.batch():
            self._db.execute(
                "INSERT OR REPLACE INTO piece VALUES (?,?,?,?)",
                (snapshot, number, body, columns_checksum(snapshot, number, body)),
            )

    def commit_snapshot(self, snapshot: int, catalog: Catalog, chunks: int, retained_changes: int) -> None:
        """Commit a snapshot whose chunks are written, and delete older snapshots.

        Changes of the log that are `retained_changes` or more versions older than the snapshot are deleted, too.
        """
        last_deleted = catalog.version - retained_changes
        with self.batch():
            write_snapshot_head(self._db, snapshot, catalog, chunks)
            self._db.execute("DELETE FROM snapshot WHERE id<>?", (snapshot,))
            self._db.execute("DELETE FROM piece WHERE snapshot<>?", (snapshot,))
            self._db.execute("DELETE FROM change WHERE epoch=? AND version<=?", (catalog.epoch, last_deleted))

    def delete_responses(self, before_ms: int) -> int:
        """Delete the responses stored before a time (Unix ms), and return their number."""
        with self.batch():
            return self._db.execute("DELETE FROM answer WHERE at<?", (before_ms,)).rowcount

    def load(self) -> LoadResult:
        """Recover and verify the catalog; see `store_recovery.load`."""
        return load(self._db, self.path)

    def meta(self, name: str) -> str | None:
        """Return an entry of the table `meta`, which describes the store itself; None if it was never set."""
        try:
            row = self._db.execute("SELECT value FROM meta WHERE name=?", (name,)).fetchone()
        except sqlite3.Error as error:
            raise CorruptStoreError(f"{self.path}: table meta", error) from error
        return row[0] if row else None

    def set_meta(self, name: str, value: str) -> None:
        """Set an entry of the table `meta`."""
        with self.batch():
            self._db.execute("INSERT OR REPLACE INTO meta VALUES (?,?)", (name, value))


def write_snapshot_head(db: sqlite3.Connection, snapshot: int, catalog: Catalog, chunks: int) -> None:
    """Write the row that makes a snapshot with the given number of chunks valid."""
    values = (snapshot, catalog.epoch, catalog.version, checksum_text(catalog), encode_parts(catalog), chunks)
    db.execute("INSERT OR REPLACE INTO snapshot VALUES (?,?,?,?,?,?,?)", (*values, columns_checksum(*values)))
