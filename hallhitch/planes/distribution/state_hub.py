"""What one process knows of the system's soft state, and what it tells those who pull from it.

The configuration has its serial; of the rest each process numbers what it tells by a feed of its own. Nothing goes
back: a configuration is taken only with a higher serial, a list of backends only if it was read later, and a backend
that was seen to drain drains, whoever reads the list next.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from hallhitch.messages.system_pb2 import (
    BackendMessage,
    BackendUpdate,
    Envelope,
    GatewayMessage,
    GatewayUpdate,
    LeaseHolderUpdate,
    MapVersion,
    StateRequest,
    StateUpdate,
)
from hallhitch.messages.system_pb2 import ConfigSnapshot as ConfigMessage
from hallhitch.node.clock import now
from hallhitch.planes.discovery.endpoint_list import Listed, settle
from hallhitch.planes.distribution.versioned_map import Delta, VersionedMap
from hallhitch.planes.values import Gateway, LeaseMembership

DRAINED_KEPT = 4096  # backends seen draining that are remembered when they are gone: a list that lags may name them
NO_CONTACT = -1.0  # the age of a contact with the core that there never was
HOLD_MOST = 1000.0  # ms for which a pull is held back at most


def entry_of(g: Gateway) -> GatewayMessage:
    """A gateway as it is sent."""
    return GatewayMessage(
        name=g.name,
        address=g.address,
        incarnation=g.incarnation,
        machine_class=g.machine_class,
        zone=g.zone,
        region=g.region,
        frontend=g.frontend,
        is_ready=g.is_ready,
        is_leaving=g.is_leaving,
    )


def gateway_of(e: GatewayMessage) -> Gateway:
    """And as it is received."""
    return Gateway(
        e.name, e.address, e.incarnation, e.machine_class, e.zone, e.region, e.frontend, e.is_ready, e.is_leaving
    )


def sent_of(e: Listed, clock: float) -> BackendMessage:
    """A backend as it is sent: what is left of its coldness, as clocks are each process's own."""
    return BackendMessage(
        instance=e.instance,
        service=e.service,
        host=e.host,
        port=e.port,
        zone=e.zone,
        slots=e.slots,
        is_draining=e.draining,
        warmup_remaining_ms=max(0.0, e.cold_until - clock),
    )


