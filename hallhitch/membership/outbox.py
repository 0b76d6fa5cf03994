"""Outgoing messages of the state machine, built with updates attached and queued until the owner takes them."""

from __future__ import annotations

from typing import NamedTuple

from hallhitch.membership.member_table import Member
from hallhitch.membership.member_view import MemberView
from hallhitch.membership.messages import PROTOCOL_VERSION, Ack, Datagram, Nack, Ping, PingRequest, Sync
from hallhitch.membership.records import MemberRecord, MemberState


class OutgoingDatagram(NamedTuple):
    """A message and its destination address."""

    address: str
    message: Datagram


class MessageHeader(NamedTuple):
    """The leading fields of a message, in wire order."""

    protocol_version: int
    cluster: str
    sender: MemberRecord
    view_digest: int
    updates: tuple[MemberRecord, ...]


class Outbox:
    """Builds messages and queues them for sending."""

    def __init__(self, view: MemberView, cluster: str) -> None:
        self._view = view
        self._cluster = cluster
        self._last_sequence = 0
        self._outgoing: list[OutgoingDatagram] = []

    def take(self) -> list[OutgoingDatagram]:
        """Remove all queued messages and return them."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def next_sequence(self) -> int:
        """Return the sequence number of the next probe."""
        self._last_sequence += 1
        return self._last_sequence

    def ping(self, target: MemberRecord, sequence: int) -> None:
        """Queue a direct probe."""
        header = self._header(self._view.table.by_key.get(target.key))
        self._add(target.address, Ping(*header, sequence, target.instance))

    def ping_request(self, helper: Member, target: MemberRecord, sequence: int) -> None:
        """Queue a request to a helper to ping the target."""
        self._add(helper.record.address, PingRequest(*self._header(helper), sequence, target))

    def ack(self, address: str, sequence: int, target_instance: int, recipient: Member | None) -> None:
        """Queue the reply to a probe, for this process or for a member that was pinged on request."""
        self._add(address, Ack(*self._header(recipient), sequence, target_instance))

    def nack(self, address: str, sequence: int) -> None:
        """Queue the reply to a ping request whose target did not answer."""
        self._add(address, Nack(*self._header(None), sequence))

    def sync(self, address: str, records: list[MemberRecord], after: str, until: str, page_number: int) -> None:
        """Queue a page of the view."""
        view = self._view
        page = Sync(
            PROTOCOL_VERSION, self._cluster, view.local, view.table.digest, tuple(records), after, until, page_number
        )
        self._add(address, page)

    def _header(self, recipient: Member | None) -> MessageHeader:
        """Return the leading fields. An accused recipient is sent its record first, so that it can refute it."""
        view = self._view
        updates = view.updates.take(view.present_count)
        if recipient is not None and recipient.record.state is not MemberState.ALIVE:
            held_record = recipient.record
            updates = [held_record, *(record for record in updates if record.key != held_record.key)]
        return MessageHeader(PROTOCOL_VERSION, self._cluster, view.local, view.table.digest, tuple(updates))

    def _add(self, address: str, message: Datagram) -> None:
        self._outgoing.append(OutgoingDatagram(address, message))
