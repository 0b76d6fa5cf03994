"""Messages of the protocol, each encoded by msgspec as one MessagePack datagram of at most 1,400 bytes.

Every message starts with the protocol version and the cluster's name, and carries member updates (`updates`). Fields
are positional on the wire; a change of a tag or of the order of fields needs a new PROTOCOL_VERSION.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec
from msgspec import Meta, Struct

from hallhitch.membership.errors import DatagramError, RejectReason
from hallhitch.membership.records import MemberRecord, RandomId

PROTOCOL_VERSION: Final = 1  # messages of any other version are rejected
MAX_DATAGRAM_BYTES: Final = 1_400  # below a path MTU of 1,500 bytes with IPv6 and UDP headers
# What a datagram has left for updates after three records and all other fields at their maximum lengths.
UPDATE_BUDGET_BYTES: Final = 780
MAX_UPDATES: Final = 64  # records in one message; UPDATE_BUDGET_BYTES has room for fewer

ClusterName = Annotated[str, Meta(min_length=1, max_length=40, pattern=r"^[A-Za-z0-9._-]+$")]
ViewDigest = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Updates = Annotated[tuple[MemberRecord, ...], Meta(max_length=MAX_UPDATES)]
Cursor = Annotated[str, Meta(max_length=64)]


class Message(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Fields that every message has."""

    protocol_version: int
    cluster: ClusterName
    sender: MemberRecord
    view_digest: ViewDigest  # digest of the sender's view
    updates: Updates


class Ping(Message, tag="ping", frozen=True):
    """Probe of the instance `target_instance`."""

    sequence: RandomId
    target_instance: RandomId


class Ack(Message, tag="ack", frozen=True):
    """Reply that `target_instance` is running: either the sender itself, or a member that it pinged on request."""

    sequence: RandomId
    target_instance: RandomId


class Nack(Message, tag="nack", frozen=True):
    """Reply to a PingRequest: the sender is running, but has received no reply from the target."""

    sequence: RandomId


class PingRequest(Message, tag="for", frozen=True):
    """Request to ping `target` on the sender's behalf (an indirect probe)."""

    sequence: RandomId
    target: MemberRecord


class Sync(Message, tag="sync", frozen=True):
    """One page of a view exchange: the sender's present members after cursor `after`, up to and including `until`.

    An empty `until` means the end of the view. `page_number` counts the messages of one exchange from 0. A page with an
    even number requests the same range of the receiver's view.
    """

    after: Cursor
    until: Cursor
    page_number: Annotated[int, Meta(ge=0, le=100_000)]


Datagram = Ping | Ack | Nack | PingRequest | Sync
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(message: Datagram) -> bytes:
    """Encode a message as a datagram."""
    return _encoder.encode(message)


def decode(data: bytes, cluster: str) -> Datagram:
    """Decode a datagram of this cluster.

    Raises:
        DatagramError: The datagram is too long, malformed, or of another protocol version or cluster.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError(RejectReason.SIZE)
    try:
        message: Datagram = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise DatagramError(RejectReason.FORMAT) from error
    if message.protocol_version != PROTOCOL_VERSION:
        raise DatagramError(RejectReason.FORMAT)
    if message.cluster != cluster:
        raise DatagramError(RejectReason.CLUSTER)
    return message


def encoded_size(record: MemberRecord) -> int:
    """Return the number of bytes that a record occupies in a datagram."""
    return len(_encoder.encode(record))
