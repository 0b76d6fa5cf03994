"""One process's view: merges records by precedence, expires suspicions and refutes accusations of this process.

The view owns the member table, the probe ring, the suspicions, the update queue and the local health. It sends nothing.
A merged state is replaced only by a state of greater precedence; the one exception is described in `records`. Times are
in ms of a monotonic clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from msgspec.structs import replace

from hallhitch.membership.local_health import LocalHealth
from hallhitch.membership.member_table import Member, MemberTable
from hallhitch.membership.probe_ring import ProbeRing
from hallhitch.membership.protocol_settings import ProtocolCounters, ProtocolSettings
from hallhitch.membership.records import MAX_INCARNATION, MemberKey, MemberRecord, MemberState
from hallhitch.membership.suspicion import REPORTED_FAILURE_WEIGHT, Suspicion, SuspicionTable
from hallhitch.membership.update_queue import UpdateQueue


@dataclass(slots=True)
class MemberChange:
    """A change of a member's state; `previous_state` is None for a new member."""

    record: MemberRecord
    previous_state: MemberState | None


class MemberView:
    """The members that one process knows, including itself."""

    def __init__(
        self,
        local: MemberRecord,
        settings: ProtocolSettings,
        rng: random.Random,
        is_allowed: Callable[[str], bool],
    ) -> None:
        self.table = MemberTable(local, settings.max_members)
        self.ring = ProbeRing(rng)
        self.suspicions = SuspicionTable()
        self.updates = UpdateQueue()
        self.health = LocalHealth(settings.max_health_score)
        self.counters = ProtocolCounters()
        self.changes: list[MemberChange] = []  # not yet taken by the owner
        self.unverified: list[MemberKey] = []  # members reported as failed, to be pinged directly
        self.is_allowed = is_allowed
        self._settings = settings

    @property
    def local(self) -> MemberRecord:
        """The record of the local process."""
        return self.table.local

    @property
    def present_count(self) -> int:
        """Number of present members, including this process."""
        return len(self.ring) + 1

    # The local process.

    def announce(self, record: MemberRecord) -> None:
        """Replace the record of the local process and queue it for the other members."""
        self.table.set_local(record)
        self.updates.add(record)

    def refute(self, record: MemberRecord) -> None:
        """Announce a record that takes precedence over a received record about this process, if its own does not."""
        local = self.local
        if record.precedence <= local.precedence or record.incarnation >= MAX_INCARNATION:
            return
        if local.state is MemberState.LEFT:
            self.announce(replace(local, incarnation=record.incarnation))
            return
        # This process may really be slow: a worse health score makes it wait longer before it accuses others.
        self.counters.refutations += 1
        self.health.adjust(1)
        self.announce(replace(local, incarnation=record.incarnation + 1))

    # Other members.

    def merge(self, record: MemberRecord, now: float) -> None:
        """Merge a received record into the view."""
        if record.key == self.local.key:
            self.refute(record)
            return
        if not self.is_allowed(record.address):
            self.counters.records_dropped += 1
            return
        member = self.table.by_key.get(record.key)
        if member is None:
            self._add(record, now)
        elif self._is_accusation_of_suspect(member, record):
            weight = REPORTED_FAILURE_WEIGHT if record.state is MemberState.FAILED else 1
            if self.suspicions.accuse(record.key, record.accuser, weight):
                self.updates.add(replace(member.record, accuser=record.accuser))
        elif record.precedence > member.record.precedence:
            if record.state is MemberState.FAILED and member.record.state.is_present:
                # The member may be unreachable only for the reporter: it is pinged, and gets the time to refute.
                record = replace(record, state=MemberState.SUSPECT)
                self.unverified.append(record.key)
            self.set_record(member, record, now)

    def set_record(self, member: Member, record: MemberRecord, now: float, is_known: bool = True) -> None:
        """Replace a member's record, record the change and queue the record for the other members."""
        previous_state = member.record.state if is_known else None
        was_present = is_known and member.record.state.is_present
        self.table.store(member, record, was_present)
        if record.state.is_present and not was_present:
            self.ring.add(record.key)
        elif was_present and not record.state.is_present:
            self.ring.remove(record.key)
        if record.state is MemberState.SUSPECT:
            self._open_suspicion(record, now)
        else:
            self.suspicions.close(record.key)
        self.updates.add(record)
        if previous_state is record.state:
            return
        member.state_since = now
        self.changes.append(MemberChange(record, previous_state))
        self.counters.changes += 1
        if self.table.update_conflict(record.name):
            self.counters.conflicts += 1

    def accuse(self, member: Member, now: float) -> None:
        """Suspect a member that replied to neither a direct nor an indirect probe."""
        accusation = replace(member.record, state=MemberState.SUSPECT, accuser=self.local.instance)
        if member.record.state is MemberState.ALIVE:
            self.counters.accusations += 1
            self.set_record(member, accusation, now)
        elif self.suspicions.accuse(member.record.key, self.local.instance):
            self.updates.add(accusation)

    def expire_suspicions(self, now: float) -> None:
        """Declare the members failed whose suspicion has expired."""
        for key in self.suspicions.expired(now):
            member, suspicion = self.table.by_key[key], self.suspicions.get(key)
            if suspicion is None:
                continue
            # A member that still sends messages is running, even if it receives none.
            suspicion.started_at = max(suspicion.started_at, member.last_heard_at)
            if suspicion.expires_at <= now:
                self.counters.failures += 1
                self.set_record(member, replace(member.record, state=MemberState.FAILED), now)
        self.suspicions.reschedule()

    def replace_predecessors(self, sender: MemberRecord, now: float) -> None:
        """Declare earlier instances with the sender's name and address failed: one address belongs to one process."""
        if not self.table.by_key[sender.key].record.state.is_present:
            return
        for key in self.table.keys_of(sender.name):
            record = self.table.by_key[key].record
            if key != sender.key and record.address == sender.address and record.state.is_present:
                failed = replace(record, state=MemberState.FAILED, accuser=self.local.instance)
                self.set_record(self.table.by_key[key], failed, now)

    def forget_absent(self, now: float) -> None:
        """Remove the members that failed or left more than `forget_after_ms` ago."""
        expired = [
            key
            for key, member in self.table.by_key.items()
            if not member.record.state.is_present and now - member.state_since > self._settings.forget_after_ms
        ]
        for key in expired:
            self._remove(key)

    def _is_accusation_of_suspect(self, member: Member, record: MemberRecord) -> bool:
        """Return whether a record accuses a member of an incarnation that is already suspected."""
        is_accusation = record.state in (MemberState.SUSPECT, MemberState.FAILED)
        is_suspected = self.suspicions.get(record.key) is not None
        return is_accusation and is_suspected and record.incarnation == member.record.incarnation

    def _add(self, record: MemberRecord, now: float) -> None:
        if not self._ensure_capacity(record.name):
            self.counters.records_dropped += 1
            return
        self.set_record(self.table.add(record, now), record, now, is_known=False)

    def _ensure_capacity(self, name: str) -> bool:
        """Evict an absent member if there is no room for another with this name; return whether there is room."""
        if self.table.can_add(name):
            return True
        evicted = self.table.oldest_absent(name)
        if evicted is None:
            return False
        self._remove(evicted)
        return True

    def _remove(self, key: MemberKey) -> None:
        self.table.remove(key)
        self.updates.discard(key)

    def _open_suspicion(self, record: MemberRecord, now: float) -> None:
        """Start the suspicion of a member, or restart it for a newer incarnation."""
        settings = self._settings
        size_factor = max(1.0, math.log10(self.present_count))
        min_timeout_ms = settings.suspicion_multiplier * size_factor * settings.probe_interval_ms
        max_timeout_ms = settings.max_suspicion_multiplier * min_timeout_ms
        suspicion = Suspicion(now, min_timeout_ms, max_timeout_ms, self.present_count - 2)
        suspicion.accuse(record.accuser)
        self.suspicions.open(record.key, suspicion)
