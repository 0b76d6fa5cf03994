"""Feed of the catalog to gateways: which rows they get, and in which lines. No I/O, no clock.

A gateway sends the epoch and version that it holds and gets what leads on from there: a diff, or a snapshot where no
diff does. A snapshot goes in chunks of rows, so that neither side ever holds it as one text. Each line is JSON:

    {"diff": {...}}                                        from a version to a later one, as history.encode_diff has it
    {"whole": {"epoch": 1, "version": 7}}                  begins a snapshot
    {"rows": [[tenant, kind, name, version, value], ...]}  a chunk of it: a tenant's own row before what it has
    {"end": {"rows": 9, "parts": {...}, "seal": "..."}}    how many rows there were, the versions in which each tenant
                                                           was created and last changed, and the checksum of all

Gateways get only what they need: of credentials those that name a client, with verifiers and no secrets; of the
operators nothing.
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

SNAPSHOT_CHUNK_ROWS: Final = 200  # about a millisecond's work to take in
MAX_DIFF_ROWS: Final = 2_000  # where more have changed a snapshot is sent, in chunks
MAX_LINE_BYTES: Final = 4 * 1024 * 1024  # far above any chunk: a longer line is not the feed's


class SnapshotBegin(Struct, frozen=True, forbid_unknown_fields=True):
    """Epoch and version of the snapshot that follows."""

    epoch: int
    version: int


class SnapshotEnd(Struct, frozen=True, forbid_unknown_fields=True):
    """Count of rows, versions of each tenant and checksum of the snapshot that ends."""

    rows: int
    parts: dict[str, tuple[int, int]]
    seal: str


class FeedLine(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One line; exactly one field is set."""

    diff: Raw = Raw()
    whole: SnapshotBegin | None = None
    rows: Raw = Raw()
    end: SnapshotEnd | None = None


decode_line = msgspec.json.Decoder(FeedLine).decode
_encode = msgspec.json.Encoder(order="deterministic").encode


def snapshot_checksum(epoch: int, version: int, parts: dict[str, tuple[int, int]], total: int) -> str:
    """Compute a snapshot's checksum over rows, versions and parts. It finds damage; TLS protects against forgery."""
    return xxh3_128_hexdigest(_encode([epoch, version, parts, str(total % CHECKSUM_MODULUS)]))


def is_for_gateways(row: Row) -> bool:
    """Return whether gateways get a row as it is."""
    if row.tenant == OPERATORS:
        return False
    return not isinstance(row.value, Credential) or row.value.scope is Scope.CLIENT


def gateway_diff(diff: Diff) -> Diff:
    """Return the gateways' part of a diff; a credential that no longer names a client is deleted for them."""
    rows = [
        row if is_for_gateways(row) else Row(row.tenant, row.kind, row.name, row.version, None)
        for row in diff.rows
        if row.tenant != OPERATORS
    ]
    # Deletions come before what is put, as in every diff.
    rows.sort(key=lambda row: row.value is not None)
    return Diff(diff.epoch, diff.since, diff.version, diff.reset, tuple(rows), diff.parts)


def diff_line(diff: Diff) -> bytes:
    """Encode a diff as a line."""
    return b'{"diff":' + encode_diff(gateway_diff(diff)) + b"}\n"


def snapshot_lines(catalog: Catalog, chunk_rows: int = SNAPSHOT_CHUNK_ROWS) -> Iterator[bytes]:
    """Yield the lines of a snapshot, each made when it is asked for; newer catalogs may come meanwhile."""
    count = 0
    total = 0
    yield _encode({"whole": {"epoch": catalog.epoch, "version": catalog.version}}) + b"\n"
    chunk: list[Row] = []
    for row in catalog_rows(catalog):
        if not is_for_gateways(row):
            continue
        total += entry_hash(row.tenant, row.kind, row.name, Versioned(row.value, row.version))
        chunk.append(row)
        count += 1
        if len(chunk) == chunk_rows:
            yield b'{"rows":' + encode_rows(chunk) + b"}\n"
            chunk = []
    if chunk:
        yield b'{"rows":' + encode_rows(chunk) + b"}\n"
    parts = {name: (tenant.created_in_version, tenant.version) for name, tenant in catalog.tenants.items()}
    checksum = snapshot_checksum(catalog.epoch, catalog.version, parts, total)
    yield _encode({"end": {"rows": count, "parts": parts, "seal": checksum}}) + b"\n"


def update_lines(newest: Catalog, history: History, epoch: int, version: int) -> Iterator[bytes] | None:
    """Return the lines that lead a gateway from the version it holds to the newest; None where it holds that.

    Raises:
        FeedError: The gateway is ahead: this service came back from an older state without a new epoch.
    """
    if (epoch, version) == (newest.epoch, newest.version):
        return None
    if (epoch, version) > (newest.epoch, newest.version):
        raise FeedError(f"the gateway holds {epoch}.{version}, this is {newest.epoch}.{newest.version}")
    diff = history.diff(newest, epoch, version)
    if diff is not None and len(diff.rows) <= MAX_DIFF_ROWS:
        return iter([diff_line(diff)])
    return snapshot_lines(newest)
