"""What a process knows of one peer that it pulls from: its state, its quorum contact, its round-trip time.

A peer reports points in time as ages: of its endpoint list, and of its contact with a majority. An age is subtracted
from the earliest time at which the reply can have been written, which is the time of the request plus the time for
which the peer reports to have held the reply back. So a reply that was delayed on its way, or that a suspended process
sends when it resumes, never looks fresh.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from hallhitch.messages.system_pb2 import StateRequest, StateUpdate
from hallhitch.node.clock import now
from hallhitch.node.round_trip import RoundTripEstimate
from hallhitch.planes.discovery.endpoint_list import ListedBackend
from hallhitch.planes.distribution.state_hub import NEVER, StateHub
from hallhitch.planes.distribution.state_messages import (
    decode_backend_delta,
    decode_gateway_delta,
    decode_version,
    encode_gateway,
    encode_version,
)
from hallhitch.planes.distribution.versioned_map import Version, VersionedReplica
from hallhitch.planes.values import Gateway

HOLD_MS: Final = 500.0  # for which a peer may hold a reply back; also the interval of a process's heartbeats
FIRST_REPLY_TIMEOUT_MS: Final = 700.0  # beyond the hold, before the round trip is known: enough between regions
MIN_REPLY_TIMEOUT_MS: Final = 400.0  # beyond the hold, once it is known: a round trip between regions, a busy machine


class PeerReplica:
    """The state of one peer. It is kept when a request is given up, as versions make a late reply harmless."""

    def __init__(self, address: str, clock: Callable[[], float] = now, *, is_coordinator: bool = True) -> None:
        self._clock = clock
        self.address = address
        self._is_coordinator = is_coordinator
        self.created_at = clock()
        self.replied_at = NEVER
        self.incarnation = 0
        self.quorum_contact_at = NEVER  # when a majority last confirmed this peer, at the latest
        self.is_lease_expired = True  # whether its serving lease had expired when it replied last
        self.serving_lease_ms = 0.0  # how long after a contact with a majority a coordinator may answer for the cluster
        self.round_trip = RoundTripEstimate()
        self.backends: VersionedReplica[ListedBackend] = VersionedReplica()
        self.gateways: VersionedReplica[Gateway] = VersionedReplica()
        self.holders: dict[int, str] = {}
        self._holders_version = Version()

    def build_request(self, own: Gateway, hub: StateHub, max_wait_ms: float, *, direct_only: bool) -> StateRequest:
        """Build the request for what this process lacks of the peer's state."""
        request = StateRequest(requester=encode_gateway(own), max_wait_ms=max_wait_ms, direct_only=direct_only)
        request.known_versions["config"].number = hub.config.serial
        for name, version in (
            ("backends", self.backends.version),
            ("gateways", self.gateways.version),
            ("holders", self._holders_version),
        ):
            request.known_versions[name].CopyFrom(encode_version(version))
        return request

    def reply_timeout_ms(self, max_ms: float) -> float:
        """Return how long to wait for a reply beyond the hold, by the round trips so far."""
        if not self.round_trip.has_samples:
            return min(FIRST_REPLY_TIMEOUT_MS, max_ms)
        return min(max(MIN_REPLY_TIMEOUT_MS, self.round_trip.upper_bound_ms()), max_ms)

    def record_reply(self, update: StateUpdate, requested_at: float, serving_lease_ms: float) -> None:
        """Learn the round trip from a reply, and how old the peer's contact with a majority is."""
        received_at = self._clock()
        written_at = _earliest_written_at(update, requested_at, received_at)
        self.replied_at, self.incarnation = received_at, update.incarnation
        self.round_trip.observe(max(1.0, received_at - written_at))
        self.serving_lease_ms = serving_lease_ms
        self.is_lease_expired = not 0 <= update.quorum_contact_age_ms <= serving_lease_ms
        if update.quorum_contact_age_ms >= 0:
            self.quorum_contact_at = max(self.quorum_contact_at, written_at - update.quorum_contact_age_ms)

    def apply(self, update: StateUpdate, hub: StateHub, requested_at: float, *, with_view: bool) -> None:
        """Apply a reply, however late it is; gateways and holders reach the hub only with `with_view`."""
        received_at = self._clock()
        written_at = _earliest_written_at(update, requested_at, received_at)
        self._apply_config(update, hub)
        if update.HasField("backends"):
            self.backends.apply(decode_backend_delta(update.backends, received_at))
        if update.endpoint_list_age_ms and self._has_dated_list(update):
            hub.update_backends(written_at - update.endpoint_list_age_ms, self.backends.items.values())
        if update.HasField("gateways"):
            self.gateways.apply(decode_gateway_delta(update.gateways))
        if update.HasField("holders"):
            self._holders_version = decode_version(update.holders.version)
            self.holders = dict(update.holders.holders)
        if with_view:
            self._apply_view(update, hub)

    def _has_dated_list(self, update: StateUpdate) -> bool:
        """Return whether this replica holds the endpoint list whose age the reply tells, and not an older one."""
        if not self.backends.is_complete or self.backends.version.epoch != update.incarnation:
            return False
        if update.HasField("endpoint_list_version"):
            return self.backends.version == decode_version(update.endpoint_list_version)
        return not update.HasField("config")  # a peer of an earlier release left the list out beside a configuration

    def _apply_config(self, update: StateUpdate, hub: StateHub) -> None:
        """Apply the configuration; a first one only from a coordinator with a lease, or from a gateway that uses it."""
        if not update.HasField("config"):
            return
        is_first = not hub.config.serial
        lacks_lease = self._is_coordinator and self.is_lease_expired
        if is_first and lacks_lease:
            return
        config = update.config
        hub.update_config(
            config.serial, config.config_version, config.config, config.evacuated_zones, config.max_gateways
        )

    def _apply_view(self, update: StateUpdate, hub: StateHub) -> None:
        """Apply gateways and holders; a peer without a lease may add the gateways that it knows, and removes none."""
        is_fresh = not self.is_lease_expired and self.quorum_contact_at >= hub.view_contact_at
        if not is_fresh and self._clock() - hub.view_contact_at <= self.serving_lease_ms:
            return  # the current view is from a peer with a newer quorum contact
        is_new_source = hub.view_source != self.address
        has_holders = self._holders_version.epoch == update.incarnation
        has_new_holders = has_holders and (is_new_source or update.HasField("holders"))
        if has_new_holders and (is_fresh or not hub.holders):
            hub.set_holders(self.holders)
        if not self.gateways.is_complete or self.gateways.version.epoch != update.incarnation:
            return  # part of them is missing, or they are those of the peer's last incarnation
        if is_new_source or update.HasField("gateways"):
            kept = {} if is_fresh else {gateway.address: gateway for gateway in hub.gateways.values()}
            hub.set_gateways({**kept, **self.gateways.items})
            hub.view_source = self.address
        if is_fresh:
            hub.view_contact_at = self.quorum_contact_at


def _earliest_written_at(update: StateUpdate, requested_at: float, received_at: float) -> float:
    return min(received_at, requested_at + max(0.0, update.held_back_ms))
