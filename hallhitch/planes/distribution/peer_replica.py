"""What a process knows about one peer that it pulls from: its state, its quorum contact and its round-trip time.

A peer reports points in time as ages: the age of its endpoint list, and of its last contact with a majority. An age is
subtracted from the earliest time at which the reply can have been written: the time of the request plus the time for
which the peer reports to have held the reply back. So a reply that was delayed in transit, or that a suspended process
sends after it resumes, never appears fresh.
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

HOLD_MS: Final = 500.0  # how long a peer may hold a reply back; also the heartbeat interval of a process
# Time-outs beyond the hold time. The first one applies while the round-trip time is unknown, and is sufficient between
# regions. The minimum applies once it is known, and allows for a round trip between regions and a busy machine.
FIRST_REPLY_TIMEOUT_MS: Final = 700.0
MIN_REPLY_TIMEOUT_MS: Final = 400.0


class PeerReplica:
    """The state of one peer. It is kept after a request times out, as versions make a late reply harmless."""

    def __init__(self, address: str, clock: Callable[[], float] = now, *, is_coordinator: bool = True) -> None:
        self._clock = clock
        self.address = address
        self._is_coordinator = is_coordinator
        self.created_at = clock()
        self.replied_at = NEVER
        self.requested_at = NEVER  # when the latest request was made
        self.is_silent = False  # whether the latest request that was waited for got no timely reply
        self.incarnation = 0
        self.quorum_contact_at = NEVER  # a majority has confirmed this peer at this time or later
        self.is_lease_expired = True  # whether the peer's serving lease had expired at its last reply
        self.serving_lease_ms = 0.0  # how long after contact with a majority a coordinator may answer for the cluster
        self.round_trip = RoundTripEstimate()
        self.backends: VersionedReplica[ListedBackend] = VersionedReplica()
        self.gateways: VersionedReplica[Gateway] = VersionedReplica()
        self.holders: dict[int, str] = {}
        self._holders_version = Version()

    def build_request(self, own: Gateway, hub: StateHub, max_wait_ms: float, *, direct_only: bool) -> StateRequest:
        """Build the request for the part of the peer's state that this process lacks."""
        request = StateRequest(requester=encode_gateway(own), max_wait_ms=max_wait_ms, direct_only=direct_only)
        if direct_only:
            request.endpoint_list_age_ms = hub.endpoint_list_age_ms
        request.known_versions["config"].number = hub.config.serial
        for name, version in (
            ("backends", self.backends.version),
            ("gateways", self.gateways.version),
            ("holders", self._holders_version),
        ):
            request.known_versions[name].CopyFrom(encode_version(version))
        return request

    def reply_timeout_ms(self, max_ms: float) -> float:
        """Return how long to wait for a reply beyond the hold time, based on the round trips so far."""
        if not self.round_trip.has_samples:
            return min(FIRST_REPLY_TIMEOUT_MS, max_ms)
        return min(max(MIN_REPLY_TIMEOUT_MS, self.round_trip.upper_bound_ms()), max_ms)

    def record_reply(self, update: StateUpdate, requested_at: float, serving_lease_ms: float) -> None:
        """Update the round-trip time and the age of the peer's contact with a majority from a reply."""
        received_at = self._clock()
        written_at = _earliest_written_at(update, requested_at, received_at)
        self.replied_at, self.incarnation = received_at, update.incarnation
        self.is_silent = False
        self.round_trip.observe(max(1.0, received_at - written_at))
        self.serving_lease_ms = serving_lease_ms
        self.is_lease_expired = not 0 <= update.quorum_contact_age_ms <= serving_lease_ms
        if update.quorum_contact_age_ms >= 0:
            self.quorum_contact_at = max(self.quorum_contact_at, written_at - update.quorum_contact_age_ms)

    def apply(self, update: StateUpdate, hub: StateHub, requested_at: float, *, updates_view: bool) -> None:
        """Apply a reply, however late it arrives; gateways and holders are set in the hub only if `updates_view`."""
        received_at = self._clock()
        written_at = _earliest_written_at(update, requested_at, received_at)
        self._apply_config(update, hub)
        if update.HasField("backends"):
            self.backends.apply(decode_backend_delta(update.backends, received_at))
        if update.endpoint_list_age_ms and self._has_list_of_reported_age(update):
            is_applied = hub.update_backends(written_at - update.endpoint_list_age_ms, self.backends.items.values())
            if update.HasField("backends") and not is_applied:
                hub.list_freshness.on_dismissed()
        if update.HasField("gateways"):
            self.gateways.apply(decode_gateway_delta(update.gateways))
        if update.HasField("holders"):
            self._holders_version = decode_version(update.holders.version)
            self.holders = dict(update.holders.holders)
        if updates_view:
            self._apply_view(update, hub)

    def _has_list_of_reported_age(self, update: StateUpdate) -> bool:
        """Return whether this replica contains the endpoint list whose age the reply states, not an older list."""
        if not self.backends.is_complete or self.backends.version.epoch != update.incarnation:
            return False
        if update.HasField("endpoint_list_version"):
            return self.backends.version == decode_version(update.endpoint_list_version)
        return not update.HasField("config")  # peers of an earlier release send no list along with a configuration

    def _apply_config(self, update: StateUpdate, hub: StateHub) -> None:
        """Apply the configuration; the first one only from a coordinator with a lease or a gateway that uses it."""
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
        """Apply gateways and holders; a peer without a lease may add the gateways that it knows but removes none."""
        is_fresh = not self.is_lease_expired and self.quorum_contact_at >= hub.view_contact_at
        if not is_fresh and self._clock() - hub.view_contact_at <= self.serving_lease_ms:
            return  # the current view comes from a peer with a newer quorum contact
        is_new_source = hub.view_source != self.address
        has_holders = self._holders_version.epoch == update.incarnation
        has_new_holders = has_holders and (is_new_source or update.HasField("holders"))
        if has_new_holders and (is_fresh or not hub.holders):
            hub.set_holders(self.holders)
        if not self.gateways.is_complete or self.gateways.version.epoch != update.incarnation:
            return  # some of them are missing, or they are from the peer's previous incarnation
        if is_new_source or update.HasField("gateways"):
            kept = {} if is_fresh else {gateway.address: gateway for gateway in hub.gateways.values()}
            hub.set_gateways({**kept, **self.gateways.items})
            hub.view_source = self.address
        if is_fresh:
            hub.view_contact_at = self.quorum_contact_at


def _earliest_written_at(update: StateUpdate, requested_at: float, received_at: float) -> float:
    return min(received_at, requested_at + max(0.0, update.held_back_ms))
