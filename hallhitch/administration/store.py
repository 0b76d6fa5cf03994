"""The durable catalogue, in SQLite behind a port: change log, state, answers to repeat, audit, snapshots.

A batch of changes is one transaction (WAL, synchronous FULL): after it returns, all of it is on disk, or none. Every
row that the state depends on carries a checksum. What is found damaged is named and never passed over.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Protocol

from msgspec import Struct
from xxhash import xxh3_128_hexdigest

from hallhitch.catalog.draft import build_catalog
from hallhitch.catalog.history import (
    Diff,
    History,
    apply_diff,
    decode_diff,
    decode_rows,
    encode_diff,
    encode_rows,
)
from hallhitch.catalog.model import Catalog
from hallhitch.catalog.rows import CHECKSUM_MODULUS, Row, catalog_rows, row_hash

DATABASE_FILE, LOCK_FILE, SUPERSEDED_PREFIX, RESTORE_FILE = "state.db", "lock", "before-restore", "restore.tmp"
SNAPSHOT_CHUNK_ROWS = 2_000  # rows in a piece of a snapshot
BUSY_TIMEOUT_S = 5.0  # seconds to wait for a reader that holds the file, such as a backup
MIGRATIONS = (
    """
    CREATE TABLE meta (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
    CREATE TABLE change (epoch INTEGER, version INTEGER, at INTEGER NOT NULL, tenant TEXT NOT NULL,
        actor TEXT NOT NULL, body BLOB NOT NULL, sum TEXT NOT NULL, digest TEXT NOT NULL,
        PRIMARY KEY (epoch, version)) WITHOUT ROWID;
    CREATE TABLE row (tenant TEXT, kind TEXT, name TEXT, version INTEGER NOT NULL, body BLOB NOT NULL,
        PRIMARY KEY (tenant, kind, name)) WITHOUT ROWID;
    CREATE TABLE part (tenant TEXT PRIMARY KEY, born INTEGER NOT NULL, version INTEGER NOT NULL) WITHOUT ROWID;
    CREATE TABLE answer (actor TEXT, key TEXT, at INTEGER NOT NULL, asked BLOB NOT NULL, body BLOB NOT NULL,
        digest TEXT NOT NULL, PRIMARY KEY (actor, key)) WITHOUT ROWID;
    CREATE INDEX answer_at ON answer (at);
    CREATE TABLE audit (id INTEGER PRIMARY KEY, at INTEGER NOT NULL, tenant TEXT NOT NULL, actor TEXT NOT NULL,
        action TEXT NOT NULL, status INTEGER NOT NULL, epoch INTEGER NOT NULL, version INTEGER NOT NULL);
    CREATE INDEX audit_tenant ON audit (tenant, id);
    """,
    """
    CREATE TABLE snapshot (id INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, version INTEGER NOT NULL,
        sum TEXT NOT NULL, parts BLOB NOT NULL, pieces INTEGER NOT NULL, digest TEXT NOT NULL);
    CREATE TABLE piece (snapshot INTEGER, number INTEGER, body BLOB NOT NULL, digest TEXT NOT NULL,
        PRIMARY KEY (snapshot, number)) WITHOUT ROWID;
    """,
)


class StoreError(Exception):
    """The store cannot be used; the text says which file or row, and why."""


class CorruptStoreError(StoreError):
    """A row does not hold what was written there."""


class BatchNotWrittenError(StoreError):
    """A batch was not written: nothing of it holds. The same batch may be tried again."""


class LoggedChange(Struct, frozen=True):
    """One change as the log has it."""

    epoch: int
    version: int
    at_ms: int
    tenant: str
    actor: str
    diff: Diff


class AuditEntry(Struct, frozen=True):
    """One call as the audit has it; `version` 0 where it changed nothing."""

    id: int
    at_ms: int
    tenant: str
    actor: str
    action: str
    status: int
    epoch: int
    version: int


class StoredResponse(Struct, frozen=True):
    """What was answered to a call that may be repeated: `asked` is the call's fingerprint, `body` opaque."""

    stored_at_ms: int
    fingerprint: bytes
    body: bytes


class Batch(Protocol):
    """What one transaction may do. Any failure raises Unavailable from the batch, which then holds nothing."""

    def stored_response(self, actor: str, key: str) -> StoredResponse | None: ...

    def store_response(self, actor: str, key: str, answer: StoredResponse) -> None: ...

    def append_change(self, made: Catalog, diff: Diff, at: int, tenant: str, actor: str) -> None: ...

    def audit(self, entry: AuditEntry) -> None: ...


class Store(Protocol):
    """A durable catalogue. One process writes; a batch is durable whole once its `with` has ended."""

    def batch(self) -> contextlib.AbstractContextManager[Batch]: ...

    def latest_version(self) -> tuple[int, int]: ...

    def logged_change(self, epoch: int, version: int) -> LoggedChange | None: ...

    def audit_entries(self, tenant: str | None, before: int, most: int) -> list[AuditEntry]: ...

    def write_snapshot_chunk(self, snapshot: int, number: int, rows: list[Row]) -> None: ...

    def commit_snapshot(self, snapshot: int, catalog: Catalog, pieces: int, keep: int) -> None: ...

    def delete_responses(self, before: int) -> int: ...


class LoadResult(Struct, frozen=True):
    """What a start found."""

    catalog: Catalog
    history: History
    latest_at_ms: int  # the latest time in the store
    replayed_changes: int  # changes applied on the snapshot


def columns_checksum(*parts: Any) -> str:
    """A checksum over a row's columns."""
    return xxh3_128_hexdigest(b"\0".join(p if isinstance(p, bytes) else str(p).encode() for p in parts))


class StoreLock:
    """The folder's lock: one process at a time has the store."""

    def __init__(self, folder: Path) -> None:
        try:
            self._file = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise StoreError(f"{folder}: {error.strerror}") from error
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            holder = os.pread(self._file, 20, 0).decode(errors="replace").strip() or "unknown"
            os.close(self._file)
            raise StoreError(f"{folder}: in use by process {holder}") from error
        with contextlib.suppress(OSError):  # a full disk: the lock holds without the number in it
            os.ftruncate(self._file, 0)
            os.pwrite(self._file, str(os.getpid()).encode(), 0)

    def release(self) -> None:
        """Let the next process have it."""
        os.close(self._file)


def connect(path: Path, create: bool = False, readonly: bool = False) -> sqlite3.Connection:
    """A connection with what durability needs."""
    if not create and not path.exists():
        raise StoreError(f"{path}: there is no store; 'hallhitch control init' makes one")
    try:
        mode = "rwc" if create else "ro" if readonly else "rw"
        db = sqlite3.connect(
            f"file:{path}?mode={mode}", uri=True, isolation_level=None, timeout=BUSY_TIMEOUT_S, check_same_thread=False
        )
        if not readonly:
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            db.execute("PRAGMA wal_autocheckpoint=4000")  # pages: a checkpoint each few hundred changes
        db.execute("PRAGMA cache_size=-16000")
        db.execute("SELECT count(*) FROM sqlite_master").fetchone()
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from error
    return db


def migrate(db: sqlite3.Connection, path: Path) -> int:
    """Bring the tables to the newest form; each step is one transaction, and none goes back. Steps made."""
    (at,) = db.execute("PRAGMA user_version").fetchone()
    if at > len(MIGRATIONS):
        raise StoreError(f"{path}: form {at} is newer than this program knows ({len(MIGRATIONS)})")
    for number in range(at, len(MIGRATIONS)):
        try:
            db.executescript(f"BEGIN IMMEDIATE; {MIGRATIONS[number]}; PRAGMA user_version={number + 1}; COMMIT;")
        except sqlite3.Error as error:
            with contextlib.suppress(sqlite3.Error):
                db.execute("ROLLBACK")
            raise StoreError(f"{path}: step {number + 1} of the form: {error}") from error
    return len(MIGRATIONS) - int(at)


class SqliteBatch:
    """A transaction under way."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self._db = db

    def stored_response(self, actor: str, key: str) -> StoredResponse | None:
        """What was answered to this key, if it is still kept."""
        row = self._db.execute(
            "SELECT at, asked, body, digest FROM answer WHERE actor=? AND key=?", (actor, key)
        ).fetchone()
        if row is None:
            return None
        if columns_checksum(actor, key, *row[:3]) != row[3]:
            raise CorruptStoreError(f"table answer, actor {actor}, key {key}: the checksum does not fit")
        return StoredResponse(*row[:3])

    def store_response(self, actor: str, key: str, answer: StoredResponse) -> None:
        """Keep an answer for repeats."""
        values = (actor, key, answer.stored_at_ms, answer.fingerprint, answer.body)
        self._db.execute("INSERT OR REPLACE INTO answer VALUES (?,?,?,?,?,?)", (*values, columns_checksum(*values)))

    def append_change(self, made: Catalog, diff: Diff, at: int, tenant: str, actor: str) -> None:
        """Write a change to the log and the state."""
        body, total = encode_diff(diff), f"{made.checksum:032x}"
        values = (made.epoch, made.version, at, tenant, actor, body, total)
        self._db.execute("INSERT INTO change VALUES (?,?,?,?,?,?,?,?)", (*values, columns_checksum(*values)))
        for gone in diff.reset:
            self._db.execute("DELETE FROM row WHERE tenant=?", (gone,))
            self._db.execute("DELETE FROM part WHERE tenant=?", (gone,))
        for row in diff.rows:
            if row.value is None:
                self._db.execute(
                    "DELETE FROM row WHERE tenant=? AND kind=? AND name=?", (row.tenant, row.kind.value, row.name)
                )
            else:
                self._db.execute(
                    "INSERT OR REPLACE INTO row VALUES (?,?,?,?,?)",
                    (row.tenant, row.kind.value, row.name, row.version, row.encoded_value()),
                )
        for name, (born, version) in diff.parts.items():
            self._db.execute("INSERT OR REPLACE INTO part VALUES (?,?,?)", (name, born, version))

    def audit(self, entry: AuditEntry) -> None:
        """Write a line of the audit; its id is the store's."""
        self._db.execute(
            "INSERT INTO audit VALUES (NULL,?,?,?,?,?,?,?)",
            (entry.at_ms, entry.tenant, entry.actor, entry.action, entry.status, entry.epoch, entry.version),
        )


class SqliteStore:
    """The store in one folder. Writes come from one thread; `reader` serves queries beside it."""

    def __init__(self, folder: Path, create: bool = False) -> None:
        self.path = folder / DATABASE_FILE
        if not create and not self.path.exists() and (folder / RESTORE_FILE).exists():
            raise StoreError(f"{folder}: a restore was interrupted; run it again")
        self._lock = StoreLock(folder)
        try:
            self._db = connect(self.path, create)
            migrate(self._db, self.path)
            self._reader = connect(self.path)
        except BaseException:
            self._lock.release()
            raise

    def close(self) -> None:
        """Let go of the file and the lock."""
        with contextlib.suppress(sqlite3.Error):  # what was committed is in the log file all the same
            self._db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        self._reader.close()
        self._db.close()
        self._lock.release()

    @contextlib.contextmanager
    def batch(self) -> Iterator[SqliteBatch]:
        """One transaction; Unavailable means that nothing of it holds."""
        try:
            self._db.execute("BEGIN IMMEDIATE")
            yield SqliteBatch(self._db)
            self._db.execute("COMMIT")
        except BaseException as error:
            with contextlib.suppress(sqlite3.Error):
                if self._db.in_transaction:
                    self._db.execute("ROLLBACK")
            if isinstance(error, sqlite3.Error):
                raise BatchNotWrittenError(f"{self.path}: {error}") from error
            raise

    def latest_version(self) -> tuple[int, int]:
        """Epoch and version of the last change or snapshot on disk."""
        row = self._db.execute(
            "SELECT epoch, version FROM (SELECT epoch, version FROM change UNION ALL "
            "SELECT epoch, version FROM snapshot) ORDER BY epoch DESC, version DESC LIMIT 1"
        ).fetchone()
        return (row[0], row[1]) if row else (0, 0)

    def logged_change(self, epoch: int, version: int) -> LoggedChange | None:
        """One change of the log, if it is still kept."""
        row = self._reader.execute("SELECT * FROM change WHERE epoch=? AND version=?", (epoch, version)).fetchone()
        return _logged_change(row) if row else None

    def audit_entries(self, tenant: str | None, before: int, most: int) -> list[AuditEntry]:
        """Lines of the audit, newest first; `tenant` None means all."""
        where, values = ("", ()) if tenant is None else ("tenant=? AND ", (tenant,))
        rows = self._reader.execute(
            f"SELECT * FROM audit WHERE {where}id<? ORDER BY id DESC LIMIT ?", (*values, before, most)
        )
        return [AuditEntry(*row) for row in rows]

    def write_snapshot_chunk(self, snapshot: int, number: int, rows: list[Row]) -> None:
        """Write a piece of a snapshot that does not count before `keep_snapshot`."""
        body = encode_rows(rows)
        with self.batch():
            self._db.execute(
                "INSERT OR REPLACE INTO piece VALUES (?,?,?,?)",
                (snapshot, number, body, columns_checksum(snapshot, number, body)),
            )

    def commit_snapshot(self, snapshot: int, catalog: Catalog, pieces: int, keep: int) -> None:
        """Let a snapshot count from now on; drop older ones, and the log but for the last `keep` before it."""
        with self.batch():
            write_snapshot_head(self._db, snapshot, catalog, pieces)
            self._db.execute("DELETE FROM snapshot WHERE id<>?", (snapshot,))
            self._db.execute("DELETE FROM piece WHERE snapshot<>?", (snapshot,))
            self._db.execute("DELETE FROM change WHERE epoch=? AND version<=?", (catalog.epoch, catalog.version - keep))

    def delete_responses(self, before: int) -> int:
        """Drop answers older than this; how many went."""
        with self.batch():
            return self._db.execute("DELETE FROM answer WHERE at<?", (before,)).rowcount

    def load(self) -> LoadResult:
        """Rebuild the catalogue from snapshot and log, and hold it against the stored state."""
        return load(self._db, self.path)

    def meta(self, name: str, value: str | None = None) -> str | None:
        """Read a word about the store, or set it."""
        if value is not None:
            with self.batch():
                self._db.execute("INSERT OR REPLACE INTO meta VALUES (?,?)", (name, value))
        try:
            row = self._db.execute("SELECT value FROM meta WHERE name=?", (name,)).fetchone()
        except sqlite3.Error as error:
            raise CorruptStoreError(f"{self.path}: table meta: {error}") from error
        return row[0] if row else None


def write_snapshot_head(db: sqlite3.Connection, snapshot: int, catalog: Catalog, pieces: int) -> None:
    """The row by which a snapshot's pieces count."""
    parts = encode_parts(catalog)
    values = (snapshot, catalog.epoch, catalog.version, f"{catalog.checksum:032x}", parts, pieces)
    db.execute("INSERT OR REPLACE INTO snapshot VALUES (?,?,?,?,?,?,?)", (*values, columns_checksum(*values)))


def encode_parts(catalog: Catalog) -> bytes:
    """Each tenant's born and version, as bytes."""
    lines = [f"{name} {part.created_in_version} {part.version}" for name, part in sorted(catalog.tenants.items())]
    return "\n".join(lines).encode()


def _logged_change(row: tuple[Any, ...]) -> LoggedChange:
    epoch, version, at, tenant, actor, body, _, kept = row
    place = f"table change, version {epoch}.{version}"
    if columns_checksum(*row[:7]) != kept:
        raise CorruptStoreError(f"{place}: the checksum does not fit")
    try:
        return LoggedChange(epoch, version, at, tenant, actor, decode_diff(body))
    except ValueError as error:
        raise CorruptStoreError(f"{place}: {error}") from error


def load(db: sqlite3.Connection, path: Path) -> LoadResult:
    """Rebuild from snapshot and log; Damaged names the first row that does not fit."""
    try:
        return _load(db)
    except CorruptStoreError as error:
        raise CorruptStoreError(f"{path}: {error}") from error
    except (sqlite3.Error, TypeError, ValueError) as error:  # a column of another type, text that is no UTF-8
        raise CorruptStoreError(f"{path}: {error}") from error


def _load(db: sqlite3.Connection) -> LoadResult:
    catalog = _load_snapshot(db)
    history, at, replayed = History(), 0, 0
    last: int | None = None
    for row in db.execute("SELECT * FROM change WHERE epoch>=? ORDER BY epoch, version", (catalog.epoch,)):
        written = _logged_change(row)
        place = f"table change, version {written.epoch}.{written.version}"
        at = max(at, written.at_ms)
        if last is None:
            history.start(written.epoch, written.version - 1)
        elif written.version != last + 1:
            raise CorruptStoreError(f"{place}: the one before it, {last + 1}, is missing")
        last = written.version
        history.add(written.diff)
        if written.version <= catalog.version:
            continue
        try:
            catalog = apply_diff(catalog, written.diff)
        except (ValueError, KeyError) as error:
            raise CorruptStoreError(f"{place}: {error}") from error
        if f"{catalog.checksum:032x}" != row[6]:
            raise CorruptStoreError(f"{place}: what it leads to is not what it led to")
        replayed += 1
    if last is None:
        history.start(catalog.epoch, catalog.version)
    _verify_state_tables(db, catalog)
    (heard,) = db.execute("SELECT coalesce(max(at), 0) FROM audit").fetchone()
    return LoadResult(catalog, history, max(at, heard), replayed)


def _load_snapshot(db: sqlite3.Connection) -> Catalog:
    row = db.execute("SELECT * FROM snapshot ORDER BY epoch DESC, version DESC LIMIT 1").fetchone()
    if row is None:
        return Catalog()
    id, epoch, version, total, parts, pieces, kept = row
    if columns_checksum(*row[:6]) != kept:
        raise CorruptStoreError(f"table snapshot, id {id}: the checksum does not fit")

    def rows() -> Iterator[Row]:
        number = 0
        for number, body, piece in db.execute(  # noqa: B007
            "SELECT number, body, digest FROM piece WHERE snapshot=? ORDER BY number", (id,)
        ):
            if columns_checksum(id, number, body) != piece:
                raise CorruptStoreError(f"table piece, snapshot {id}, number {number}: the checksum does not fit")
            yield from decode_rows(body)

    (found,) = db.execute("SELECT count(*) FROM piece WHERE snapshot=?", (id,)).fetchone()
    if found != pieces:
        raise CorruptStoreError(f"table piece, snapshot {id}: {found} pieces in place of {pieces}")
    told = {
        name: (int(born), int(last)) for name, born, last in (line.split(" ") for line in parts.decode().splitlines())
    }
    try:
        catalog = build_catalog(epoch, version, rows(), told)
    except (ValueError, KeyError) as error:
        raise CorruptStoreError(f"table piece, snapshot {id}: {error}") from error
    if f"{catalog.checksum:032x}" != total:
        raise CorruptStoreError(f"table snapshot, id {id}: its pieces do not give its sum")
    return catalog


def _verify_state_tables(db: sqlite3.Connection, catalog: Catalog) -> None:
    """The stored state must be what snapshot and log give."""
    total = 0
    for tenant, kind, name, version, body in db.execute("SELECT * FROM row"):
        if not isinstance(body, bytes):
            raise CorruptStoreError(f"table row, tenant {tenant!r}, {kind} {name}: the body is no blob")
        total += row_hash(tenant, kind, name, version, body)
    if total % CHECKSUM_MODULUS != catalog.checksum:
        raise CorruptStoreError(_first_state_difference(db, catalog))
    parts = dict((name, (born, version)) for name, born, version in db.execute("SELECT * FROM part"))
    for name, part in catalog.tenants.items():
        if parts.pop(name, None) != (part.created_in_version, part.version):
            raise CorruptStoreError(f"table part, tenant {name}: not what the log gives")
    for name in parts:
        raise CorruptStoreError(f"table part, tenant {name}: not in the log")


def _first_state_difference(db: sqlite3.Connection, catalog: Catalog) -> str:
    """The first row of the state that the log does not give."""
    want = {(row.tenant, row.kind.value, row.name): (row.version, row.encoded_value()) for row in catalog_rows(catalog)}
    for tenant, kind, name, version, body in db.execute("SELECT * FROM row"):
        if want.pop((tenant, kind, name), None) != (version, body):
            return f"table row, tenant {tenant!r}, {kind} {name}: not what the log gives"
    tenant, kind, name = min(want)
    return f"table row, tenant {tenant!r}, {kind} {name}: missing"
