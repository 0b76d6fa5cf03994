"""Recovery of the catalog at a start: load the newest snapshot, replay the change log, verify the state tables.

The checksum of every row is verified, and the checksum of the catalog after each replayed change. The first damaged
row ends the recovery with `CorruptStoreError`; damaged rows are never skipped.
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
    """The recovered catalog and what its recovery found."""

    catalog: Catalog
    history: History
    latest_at_ms: int  # latest time of a change or an audit entry
    replayed_changes: int  # changes replayed on top of the snapshot


def load(db: sqlite3.Connection, path: Path) -> LoadResult:
    """Recover the catalog from the newest snapshot and the change log.

    Raises:
        CorruptStoreError: The store is damaged; the error names the first damaged row.
    """
    try:
        return _load(db)
    except CorruptStoreError as error:
        raise CorruptStoreError(f"{path}: {error.location}", error.reason) from error
    except (sqlite3.Error, TypeError, ValueError) as error:  # also a column of the wrong type, or invalid UTF-8
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
            raise CorruptStoreError(_location(change), f"version {last_version + 1}, which precedes it, is missing")
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
    """Apply a logged change, and verify the resulting catalog by the checksum logged with the change."""
    try:
        catalog = apply_diff(catalog, change.diff)
    except (ValueError, KeyError) as error:
        raise CorruptStoreError(_location(change), error) from error
    if checksum_text(catalog) != checksum:
        raise CorruptStoreError(_location(change), "the catalog after this change does not match the logged checksum")
    return catalog


def _load_snapshot(db: sqlite3.Connection) -> Catalog:
    """Build the catalog of the newest snapshot; an empty catalog if there is none."""
    row = db.execute("SELECT * FROM snapshot ORDER BY epoch DESC, version DESC LIMIT 1").fetchone()
    if row is None:
        return Catalog()
    snapshot_id, epoch, version, catalog_checksum, parts, chunks, checksum = row
    if columns_checksum(*row[:6]) != checksum:
        raise CorruptStoreError(f"table snapshot, id {snapshot_id}", "the checksum does not match")
    (stored_chunks,) = db.execute("SELECT count(*) FROM piece WHERE snapshot=?", (snapshot_id,)).fetchone()
    if stored_chunks != chunks:
        raise CorruptStoreError(
            f"table piece, snapshot {snapshot_id}", f"{stored_chunks} chunks are stored instead of {chunks}"
        )
    part_versions = decode_parts(parts)
    try:
        catalog = build_catalog(epoch, version, _snapshot_rows(db, snapshot_id), part_versions)
    except (ValueError, KeyError) as error:
        raise CorruptStoreError(f"table piece, snapshot {snapshot_id}", error) from error
    if checksum_text(catalog) != catalog_checksum:
        raise CorruptStoreError(
            f"table snapshot, id {snapshot_id}", "the catalog of this snapshot does not match its checksum"
        )
    return catalog


def _snapshot_rows(db: sqlite3.Connection, snapshot_id: int) -> Iterator[Row]:
    """Yield a snapshot's rows, chunk by chunk, and verify each chunk."""
    chunks = db.execute("SELECT number, body, digest FROM piece WHERE snapshot=? ORDER BY number", (snapshot_id,))
    for number, body, checksum in chunks:
        if columns_checksum(snapshot_id, number, body) != checksum:
            raise CorruptStoreError(
                f"table piece, snapshot {snapshot_id}, number {number}", "the checksum does not match"
            )
        yield from decode_rows(body)


def _verify_state_tables(db: sqlite3.Connection, catalog: Catalog) -> None:
    """Verify that the tables `row` and `part` match the catalog recovered from snapshot and log."""
    total = 0
    for tenant, kind, name, version, body in db.execute("SELECT * FROM row"):
        if not isinstance(body, bytes):
            raise CorruptStoreError(f"table row, tenant {tenant!r}, {kind} {name}", "the body is not a blob")
        total += row_hash(tenant, kind, name, version, body)
    if total % CHECKSUM_MODULUS != catalog.checksum:
        raise _first_state_difference(db, catalog)
    parts = {name: (created, version) for name, created, version in db.execute("SELECT * FROM part")}
    for name, part in catalog.tenants.items():
        if parts.pop(name, None) != (part.created_in_version, part.version):
            raise CorruptStoreError(f"table part, tenant {name}", "differs from the catalog of the change log")
    for name in parts:
        raise CorruptStoreError(f"table part, tenant {name}", "not in the catalog of the change log")


def _first_state_difference(db: sqlite3.Connection, catalog: Catalog) -> CorruptStoreError:
    """Return the error that names the first row in which the state tables differ from the catalog."""
    expected = {
        (row.tenant, row.kind.value, row.name): (row.version, row.encoded_value()) for row in catalog_rows(catalog)
    }
    for tenant, kind, name, version, body in db.execute("SELECT * FROM row"):
        if expected.pop((tenant, kind, name), None) != (version, body):
            return CorruptStoreError(
                f"table row, tenant {tenant!r}, {kind} {name}", "differs from the catalog of the change log"
            )
    tenant, kind, name = min(expected)
    return CorruptStoreError(f"table row, tenant {tenant!r}, {kind} {name}", "missing")
