"""A data plane on loopback between scripted clients and backends, with a stub policy and a stub quota counter."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from functools import wraps
from inspect import Signature, signature
from pathlib import Path
from typing import Any

import uvloop

from hallhitch.node.clock import now
from hallhitch.node.settings import NodeSettings, RuleBounds
from hallhitch.planes.data.interfaces import LoadBalancingPolicy
from hallhitch.planes.data.plane import DataPlane
from hallhitch.planes.values import (
    Backend,
    ClusterConfig,
    RequestKind,
    RequestLimits,
    Route,
    Service,
    Tenant,
    WeightedService,
)
from tests.system.data.scripted_peers import Peer, ReceivedMessage, Script
from tests.system.data.stub_policies import LONG_WAIT_MS, EachBackendOncePolicy, StubQuotaCounter

TEST_TIMEOUT_S = 20


def make_node_settings(max_open_files: int = 1000) -> NodeSettings:
    """Return the node settings of a gateway on loopback."""
    return NodeSettings(
        name="edge-1",
        role="gateway",
        machine_class="edge",
        serves=frozenset(("edge",)),
        ip_address="127.0.0.1",
        zone="a-1",
        region="a",
        internal_port_range=(0, 0),
        seed_nodes=(),
        is_first_start=True,
        region_by_zone={"a-1": "a"},
        listen_addresses={"frontend": ("127.0.0.1", 0)},
        bounds=RuleBounds(),
        tolerated_machine_losses=0,
        memory_mb=64,
        max_open_files=max_open_files,
        data_directory=Path("/"),
        cloud_api_address=None,
        cloud_api_rate_per_s=1.0,
        endpoint_list_lag_ms=0.0,
        cluster_name="",
    )


def make_route(kind: str = "idempotent", **overrides: Any) -> Route:
    """Return a route to the service `shop`."""
    values: dict[str, Any] = {
        "name": "r",
        "host": "shop.example",
        "prefix": "/",
        "kind": RequestKind(kind),
        "timeout_ms": 5000.0,
        "latency_target_ms": 500.0,
        "priority": 1,
        "weighted_services": (WeightedService("shop", 1.0),),
        "max_attempts": 3,
        "is_public": False,
    } | overrides
    return Route(**values)


def make_config(*routes: Route, tenants: Sequence[Tenant] = (), limits: RequestLimits | None = None) -> ClusterConfig:
    """Return a configuration with these routes, all for the host shop.example."""
    return ClusterConfig(
        1,
        1,
        {"shop.example": tuple(routes)},
        {"shop": Service("shop", "/health", 40, 0.0, 0.0)},
        {tenant.name: tenant for tenant in tenants},
        {key: tenant for tenant in tenants for key in tenant.api_keys},
        limits or RequestLimits(),
    )


class DataPlaneHarness:
    """A data plane with its stubs, and the clients and backends that are connected to it."""

    def __init__(
        self,
        hedge_delay_ms: float = LONG_WAIT_MS,
        load_balancer: LoadBalancingPolicy[Any] | None = None,
        clock: Callable[[], float] = now,
    ) -> None:
        """`load_balancer` replaces `policy`, which selects each backend once."""
        self.policy = EachBackendOncePolicy(hedge_delay_ms)
        self.quota_counter = StubQuotaCounter()
        self.plane = DataPlane(make_node_settings(), load_balancer or self.policy, self.quota_counter, clock)
        self.backends: list[Backend] = []
        self.servers: list[asyncio.Server] = []
        self.script_errors: list[BaseException] = []
        self._peers: list[Peer] = []

    async def start_backend(self, name: str, script: Script) -> Backend:
        """Start a backend of `shop` that runs the script on each connection and closes it when the script returns."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            peer = Peer(reader, writer)
            self._peers.append(peer)
            try:
                await script(peer)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            except BaseException as error:  # noqa: BLE001  recorded: the test fails when it ends
                self.script_errors.append(error)
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        port = server.sockets[0].getsockname()[1]
        backend = Backend(name, "shop", "127.0.0.1", port, "a-1", "a", 3)
        self.backends.append(backend)
        self.plane.set_backends(self.backends)
        return backend

    async def connect_client(self) -> Peer:
        """Open a client connection."""
        peer = Peer(*await asyncio.open_connection("127.0.0.1", self.plane.listener.port))
        self._peers.append(peer)
        return peer

    async def send(self, request: bytes) -> ReceivedMessage:
        """Send one request on a new connection and return the reply."""
        client = await self.connect_client()
        client.write(request)
        return await client.read_message()

    async def close(self) -> None:
        """Close the data plane and all peers."""
        self.plane.close()
        for peer in self._peers:
            peer.writer.transport.abort()
        for server in self.servers:
            server.close()


def with_data_plane(**arguments: Any) -> Callable[[Callable[..., Coroutine[Any, Any, None]]], Callable[..., None]]:
    """Run a test on a new event loop, with a harness whose configuration has one idempotent route."""

    def decorate(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
        async def run_in_harness(**parameters: Any) -> None:
            harness = DataPlaneHarness(**arguments)
            harness.plane.set_config(make_config(make_route()))
            await harness.plane.start()
            try:
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    await test(harness, **parameters)
            finally:
                await harness.close()
            assert not harness.script_errors, harness.script_errors

        @wraps(test)
        def run(**parameters: Any) -> None:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(run_in_harness(**parameters))

        # pytest passes parameters by name; the first one, the harness, is not a pytest parameter.
        _, *parameters = signature(test).parameters.values()
        run.__signature__ = Signature(parameters)  # type: ignore[attr-defined]
        return run

    return decorate
