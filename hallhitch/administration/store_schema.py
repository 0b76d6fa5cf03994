"""Schema of the store's SQLite database, as migrations from one schema version to the next.

`PRAGMA user_version` holds the number of applied migrations. New migrations are appended, and existing ones are never
edited: databases on disk were created by them.
"""

from __future__ import annotations

import contextlib
import sqlite3
from pathlib import Path
from typing import Final

from hallhitch.administration.errors import StoreError

MIGRATIONS: Final = (
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


def migrate(db: sqlite3.Connection, path: Path) -> int:
    """Apply the missing migrations, each in a transaction of its own, and return their number.

    Raises:
        StoreError: The schema is newer than this program supports, or a migration failed.
    """
    (applied,) = db.execute("PRAGMA user_version").fetchone()
    if applied > len(MIGRATIONS):
        raise StoreError(path, f"schema version {applied} is newer than this program supports ({len(MIGRATIONS)})")
    for number in range(applied, len(MIGRATIONS)):
        try:
            db.executescript(f"BEGIN IMMEDIATE; {MIGRATIONS[number]}; PRAGMA user_version={number + 1}; COMMIT;")
        except sqlite3.Error as error:
            with contextlib.suppress(sqlite3.Error):
                db.execute("ROLLBACK")
            raise StoreError(path, f"the migration to schema version {number + 1} failed: {error}") from error
    return len(MIGRATIONS) - int(applied)
