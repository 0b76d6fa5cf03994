"""Records of the store's tables, and the checksums of their rows."""

from __future__ import annotations

from typing import Any

from msgspec import Struct
from xxhash import xxh3_128_hexdigest

from hallhitch.administration.errors import CorruptStoreError
from hallhitch.catalog.history import Diff, decode_diff
from hallhitch.catalog.model import Catalog


class LoggedChange(Struct, frozen=True):
    """One entry of the change log."""

    epoch: int
    version: int
    at_ms: int
    tenant: str
    actor: str
    diff: Diff


class AuditEntry(Struct, frozen=True):
    """One call in the audit log; `version` is 0 if the call changed nothing."""

    id: int
    at_ms: int
    tenant: str
    actor: str
    action: str
    status: int
    epoch: int
    version: int


class StoredResponse(Struct, frozen=True):
    """Response stored for retries of a call; `fingerprint` identifies the call, `body` is opaque to the store."""

    stored_at_ms: int
    fingerprint: bytes
    body: bytes


def columns_checksum(*columns: Any) -> str:
    """Compute the checksum of a row from its columns."""
    parts = [column if isinstance(column, bytes) else str(column).encode() for column in columns]
    return xxh3_128_hexdigest(b"\0".join(parts))


def checksum_text(catalog: Catalog) -> str:
    """Return a catalog's checksum as it is stored: 32 hexadecimal digits."""
    return f"{catalog.checksum:032x}"


def logged_change_from_row(row: tuple[Any, ...]) -> LoggedChange:
    """Decode a row of the table `change`.

    Raises:
        CorruptStoreError: The row's checksum does not match, or its diff cannot be decoded.
    """
    epoch, version, at_ms, tenant, actor, body, _, checksum = row
    location = f"table change, version {epoch}.{version}"
    if columns_checksum(*row[:7]) != checksum:
        raise CorruptStoreError(location, "the checksum does not match")
    try:
        return LoggedChange(epoch, version, at_ms, tenant, actor, decode_diff(body))
    except ValueError as error:
        raise CorruptStoreError(location, error) from error


def encode_parts(catalog: Catalog) -> bytes:
    """Encode, one line per tenant, the versions in which the tenant was created and last changed."""
    lines = [f"{name} {part.created_in_version} {part.version}" for name, part in sorted(catalog.tenants.items())]
    return "\n".join(lines).encode()


def decode_parts(body: bytes) -> dict[str, tuple[int, int]]:
    """Decode the output of `encode_parts`; raises ValueError for any other text."""
    fields = (line.split(" ") for line in body.decode().splitlines())
    return {name: (int(created), int(last_changed)) for name, created, last_changed in fields}
