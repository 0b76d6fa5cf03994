"""The datagrams: msgspec's MessagePack, at most 1,400 bytes each. What cannot be read is nobody's member.

Every message names its cluster and form first; `news` rides on all of them.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from hallhitch.membership.model import Drawn, Record

FORM = 1  # of the messages: another one is not understood
SIZE_MOST = 1_400  # bytes of a datagram
ROOM = 780  # bytes of it for news: what is left beside three records and the rest, all as long as they may be
NEWS_MOST = 64  # records in one message: more than ROOM holds

Cluster = Annotated[str, Meta(min_length=1, max_length=40, pattern=r"^[A-Za-z0-9._-]+$")]
Sum = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
News = Annotated[tuple[Record, ...], Meta(max_length=NEWS_MOST)]
After = Annotated[str, Meta(max_length=64)]


class Message(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What all have."""

    form: int
    cluster: Cluster
    sender: Record
    sum: Sum  # of the sender's view
    news: News


class Ping(Message, tag="ping", frozen=True):
    """Are you there? `target` is the instance that is meant."""

    seq: Drawn
    target: Drawn


class Ack(Message, tag="ack", frozen=True):
    """The instance `target` is there: the sender itself, or one that it pinged for somebody."""

    seq: Drawn
    target: Drawn


class Nack(Message, tag="nack", frozen=True):
    """The sender is there, and did not hear of whom it was asked about."""

    seq: Drawn


class PingFor(Message, tag="for", frozen=True):
    """Ping that one for the sender."""

    seq: Drawn
    target: Record


class Sync(Message, tag="sync", frozen=True):
    """The part of the sender's view with names past `after` up to `until` (empty: to the end), as `news`.

    `turn` counts the messages of one exchange, which is bounded. An even one asks for that part of the other's view.
    """

    after: After
    until: After
    turn: Annotated[int, Meta(ge=0, le=100_000)]


Datagram = Ping | Ack | Nack | PingFor | Sync
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


class Unreadable(Exception):
    """A datagram that is none of ours; the text is the reason it is counted under."""


def encode(message: Datagram) -> bytes:
    """A datagram's bytes."""
    return _encoder.encode(message)


def decode(data: bytes, cluster: str) -> Datagram:
    """A message, or Unreadable."""
    if len(data) > SIZE_MOST:
        raise Unreadable("size")
    try:
        message: Datagram = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise Unreadable("form") from error
    if message.form != FORM:
        raise Unreadable("form")
    if message.cluster != cluster:
        raise Unreadable("cluster")
    return message


def size(record: Record) -> int:
    """Bytes that a record takes in a datagram."""
    return len(_encoder.encode(record))
