"""Diffs between versions of the catalog, and the history from which they are made.

The history holds the names that each version touched; a diff is the names touched since a version, each as it is now.
It costs what changed, not what there is.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any, Final

import msgspec
from msgspec import Raw, Struct

from hallhitch.catalog.draft import CatalogDraft, with_part_versions
from hallhitch.catalog.errors import DiffMismatch
from hallhitch.catalog.model import Catalog, Kind
from hallhitch.catalog.rows import Row, catalog_rows, decode_value, tenant_rows

RowKey = tuple[str, Kind, str]
JSON_NULL: Final = b"null"
MAX_HISTORY_NAMES: Final = 100_000  # bounds memory; a gateway further behind gets a snapshot


class Diff(Struct, frozen=True):
    """Rows that lead from one version of an epoch to a later one.

    Tenants in `reset` were deleted, or deleted and created again: drop them first; their rows follow complete.
    """

    epoch: int
    since: int
    version: int
    reset: tuple[str, ...]
    rows: tuple[Row, ...]
    parts: dict[str, tuple[int, int]]  # of each touched tenant that exists: the versions that created and changed it


class _RawRow(Struct, frozen=True, array_like=True):
    """Row as written: an array in the order of `Row`'s fields, its value undecoded."""

    tenant: str
    kind: Kind
    name: str
    version: int
    value: Raw

    def decode(self) -> Row:
        """Decode the value."""
        value = decode_value(self.kind, self.value) if bytes(self.value) != JSON_NULL else None
        return Row(self.tenant, self.kind, self.name, self.version, value)


class _RawDiff(Struct, frozen=True, forbid_unknown_fields=True):
    """Diff as written."""

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
    """Encode rows: a chunk of a snapshot."""
    return _encode(_row_tuples(rows))


def decode_rows(body: bytes) -> tuple[Row, ...]:
    """Decode rows; ValueError says what is wrong."""
    return tuple([row.decode() for row in _decode_rows(body)])


def encode_diff(diff: Diff) -> bytes:
    """Encode a diff, as the change log holds it and gateways get it."""
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
    """Decode a diff; ValueError says what is wrong."""
    raw = _decode_diff(body)
    rows = tuple([row.decode() for row in raw.rows])
    return Diff(raw.epoch, raw.since, raw.version, raw.reset, rows, raw.parts)


def make_diff(newest: Catalog, since: int, touched: Iterable[RowKey]) -> Diff:
    """Make the diff from version `since`, given the names that were touched from then on."""
    keys = set(touched)
    reset = {
        tenant
        for tenant, kind, _ in keys
        if kind is Kind.TENANT and (tenant not in newest.tenants or newest.tenants[tenant].created_in_version > since)
    }
    # Deletions come before what is put: a host name may move from tenant to tenant. Then the tenants that were
    # created again, complete; then what was put, a tenant's own row first as the rest depends on it, in the order of
    # names, so that one diff has one text.
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
    present = [key for key in keys if key[0] not in reset and newest.get(*key) is not None]
    present.sort(key=lambda key: (key[0], key[1] is not Kind.TENANT, key[1].value, key[2]))
    rows = []
    for tenant, kind, name in present:
        entry = newest.get(tenant, kind, name)
        if entry is not None:
            rows.append(Row(tenant, kind, name, entry.version, entry.value))
    return rows


class History:
    """Names that the last versions touched, at most `max_names` of them."""

    def __init__(self, max_names: int = MAX_HISTORY_NAMES) -> None:
        self.epoch = 0
        self.oldest_version = 0  # diffs lead on from this version and later ones
        self._max_names = max_names
        self._name_count = 0
        self._versions: deque[tuple[int, tuple[RowKey, ...]]] = deque()

    def start(self, epoch: int, version: int) -> None:
        """Begin at a version: what came before is not known."""
        self._versions.clear()
        self._name_count = 0
        self.epoch = epoch
        self.oldest_version = version

    def add(self, diff: Diff) -> None:
        """Add the next version; the oldest are dropped where too many names are held."""
        keys = (
            *((tenant, Kind.TENANT, tenant) for tenant in diff.reset),
            *((row.tenant, row.kind, row.name) for row in diff.rows),
        )
        self._versions.append((diff.version, keys))
        self._name_count += len(keys)
        while self._name_count > self._max_names and self._versions:
            self.oldest_version, dropped = self._versions.popleft()
            self._name_count -= len(dropped)

    def diff(self, newest: Catalog, epoch: int, since: int) -> Diff | None:
        """Return the diff from a version to the newest; None where that version is not kept, or of another epoch."""
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
        draft.drop(tenant, Kind.TENANT, tenant)
    for row in diff.rows:
        if row.value is None:
            draft.drop(row.tenant, row.kind, row.name)
        else:
            draft.put(row)
    return with_part_versions(draft.finish(diff.epoch, diff.version), diff.parts)


def snapshot_diff(catalog: Catalog) -> Diff:
    """Return the whole catalog as a diff from nothing."""
    parts = {name: (tenant.created_in_version, tenant.version) for name, tenant in catalog.tenants.items()}
    return Diff(catalog.epoch, 0, catalog.version, (), tuple(catalog_rows(catalog)), parts)
