"""Records of the store's tables, and the checksums that guard their rows."""

from __future__ import annotations

from typing import Any

from msgspec import Struct
from xxhash import xxh3_128_hexdigest

from hallhitch.administration.errors import CorruptStoreError
from hallhitch.catalog.history import Diff, decode_diff
from hallhitch.catalog.model import Catalog


class LoggedChange(Struct, frozen=True):
    """One change of the change log."""

    epoch: int
    version: int
    at_ms: int
    tenant: str
    actor: str
    diff: Diff


class AuditEntry(Struct, frozen=True):
    """One call in the audit log; `version` is 0 where it changed nothing."""

    id: int
    at_ms: int
    tenant: str
    actor: str
    action: str
    status: int
    epoch: int
    version: int


class StoredResponse(Struct, frozen=True):
    """Response kept for repeats of a call: `fingerprint` identifies the call, `body` is opaque here."""

    stored_at_ms: int
    fingerprint: bytes
    body: bytes


def columns_checksum(*columns: Any) -> str:
    """Compute the checksum over a row's columns."""
    parts = [column if isinstance(column, bytes) else str(column).encode() for column in columns]
    return xxh3_128_hexdigest(b"\0".join(parts))


def checksum_text(catalog: Catalog) -> str:
    """Return a catalog's checksum as the tables hold it: 32 hexadecimal digits."""
    return f"{catalog.checksum:032x}"


def logged_change_from_row(row: tuple[Any, ...]) -> LoggedChange:
    """Decode a row of the table `change`.

    Raises:
        CorruptStoreError: The row's checksum or its diff does not fit.
    """
    epoch, version, at_ms, tenant, actor, body, _, checksum = row
    location = f"table change, version {epoch}.{version}"
    if columns_checksum(*row[:7]) != checksum:
        raise CorruptStoreError(location, "the checksum does not fit")
    try:
        return LoggedChange(epoch, version, at_ms, tenant, actor, decode_diff(body))
    except ValueError as error:
        raise CorruptStoreError(location, error) from error


def encode_parts(catalog: Catalog) -> bytes:
    """Encode the versions in which each tenant was created and last changed, a line a tenant."""
    lines = [f"{name} {part.created_in_version} {part.version}" for name, part in sorted(catalog.tenants.items())]
    return "\n".join(lines).encode()


def decode_parts(body: bytes) -> dict[str, tuple[int, int]]:
    """Decode what `encode_parts` wrote; ValueError for anything else."""
    fields = (line.split(" ") for line in body.decode().splitlines())
    return {name: (int(created), int(last)) for name, created, last in fields}
