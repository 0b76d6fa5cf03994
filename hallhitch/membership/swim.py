"""Group membership by SWIM with the Lifeguard extensions, as a state machine without I/O.

Time, randomness and messages are passed in as arguments. The owner calls `tick` at the time that `next_wake` returns,
or earlier, and takes the outgoing messages and the changes after every call. All times are in ms of a monotonic clock.

Sources: Das, Gupta, Motivala: SWIM (DSN 2002); Dadgar, Phillips, Currey: Lifeguard (DSN-W 2018).
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from typing import Final

from msgspec.structs import replace

from hallhitch.membership.member_table import Member
from hallhitch.membership.member_view import MemberChange, MemberView
from hallhitch.membership.messages import Ack, Datagram, Nack, Ping, PingRequest, Sync
from hallhitch.membership.outbox import Outbox, OutgoingDatagram
from hallhitch.membership.ping_relay import PingRelay
from hallhitch.membership.prober import Prober
from hallhitch.membership.protocol_settings import ProtocolCounters, ProtocolSettings
from hallhitch.membership.records import MemberKey, MemberRecord, MemberState
from hallhitch.membership.view_exchange import ViewExchange

MAX_LEAVE_MESSAGES: Final = 8  # members notified of a departure directly; the others learn of it through updates
LATE_WAKE_RATIO: Final = 0.25  # fraction of the reply time-out by which a timer may be late without effect


class Swim:
    """The state machine of the protocol in one process."""

    def __init__(
        self,
        local: MemberRecord,
        cluster: str,
        settings: ProtocolSettings,
        rng: random.Random,
        seeds: tuple[str, ...] = (),
        is_allowed: Callable[[str], bool] = lambda address: True,
    ) -> None:
        self.view = MemberView(local, settings, rng, is_allowed)
        self.agreed_at = -math.inf  # when a message with the digest of the same view was last received
        self._settings = settings
        self._rng = rng
        self._outbox = Outbox(self.view, cluster)
        self._prober = Prober(self.view, self._outbox, settings, rng)
        self._relay = PingRelay(self.view, self._outbox, settings)
        self._exchange = ViewExchange(self.view, self._outbox, settings, rng, seeds)
        self._announced_wake_at = math.inf
        self._last_run_at = -math.inf

    # Called by the owner.

    def start(self, now: float) -> None:
        """Start probing, and contact the seeds immediately."""
        self._prober.start(now)
        self._exchange.start(now)
        self.view.updates.add(self.local)
        self.tick(now)

    def restore(self, records: Iterable[MemberRecord], now: float) -> None:
        """Add members that were known before, without queueing updates about them."""
        for record in records:
            if record.key != self.local.key:
                self.view.merge(record, now)
                self.view.updates.discard(record.key)

    def next_wake(self) -> float:
        """Return when `tick` must be called next. A call much later than that is treated as a stall of this process."""
        self._announced_wake_at = min(
            self._prober.wake_at,
            self._exchange.wake_at,
            self.view.suspicions.wake_at,
            self._relay.wake_at,
        )
        return self._announced_wake_at

    def tick(self, now: float) -> None:
        """Perform all actions that are due."""
        self._detect_stall(now)
        if now >= self._relay.wake_at:
            self._relay.expire(now)
        self._prober.tick(now)
        if now >= self.view.suspicions.wake_at:
            self.view.expire_suspicions(now)
        if now >= self._exchange.wake_at:
            self._exchange.reconnect(now)

    def handle_message(self, message: Datagram, now: float) -> None:
        """Process a received message."""
        self._detect_stall(now)
        sender = message.sender
        if sender.key == self.local.key or not self.view.is_allowed(sender.address):
            self.view.counters.records_dropped += 1
            return
        self.view.merge(sender, now)
        member = self.members.get(sender.key)
        if member is None:
            return
        if member.record.incarnation <= sender.incarnation:
            member.last_heard_at = now
            if sender.state.is_present:
                self.view.replace_predecessors(sender, now)
        for record in message.updates:
            self.view.merge(record, now)
        self._dispatch(message, member, now)
        self._compare_views(message, member, now)

    def take_outgoing(self) -> list[OutgoingDatagram]:
        """Remove all queued messages and return them."""
        return self._outbox.take()

    def take_changes(self) -> list[MemberChange]:
        """Return the changes of the view since the last call."""
        changes, self.view.changes = self.view.changes, []
        return changes

    # The local process.

    def leave(self, now: float) -> None:
        """Announce a planned departure, so that no member takes it for a failure."""
        self.view.announce(replace(self.local, state=MemberState.LEFT))
        present = list(self.view.ring)
        for key in self._rng.sample(present, min(len(present), MAX_LEAVE_MESSAGES)):
            self._outbox.ping(self.members[key].record, self._outbox.next_sequence())

    def rejoin(self, now: float) -> None:
        """Announce that this process is present again after `leave`."""
        if self.local.state is MemberState.LEFT:
            self.view.announce(replace(self.local, state=MemberState.ALIVE, incarnation=self.local.incarnation + 1))

    def change_address(self, address: str, now: float) -> None:
        """Announce a new address of the local process."""
        self.view.announce(replace(self.local, address=address, incarnation=self.local.incarnation + 1))

    # State.

    @property
    def local(self) -> MemberRecord:
        """The record of the local process."""
        return self.view.local

    @property
    def members(self) -> dict[MemberKey, Member]:
        """All known members except the local process."""
        return self.view.table.by_key

    @property
    def conflicts(self) -> dict[str, tuple[int, ...]]:
        """Names that several present gateways use, with their instances."""
        return self.view.table.conflicts

    @property
    def counters(self) -> ProtocolCounters:
        """Numbers of events since the start."""
        return self.view.counters

    @property
    def health_score(self) -> int:
        """The local health score; 0 is healthy."""
        return self.view.health.score

    @property
    def present_count(self) -> int:
        """Number of present members, including the local process."""
        return self.view.present_count

    @property
    def pending_updates(self) -> int:
        """Number of records that are still queued for other members."""
        return len(self.view.updates)

    def records(self) -> list[MemberRecord]:
        """Return all records, that of the local process first."""
        return self.view.table.records()

    # Message handling and stall detection.

    def _dispatch(self, message: Datagram, member: Member, now: float) -> None:
        match message:
            case Ping():
                self._outbox.ack(message.sender.address, message.sequence, self.local.instance, member)
            case Ack():
                if not self._prober.on_ack(message, now):
                    self._relay.on_ack(message)
            case Nack():
                self._prober.on_nack(message)
            case PingRequest():
                self._relay.on_request(message, now)
            case Sync():
                self._exchange.on_page(message, member, now)

    def _compare_views(self, message: Datagram, member: Member, now: float) -> None:
        if message.view_digest == self.view.table.digest:
            self.agreed_at = now
        elif not isinstance(message, Sync):
            self._exchange.on_different_view(message.sender, member, now)

    def _detect_stall(self, now: float) -> None:
        """Detect that this process ran late: other members are not to blame for what it did not receive meanwhile."""
        late_ms = now - max(self._announced_wake_at, self._last_run_at)
        self._last_run_at = now
        if late_ms <= self._settings.reply_timeout_ms * LATE_WAKE_RATIO:
            return
        self.view.health.adjust(1)
        if late_ms <= self._settings.probe_interval_ms:
            self._prober.postpone(late_ms)
            self.view.suspicions.postpone(late_ms)
            return
        self.view.counters.stalls += 1
        self.view.health.set_worst()
        self._prober.restart(now)
        self._relay.clear()
        self._exchange.allow_next_exchange()
        self.view.suspicions.restart(now)
