"""The coordinator: replicates the cluster state, reads the endpoint list, distributes state, votes on quota leases.

Run it with `python -O -m hallhitch.programs.coordinator`. This module only connects the planes with one another.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable
from typing import Final

from hallhitch.messages.system_pb2 import ClusterState, Envelope
from hallhitch.node.errors import PeerCallError
from hallhitch.node.http_server import HttpReply, HttpServer
from hallhitch.node.metrics import Metric, MetricsServer, gauge
from hallhitch.node.periodic import run_periodically
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.control import state_transitions
from hallhitch.planes.control.operator_api import OperatorApi
from hallhitch.planes.control.plane import ControlPlane, ReplicaEnvironment
from hallhitch.planes.discovery.directory import Directory
from hallhitch.planes.discovery.endpoint_list import is_read_due, reader_rank
from hallhitch.planes.discovery.endpoint_list_reader import (
    EndpointListReader,
    page_timeout_ms,
    reading_interval_ms,
)
from hallhitch.planes.discovery.endpoint_page import resolve_unreadable
from hallhitch.planes.discovery.gateway_registry import max_gateways_to_record
from hallhitch.planes.discovery.platform_client import EndpointListReading, PlatformClient
from hallhitch.planes.distribution.coordinator_sync import CoordinatorSync
from hallhitch.planes.distribution.list_freshness import LATE_DRAIN_TIMEOUT_RATIO
from hallhitch.planes.distribution.ports import SyncContext
from hallhitch.planes.distribution.state_hub import NEVER, StateHub
from hallhitch.planes.quota.lease import CLOCK_MARGIN_MS, LEASE_DURATION_MS
from hallhitch.planes.quota.lease_coordinator import INCARNATION_BITS, LeaseCoordinator
from hallhitch.planes.values import Gateway
from hallhitch.programs.running import main
from hallhitch.programs.runtime import Runtime

MAINTENANCE_INTERVAL_MS: Final = 100.0  # between updates of the live gateways and coordinators
ENDPOINT_LIST_CHECK_INTERVAL_MS: Final = 50.0  # between checks whether the endpoint list has to be read
MAX_GATEWAYS_ANNOTATION: Final = "gateways"  # key in the annotations of the stored cluster state
MAX_RECORDED_GATEWAYS: Final = 2**32 - 1  # of the field in protocol messages
RECORD_MAX_GATEWAYS_INTERVAL_MS: Final = 1000.0  # between attempts to record the number, and timeout of each
HANDOVER_RATIO: Final = 0.5  # share of gracePeriod for handing the membership over; the rest is for pending calls
MAX_OPERATOR_BODY_BYTES: Final = 32 * 1024 * 1024  # size of the largest configuration that is accepted
RNG_SEED_BITS: Final = 64  # enough that no two processes draw the same random sequence


class CoordinatorProgram:
    """One coordinator process: its planes, servers and periodic tasks."""

    def __init__(self, node: NodeSettings, runtime: Runtime | None = None) -> None:
        runtime = runtime or Runtime()
        self._node = node
        self._clock = runtime.clock
        self._incarnation = runtime.draw_incarnation()
        self._had_quorum_contact = False
        self._links = runtime.connect(node.cluster_name, node.internal_address, self._incarnation, self._handle)
        self._hub = StateHub(self._incarnation, self._clock)
        self._hub.list_freshness.late_after_ms = node.bounds.drain_timeout_ms * LATE_DRAIN_TIMEOUT_RATIO
        self._sync = CoordinatorSync(SyncContext(self._links, self._hub, self._own_entry, self._clock, node.bounds))
        self._control = ControlPlane(
            node,
            self._links,
            self._on_commit,
            ReplicaEnvironment(
                storage=runtime.storage,
                run_blocking=runtime.run_blocking,
                clock=self._clock,
                rng=random.Random(runtime.random.getrandbits(RNG_SEED_BITS)),
            ),
            lease_ms=LEASE_DURATION_MS + CLOCK_MARGIN_MS,
        )
        self._hub.quorum_contact_age_ms = lambda: self._control.lease.age_ms(self._clock())
        self._hub.can_bootstrap_peers = lambda: self._control.has_quorum_contact
        self._leases = LeaseCoordinator(self._clock, runtime.random.getrandbits(INCARNATION_BITS))
        self._operator_api = OperatorApi(node, self._control, self._clock)
        self._operator_server = HttpServer("operator", self._operator_api.handle, MAX_OPERATOR_BODY_BYTES)
        self._metrics_server = MetricsServer(self._metrics)
        self._directory = Directory(node.region_by_zone, node.bounds.max_ttl_ms)
        self._directory_server = HttpServer("directory", self._handle_resolve)
        self._reading_interval_ms = reading_interval_ms(node.bounds.drain_timeout_ms)
        self._list_reader = self._build_list_reader()
        self._tasks: list[asyncio.Task[None]] = []

    def _build_list_reader(self) -> EndpointListReader | None:
        if self._node.cloud_api_address is None:
            return None
        client = PlatformClient(self._node.cloud_api_address, page_timeout_ms(self._node.bounds.drain_timeout_ms))
        return EndpointListReader(client, self._reading_interval_ms, self._on_list_reading, self._clock)

    # Start and shutdown.

    async def start(self) -> None:
        """Load the cluster state, then start the servers and the periodic tasks."""
        await self._links.serve(self._node.internal_address)
        await self._control.start()
        self._sync.add_peers(self._node.seed_addresses)
        for name, server in (("controlPlane", self._operator_server), ("directoryApi", self._directory_server)):
            if name in self._node.listen_addresses:
                await server.serve(self._node.listen_addresses[name])
        await self._metrics_server.serve(self._node.metrics_address)
        self._tasks = [
            asyncio.ensure_future(run_periodically("coordinator", interval_ms, step, self._clock))
            for interval_ms, step in (
                (MAINTENANCE_INTERVAL_MS, self._maintain),
                (ENDPOINT_LIST_CHECK_INTERVAL_MS, self._read_endpoint_list),
                (RECORD_MAX_GATEWAYS_INTERVAL_MS, self._record_max_gateways),
            )
        ]

    def apply_settings(self, node: NodeSettings) -> None:
        """Apply the settings that may change at run time: the seed nodes and those of the control plane."""
        self._control.apply_settings(node)
        self._operator_api.apply_settings(node)
        self._sync.add_peers(node.seed_addresses)

    async def shut_down(self) -> None:
        """Hand the membership over while calls are still answered, wait for the pending calls, then stop."""
        await self._control.leave(HANDOVER_RATIO * self._node.bounds.grace_period_ms)
        for server in (self._operator_server, self._directory_server, self._metrics_server):
            await server.close()
        for task in self._tasks:
            task.cancel()
        self._sync.stop()
        await self._control.stop()
        if self._list_reader is not None:
            self._list_reader.close()
        self._links.close()

    # Calls from other processes and from clients.

    def _own_entry(self) -> Gateway:
        node = self._node
        return Gateway(
            name=node.name,
            address=node.internal_address,
            incarnation=self._incarnation,
            machine_class=node.machine_class,
            zone=node.zone,
            region=node.region,
        )

    def _handle(self, envelope: Envelope) -> Envelope | Awaitable[Envelope]:
        if envelope.HasField("state_request"):
            if envelope.state_request.known_versions["config"].number:
                self._control.record_use()
            return self._sync.respond(envelope.state_request)
        if envelope.HasField("lease_request"):
            return self._handle_lease_request(envelope)
        reply = self._control.handle(envelope)
        return reply if reply is not None else Envelope(error="a coordinator does not answer that")

    def _handle_lease_request(self, envelope: Envelope) -> Envelope:
        self._leases.set_membership(self._control.lease_membership)
        reply = self._leases.handle(envelope)
        self._hub.set_holders(self._leases.holders(self._clock()))
        return reply

    def _handle_resolve(self, method: str, target: str, body: bytes) -> HttpReply:
        """Resolve to all live gateways; without quorum contact, only to those that pull state from this process."""
        gateways = self._hub.gateways if self._control.has_quorum_contact else self._hub.direct_gateways
        return self._directory.handle(method, target, gateways.values())

    def _metrics(self) -> list[Metric]:
        list_reads = self._list_reader.metrics() if self._list_reader is not None else []
        rank = gauge("endpoint_list_reader_rank", "Rank in the order of readers; 0 reads first.", self._reader_rank())
        return [*self._hub.metrics(), *list_reads, rank]

    # Callbacks of the planes.

    def _on_commit(self, state: ClusterState) -> None:
        self._hub.members = tuple(state.members)
        self._hub.update_lease_membership(self._control.lease_membership)
        max_gateways = _recorded_max_gateways(state)
        self._hub.update_config(state.serial, state.config_version, state.config, state.evacuations, max_gateways)
        self._sync.add_peers(state.members)

    def _on_list_reading(self, reading: EndpointListReading) -> None:
        known = {backend.instance: backend for backend in self._hub.backends.values()}
        resolved = resolve_unreadable(reading.unreadable_rows, known)
        self._hub.update_backends(reading.started_at, [*resolved, *reading.backends])

    # Periodic work.

    async def _maintain(self) -> None:
        """Update the live gateways and coordinators, quorum contact and the lease holders."""
        now_ms = self._clock()
        self._sync.remove_expired_gateways()
        live_peers = self._sync.live_peers()
        self._control.set_live_coordinators(live_peers)
        self._sync.set_live_coordinators(live_peers, {*self._control.members, *self._node.seed_addresses})
        if self._had_quorum_contact != self._control.has_quorum_contact:
            self._had_quorum_contact = not self._had_quorum_contact
            self._hub.notify()  # delayed replies may be due now, and peers learn immediately that contact was lost
        self._hub.set_holders(self._leases.holders(now_ms))

    async def _read_endpoint_list(self) -> None:
        """Read the endpoint list if a reading is due."""
        reader = self._list_reader
        if reader is not None and self._is_read_due(reader.read_duration_ms):
            await reader.read()

    def _is_read_due(self, read_duration_ms: float) -> bool:
        """Return whether this coordinator has to read the list; it does not before a majority has confirmed it."""
        is_confirmed = self._control.lease.confirmed_at_ms > NEVER
        list_age_ms = self._clock() - self._hub.list_read_at
        return is_confirmed and is_read_due(
            list_age_ms, self._reader_rank(), self._reading_interval_ms, read_duration_ms
        )

    def _reader_rank(self) -> int:
        return reader_rank(self._node.internal_address, self._sync.live_peers())

    async def _record_max_gateways(self) -> None:
        """Raise the recorded maximum number of gateways if more are seen; only the reader of rank 0 does so."""
        recorded = _recorded_max_gateways(self._control.committed_state)
        max_gateways = max_gateways_to_record(self._sync.gateway_count(), recorded)
        if max_gateways is None or self._reader_rank() != 0 or not self._control.has_quorum_contact:
            return
        change = state_transitions.annotate(MAX_GATEWAYS_ANNOTATION, str(max_gateways))
        with contextlib.suppress(PeerCallError, TimeoutError):
            await self._control.propose(change, RECORD_MAX_GATEWAYS_INTERVAL_MS)


def _recorded_max_gateways(state: ClusterState) -> int:
    """Return the maximum number of gateways that the cluster state records, or 0 if it records none."""
    text = state.annotations.get(MAX_GATEWAYS_ANNOTATION, "")
    return min(int(text), MAX_RECORDED_GATEWAYS) if text.isascii() and text.isdecimal() else 0


if __name__ == "__main__":
    main(CoordinatorProgram)
