"""The soft state of one process, and its replies to the peers that pull the state.

Soft state consists of the configuration, the endpoint list, the live gateways and the holders of quota leases. The
configuration has a serial. To the other parts each process assigns version numbers of its own (see `versioned_map`).

Invariants:
- The configuration is replaced only by one with a higher serial, the endpoint list only by one that was read later, and
  the lease membership only by one with a higher version.
- A backend that was listed as draining stays draining, whichever coordinator reads the list next.
- A coordinator learns of each read of the list by another one at once, also if the list has not changed.
- Every reply contains a portion of each part of the state that the peer lacks, so that frequent changes of one part
  never delay another. In a reply with a configuration the lists are sent in short chunks, so that they do not delay the
  configuration. A peer that has no configuration yet receives the configuration first, without anything else.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from hallhitch.messages.system_pb2 import ConfigSnapshot, Envelope, LeaseHolderUpdate, StateRequest, StateUpdate
from hallhitch.node.clock import now
from hallhitch.node.metrics import Metric, MetricKind, gauge
from hallhitch.planes.discovery.endpoint_list import ListedBackend, reconcile_list
from hallhitch.planes.distribution.list_freshness import ListFreshness
from hallhitch.planes.distribution.state_messages import (
    decode_version,
    encode_backend_delta,
    encode_gateway_delta,
    encode_version,
)
from hallhitch.planes.distribution.versioned_map import CHUNK_ENTRIES, Version, VersionedMap
from hallhitch.planes.values import Gateway, LeaseMembership

MAX_DRAINED_BACKENDS: Final = 4096  # remembered after they left the list, as a page that lags may still list them
NO_QUORUM_CONTACT: Final = -1.0  # on the wire: the age of the contact if there was none
CHUNK_ENTRIES_WITH_CONFIG: Final = 100  # of each list; about 7 kB, which take 30 ms on a link of 2 Mbit/s
MAX_HOLD_MS: Final = 1000.0  # the longest time for which a peer may request that its reply be held back
NEVER: Final = float("-inf")
MIN_LIST_AGE_MS: Final = 0.1  # on the wire 0 means that no list is known
# Difference between the ages of two endpoint lists above which they come from different reads: more than the error of
# an age on the wire, which is the time that its message takes.
DIFFERENT_READ_MS: Final = 250.0


class StateHub:
    """The soft state of one process."""

    def __init__(self, incarnation: int, clock: Callable[[], float] = now) -> None:
        self.incarnation = incarnation
        self._clock = clock
        self.config = ConfigSnapshot(config_version=-1)
        self.backends: VersionedMap[ListedBackend] = VersionedMap(incarnation)
        self.list_read_at = NEVER  # when the endpoint list was read, by this process's clock
        self._drained: dict[str, None] = {}  # backends that were listed as draining, most recent last
        self.gateways: VersionedMap[Gateway] = VersionedMap(incarnation)  # all known live gateways, by address
        self.direct_gateways: VersionedMap[Gateway] = VersionedMap(incarnation)  # those that pull from this process
        self.shares_gateways = True  # False while a coordinator has just started and knows few gateways
        self.holders: Mapping[int, str] = {}  # tenant bucket -> internal address
        self._holders_number = 0
        self.view_contact_at = NEVER  # when a majority last confirmed the peer that `gateways` and `holders` came from
        self.view_source = ""  # address of that peer
        self.coordinators: tuple[str, ...] = ()
        self.members: tuple[str, ...] = ()
        self.lease_membership = LeaseMembership()
        self.quorum_contact_age_ms: Callable[[], float] = lambda: NO_QUORUM_CONTACT
        self.can_bootstrap_peers: Callable[[], bool] = lambda: True  # whether to send a first configuration
        self.on_change: list[Callable[[], None]] = []
        self.reply_counts: Counter[str] = Counter()  # by content
        self.list_freshness = ListFreshness()
        self._waiters: set[asyncio.Future[None]] = set()
        self._coordinator_waiters: set[asyncio.Future[None]] = set()  # those of `_waiters` that hold back coordinators

    def metrics(self) -> list[Metric]:
        """Return the metrics of the versions and the age of the state, and of the replies to peers."""
        draining = sum(backend.is_draining for backend in self.backends.values())
        backends = {"draining": float(draining), "ready": float(len(self.backends) - draining)}
        replies = {content: float(count) for content, count in self.reply_counts.items()}
        list_age_ms = self._clock() - self.list_read_at if self._has_endpoint_list else -1.0
        return [
            gauge("config_serial", "Serial of the configuration in force.", self.config.serial),
            gauge("endpoint_list_age_ms", "Since the endpoint list in force was read; -1: none is known.", list_age_ms),
            gauge("endpoint_list_version", "Changes of the endpoint list that were applied.", self.backends.number),
            Metric("backends", MetricKind.GAUGE, "Backends in the endpoint list.", backends, "state"),
            Metric("state_replies_total", MetricKind.COUNTER, "Replies to peers, by content.", replies, "content"),
            *self.list_freshness.metrics(),
        ]

    # Updates of the state.

    def notify(self) -> None:
        """Wake the replies that are held back and call the listeners."""
        _wake(self._waiters)
        for listener in self.on_change:
            listener()

    def update_config(
        self, serial: int, version: int, content: bytes, evacuated_zones: Iterable[str], max_gateways: int = 0
    ) -> bool:
        """Replace the configuration if the given one is newer; return whether it was."""
        if serial <= self.config.serial:
            return False
        self.config = ConfigSnapshot(
            serial=serial,
            config_version=version,
            config=content,
            evacuated_zones=sorted(evacuated_zones),
            max_gateways=max_gateways,
        )
        self.notify()
        return True

    def update_lease_membership(self, membership: LeaseMembership) -> None:
        """Replace the lease membership if the given one is newer."""
        if membership.version > self.lease_membership.version:
            self.lease_membership = membership

    def update_backends(self, read_at: float, backends: Iterable[ListedBackend]) -> bool:
        """Replace the endpoint list if the given one was read later; return whether it was."""
        if read_at <= self.list_read_at:
            return False
        previous_read_at, self.list_read_at = self.list_read_at, read_at
        known = {backend.instance: backend for backend in self.backends.values()}
        reconciled = reconcile_list(known, backends, self._drained)
        self._record_draining(reconciled.values())
        if self.backends.replace(reconciled):
            if previous_read_at > NEVER:
                self.list_freshness.on_changed(self._clock(), previous_read_at, read_at)
            self.notify()
        else:
            _wake(self._coordinator_waiters)
        return True

    def _record_draining(self, backends: Iterable[ListedBackend]) -> None:
        for backend in backends:
            if backend.is_draining:
                self._drained.pop(backend.instance, None)
                self._drained[backend.instance] = None
        while len(self._drained) > MAX_DRAINED_BACKENDS:
            del self._drained[next(iter(self._drained))]

    def set_gateways(self, gateways: Mapping[str, Gateway]) -> None:
        """Set the live gateways, by address."""
        if self.gateways.replace(gateways):
            self.notify()

    def set_holders(self, holders: Mapping[int, str]) -> None:
        """Set the holder of each tenant bucket."""
        if holders != self.holders:
            self.holders = dict(holders)
            self._holders_number += 1
            self.notify()

    # Replies to peers.

    async def respond(self, request: StateRequest) -> Envelope:
        """Reply with the state that the peer lacks.

        If it lacks nothing, hold the reply back until the state changes or the requested wait is over.
        """
        received_at = self._clock()
        deadline = received_at + min(request.max_wait_ms, MAX_HOLD_MS)
        while (update := self.build_update(request)) is None:
            remaining_ms = deadline - self._clock()
            if remaining_ms <= 0 or self._has_later_read(request, received_at):
                update = self.add_status(StateUpdate())
                break
            await self._wait_for_change(remaining_ms, is_coordinator=request.direct_only)
        self.reply_counts[_content_of(update)] += 1
        update.held_back_ms = self._clock() - received_at
        return Envelope(state_update=update)

    def _has_later_read(self, request: StateRequest, received_at: float) -> bool:
        """Return whether this process knows a later read of the list than the coordinator that sent the request."""
        if not request.direct_only or not request.endpoint_list_age_ms or not self._has_endpoint_list:
            return False
        return self.list_read_at - (received_at - request.endpoint_list_age_ms) > DIFFERENT_READ_MS

    async def _wait_for_change(self, timeout_ms: float, *, is_coordinator: bool) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        if is_coordinator:
            self._coordinator_waiters.add(waiter)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await waiter
        except TimeoutError:
            pass
        finally:
            self._waiters.discard(waiter)
            self._coordinator_waiters.discard(waiter)

    def build_update(self, request: StateRequest) -> StateUpdate | None:
        """Return the state that the peer lacks; None if it is up to date."""
        update = StateUpdate()
        has_config = self._add_config(update, request)
        is_first_config = has_config and not request.known_versions["config"].number
        if is_first_config:
            return self.add_status(update)
        chunk_entries = CHUNK_ENTRIES_WITH_CONFIG if has_config else CHUNK_ENTRIES
        parts = (
            has_config,
            self._add_backends(update, request, chunk_entries),
            self._add_gateways(update, request, chunk_entries),
            self._add_holders(update, request),
        )
        return self.add_status(update) if any(parts) else None

    def add_status(self, update: StateUpdate) -> StateUpdate:
        """Add the fields that every reply contains, and return the update."""
        update.incarnation = self.incarnation
        update.quorum_contact_age_ms = self.quorum_contact_age_ms()
        if self._has_endpoint_list:
            update.endpoint_list_age_ms = self.endpoint_list_age_ms
            update.endpoint_list_version.CopyFrom(encode_version(self.backends.version))
        update.coordinators.extend(self.coordinators)
        update.members.extend(self.members)
        if self.lease_membership.version:
            update.lease_membership.CopyFrom(self.lease_membership.to_message())
        return update

    @property
    def endpoint_list_age_ms(self) -> float:
        """The time since the endpoint list in force was read, as on the wire: 0 if none is known."""
        return max(MIN_LIST_AGE_MS, self._clock() - self.list_read_at) if self._has_endpoint_list else 0.0

    @property
    def _has_endpoint_list(self) -> bool:
        return self.list_read_at > NEVER

    def _add_config(self, update: StateUpdate, request: StateRequest) -> bool:
        known_serial = request.known_versions["config"].number
        if self.config.serial <= known_serial:
            return False
        if not known_serial and not self.can_bootstrap_peers():
            return False
        update.config.CopyFrom(self.config)
        return True

    def _add_backends(self, update: StateUpdate, request: StateRequest, max_entries: int) -> bool:
        if not self._has_endpoint_list:
            return False
        delta = self.backends.delta_since(decode_version(request.known_versions["backends"]), max_entries)
        if delta is None:
            return False
        update.backends.CopyFrom(encode_backend_delta(delta, self._clock()))
        return True

    def _add_gateways(self, update: StateUpdate, request: StateRequest, max_entries: int) -> bool:
        if not self.shares_gateways and not request.direct_only:
            return False
        gateways = self.direct_gateways if request.direct_only else self.gateways
        delta = gateways.delta_since(decode_version(request.known_versions["gateways"]), max_entries)
        if delta is None:
            return False
        update.gateways.CopyFrom(encode_gateway_delta(delta))
        return True

    def _add_holders(self, update: StateUpdate, request: StateRequest) -> bool:
        version = Version(self.incarnation, self._holders_number)
        if not self._holders_number or decode_version(request.known_versions["holders"]) == version:
            return False
        update.holders.CopyFrom(LeaseHolderUpdate(version=encode_version(version), holders=self.holders))
        return True


def _wake(waiters: Iterable[asyncio.Future[None]]) -> None:
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(None)


def _content_of(update: StateUpdate) -> str:
    """Return the names of the parts of the state in a reply, as the label under which it is counted."""
    parts = [name for name in ("config", "backends", "gateways", "holders") if update.HasField(name)]
    return "+".join(parts) or "status"
