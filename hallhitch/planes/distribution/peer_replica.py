"""One peer that is pulled from: what of its state was taken, how old its contact with the core is, how long it takes.

Moments that a peer tells as ages (of its list, of its contact with a majority) are counted back from `told_at`, the
earliest moment at which the answer can have been written: when it was asked, and held back for as long as the peer
says. So an answer that lay on its way for long, or that a frozen process sends when it wakes, never looks fresh.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from typing import Protocol

from hallhitch.messages.system_pb2 import BackendMessage, Envelope, StateRequest, StateUpdate
from hallhitch.node.clock import now
from hallhitch.node.round_trip import RoundTripEstimate
from hallhitch.planes.discovery.endpoint_list import Listed
from hallhitch.planes.distribution.state_hub import StateHub, entry_of, gateway_of
from hallhitch.planes.distribution.versioned_map import VersionedReplica
from hallhitch.planes.values import Gateway

HOLD = 500.0  # ms that a pull may be held back: also how often a process gives a sign of life
FIRST_ANSWER = 700.0  # ms beyond that in which an answer comes where the way is not known yet, over regions too
LEAST_ANSWER = 400.0  # ms that are always given: the two ways between regions, and a busy machine
NEVER = float("-inf")


class Calls(Protocol):
    """What is used of messages.peer_links.PeerLinks."""

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """See PeerLinks.call."""


def rendezvous(own: str, others: Iterable[str]) -> list[str]:
    """Others in the order that this name prefers them in: the same for it everywhere, another one for each name."""
    return sorted(others, key=lambda other: hashlib.blake2b(f"{own} {other}".encode(), digest_size=8).digest())


def listed_of(entry: BackendMessage, received: float) -> Listed:
    """A backend as it is received."""
    return Listed(
        entry.instance,
        entry.service,
        entry.host,
        entry.port,
        entry.zone,
        entry.slots,
        entry.is_draining,
        received + entry.warmup_remaining_ms if entry.warmup_remaining_ms > 0 else 0.0,
    )


class PeerReplica:
    """What was taken from one peer; kept when a pull is given up, as versions make a late answer harmless."""

    def __init__(self, address: str, clock: Callable[[], float] = now, *, coordinator: bool = True) -> None:
        self._clock, self.address, self._coordinator = clock, address, coordinator
        self.met = clock()
        self.incarnation, self.heard = 0, NEVER
        self.contact_at = NEVER  # when a majority last confirmed this peer, at the latest
        self.lapsed = True  # whether that was too long ago when it answered last
        self.lease = 0.0  # ms for which a contact lets a coordinator speak for the core
        self.trip = RoundTripEstimate()
        self.backends: VersionedReplica[Listed] = VersionedReplica()
        self.gateways: VersionedReplica[Gateway] = VersionedReplica()
        self.holders: dict[int, str] = {}
        self._holders = (0, 0)

    def pull(self, own: Gateway, hub: StateHub, wait: float, direct: bool) -> StateRequest:
        """What to ask this peer."""
        pull = StateRequest(requester=entry_of(own), max_wait_ms=wait, direct_only=direct)
        pull.known_versions["config"].number = hub.config.serial
        for name, (epoch, number) in (
            ("backends", (self.backends.epoch, self.backends.number)),
            ("gateways", (self.gateways.epoch, self.gateways.number)),
            ("holders", self._holders),
        ):
            pull.known_versions[name].epoch, pull.known_versions[name].number = epoch, number
        return pull

    def patience(self, most: float) -> float:
        """How long (ms) beyond a pull's hold an answer is waited for, by what the way took so far."""
        if not self.trip.has_samples:
            return min(FIRST_ANSWER, most)
        return min(max(LEAST_ANSWER, self.trip.upper_bound_ms()), most)

    def answered(self, news: StateUpdate, asked: float, lease: float) -> None:
        """An answer came: learn the way, and how old the peer's contact with the core is. `lease` in ms."""
        clock = self._clock()
        told_at = min(clock, asked + max(0.0, news.held_back_ms))
        self.heard, self.incarnation = clock, news.incarnation
        self.trip.observe(max(1.0, clock - told_at))
        self.lease = lease
        self.lapsed = not 0 <= news.quorum_contact_age_ms <= lease
        if news.quorum_contact_age_ms >= 0:
            self.contact_at = max(self.contact_at, told_at - news.quorum_contact_age_ms)

    def take(self, news: StateUpdate, hub: StateHub, asked: float, lists: bool) -> None:
        """Take an answer in, however late; gateways and holders go into the hub only with `lists`."""
        clock = self._clock()
        told_at = min(clock, asked + max(0.0, news.held_back_ms))
        self._take_config(news, hub)
        if news.HasField("backends"):
            b = news.backends
            # Coldness is counted from now: a moment too long does no harm, one too short sends too much.
            entries = ((e.instance, listed_of(e, clock)) for e in b.entries)
            self.backends.take(b.version.epoch, b.version.number, b.is_snapshot, entries, b.removed, b.has_more_chunks)
        if news.endpoint_list_age_ms and self.backends.complete and self.backends.epoch == news.incarnation:
            hub.take_list(told_at - news.endpoint_list_age_ms, self.backends.items.values())
        if news.HasField("gateways"):
            g = news.gateways
            gateways = ((e.address, gateway_of(e)) for e in g.entries)
            self.gateways.take(g.version.epoch, g.version.number, g.is_snapshot, gateways, g.removed, g.has_more_chunks)
        if news.HasField("holders"):
            self._holders = news.holders.version.epoch, news.holders.version.number
            self.holders = dict(news.holders.holders)
        if lists:
            self._tell_lists(news, hub)

    def _take_config(self, news: StateUpdate, hub: StateHub) -> None:
        """A process that has none begins with one that a majority confirmed, or that a gateway has in force."""
        if not news.HasField("config") or self._coordinator and self.lapsed and not hub.config.serial:
            return
        told = news.config
        hub.take_config(told.serial, told.config_version, told.config, told.evacuated_zones, told.max_gateways)

    def _tell_lists(self, news: StateUpdate, hub: StateHub) -> None:
        """Gateways and holders: a peer out of contact may add gateways that it hears, and takes nobody away."""
        fresh = not self.lapsed and self.contact_at >= hub.lists_contact
        if not fresh and self._clock() - hub.lists_contact <= self.lease:
            return  # somebody in fresher contact has told them
        other = hub.lists_from != self.address
        if (other or news.HasField("gateways")) and self.gateways.complete:
            kept = {} if fresh else {g.address: g for g in hub.gateways.values()}
            hub.set_gateways({**kept, **self.gateways.items})
            hub.lists_from = self.address
        if (other or news.HasField("holders")) and (fresh or not hub.holders):
            hub.set_holders(self.holders)
        if fresh:
            hub.lists_contact = self.contact_at
