"""Recovery of the catalog at a start: newest snapshot, then the change log, verified against the state tables.

Each row's checksum is verified, and the checksum of the catalog after each change. The first row that does not fit
ends the recovery with `CorruptStoreError`; nothing damaged is skipped.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from pathlib import Path

from msgspec import Struct

from hallhitch.administration.errors import CorruptStoreError
from hallhitch.administration.store_records import (
    LoggedChange,
    checksum_text,
    columns_checksum,
    decode_parts,
    logged_change_from_row,
)
from hallhitch.catalog.draft import build_catalog
from hallhitch.catalog.history import History, apply_diff, decode_rows
from hallhitch.catalog.model import Catalog
from hallhitch.catalog.rows import CHECKSUM_MODULUS, Row, catalog_rows, row_hash


class LoadResult(Struct, frozen=True):
    """What a start recovered."""

    catalog: Catalog
    history: History
    latest_at_ms: int  # the latest time in the store
    replayed_changes: int  # changes applied to the snapshot


def load(db: sqlite3.Connection, path: Path) -> LoadResult:
    """Recover the catalog from snapshot and change log.

    Raises:
        CorruptStoreError: Names the first row that does not fit.
    """
    try:
        return _load(db)
    except CorruptStoreError as error:
        raise CorruptStoreError(f"{path}: {error.location}", error.reason) from error
    except (sqlite3.Error, TypeError, ValueError) as error:  # a column of another type, text that is no UTF-8
        raise CorruptStoreError(path, error) from error


def _load(db: sqlite3.Connection) -> LoadResult:
    catalog = _load_snapshot(db)
    history = History()
    latest_at_ms = 0
    replayed_changes = 0
    last_version: int | None = None
    for row in db.execute("SELECT * FROM change WHERE epoch>=? ORDER BY epoch, version", (catalog.epoch,)):
        change = logged_change_from_row(row)
        latest_at_ms = max(latest_at_ms, change.at_ms)
        if last_version is None:
            history.start(change.epoch, change.version - 1)
        elif change.version != last_version + 1:
            raise CorruptStoreError(_location(change), f"the one before it, {last_version + 1}, is missing")
        last_version = change.version
        history.add(change.diff)
        if change.version <= catalog.version:
            continue
        catalog = _replay(catalog, change, checksum=row[6])
        replayed_changes += 1
    if last_version is None:
        history.start(catalog.epoch, catalog.version)
    _verify_state_tables(db, catalog)
    (audited_at_ms,) = db.execute("SELECT coalesce(max(at), 0) FROM audit").fetchone()
    return LoadResult(catalog, history, max(latest_at_ms, audited_at_ms), replayed_changes)


def _location(change: LoggedChange) -> str:
    return f"table change, version {change.epoch}.{change.version}"


def _replay(catalog: Catalog, change: LoggedChange, checksum: str) -> Catalog:
    """Apply a logged change; the result must have the checksum that was logged with it."""
    try:
        catalog = apply_diff(catalog, change.diff)
    except (ValueError, KeyError) as error:
        raise CorruptStoreError(_location(change), error) from error
    if checksum_text(catalog) != checksum:
        raise CorruptStoreError(_location(change), "what it leads to is not what it led to")
    return catalog


def _load_snapshot(db: sqlite3.Connection) -> Catalog:
    """Build the catalog of the newest snapshot; empty where there is none."""
    row = db.execute("SELECT * FROM snapshot ORDER BY epoch DESC, version DESC LIMIT 1").fetchone()
    if row is None:
        return Catalog()
    id, epoch, version, catalog_checksum, parts, chunks, checksum = row
    if columns_checksum(*row[:6]) != checksum:
        raise CorruptStoreError(f"table snapshot, id {id}", "the checksum does not fit")
    (present,) = db.execute("SELECT count(*) FROM piece WHERE snapshot=?", (id,)).fetchone()
    if present != chunks:
        raise CorruptStoreError(f"table piece, snapshot {id}", f"{present} pieces in place of {chunks}")
    part_versions = decode_parts(parts)
    try:
        catalog = build_catalog(epoch, version, _snapshot_rows(db, id), part_versions)
    except (ValueError, KeyError) as error:
        raise CorruptStoreError(f"table piece, snapshot {id}", error) from error
    if checksum_text(catalog) != catalog_checksum:
        raise CorruptStoreError(f"table snapshot, id {id}", "its pieces do not give its sum")
    return catalog


def _snapshot_rows(db: sqlite3.Connection, id: int) -> Iterator[Row]:
    """Yield a snapshot's rows, chunk by chunk."""
    chunks = db.execute("SELECT number, body, digest FROM piece WHERE snapshot=? ORDER BY number", (id,))
    for number, body, checksum in chunks:
        if columns_checksum(id, number, body) != checksum:
            raise CorruptStoreError(f"table piece, snapshot {id}, number {number}", "the checksum does not fit")
        yield from decode_rows(body)


def _verify_state_tables(db: sqlite3.Connection, catalog: Catalog) -> None:
    """Verify that the tables `row` and `part` hold what snapshot and log give."""
    total = 0
    for tenant, kind, name, version, body in db.execute("SELECT * FROM row"):
        if not isinstance(body, bytes):
            raise CorruptStoreError(f"table row, tenant {tenant!r}, {kind} {name}", "the body is no blob")
        total += row_hash(tenant, kind, name, version, body)
    if total % CHECKSUM_MODULUS != catalog.checksum:
        raise _first_state_difference(db, catalog)
    parts = {name: (created, version) for name, created, version in db.execute("SELECT * FROM part")}
    for name, part in catalog.tenants.items():
        if parts.pop(name, None) != (part.created_in_version, part.version):
            raise CorruptStoreError(f"table part, tenant {name}", "not what the log gives")
    for name in parts:
        raise CorruptStoreError(f"table part, tenant {name}", "not in the log")


def _first_state_difference(db: sqlite3.Connection, catalog: Catalog) -> CorruptStoreError:
    """Return the error that names the first row of the state tables that the log does not give."""
    expected = {
        (row.tenant, row.kind.value, row.name): (row.version, row.encoded_value()) for row in catalog_rows(catalog)
    }
    for tenant, kind, name, version, body in db.execute("SELECT * FROM row"):
        if expected.pop((tenant, kind, name), None) != (version, body):
            return CorruptStoreError(f"table row, tenant {tenant!r}, {kind} {name}", "not what the log gives")
    tenant, kind, name = min(expected)
    return CorruptStoreError(f"table row, tenant {tenant!r}, {kind} {name}", "missing")
