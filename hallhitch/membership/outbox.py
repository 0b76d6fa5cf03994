"""Outgoing messages of the state machine: builds them, with updates attached, and keeps them until they are taken."""

from __future__ import annotations

from typing import NamedTuple

from hallhitch.membership.member_table import Member
from hallhitch.membership.member_view import MemberView
from hallhitch.membership.messages import PROTOCOL_VERSION, Ack, Datagram, Nack, Ping, PingRequest, Sync
from hallhitch.membership.records import MemberRecord, MemberState


class OutgoingDatagram(NamedTuple):
    """A message and the address that it is sent to."""

    address: str
    message: Datagram


class MessageHeader(NamedTuple):
    """The leading fields of a message, in the order of the wire."""

    protocol_version: int
    cluster: str
    sender: MemberRecord
    view_digest: int
    updates: tuple[MemberRecord, ...]


class Outbox:
    """Builds and collects messages."""

    def __init__(self, view: MemberView, cluster: str) -> None:
        self._view = view
        self._cluster = cluster
        self._last_sequence = 0
        self._outgoing: list[OutgoingDatagram] = []

    def take(self) -> list[OutgoingDatagram]:
        """Return the messages to send and forget them."""
        outgoing, self._outgoing = self._outgoing, []
        return outgoing

    def next_sequence(self) -> int:
        """Draw the number of a probe."""
        self._last_sequence += 1
        return self._last_sequence

    def ping(self, target: MemberRecord, sequence: int) -> None:
        """Send a probe."""
        header = self._header(self._view.table.by_key.get(target.key))
        self._add(target.address, Ping(*header, sequence, target.instance))

    def ping_request(self, helper: Member, target: MemberRecord, sequence: int) -> None:
        """Ask a member to probe another."""
        self._add(helper.record.address, PingRequest(*self._header(helper), sequence, target))

    def ack(self, address: str, sequence: int, target_instance: int, recipient: Member | None) -> None:
        """Answer a probe, for this process or for a member that was pinged on request."""
        self._add(address, Ack(*self._header(recipient), sequence, target_instance))

    def nack(self, address: str, sequence: int) -> None:
        """Answer a request to ping a member that did not answer."""
        self._add(address, Nack(*self._header(None), sequence))

    def sync(self, address: str, records: list[MemberRecord], after: str, until: str, page_number: int) -> None:
        """Send a page of the view."""
        view = self._view
        page = Sync(
            PROTOCOL_VERSION, self._cluster, view.local, view.table.digest, tuple(records), after, until, page_number
        )
        self._add(address, page)

    def _header(self, recipient: Member | None) -> MessageHeader:
        """Return the leading fields. An accused recipient gets its accusation first, so that it can refute."""
        view = self._view
        updates = view.updates.take(view.present_count)
        if recipient is not None and recipient.record.state is not MemberState.ALIVE:
            accusation = recipient.record
            updates = [accusation, *(record for record in updates if record.key != accusation.key)]
        return MessageHeader(PROTOCOL_VERSION, self._cluster, view.local, view.table.digest, tuple(updates))

    def _add(self, address: str, message: Datagram) -> None:
        self._outgoing.append(OutgoingDatagram(address, message))
