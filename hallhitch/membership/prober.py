"""Probes: one member per probe interval, first directly, then through other members.

At most one probe is in flight. Times are in ms.

Sources: SWIM, section 3.1; Lifeguard (2018) for nacks and intervals that depend on local health.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import Final

from hallhitch.membership.member_table import Member
from hallhitch.membership.member_view import MemberView
from hallhitch.membership.messages import Ack, Nack
from hallhitch.membership.outbox import Outbox
from hallhitch.membership.protocol_settings import ProtocolSettings
from hallhitch.membership.records import MemberKey, MemberState

# Members reported as failed that are pinged per interval, in addition to the probe. After a partition heals, many are
# reported at once.
MAX_VERIFICATIONS: Final = 8


@dataclass(slots=True)
class Probe:
    """The probe in flight."""

    key: MemberKey
    sequence: int
    indirect_at: float  # when indirect probes are requested
    ends_at: float
    helpers: int = 0  # members that were asked to ping the target
    nacks: int = 0  # helpers that replied without an ack of the target

    @property
    def wake_at(self) -> float:
        """When the probe has its next deadline."""
        return self.ends_at if self.helpers else self.indirect_at

    @property
    def missed_replies(self) -> int:
        """Number of helpers that sent no nack; 1 for a probe without helpers."""
        return max(0, self.helpers - self.nacks) if self.helpers else 1


class Prober:
    """Probes the members of a view one after another."""

    def __init__(self, view: MemberView, outbox: Outbox, settings: ProtocolSettings, rng: random.Random) -> None:
        self._view = view
        self._outbox = outbox
        self._settings = settings
        self._rng = rng
        self._probe: Probe | None = None
        self._next_probe_at = math.inf

    def start(self, now: float) -> None:
        """Schedule the first probe at a random time within one interval."""
        self._next_probe_at = now + self._rng.random() * self._settings.probe_interval_ms

    @property
    def wake_at(self) -> float:
        """When `tick` must be called next."""
        return self._next_probe_at if self._probe is None else self._probe.wake_at

    def tick(self, now: float) -> None:
        """Advance the probe in flight, and start the next one if it is due."""
        if self._probe is not None:
            self._continue(self._probe, now)
        if self._probe is None and now >= self._next_probe_at:
            self._begin(now)

    def on_ack(self, ack: Ack, now: float) -> bool:
        """End the probe in flight if the ack belongs to it; return whether it does."""
        probe = self._probe
        if probe is None or probe.sequence != ack.sequence or probe.key.instance != ack.target_instance:
            return False
        self._probe = None
        self._view.health.adjust(-1)
        member = self._view.table.by_key.get(probe.key)
        if member is not None:
            member.last_heard_at = now
        return True

    def on_nack(self, nack: Nack) -> None:
        """Count the reply of a helper whose target did not respond."""
        if self._probe is not None and self._probe.sequence == nack.sequence:
            self._probe.nacks += 1

    def postpone(self, delay_ms: float) -> None:
        """Extend the deadlines of the probe in flight by a period in which this process was stalled."""
        if self._probe is not None:
            self._probe.indirect_at += delay_ms
            self._probe.ends_at += delay_ms

    def restart(self, now: float) -> None:
        """Discard the probe in flight and start the next one after a probe interval."""
        self._probe = None
        self._next_probe_at = now + self._settings.probe_interval_ms

    def _begin(self, now: float) -> None:
        settings, multiplier = self._settings, self._view.health.interval_multiplier
        self._next_probe_at = now + settings.probe_interval_ms * multiplier
        self._verify_reported_failures()
        if not len(self._view.ring):
            return
        key = self._view.ring.next()
        sequence = self._outbox.next_sequence()
        indirect_at = now + settings.reply_timeout_ms * multiplier
        self._probe = Probe(key, sequence, indirect_at, now + settings.probe_interval_ms * multiplier)
        self._outbox.ping(self._view.table.by_key[key].record, sequence)

    def _verify_reported_failures(self) -> None:
        """Ping members that others reported as failed, so that they can refute the report."""
        unverified = self._view.unverified
        for key in unverified[:MAX_VERIFICATIONS]:
            member = self._view.table.by_key.get(key)
            if member is not None and member.record.state is MemberState.SUSPECT:
                self._outbox.ping(member.record, self._outbox.next_sequence())
        del unverified[:MAX_VERIFICATIONS]

    def _continue(self, probe: Probe, now: float) -> None:
        member = self._view.table.by_key.get(probe.key)
        if member is None or not member.record.state.is_present:
            self._probe = None
        elif now >= probe.ends_at:
            self._fail(probe, member, now)
        elif now >= probe.indirect_at and not probe.helpers:
            self._request_pings(probe, member)

    def _fail(self, probe: Probe, member: Member, now: float) -> None:
        self._probe, self._next_probe_at = None, now
        # If the helpers do not reply either, this process may be the one that receives nothing.
        self._view.health.adjust(probe.missed_replies)
        self._view.accuse(member, now)

    def _request_pings(self, probe: Probe, member: Member) -> None:
        table = self._view.table
        candidates = table.alive_keys([key for key in self._view.ring if key != probe.key])
        chosen = self._rng.sample(candidates, min(len(candidates), self._settings.indirect_probes))
        probe.helpers = len(chosen)
        if not chosen:
            probe.indirect_at = probe.ends_at
        for key in chosen:
            self._outbox.ping_request(table.by_key[key], member.record, probe.sequence)
        # The first ping may have been lost, so the target is pinged directly once more.
        self._outbox.ping(member.record, probe.sequence)
