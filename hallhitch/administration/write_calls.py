"""Calls that change the catalog, which the API submits to the writer, and the replies to them."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import Struct

from hallhitch.catalog.access import Principal
from hallhitch.catalog.changes import Change
from hallhitch.catalog.errors import ChangeRefused
from hallhitch.catalog.model import Catalog


class Reply(Struct, frozen=True):
    """Response to a call; it is sent to the caller and stored for retries."""

    status: int
    headers: dict[str, str]
    body: bytes


class StoredReply(Struct, frozen=True):
    """Stored form of a reply; if `sealed`, the body is encrypted because it contains a secret."""

    status: int
    headers: dict[str, str]
    body: bytes
    sealed: bool


class PlannedChange(Struct, frozen=True):
    """Change that a call requests on a given catalog; `reply` creates the reply from the changed catalog."""

    change: Change
    reply: Callable[[Catalog], Reply]
    has_secret: bool = False  # the reply contains a secret and is stored encrypted


class Call(Struct, frozen=True):
    """Call that changes the catalog.

    `fingerprint` distinguishes it from a different call with the same idempotency key. `plan` creates the change from
    the catalog and the time (Unix ms), and may raise ChangeRefused.
    """

    caller: Principal
    key: str
    fingerprint: bytes
    tenant: str  # the tenant under whom the call is audited
    action: str
    plan: Callable[[Catalog, int], PlannedChange]
    refusal_reply: Callable[[ChangeRefused], Reply]


encode_stored_reply = msgspec.msgpack.Encoder().encode
decode_stored_reply = msgspec.msgpack.Decoder(StoredReply).decode
