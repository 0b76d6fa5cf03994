"""The gateway: serves clients, and pulls the state that it needs to do so.

Run it with `python -O -m hallhitch.programs.gateway`. This module only connects the planes with one another.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable
from dataclasses import replace
from typing import Final

from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.http_server import HttpReply, HttpServer
from hallhitch.node.logs import ComponentLogger
from hallhitch.node.metrics import Metric, MetricsServer, gauge
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.config_compiler import EMPTY_CONFIG, compile_config
from hallhitch.planes.data.load_balancer import LoadBalancer, LoadBalancerSettings
from hallhitch.planes.data.plane import DataPlane
from hallhitch.planes.discovery.directory import Directory
from hallhitch.planes.distribution.gateway_sync import GatewaySync
from hallhitch.planes.distribution.list_freshness import LATE_DRAIN_TIMEOUT_RATIO
from hallhitch.planes.distribution.ports import SyncContext
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.distribution.versioned_map import Version
from hallhitch.planes.quota.plane import QuotaPlane
from hallhitch.planes.values import ClusterConfig, Gateway
from hallhitch.programs.running import main
from hallhitch.programs.runtime import Runtime
from hallhitch.programs.state_application import StateApplication, StatePart

READINESS_PATH: Final = "/hallhitch/readiness"
# Share of gracePeriod after which a leaving gateway closes its listener: clients still use addresses that they resolved
# before.
LISTENER_CLOSE_RATIO: Final = 0.5
DRAIN_DEADLINE_RATIO: Final = 0.9  # share of gracePeriod after which a leaving gateway has answered every request
# Share of gracePeriod after which a leaving gateway exits; until then clients may receive the last replies.
EXIT_RATIO: Final = 0.95
MAX_LOGGED_PATHS: Final = 10  # of the values that cannot be read, in one line


class GatewayProgram:
    """One gateway process: its planes and servers."""

    def __init__(self, node: NodeSettings, runtime: Runtime | None = None) -> None:
        runtime = runtime or Runtime()
        self._node = node
        self._clock = runtime.clock
        self._log = ComponentLogger("gateway")
        self._incarnation = runtime.draw_incarnation()
        self._is_ready = self._is_leaving = self._has_backends = False
        self._links = runtime.connect(node.cluster_name, node.internal_address, self._incarnation, self._handle)
        self._hub = StateHub(self._incarnation, runtime.clock)
        self._hub.list_freshness.late_after_ms = node.bounds.drain_timeout_ms * LATE_DRAIN_TIMEOUT_RATIO
        context = SyncContext(self._links, self._hub, self._own_entry, runtime.clock, node.bounds)
        self._sync = GatewaySync(context, node.seed_addresses)
        self._quota = QuotaPlane(node, self._links, runtime.clock)
        load_balancer = LoadBalancer(_load_balancer_settings(node), random.Random(self._incarnation))
        self._data = DataPlane(node, load_balancer, self._quota.counter, runtime.clock)
        self._readiness_server = HttpServer("readiness", self._handle_readiness)
        self._metrics_server = MetricsServer(self._metrics)
        self._directory = Directory(
            node.region_by_zone, node.bounds.max_ttl_ms, lambda host: self._config.home_regions.get(host)
        )
        self._directory_server = HttpServer("directory", self._handle_resolve)
        self._config = EMPTY_CONFIG
        hub = self._hub
        self._state = StateApplication(
            [
                StatePart("config", lambda: hub.config.serial, self._apply_config, applied_version=0),
                StatePart("evacuations", lambda: hub.config.serial, self._apply_evacuations, applied_version=0),
                StatePart("backends", lambda: hub.backends.version, self._apply_backends, Version()),
                StatePart("gateways", lambda: hub.gateways.version, self._apply_gateways, Version()),
                StatePart("lease membership", object, lambda: self._quota.set_membership(hub.lease_membership)),
                StatePart("lease holders", object, lambda: self._quota.set_holders(hub.holders)),
            ],
            self._log,
            runtime.clock,
        )

    # Start and shutdown.

    async def start(self) -> None:
        """Start the servers, then pull state; the gateway becomes ready once the required state is complete."""
        await self._links.serve(self._node.internal_address)
        for name, server in (("readiness", self._readiness_server), ("directoryApi", self._directory_server)):
            if name in self._node.listen_addresses:
                await server.serve(self._node.listen_addresses[name])
        await self._metrics_server.serve(self._node.metrics_address)
        self._hub.on_change.append(self._on_state_change)
        await self._data.start()
        await self._quota.start()
        self._sync.start()

    def apply_settings(self, node: NodeSettings) -> None:
        """Apply the settings that may change at run time: the seed nodes."""
        self._sync.set_seeds(node.seed_addresses)

    async def shut_down(self) -> None:
        """Leave the directory, release the quota leases, close the listener, and answer the pending requests."""
        started_at, grace_period_ms = self._clock(), self._node.bounds.grace_period_ms
        self._is_leaving = True
        self._sync.publish_self()
        self._data.start_draining(started_at + grace_period_ms * DRAIN_DEADLINE_RATIO)
        listener_closes_at = started_at + grace_period_ms * LISTENER_CLOSE_RATIO
        await self._release_quota(listener_closes_at)
        await asyncio.sleep(max(0.0, listener_closes_at - self._clock()) / 1000)
        self._data.close_listener()
        await self._data.wait_drained(started_at + grace_period_ms * EXIT_RATIO)
        self._log_end_of_drain(self._clock() - started_at)
        await self._metrics_server.close()
        self._sync.stop()
        self._links.close()

    async def _release_quota(self, until: float) -> None:
        """Release the quota leases. If that fails or takes longer, the drain goes on, and the leases expire."""
        try:
            async with asyncio.timeout(max(0.0, until - self._clock()) / 1000):
                await self._quota.release_all()
        except TimeoutError:
            self._log.warning("quota leases not released in time")
        except Exception as error:  # noqa: BLE001  top-level handler: logs the error, and the shutdown continues
            self._log.exception("quota release failed", error)

    def _log_end_of_drain(self, duration_ms: float) -> None:
        """Log how the drain ended; requests that are still in flight are cut when the process exits."""
        listener = self._data.listener
        log = self._log.warning if listener.request_tasks else self._log.info
        log(
            "drain ended",
            duration_ms=f"{duration_ms:.0f}",
            connections=len(listener.connections),
            requests_cut=len(listener.request_tasks),
        )

    # Calls from other processes and from clients.

    def _own_entry(self) -> Gateway:
        node = self._node
        host, port = node.listen_addresses.get("frontend", ("", 0))
        return Gateway(
            name=node.name,
            address=node.internal_address,
            incarnation=self._incarnation,
            machine_class=node.machine_class,
            zone=node.zone,
            region=node.region,
            frontend=f"{host}:{port}" if host else "",
            is_ready=self._is_ready,
            is_leaving=self._is_leaving,
        )

    def _handle(self, envelope: Envelope) -> Envelope | Awaitable[Envelope]:
        if envelope.HasField("state_request"):
            return self._hub.respond(envelope.state_request)
        if envelope.HasField("count_request"):
            return self._quota.handle(envelope)
        return Envelope(error="a gateway does not answer that")

    def _handle_readiness(self, method: str, target: str, body: bytes) -> HttpReply:
        if target.partition("?")[0] != READINESS_PATH:
            return HttpReply(404, {}, b"")
        return HttpReply(200 if self._is_ready and not self._is_leaving else 503, {}, b"")

    def _handle_resolve(self, method: str, target: str, body: bytes) -> HttpReply:
        return self._directory.handle(method, target, self._hub.gateways.values())

    # Distribution of received state to the planes.

    def _on_state_change(self) -> None:
        self._state.apply_changes()
        if self._has_required_state and not self._is_ready:
            self._is_ready = True
            self._log.info("gateway ready", config_version=self._config.version, backends=len(self._hub.backends))
            self._sync.publish_self()

    @property
    def _has_required_state(self) -> bool:
        has_config = self._config.version >= 0
        return has_config and self._has_backends and self._sync.is_startup_complete

    def _apply_config(self) -> None:
        received = self._hub.config
        config = compile_config(
            received.serial, received.config_version, received.config, received.evacuated_zones, received.max_gateways
        )
        if config.unreadable and config.version != self._config.version:
            self._log_unreadable(config)
        self._set_config(config)

    def _log_unreadable(self, config: ClusterConfig) -> None:
        self._log.error(
            "configuration read in part",
            config_version=config.version,
            unreadable=len(config.unreadable),
            paths=[value.path for value in config.unreadable[:MAX_LOGGED_PATHS]],
            reason=config.unreadable[0].reason,
        )

    def _metrics(self) -> list[Metric]:
        description = "Values of the configuration in force that this release cannot read."
        return [
            *self._hub.metrics(),
            gauge("config_unreadable_values", description, len(self._config.unreadable)),
            *self._state.metrics(),
            *self._sync.metrics(),
            *self._data.metrics(),
        ]

    def _apply_evacuations(self) -> None:
        """Apply the evacuations that came with a configuration which cannot be applied to the one in force."""
        received = self._hub.config
        if self._config.serial == received.serial or self._config.version < 0:
            return
        self._set_config(
            replace(
                self._config,
                serial=received.serial,
                evacuated_zones=frozenset(received.evacuated_zones),
                max_gateways=received.max_gateways,
            )
        )

    def _set_config(self, config: ClusterConfig) -> None:
        self._quota.set_config(config)
        self._data.set_config(config)
        self._config = config

    def _apply_backends(self) -> None:
        regions = self._node.region_by_zone
        self._data.set_backends(
            [backend.to_backend(regions.get(backend.zone, "")) for backend in self._hub.backends.values()]
        )
        self._has_backends = self._hub.backends.number > 0

    def _apply_gateways(self) -> None:
        gateways = [gateway for gateway in self._hub.gateways.values() if gateway.serves_clients]
        self._quota.set_gateways(gateways)
        self._data.set_gateways(gateways)


def _load_balancer_settings(node: NodeSettings) -> LoadBalancerSettings:
    bounds = node.bounds
    return LoadBalancerSettings(
        name=node.name,
        zone=node.zone,
        region=node.region,
        retry_budget_ratio=bounds.retry_budget_ratio,
        retry_window_ms=bounds.retry_window_ms,
        retry_budget_slack=bounds.retry_budget_slack,
        slow_start_overshoot_ratio=bounds.slow_start_overshoot_ratio,
        slow_start_slack=bounds.slow_start_slack,
        endpoint_list_lag_ms=node.endpoint_list_lag_ms,
    )


if __name__ == "__main__":
    main(GatewayProgram)
