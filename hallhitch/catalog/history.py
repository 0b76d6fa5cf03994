"""Diffs between versions of the catalog, and the history from which they are computed.

The history holds the keys of the entries that each version changed. A diff contains the current state of each entry
that changed since a version. Its cost depends on the number of changes and not on the size of the catalog.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any, Final

import msgspec
from msgspec import Raw, Struct

from hallhitch.catalog.draft import CatalogDraft, with_tenant_versions
from hallhitch.catalog.errors import DiffMismatch
from hallhitch.catalog.model import Catalog, Kind
from hallhitch.catalog.rows import Row, catalog_rows, decode_value, tenant_rows

RowKey = tuple[str, Kind, str]
JSON_NULL: Final = b"null"
MAX_HISTORY_NAMES: Final = 100_000  # bounds memory; a gateway that is further behind gets a snapshot


class Diff(Struct, frozen=True):
    """Rows that update a catalog from one version of an epoch to a later one.

    Tenants in `reset` were deleted, or deleted and recreated: delete them first; `rows` has all rows of the recreated.
    """

    epoch: int
    since: int
    version: int
    reset: tuple[str, ...]
    rows: tuple[Row, ...]
    parts: dict[str, tuple[int, int]]  # the versions that created and last changed each changed tenant that exists


class _RawRow(Struct, frozen=True, array_like=True):
    """Encoded row: an array in the order of the fields of `Row`, with the value still encoded."""

    tenant: str
    kind: Kind
    name: str
    version: int
    value: Raw

    def decode(self) -> Row:
        """Return the row with its value decoded."""
        value = decode_value(self.kind, self.value) if bytes(self.value) != JSON_NULL else None
        return Row(self.tenant, self.kind, self.name, self.version, value)


class _RawDiff(Struct, frozen=True, forbid_unknown_fields=True):
    """Encoded diff, with the values of its rows still encoded."""

    epoch: int
    since: int
    version: int
    reset: tuple[str, ...]
    rows: tuple[_RawRow, ...]
    parts: dict[str, tuple[int, int]]


_encode = msgspec.json.Encoder(order="deterministic").encode
_decode_diff = msgspec.json.Decoder(_RawDiff).decode
_decode_rows = msgspec.json.Decoder(tuple[_RawRow, ...]).decode


def _row_tuples(rows: Iterable[Row]) -> list[tuple[Any, ...]]:
    return [(row.tenant, row.kind, row.name, row.version, row.value) for row in rows]


def encode_rows(rows: Iterable[Row]) -> bytes:
    """Encode the rows of a chunk of a snapshot."""
    return _encode(_row_tuples(rows))


def decode_rows(body: bytes) -> tuple[Row, ...]:
    """Decode rows; raise ValueError if they are malformed."""
    return tuple([row.decode() for row in _decode_rows(body)])


def encode_diff(diff: Diff) -> bytes:
    """Encode a diff in the format of the change log and of the feed."""
    return _encode(
        {
            "epoch": diff.epoch,
            "since": diff.since,
            "version": diff.version,
            "reset": diff.reset,
            "rows": _row_tuples(diff.rows),
            "parts": diff.parts,
        }
    )


def decode_diff(body: bytes) -> Diff:
    """Decode a diff; raise ValueError if it is malformed."""
    raw = _decode_diff(body)
    rows = tuple([row.decode() for row in raw.rows])
    return Diff(raw.epoch, raw.since, raw.version, raw.reset, rows, raw.parts)


def make_diff(newest: Catalog, since: int, touched: Iterable[RowKey]) -> Diff:
    """Make the diff from version `since` to the newest, given the keys of the entries changed since then."""
    keys = set(touched)
    reset = {
        tenant
        for tenant, kind, _ in keys
        if kind is Kind.TENANT and (tenant not in newest.tenants or newest.tenants[tenant].created_in_version > since)
    }
    # Deletions precede puts, since a host name may move between tenants. All rows of the recreated tenants follow, then
    # the other puts: the row of a tenant precedes those of its entries, which depend on it. Rows are sorted by name, so
    # that equal diffs have equal encodings.
    rows = [*_deleted_rows(newest, keys, reset)]
    for tenant in sorted(reset & set(newest.tenants)):
        rows += tenant_rows(newest, tenant)
    rows += _present_rows(newest, keys, reset)
    parts = {
        tenant: (newest.tenants[tenant].created_in_version, newest.tenants[tenant].version)
        for tenant in sorted({key[0] for key in keys})
        if tenant in newest.tenants
    }
    return Diff(newest.epoch, since, newest.version, tuple(sorted(reset)), tuple(rows), parts)


def _deleted_rows(newest: Catalog, keys: set[RowKey], reset: set[str]) -> list[Row]:
    deleted = [key for key in keys if key[0] not in reset and newest.get(*key) is None]
    return [Row(tenant, kind, name, newest.version, None) for tenant, kind, name in sorted(deleted)]


def _present_rows(newest: Catalog, keys: set[RowKey], reset: set[str]) -> list[Row]:
    existing = [key for key in keys if key[0] not in reset and newest.get(*key) is not None]
    existing.sort(key=lambda key: (key[0], key[1] is not Kind.TENANT, key[1].value, key[2]))
    rows = []
    for tenant, kind, name in existing:
        entry = newest.get(tenant, kind, name)
        if entry is not None:
            rows.append(Row(tenant, kind, name, entry.version, entry.value))
    return rows


class History:
    """Keys of the entries that the latest versions changed, at most `max_names` of them."""

    def __init__(self, max_names: int = MAX_HISTORY_NAMES) -> None:
        self.epoch = 0
        self.oldest_version = 0  # diffs are available from this version and later ones
        self._max_names = max_names
        self._name_count = 0
        self._versions: deque[tuple[int, tuple[RowKey, ...]]] = deque()

    def start(self, epoch: int, version: int) -> None:
        """Begin at a version; no diffs from earlier versions are available."""
        self._versions.clear()
        self._name_count = 0
        self.epoch = epoch
        self.oldest_version = version

    def add(self, diff: Diff) -> None:
        """Add the next version, and evict the oldest versions while there are more than `max_names` keys."""
        keys = (
            *((tenant, Kind.TENANT, tenant) for tenant in diff.reset),
            *((row.tenant, row.kind, row.name) for row in diff.rows),
        )
        self._versions.append((diff.version, keys))
        self._name_count += len(keys)
        while self._name_count > self._max_names and self._versions:
            self.oldest_version, removed_keys = self._versions.popleft()
            self._name_count -= len(removed_keys)

    def diff(self, newest: Catalog, epoch: int, since: int) -> Diff | None:
        """Return the diff from a version to the newest; None if that version was evicted or is of another epoch."""
        if epoch != self.epoch or not self.oldest_version <= since <= newest.version:
            return None
        touched: set[RowKey] = set()
        for version, keys in reversed(self._versions):
            if version <= since:
                break
            touched.update(keys)
        return make_diff(newest, since, touched)


def apply_diff(catalog: Catalog, diff: Diff) -> Catalog:
    """Apply a diff to the catalog at its version `since`.

    Raises:
        DiffMismatch: The catalog is at another version.
        KeyError: The diff names a tenant that does not exist.
    """
    if (catalog.epoch, catalog.version) != (diff.epoch, diff.since):
        raise DiffMismatch((diff.epoch, diff.since), (catalog.epoch, catalog.version))
    draft = CatalogDraft(catalog)
    for tenant in diff.reset:
        draft.delete(tenant, Kind.TENANT, tenant)
    for row in diff.rows:
        if row.value is None:
            draft.delete(row.tenant, row.kind, row.name)
        else:
            draft.put(row)
    return with_tenant_versions(draft.finish(diff.epoch, diff.version), diff.parts)


def snapshot_diff(catalog: Catalog) -> Diff:
    """Return the whole catalog as a diff from an empty one."""
    parts = {name: (tenant.created_in_version, tenant.version) for name, tenant in catalog.tenants.items()}
    return Diff(catalog.epoch, 0, catalog.version, (), tuple(catalog_rows(catalog)), parts)
