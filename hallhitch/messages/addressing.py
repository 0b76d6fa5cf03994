"""Addressing of envelopes: sets sender and recipient, and decides which envelopes a process accepts. No I/O, no clock.

Invariants:
- RECIPIENT: a process handles a call only if the address and the incarnation that the call names are its own.
- REPLIER: a caller accepts a reply only from the process that it called, on the connection of the call.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from hallhitch.messages.errors import Rejection
from hallhitch.messages.system_pb2 import Envelope


def cluster_id(cluster_name: str) -> int:
    """Return the number that identifies a cluster in its envelopes, derived from its name."""
    return int.from_bytes(hashlib.sha256(b"hallhitch 1 " + cluster_name.encode()).digest()[:8], "big") >> 1


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`.

    Raises:
        ValueError: the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Identity:
    """Address and incarnation of one process. An address of "" or an incarnation of 0 is unknown and matches any."""

    address: str = ""
    incarnation: int = 0

    def mismatch(self, address: str, incarnation: int) -> Rejection | None:
        """Return why this process cannot be the one with that address and incarnation, or None if it may be."""
        if address and self.address and address != self.address:
            return Rejection.WRONG_RECIPIENT_ADDRESS
        if incarnation and self.incarnation and incarnation != self.incarnation:
            return Rejection.WRONG_RECIPIENT_INCARNATION
        return None


def address_call(call: Envelope, own: Identity, peer: Identity) -> None:
    """Set sender and recipient of a call: the recipient's incarnation, or its address while that is unknown.

    A recipient incarnation that the caller has already set is kept.
    """
    call.sender_incarnation = own.incarnation
    if not call.recipient_incarnation:
        call.recipient_incarnation = peer.incarnation
    if not call.recipient_incarnation:
        call.recipient = peer.address


def address_reply(reply: Envelope, call: Envelope, own: Identity) -> None:
    """Set call, sender and recipient of a reply; include the sender's address if the call named no incarnation."""
    reply.call_id = call.call_id
    reply.is_reply = True
    reply.recipient_incarnation = call.sender_incarnation
    reply.sender_incarnation = own.incarnation
    if not call.recipient_incarnation:
        reply.sender = own.address


def check_call(call: Envelope, own: Identity) -> Rejection | None:
    """Return why a process must not handle this envelope as a call, or None if it may."""
    if call.is_reply:
        return Rejection.UNEXPECTED_REPLY
    return own.mismatch(call.recipient, call.recipient_incarnation)


def check_reply(reply: Envelope, own: Identity, peer: Identity) -> Rejection | None:
    """Return why a caller must not accept this envelope as a reply of the peer that it called, or None if it may."""
    if not reply.is_reply:
        return Rejection.UNEXPECTED_CALL
    if peer.mismatch(reply.sender, reply.sender_incarnation) is not None:
        return Rejection.WRONG_SENDER
    return own.mismatch(reply.recipient, reply.recipient_incarnation)
