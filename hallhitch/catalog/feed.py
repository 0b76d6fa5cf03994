"""Feed of the catalog to gateways: selection of rows and encoding of lines. No I/O, no clock.

A gateway sends its current epoch and version and receives a diff from there, or a snapshot if no diff is available.
A snapshot is sent in chunks of rows, so that neither side ever holds all of its text in memory. Each line is JSON:

    {"diff": {...}}                                        diff to a later version, encoded by history.encode_diff
    {"whole": {"epoch": 1, "version": 7}}                  begins a snapshot
    {"rows": [[tenant, kind, name, version, value], ...]}  a chunk: a tenant's own row precedes those of its entries
    {"end": {"rows": 9, "parts": {...}, "seal": "..."}}    how many rows there were, the versions in which each tenant
                                                           was created and last changed, and the checksum of all

Gateways receive only what they need: no entries of the operators, and only those credentials that name a client,
with verifiers and without secrets.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import msgspec
from msgspec import Raw, Struct
from xxhash import xxh3_128_hexdigest

from hallhitch.catalog.errors import FeedError
from hallhitch.catalog.history import Diff, History, encode_diff, encode_rows
from hallhitch.catalog.model import Catalog, Credential, Scope, Versioned
from hallhitch.catalog.names import OPERATORS
from hallhitch.catalog.rows import CHECKSUM_MODULUS, Row, catalog_rows, entry_hash

SNAPSHOT_CHUNK_ROWS: Final = 200  # a chunk takes a gateway about a millisecond to process
MAX_DIFF_ROWS: Final = 2_000  # if more rows changed, a snapshot is sent in chunks instead
MAX_LINE_BYTES: Final = 4 * 1024 * 1024  # far above any chunk: a longer line is invalid


class SnapshotBegin(Struct, frozen=True, forbid_unknown_fields=True):
    """First line of a snapshot: its epoch and version."""

    epoch: int
    version: int


class SnapshotEnd(Struct, frozen=True, forbid_unknown_fields=True):
    """Last line of a snapshot: its number of rows, the versions of each tenant and its checksum."""

    rows: int
    parts: dict[str, tuple[int, int]]
    seal: str


class FeedLine(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One line of the feed; exactly one field is set."""

    diff: Raw = Raw()
    whole: SnapshotBegin | None = None
    rows: Raw = Raw()
    end: SnapshotEnd | None = None


decode_line = msgspec.json.Decoder(FeedLine).decode
_encode = msgspec.json.Encoder(order="deterministic").encode


def snapshot_checksum(epoch: int, version: int, tenant_versions: dict[str, tuple[int, int]], hash_sum: int) -> str:
    """Compute the checksum of a snapshot. It detects damage; TLS protects against forgery."""
    return xxh3_128_hexdigest(_encode([epoch, version, tenant_versions, str(hash_sum % CHECKSUM_MODULUS)]))


def is_for_gateways(row: Row) -> bool:
    """Return whether gateways receive a row unchanged."""
    if row.tenant == OPERATORS:
        return False
    return not isinstance(row.value, Credential) or row.value.scope is Scope.CLIENT


def gateway_diff(diff: Diff) -> Diff:
    """Return the diff that gateways receive; a credential that no longer names a client is a deletion in it."""
    rows = [
        row if is_for_gateways(row) else Row(row.tenant, row.kind, row.name, row.version, None)
        for row in diff.rows
        if row.tenant != OPERATORS
    ]
    # Deletions precede puts, as in every diff.
    rows.sort(key=lambda row: row.value is not None)
    return Diff(diff.epoch, diff.since, diff.version, diff.reset, tuple(rows), diff.parts)


def diff_line(diff: Diff) -> bytes:
    """Encode the gateways' view of a diff as a line."""
    return b'{"diff":' + encode_diff(gateway_diff(diff)) + b"}\n"


def snapshot_lines(catalog: Catalog, chunk_rows: int = SNAPSHOT_CHUNK_ROWS) -> Iterator[bytes]:
    """Yield the lines of a snapshot, each encoded on demand; the snapshot stays at the version of `catalog`."""
    row_count = 0
    hash_sum = 0
    yield _encode({"whole": {"epoch": catalog.epoch, "version": catalog.version}}) + b"\n"
    chunk: list[Row] = []
    for row in catalog_rows(catalog):
        if not is_for_gateways(row):
            continue
        hash_sum += entry_hash(row.tenant, row.kind, row.name, Versioned(row.value, row.version))
        chunk.append(row)
        row_count += 1
        if len(chunk) == chunk_rows:
            yield b'{"rows":' + encode_rows(chunk) + b"}\n"
            chunk = []
    if chunk:
        yield b'{"rows":' + encode_rows(chunk) + b"}\n"
    tenant_versions = {name: (tenant.created_in_version, tenant.version) for name, tenant in catalog.tenants.items()}
    checksum = snapshot_checksum(catalog.epoch, catalog.version, tenant_versions, hash_sum)
    yield _encode({"end": {"rows": row_count, "parts": tenant_versions, "seal": checksum}}) + b"\n"


def update_lines(newest: Catalog, history: History, epoch: int, version: int) -> Iterator[bytes] | None:
    """Return the lines that update a gateway from its version to the newest, or None if it is up to date.

    Raises:
        FeedError: The gateway is ahead: this service was restored to an older state without a new epoch.
    """
    if (epoch, version) == (newest.epoch, newest.version):
        return None
    if (epoch, version) > (newest.epoch, newest.version):
        raise FeedError(f"the gateway holds {epoch}.{version}, this is {newest.epoch}.{newest.version}")
    diff = history.diff(newest, epoch, version)
    if diff is not None and len(diff.rows) <= MAX_DIFF_ROWS:
        return iter([diff_line(diff)])
    return snapshot_lines(newest)
