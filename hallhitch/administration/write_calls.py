"""Calls that change the catalog, as the API hands them to the writer, and the replies that come back."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import Struct

from hallhitch.catalog.access import Principal
from hallhitch.catalog.changes import Change
from hallhitch.catalog.errors import ChangeRefused
from hallhitch.catalog.model import Catalog


class Reply(Struct, frozen=True):
    """Response to a call, as it is sent and as it is stored for repeats."""

    status: int
    headers: dict[str, str]
    body: bytes


class StoredReply(Struct, frozen=True):
    """Reply in the store's form: `sealed` tells that the body is encrypted, as it holds a secret."""

    status: int
    headers: dict[str, str]
    body: bytes
    sealed: bool


class PlannedChange(Struct, frozen=True):
    """Change that a call asks for, given the catalog it was decided on, and how to reply once it is made."""

    change: Change
    reply: Callable[[Catalog], Reply]
    has_secret: bool = False  # the reply holds a secret: it is stored sealed


class Call(Struct, frozen=True):
    """Call that changes something; `fingerprint` tells it from another with the same key.

    `plan` makes the change from the catalog and the time (Unix ms) and may raise ChangeRefused.
    """

    caller: Principal
    key: str
    fingerprint: bytes
    tenant: str  # whose part, for the audit
    action: str
    plan: Callable[[Catalog, int], PlannedChange]
    refusal_reply: Callable[[ChangeRefused], Reply]


encode_stored_reply = msgspec.msgpack.Encoder().encode
decode_stored_reply = msgspec.msgpack.Decoder(StoredReply).decode
