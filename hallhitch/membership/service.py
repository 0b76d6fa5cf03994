"""Membership service of one gateway: runs state machine, transport and damped view on its clock and event loop.

The service owns the timers, and calls `on_counts` with the gateway counts whenever they change.
"""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec

from hallhitch.core.addresses import format_address
from hallhitch.core.deadlines import Deadline, Deadlines
from hallhitch.membership.damped_view import DampedView, GatewayCounts
from hallhitch.membership.errors import NotStartedError
from hallhitch.membership.event_log import MembershipLog
from hallhitch.membership.messages import Datagram
from hallhitch.membership.partition import PartitionDetector, ViewStatus
from hallhitch.membership.protocol import MembershipProtocol
from hallhitch.membership.records import MAX_LABEL_LENGTH, MemberRecord, MemberState
from hallhitch.membership.reporting import ViewReport, describe_view, render_metrics
from hallhitch.membership.settings import (
    AllowedNetworks,
    MembershipSettings,
    parse_numeric_address,
    validate_member_name,
)
from hallhitch.membership.swim import Swim
from hallhitch.membership.udp_transport import TransportSettings, UdpTransport

BIND_RETRY_MS: Final = 1_000.0  # between attempts to bind the address while the predecessor still uses it
TIMER_TOLERANCE_MS: Final = 1.0  # a scheduled timer that is early by no more than this is kept


@dataclass(frozen=True, slots=True)
class GatewayIdentity:
    """The gateway's identity. Successive processes share `gateway_id`; it is None if there is only one process."""

    name: str
    version: str
    gateway_id: int | None


