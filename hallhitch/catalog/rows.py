"""Rows of the catalog, the representation shared by store, snapshots and diffs, and the checksum of the catalog.

The checksum of a catalog is the sum of its rows' hashes (xxh3, 128 bits) modulo 2**128. It does not depend on their
order, and updating it for one changed row costs two hashes. It detects damage, but does not protect against an attacker
who can write to the store.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

import msgspec
from msgspec import Struct
from xxhash import xxh3_128_intdigest

from hallhitch.catalog.model import VALUE_TYPES, Catalog, Kind, Versioned
from hallhitch.catalog.names import OPERATORS

CHECKSUM_MODULUS: Final = 1 << 128
_encode = msgspec.json.Encoder(order="deterministic").encode
_decoders = {kind: msgspec.json.Decoder(type_, strict=True).decode for kind, type_ in VALUE_TYPES.items()}


class Row(Struct, frozen=True, gc=False):
    """One entry of the catalog, or its deletion (`value` None), as of `version`; `tenant` is "" for the operators."""

    tenant: str
    kind: Kind
    name: str
    version: int
    value: Any = None

    def encoded_value(self) -> bytes:
        """Encode the value; equal values always give equal bytes."""
        return _encode(self.value)


def decode_value(kind: Kind, body: bytes) -> Any:
    """Decode a value; raise ValueError if it is malformed."""
    return _decoders[kind](body)


def canonical_value(kind: Kind, value: Any) -> Any:
    """Return the value encoded and decoded again (a rate of 5 becomes 5.0); raise ValueError if it is invalid."""
    if type(value) is not VALUE_TYPES[kind]:
        raise ValueError(f"this is no {kind.value}")
    return decode_value(kind, _encode(value))


def row_hash(tenant: str, kind: str, name: str, version: int, body: bytes) -> int:
    """Compute the hash of a row, an integer below CHECKSUM_MODULUS."""
    return xxh3_128_intdigest(b"%s\0%s\0%s\0%d\0%s" % (tenant.encode(), kind.encode(), name.encode(), version, body))


def entry_hash(tenant: str, kind: Kind, name: str, entry: Versioned) -> int:
    """Compute the hash of an entry's row."""
    return row_hash(tenant, kind.value, name, entry.version, _encode(entry.value))


def catalog_rows(catalog: Catalog) -> Iterator[Row]:
    """Yield all rows; the row of a tenant precedes those of its entries."""
    for name, entry in catalog.operators.items():
        yield Row(OPERATORS, Kind.CREDENTIAL, name, entry.version, entry.value)
    for tenant in catalog.tenants:
        yield from tenant_rows(catalog, tenant)


def tenant_rows(catalog: Catalog, name: str) -> Iterator[Row]:
    """Yield the row of one tenant, then those of its entries."""
    tenant = catalog.tenants[name]
    yield Row(name, Kind.TENANT, name, tenant.head.version, tenant.head.value)
    for kind in tenant.KINDS:
        for entry_name, entry in tenant.entries(kind).items():
            yield Row(name, kind, entry_name, entry.version, entry.value)