class StateHub:
    """One process's knowledge: the configuration, backends, gateways, holders."""

    def __init__(self, incarnation: int, clock: Callable[[], float] = now) -> None:
        self.incarnation, self._clock = incarnation, clock
        self.config = ConfigMessage(config_version=-1)
        self.backends: VersionedMap[Listed] = VersionedMap(incarnation)
        self.read_at = float("-inf")  # when the list of backends was read, by this process's clock
        self.gateways: VersionedMap[Gateway] = VersionedMap(incarnation)  # all that live, as far as known here
        self.direct: VersionedMap[Gateway] = VersionedMap(incarnation)  # those that pull from here
        self.holders: Mapping[int, str] = {}
        self._holders_number = 0
        self.core: tuple[str, ...] = ()
        self.members: tuple[str, ...] = ()
        self.membership = LeaseMembership()  # whose votes on leases count
        self.lists_contact = float("-inf")  # when a majority had confirmed the one whose gateways and holders these are
        self.lists_from = ""  # and its address
        self.contact_age: Callable[[], float] = lambda: NO_CONTACT  # ms, told with every answer
        self.hands_first_config: Callable[[], bool] = lambda: True  # whether one that has none may begin with ours
        self._drained: dict[str, None] = {}
        self.tells_gateways = True  # not while a process that has just started knows few of them
        self.on_change: list[Callable[[], None]] = []
        self._waiters: set[asyncio.Future[None]] = set()

    # What becomes known.

    def changed(self) -> None:
        """Wake whoever waits for news."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()
        for hear in self.on_change:
            hear()

    def take_config(
        self,
        serial: int,
        version: int,
        content: bytes,
        evacuated: Iterable[str],
        fleet: int = 0,
    ) -> bool:
        """Take a newer configuration; whether it was newer."""
        if serial <= self.config.serial:
            return False
        self.config = ConfigMessage(
            serial=serial, config_version=version, config=content, evacuated_zones=sorted(evacuated), max_gateways=fleet
        )
        self.changed()
        return True

    def set_membership(self, membership: LeaseMembership) -> None:
        """Whose votes on leases count; an older one than the one known is ignored."""
        if membership.version > self.membership.version:
            self.membership = membership

    def take_list(self, read_at: float, entries: Iterable[Listed]) -> bool:
        """Take a whole list of backends that was read later than the one known; whether it was."""
        if read_at <= self.read_at:
            return False
        self.read_at = read_at
        known = {e.instance: e for e in self.backends.values()}
        settled = settle(known, entries, self._drained)
        self._remember_drained(settled.values())
        if self.backends.replace(settled):
            self.changed()
        return True

    def _remember_drained(self, entries: Iterable[Listed]) -> None:
        for entry in entries:
            if entry.draining:
                self._drained.pop(entry.instance, None)
                self._drained[entry.instance] = None
        while len(self._drained) > DRAINED_KEPT:
            del self._drained[next(iter(self._drained))]

    def set_gateways(self, gateways: Mapping[str, Gateway]) -> None:
        """All gateways known to live, by address."""
        if self.gateways.replace(gateways):
            self.changed()

    def set_holders(self, holders: Mapping[int, str]) -> None:
        """Who holds which bucket of tenants."""
        if holders != self.holders:
            self.holders = dict(holders)
            self._holders_number += 1
            self.changed()

    # What is told.

    def news(self, pull: StateRequest) -> StateUpdate | None:
        """What the one that pulls lacks; None if nothing. A configuration goes alone, before lists that may be long."""
        news, any_news, clock = StateUpdate(), False, self._clock()
        had_serial = pull.known_versions["config"].number
        if self.config.serial > had_serial and (had_serial or self.hands_first_config()):
            news.config.CopyFrom(self.config)
            return self._signed(news)
        if self.read_at > float("-inf"):
            had = pull.known_versions["backends"]
            changes = self.backends.since(had.epoch, had.number)
            if changes is not None:
                news.backends.CopyFrom(
                    BackendUpdate(
                        version=_stamp(changes),
                        is_snapshot=changes.whole,
                        removed=changes.gone,
                        has_more_chunks=changes.more,
                        entries=[sent_of(e, clock) for e in changes.entries.values()],
                    )
                )
                any_news = True
        if self.tells_gateways or pull.direct_only:
            had = pull.known_versions["gateways"]
            gateways = (self.direct if pull.direct_only else self.gateways).since(had.epoch, had.number)
            if gateways is not None:
                news.gateways.CopyFrom(
                    GatewayUpdate(
                        version=_stamp(gateways),
                        is_snapshot=gateways.whole,
                        removed=gateways.gone,
                        has_more_chunks=gateways.more,
                        entries=[entry_of(g) for g in gateways.entries.values()],
                    )
                )
                any_news = True
        had = pull.known_versions["holders"]
        if self._holders_number and (had.epoch, had.number) != (self.incarnation, self._holders_number):
            news.holders.CopyFrom(
                LeaseHolderUpdate(
                    version=MapVersion(epoch=self.incarnation, number=self._holders_number), holders=self.holders
                )
            )
            any_news = True
        return self._signed(news) if any_news else None

    def _signed(self, news: StateUpdate) -> StateUpdate:
        """What goes with every answer."""
        news.incarnation, news.quorum_contact_age_ms = self.incarnation, self.contact_age()
        if self.read_at > float("-inf"):
            news.endpoint_list_age_ms = max(0.1, self._clock() - self.read_at)
        news.coordinators.extend(self.core)
        news.members.extend(self.members)
        if self.membership.version:
            news.lease_membership.CopyFrom(self.membership.to_message())
        return news

    async def answer(self, pull: StateRequest) -> Envelope:
        """The answer to a pull: at once if there is news, else held back until there is or its wait is over."""
        came = self._clock()
        until = came + min(pull.max_wait_ms, HOLD_MOST)
        while (news := self.news(pull)) is None:
            left = until - self._clock()
            if left <= 0:
                news = self._signed(StateUpdate())
                break
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.add(waiter)
            try:
                async with asyncio.timeout(left / 1000):
                    await waiter
            except TimeoutError:
                pass
            finally:
                self._waiters.discard(waiter)
        news.held_back_ms = self._clock() - came
        return Envelope(state_update=news)


def _stamp(changes: Delta[Any]) -> MapVersion:
    return MapVersion(epoch=changes.epoch, number=changes.number)
