"""Pings on behalf of other members: the helper's side of an indirect probe. Times are in ms."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from hallhitch.membership.member_view import MemberView
from hallhitch.membership.messages import Ack, PingRequest
from hallhitch.membership.outbox import Outbox
from hallhitch.membership.protocol_settings import ProtocolSettings

MAX_RELAYED_PINGS: Final = 256  # in flight; bounds the memory that requests can occupy
# Fraction of the reply time-out after which a nack is sent: early enough to arrive before the requester's probe ends.
NACK_TIMEOUT_RATIO: Final = 0.8


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping in flight on behalf of another member."""

    requester_address: str
    requester_sequence: int
    target_instance: int
    nack_at: float


class PingRelay:
    """Pings members on request and reports their replies to the requesters."""

    def __init__(self, view: MemberView, outbox: Outbox, settings: ProtocolSettings) -> None:
        self._view = view
        self._outbox = outbox
        self._nack_timeout_ms = NACK_TIMEOUT_RATIO * settings.reply_timeout_ms
        self._in_flight: dict[int, RelayedPing] = {}
        self.wake_at = math.inf

    def __len__(self) -> int:
        return len(self._in_flight)

    def on_request(self, request: PingRequest, now: float) -> None:
        """Ping the target of a request, or drop the request if too many are in flight or its address is not allowed."""
        target = request.target
        if len(self._in_flight) >= MAX_RELAYED_PINGS or not self._view.is_allowed(target.address):
            self._view.counters.records_dropped += 1
            return
        sequence, nack_at = self._outbox.next_sequence(), now + self._nack_timeout_ms
        self._in_flight[sequence] = RelayedPing(request.sender.address, request.sequence, target.instance, nack_at)
        self.wake_at = min(self.wake_at, nack_at)
        self._outbox.ping(target, sequence)

    def on_ack(self, ack: Ack) -> None:
        """Forward a target's ack to the requester."""
        relayed = self._in_flight.get(ack.sequence)
        if relayed is None or relayed.target_instance != ack.target_instance:
            return
        del self._in_flight[ack.sequence]
        self._outbox.ack(relayed.requester_address, relayed.requester_sequence, relayed.target_instance, None)

    def expire(self, now: float) -> None:
        """Send a nack for each target that did not reply in time."""
        for sequence, relayed in list(self._in_flight.items()):
            if relayed.nack_at <= now:
                del self._in_flight[sequence]
                self._outbox.nack(relayed.requester_address, relayed.requester_sequence)
        self.wake_at = min((relayed.nack_at for relayed in self._in_flight.values()), default=math.inf)

    def clear(self) -> None:
        """Discard all pings in flight."""
        self._in_flight.clear()
        self.wake_at = math.inf
