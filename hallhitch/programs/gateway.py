"""The gateway: takes clients, knows by pulling, counts tenants. `python -O -m hallhitch.programs.gateway`."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable

from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.clock import now
from hallhitch.node.http_server import HttpReply, HttpServer
from hallhitch.node.logs import ComponentLogger
from hallhitch.node.settings import NodeSettings
from hallhitch.planes.data.load_balancer import LoadBalancer, LoadBalancerSettings
from hallhitch.planes.data.plane import DataPlane
from hallhitch.planes.discovery.directory import Directory
from hallhitch.planes.distribution.config_compiler import EMPTY_CONFIG, compile_config
from hallhitch.planes.distribution.gateway_sync import GatewaySync
from hallhitch.planes.distribution.state_hub import StateHub
from hallhitch.planes.quota.plane import QuotaPlane
from hallhitch.planes.values import Backend, Gateway
from hallhitch.programs.running import main
from hallhitch.programs.runtime import Runtime

LISTEN_SHARE = 0.5  # of the grace period in which a leaving gateway still takes connections: clients hold old answers
FINISH_SHARE = 0.9  # of the grace period by which it has ended


class GatewayProgram:
    """All parts of one gateway."""

    def __init__(self, node: NodeSettings, runtime: Runtime | None = None) -> None:
        runtime = runtime or Runtime()
        self._node, self._log = node, ComponentLogger("gateway")
        self._incarnation = runtime.random.getrandbits(62) + 1
        self._ready = self._leaving = False
        self._links = runtime.connect(node.cluster_name, node.internal_address, self._incarnation, self._handle)
        self._hub = StateHub(self._incarnation, runtime.clock)
        self._gateway_sync = GatewaySync(
            self._links, self._hub, self._own, node.seed_addresses, runtime.clock, node.bounds
        )
        self._quota = QuotaPlane(node, self._links, runtime.clock)
        b = node.bounds
        decisions = LoadBalancer(
            LoadBalancerSettings(
                node.name,
                node.zone,
                node.region,
                b.retry_budget_ratio,
                b.retry_window_ms,
                b.retry_budget_slack,
                b.slow_start_overshoot_ratio,
                b.slow_start_slack,
                node.endpoint_list_lag_ms,
            ),
            random.Random(self._incarnation),
        )
        self._data = DataPlane(node, decisions, self._quota.counter, runtime.clock)
        self._readiness = HttpServer("readiness", self._is_ready)
        self._directory = Directory(node.region_by_zone, b.max_ttl_ms)
        self._resolve = HttpServer("directory", self._resolved)
        self._config, self._backends, self._gateways = EMPTY_CONFIG, (0, 0), (0, 0)

    def _own(self) -> Gateway:
        n = self._node
        host, port = n.listen_addresses.get("frontend", ("", 0))
        return Gateway(
            n.name,
            n.internal_address,
            self._incarnation,
            n.machine_class,
            n.zone,
            n.region,
            f"{host}:{port}" if host else "",
            self._ready,
            self._leaving,
        )

    def _is_ready(self, method: str, target: str, body: bytes) -> HttpReply:
        if target.partition("?")[0] != "/hallhitch/readiness":
            return HttpReply(404, {}, b"")
        return HttpReply(200 if self._ready and not self._leaving else 503, {}, b"")

    def _resolved(self, method: str, target: str, body: bytes) -> HttpReply:
        return self._directory.call(method, target, self._hub.gateways.values())

    def _handle(self, envelope: Envelope) -> Envelope | Awaitable[Envelope]:
        if envelope.HasField("state_request"):
            return self._hub.answer(envelope.state_request)
        if envelope.HasField("count_request"):
            return self._quota.handle(envelope)
        return Envelope(error="a gateway does not answer that")

    async def start(self) -> None:
        """Listen first, know then, be ready last."""
        await self._links.serve(self._node.internal_address)
        for name, web in (("readiness", self._readiness), ("directoryApi", self._resolve)):
            if name in self._node.listen_addresses:
                await web.serve(self._node.listen_addresses[name])
        self._hub.on_change.append(self._learn)
        await self._data.start()
        await self._quota.start()
        self._gateway_sync.start()

    def _learn(self) -> None:
        """The hub knows more: tell the planes."""
        hub = self._hub
        if hub.config.serial > self._config.serial:
            w = hub.config
            self._config = compile_config(w.serial, w.config_version, w.config, w.evacuated_zones, w.max_gateways)
            self._quota.set_config(self._config)
            self._data.set_config(self._config)
        if (version := (hub.backends.epoch, hub.backends.number)) != self._backends:
            self._backends = version
            self._data.set_backends(
                [
                    Backend(
                        e.instance,
                        e.service,
                        e.host,
                        e.port,
                        e.zone,
                        self._node.region_by_zone.get(e.zone, ""),
                        e.slots,
                        e.draining,
                        e.cold_until,
                    )
                    for e in hub.backends.values()
                ]
            )
        if (version := (hub.gateways.epoch, hub.gateways.number)) != self._gateways:
            self._gateways = version
            entries = [g for g in hub.gateways.values() if g.frontend]
            self._quota.set_gateways(self._node.name, entries)
            self._data.set_gateways(self._node.name, entries)
        self._quota.set_membership(hub.membership)
        self._quota.set_holders(hub.holders)
        ready = self._config.version >= 0 and self._backends[1] > 0 and self._gateway_sync.asked_all
        if ready and not self._ready:
            self._ready = True
            self._log.info(f"ready with version {self._config.version} and {len(hub.backends)} backends")
            self._gateway_sync.say()

    def settings(self, node: NodeSettings) -> None:
        """Other seeds; the rest holds from the next start on."""
        self._gateway_sync.set_seeds(node.seed_addresses)

    async def leave(self) -> None:
        """Out of the directory, then the last answers of connections, then the listener, then the end."""
        grace, began = self._node.bounds.grace_period_ms, now()
        self._leaving = True
        self._gateway_sync.say()
        self._data.leave()
        await self._quota.leave()
        await asyncio.sleep(grace * LISTEN_SHARE / 1000)
        self._data.close_listener()
        await self._data.drained(began + grace * FINISH_SHARE)
        self._gateway_sync.stop()
        self._links.close()


if __name__ == "__main__":
    main(GatewayProgram)