class MembershipService:
    """Runs the membership protocol for this gateway."""

    def __init__(  # noqa: PLR0913  fields of one record
        self,
        settings: MembershipSettings,
        identity: GatewayIdentity,
        configured_count: int,
        deadlines: Deadlines,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        on_counts: Callable[[GatewayCounts], object],
    ) -> None:
        """Create the service; `start` opens its socket.

        Args:
            settings: The settings file.
            identity: Name, version and id of this gateway.
            configured_count: Number of gateways in the settings, in effect until another gateway is seen.
            deadlines: Clock and timers of the gateway.
            loop: Event loop of the gateway.
            rng: Source of randomness.
            on_counts: Callback that receives the gateway counts.

        Raises:
            MemberNameError: The gateway's name is not a valid member name.
        """
        self._settings = settings
        self._name = validate_member_name(identity.name)
        self._version = identity.version[:MAX_LABEL_LENGTH]
        self._configured_count = configured_count
        self._deadlines = deadlines
        self._rng = rng
        self._on_counts = on_counts
        self._is_allowed = AllowedNetworks(settings.networks)
        self._transport = UdpTransport(
            TransportSettings(settings.cluster, self._is_allowed, settings.datagrams_per_s),
            deadlines.clock,
            loop,
            self._on_message,
            self._finish_step,
        )
        self._instance = rng.getrandbits(63)
        self._gateway_id = self._instance if identity.gateway_id is None else identity.gateway_id
        self._protocol: MembershipProtocol | None = None
        self._timer: Deadline | None = None
        self._timer_at = 0.0
        self._has_configured_address = True
        self._partition = PartitionDetector()
        self._log = MembershipLog()
        self._counts = GatewayCounts(configured_count, configured_count, lambda server: 0)
        self._has_counts = False  # whether counts have been published yet

    # Called by the gateway.

    def start(self) -> None:
        """Open the socket and join the group.

        Raises:
            OSError: The address cannot be bound, and the reason is not another process of this gateway.
        """
        address = self._open_transport()
        local = MemberRecord(
            self._name,
            self._instance,
            0,
            MemberState.ALIVE,
            self._advertised_address(address),
            self._gateway_id,
            self._settings.zone,
            self._version,
        )
        now = self._deadlines.clock()
        swim = Swim(
            local, self._settings.cluster, self._settings.protocol(), self._rng, self._seeds(), self._is_allowed
        )
        damped_view = DampedView(local, self._configured_count, self._settings.damping(), now)
        self._log.started(local, self._settings.seeds)
        self._protocol = MembershipProtocol(swim, damped_view)
        swim.start(now)
        self._finish_step()

    def leave(self) -> None:
        """Announce that this gateway is shutting down or draining."""
        if self._protocol is not None and self._protocol.swim.local.state is not MemberState.LEFT:
            self._protocol.swim.leave(self._deadlines.clock())
            self._finish_step()

    def rejoin(self) -> None:
        """Announce that this gateway accepts clients again."""
        if self._protocol is not None:
            self._protocol.swim.rejoin(self._deadlines.clock())
            self._finish_step()

    def republish(self) -> None:
        """Call `on_counts` with the current counts again, because a settings reload has overwritten them."""
        if self._has_counts:
            self._on_counts(self._counts)

    def close(self) -> None:
        """Close the socket and cancel the timer."""
        self._transport.close()
        self._deadlines.cancel(self._timer)
        self._protocol = None

    def view_json(self) -> str:
        """Return the view as JSON.

        Raises:
            NotStartedError: The service is not started or has been closed.
        """
        if self._protocol is None:
            raise NotStartedError
        return msgspec.json.encode(describe_view(self._report(self._protocol))).decode() + "\n"

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format; empty before the start."""
        return "" if self._protocol is None else render_metrics(self._report(self._protocol), self._transport)

    # Addresses.

    def _open_transport(self) -> str:
        """Bind the configured address, or another port while a process of the same gateway uses that address."""
        host, port = parse_numeric_address(self._settings.listen)
        try:
            return self._transport.open((host, port))
        except OSError as error:
            has_other_processes = self._gateway_id != self._instance
            if error.errno != errno.EADDRINUSE or not has_other_processes:
                raise
        address = self._transport.open((host, 0))
        self._has_configured_address = False
        self._deadlines.call_after(BIND_RETRY_MS, self._bind_configured_address)
        return address

    def _bind_configured_address(self) -> None:
        """Move to the configured address once the predecessor has released it."""
        if self._protocol is None:
            return
        try:
            address = self._transport.open(parse_numeric_address(self._settings.listen))
        except OSError:
            self._deadlines.call_after(BIND_RETRY_MS, self._bind_configured_address)
            return
        self._has_configured_address = True
        self._protocol.swim.change_address(self._advertised_address(address), self._deadlines.clock())
        self._finish_step()

    def _advertised_address(self, bound_address: str) -> str:
        if self._settings.advertise and self._has_configured_address:
            return format_address(parse_numeric_address(self._settings.advertise))
        return bound_address

    def _seeds(self) -> tuple[str, ...]:
        """Return the seeds and this gateway's configured address, where another of its processes may be listening."""
        own_address = self._settings.advertise or self._settings.listen
        addresses = (*self._settings.seeds, own_address)
        return tuple(dict.fromkeys(format_address(parse_numeric_address(address)) for address in addresses))

    # Steps of the state machine.

    def _on_message(self, message: Datagram) -> None:
        if self._protocol is not None:
            self._protocol.swim.handle_message(message, self._deadlines.clock())

    def _on_timer(self) -> None:
        self._timer = None
        if self._protocol is not None:
            self._protocol.swim.tick(self._deadlines.clock())
            self._finish_step()

    def _finish_step(self) -> None:
        """Send the messages of a step, log its changes, publish its counts and schedule the next tick."""
        protocol = self._protocol
        if protocol is None:
            return
        step = protocol.finish_step(self._deadlines.clock())
        for address, message in step.outgoing:
            self._transport.send(address, message)
        if step.changes:
            self._log.members_changed(step.changes, protocol.swim.present_count)
            self._log.conflicts_changed(protocol.swim.conflicts)
        if step.counts is not None:
            self._publish(step.counts)
        self._update_status(protocol)
        self._schedule(protocol.next_wake())

    def _publish(self, counts: GatewayCounts) -> None:
        previous = self._counts
        is_changed = counts.placement_count != previous.placement_count or counts.budget_count != previous.budget_count
        if is_changed:
            self._log.counts_changed(counts)
        self._counts, self._has_counts = counts, True
        self._on_counts(counts)

    def _update_status(self, protocol: MembershipProtocol) -> None:
        previous, status = self._partition.status, self._status(protocol)
        if status is previous:
            return
        self._partition.status = status
        missing_count = protocol.damped_view.missing_count
        self._log.status_changed(previous, status, missing_count, protocol.swim.present_count)

    def _schedule(self, wake_at: float) -> None:
        is_timer_kept = self._timer_at <= wake_at <= self._timer_at + TIMER_TOLERANCE_MS
        if self._timer is not None and is_timer_kept:
            return
        self._deadlines.cancel(self._timer)
        self._timer, self._timer_at = self._deadlines.call_at(wake_at, self._on_timer), wake_at

    def _status(self, protocol: MembershipProtocol) -> ViewStatus:
        damped_view = protocol.damped_view
        return self._partition.evaluate(damped_view.missing_count, damped_view.present_count, self._has_counts)

    def _report(self, protocol: MembershipProtocol) -> ViewReport:
        status = self._status(protocol)
        return ViewReport(protocol.swim, self._settings.cluster, status, self._counts, self._deadlines.clock())
