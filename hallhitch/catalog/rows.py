"""The one row form of the catalogue: what stores, snapshots and diffs are made of, and its checksum.

The checksum of a catalogue is the sum of its rows' hashes, modulo 2**128: it does not depend on their order, and one
change costs two hashes. It finds damage. It is no proof against someone who can write to the store.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec
from msgspec import Struct
from xxhash import xxh3_128_intdigest

from hallhitch.catalog.model import VALUE_TYPES, Catalog, Kind, Versioned

CHECKSUM_MODULUS = 1 << 128
_encode = msgspec.json.Encoder(order="deterministic").encode
_decoders = {kind: msgspec.json.Decoder(type_, strict=True).decode for kind, type_ in VALUE_TYPES.items()}


class Row(Struct, frozen=True, gc=False):
    """One thing of the catalogue, or its absence (`value` None), as of `version`; `tenant` "" are the operators."""

    tenant: str
    kind: Kind
    name: str
    version: int
    value: Any = None

    def encoded_value(self) -> bytes:
        """The value, always the same bytes for the same value."""
        return _encode(self.value)


def decode_value(kind: Kind, body: bytes) -> Any:
    """A value from its bytes; ValueError says what is wrong with them."""
    return _decoders[kind](body)


def canonical_value(kind: Kind, value: Any) -> Any:
    """The same value as it comes back from its bytes (a rate of 5 is 5.0); ValueError says what is wrong with it."""
    if type(value) is not VALUE_TYPES[kind]:
        raise ValueError(f"this is no {kind.value}")
    return decode_value(kind, _encode(value))


def row_hash(tenant: str, kind: str, name: str, version: int, body: bytes) -> int:
    """A row's hash, below 2**128."""
    return xxh3_128_intdigest(b"%s\0%s\0%s\0%d\0%s" % (tenant.encode(), kind.encode(), name.encode(), version, body))


def entry_hash(tenant: str, kind: Kind, name: str, kept: Versioned) -> int:
    """The hash of the row of something kept."""
    return row_hash(tenant, kind.value, name, kept.version, _encode(kept.value))


def catalog_rows(catalog: Catalog) -> Iterator[Row]:
    """All rows: a tenant's own before those of what it has."""
    for name, kept in catalog.operators.items():
        yield Row("", Kind.CREDENTIAL, name, kept.version, kept.value)
    for tenant in catalog.tenants:
        yield from tenant_rows(catalog, tenant)


def tenant_rows(catalog: Catalog, tenant: str) -> Iterator[Row]:
    """The rows of one tenant's part."""
    part = catalog.tenants[tenant]
    yield Row(tenant, Kind.TENANT, tenant, part.head.version, part.head.value)
    for kind in part.KINDS:
        for name, kept in part.entries(kind).items():
            yield Row(tenant, kind, name, kept.version, kept.value)
