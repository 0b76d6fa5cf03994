"""Which rows each version touched, so that any version still kept can be diffed against the newest.

A diff costs what changed, not what there is: the touched names since a version, each as it stands now.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any

import msgspec
from msgspec import Raw, Struct

from hallhitch.catalog.draft import CatalogDraft, with_part_versions
from hallhitch.catalog.model import Catalog, Kind
from hallhitch.catalog.rows import Row, catalog_rows, decode_value, tenant_rows

RowKey = tuple[str, Kind, str]


class Diff(Struct, frozen=True):
    """What leads from one version of an epoch to a later one.

    Tenants in `reset` went, or went and came again: drop them whole first; their rows follow whole.
    """

    epoch: int
    since: int
    version: int
    reset: tuple[str, ...]
    rows: tuple[Row, ...]
    parts: dict[str, tuple[int, int]]  # born and version of each tenant touched that is still there


class _RawRow(Struct, frozen=True, array_like=True):
    """A row as written: in the order of `Row`'s fields."""

    tenant: str
    kind: Kind
    name: str
    version: int
    value: Raw


class _RawDiff(Struct, frozen=True, forbid_unknown_fields=True):
    """A diff as written."""

    epoch: int
    since: int
    version: int
    reset: tuple[str, ...]
    rows: tuple[_RawRow, ...]
    parts: dict[str, tuple[int, int]]


_encode = msgspec.json.Encoder(order="deterministic").encode
_decode_diff = msgspec.json.Decoder(_RawDiff).decode
_decode_rows = msgspec.json.Decoder(tuple[_RawRow, ...]).decode
JSON_NULL = b"null"


def _decode_raw_rows(rows: tuple[_RawRow, ...]) -> tuple[Row, ...]:
    return tuple(
        [
            Row(
                r.tenant,
                r.kind,
                r.name,
                r.version,
                decode_value(r.kind, r.value) if bytes(r.value) != JSON_NULL else None,
            )
            for r in rows
        ]
    )


def _row_tuples(rows: Iterable[Row]) -> list[tuple[Any, ...]]:
    return [(r.tenant, r.kind, r.name, r.version, r.value) for r in rows]


def encode_rows(rows: Iterable[Row]) -> bytes:
    """Rows as bytes: a piece of a snapshot."""
    return _encode(_row_tuples(rows))


def decode_rows(body: bytes) -> tuple[Row, ...]:
    """Rows from their bytes; ValueError says what is wrong."""
    return _decode_raw_rows(_decode_rows(body))


def encode_diff(diff: Diff) -> bytes:
    """A diff as bytes: what the change log holds and what gateways are sent."""
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
    """A diff from its bytes; ValueError says what is wrong."""
    raw = _decode_diff(body)
    return Diff(raw.epoch, raw.since, raw.version, raw.reset, _decode_raw_rows(raw.rows), raw.parts)


def make_diff(newest: Catalog, since: int, touched: Iterable[RowKey]) -> Diff:
    """The diff from `since`, given the names that were touched from then on."""
    keys = set(touched)
    reset = {
        tenant
        for tenant, kind, _ in keys
        if kind is Kind.TENANT and (tenant not in newest.tenants or newest.tenants[tenant].created_in_version > since)
    }
    rows: list[Row] = []
    for tenant in sorted(reset & set(newest.tenants)):
        rows += tenant_rows(newest, tenant)
    # A tenant's own row first, as the rest hangs on it; then by name, so that one diff has one text. Host names
    # that go come before those that are put: one may move from tenant to tenant.
    gone = [key for key in keys if newest.get(*key) is None and key[0] not in reset]
    here = [key for key in keys if newest.get(*key) is not None and key[0] not in reset]
    for tenant, kind, name in sorted(gone):
        rows.append(Row(tenant, kind, name, newest.version, None))
    here.sort(key=lambda key: (key[0], key[1] is not Kind.TENANT, key[1].value, key[2]))
    stand = []
    for tenant, kind, name in here:
        kept = newest.get(tenant, kind, name)
        if kept is not None:
            stand.append(Row(tenant, kind, name, kept.version, kept.value))
    rows = [row for row in rows if row.value is None] + [row for row in rows if row.value is not None] + stand
    parts = {
        tenant: (newest.tenants[tenant].created_in_version, newest.tenants[tenant].version)
        for tenant in sorted({key[0] for key in keys})
        if tenant in newest.tenants
    }
    return Diff(newest.epoch, since, newest.version, tuple(sorted(reset)), tuple(rows), parts)


class History:
    """The touched names of the last versions, `most` of them at most."""

    def __init__(self, most: int = 100_000) -> None:
        self._max_names, self._name_count = most, 0
        self._versions: deque[tuple[int, tuple[RowKey, ...]]] = deque()
        self.epoch, self.oldest_version = 0, 0  # diffs lead on from `oldest` and later

    def start(self, epoch: int, version: int) -> None:
        """Begin at a version: what came before is not known."""
        self._versions.clear()
        self._name_count, self.epoch, self.oldest_version = 0, epoch, version

    def add(self, diff: Diff) -> None:
        """The next version; the oldest go where too many names are held."""
        keys = (
            *((tenant, Kind.TENANT, tenant) for tenant in diff.reset),
            *((row.tenant, row.kind, row.name) for row in diff.rows),
        )
        self._versions.append((diff.version, keys))
        self._name_count += len(keys)
        while self._name_count > self._max_names and self._versions:
            self.oldest_version, gone = self._versions.popleft()
            self._name_count -= len(gone)

    def diff(self, newest: Catalog, epoch: int, since: int) -> Diff | None:
        """From a version to the newest; None where that version is not kept, or of another epoch."""
        if epoch != self.epoch or not self.oldest_version <= since <= newest.version:
            return None
        touched: set[RowKey] = set()
        for version, keys in reversed(self._versions):
            if version <= since:
                break
            touched.update(keys)
        return make_diff(newest, since, touched)


def apply_diff(catalog: Catalog, diff: Diff) -> Catalog:
    """A catalogue at `since`, brought to the diff's version; ValueError where it stands elsewhere."""
    if (catalog.epoch, catalog.version) != (diff.epoch, diff.since):
        raise ValueError(
            f"the diff leads on from {diff.epoch}.{diff.since}, not from {catalog.epoch}.{catalog.version}"
        )
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
    """The catalogue as a diff from nothing."""
    parts = {name: (part.created_in_version, part.version) for name, part in catalog.tenants.items()}
    return Diff(catalog.epoch, 0, catalog.version, (), tuple(catalog_rows(catalog)), parts)
