"""A data plane on loopback between scripted clients and scripted backends, with plain stand-ins for the decisions."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from functools import wraps
from inspect import Signature, signature
from pathlib import Path
from typing import Any

import uvloop

from hallhitch.node.clock import now
from hallhitch.node.settings import NodeSettings, RuleBounds
from hallhitch.planes.data.interfaces import (
    Action,
    Enqueue,
    Fail,
    Forward,
    LoadBalancingPolicy,
    Outcome,
    Reject,
    RequestInfo,
)
from hallhitch.planes.data.plane import DataPlane
from hallhitch.planes.values import (
    Backend,
    ClusterConfig,
    Gateway,
    QuotaDecision,
    RequestKind,
    RequestLimits,
    Route,
    Service,
    Tenant,
)

SEAL = b"Hallhitch-Response-Seal: s\r\n"
Script = Callable[["Peer"], Awaitable[None]]


def node(files: int = 1000) -> NodeSettings:
    """Settings of one gateway on loopback."""
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
        max_open_files=files,
        data_directory=Path("/"),
        cloud_api_address=None,
        cloud_api_rate_per_s=1.0,
        endpoint_list_lag_ms=0.0,
        cluster_name="",
    )


def route(kind: str = "idempotent", **more: Any) -> Route:
    """A route to the service `shop`."""
    given: dict[str, Any] = {
        "name": "r",
        "host": "shop.example",
        "prefix": "/",
        "kind": RequestKind(kind),
        "timeout_ms": 5000.0,
        "latency_target_ms": 500.0,
        "priority": 1,
        "weighted_services": (("shop", 1.0),),
        "max_attempts": 3,
        "is_public": False,
    } | more
    return Route(**given)


def word(*routes: Route, tenants: Sequence[Tenant] = (), limits: RequestLimits | None = None) -> ClusterConfig:
    """A configuration with these routes, all of one host."""
    return ClusterConfig(
        1,
        1,
        {"shop.example": tuple(routes)},
        {"shop": Service("shop", "/health", 40, 0.0, 0.0)},
        {t.name: t for t in tenants},
        {key: t for t in tenants for key in t.api_keys},
        limits or RequestLimits(),
    )


class Plain:
    """Decisions that name each backend once, in order; then what never ran is refused, and the rest fails."""

    class Once:
        """One try."""

        def __init__(self, ask: RequestInfo, entries: list[Backend]) -> None:
            self.request, self.entries, self.out, self.ran, self.finished = ask, list(entries), 0, False, False

    def __init__(self, patience: float = 60_000.0) -> None:
        self.patience, self.entries = patience, list[Backend]()
        self.told: list[tuple[str, Outcome]] = []
        self.asked: list[RequestInfo] = []

    def set_backends(self, now: float, entries: Sequence[Backend]) -> None:
        self.entries = list(entries)

    def set_gateways(self, now: float, own: str, entries: Sequence[Gateway]) -> None:
        pass

    def set_config(self, now: float, config: ClusterConfig) -> None:
        pass

    def begin_request(self, now: float, ask: RequestInfo) -> Once:
        self.asked.append(ask)
        return self.Once(ask, self.entries)

    def next_action(self, now: float, exchange: Once) -> Action:
        if exchange.entries:
            exchange.out += 1
            return Forward(exchange.entries.pop(0), self.patience)
        if exchange.out:
            return Enqueue(60_000.0)
        return Fail(502) if exchange.ran else Reject(250.0)

    def on_attempt_ended(self, now: float, exchange: Once, backend: Backend, outcome: Outcome, lag: float) -> None:
        self.told.append((backend.instance, outcome))
        if outcome is not Outcome.TIMED_OUT:
            exchange.out -= 1
        exchange.ran = exchange.ran or outcome.may_have_run

    def finish_request(self, now: float, exchange: Once) -> None:
        exchange.finished = True


class Count:
    """A counter that answers as told."""

    def __init__(self) -> None:
        self.answer, self.back, self.asked = QuotaDecision(True, refund_token=1), list[QuotaDecision](), 0

    async def admit(self, tenant: Tenant, wait: float) -> QuotaDecision:
        self.asked += 1
        return self.answer

    def refund(self, taken: QuotaDecision) -> None:
        self.back.append(taken)


class Peer:
    """One end of a connection: what was read of each message, and writing."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.id = b""

    async def head(self) -> tuple[bytes, dict[bytes, bytes]]:
        """First line and fields (lower case) of the next message; raises IncompleteReadError at the end."""
        first, *lines = (await self.reader.readuntil(b"\r\n\r\n"))[:-4].split(b"\r\n")
        fields = {name.lower(): value for name, _, value in (line.partition(b": ") for line in lines)}
        self.id = fields.get(b"hallhitch-request-id", self.id)
        return first, fields

    async def whole(self) -> tuple[bytes, dict[bytes, bytes], bytes]:
        """The next message, with its body."""
        first, fields = await self.head()
        if b"chunked" in fields.get(b"transfer-encoding", b""):
            body = b""
            while size := int((await self.reader.readuntil(b"\r\n"))[:-2], 16):
                body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readexactly(2)
            return first, fields, body
        return first, fields, await self.reader.readexactly(int(fields.get(b"content-length", b"0")))

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    def answer(self, status: int = 200, body: bytes = b"", fields: bytes = SEAL, id: bytes | None = None) -> None:
        """Write one answer, with the id of the last request."""
        self.write(
            b"HTTP/1.1 %d X\r\nHallhitch-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, self.id if id is None else id, fields, len(body), body)
        )

    def reset(self) -> None:
        """Break the connection."""
        self.writer.transport.abort()


class Asked:
    """A backend that remembers what came and does one thing after the other, the last again and again."""

    def __init__(self, *then: Callable[[Peer], None], held: bool = False) -> None:
        """`held`: it does nothing before `go` is set."""
        self.then, self.seen, self.connections = then, list[tuple[bytes, dict[bytes, bytes], bytes]](), 0
        self.come, self.go = asyncio.Event(), asyncio.Event()
        if not held:
            self.go.set()

    async def __call__(self, peer: Peer) -> None:
        self.connections += 1
        while True:
            self.seen.append(await peer.whole())
            then = self.then[min(len(self.seen), len(self.then)) - 1]
            self.come.set()
            await self.go.wait()
            then(peer)


def says(body: bytes = b"ok", status: int = 200, fields: bytes = SEAL) -> Callable[[Peer], None]:
    """What a backend does that answers so."""
    return lambda peer: peer.answer(status, body, fields)


class Rig:
    """The data plane with its stand-ins."""

    def __init__(
        self,
        patience: float = 60_000.0,
        files: int = 1000,
        decisions: LoadBalancingPolicy[Any] | None = None,
        clock: Callable[[], float] = now,
    ) -> None:
        """`decisions`: others than the plain ones."""
        self.decisions, self.count = Plain(patience), Count()
        self.plane = DataPlane(node(files), decisions or self.decisions, self.count, clock)
        self.entries: list[Backend] = []
        self._servers: list[asyncio.Server] = []
        self._peers: list[Peer] = []
        self.failures: list[BaseException] = []

    async def backend(self, name: str, script: Script) -> Backend:
        """A backend of `shop` that runs the script on each connection; its own end closes the connection."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            peer = Peer(reader, writer)
            self._peers.append(peer)
            try:
                await script(peer)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            except BaseException as error:
                self.failures.append(error)
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        entry = Backend(name, "shop", "127.0.0.1", port, "a-1", "a", 3)
        self.entries.append(entry)
        self.plane.set_backends(self.entries)
        return entry

    async def client(self) -> Peer:
        """A client's connection."""
        peer = Peer(*await asyncio.open_connection("127.0.0.1", self.plane.listener.port))
        self._peers.append(peer)
        return peer

    async def ask(self, request: bytes) -> tuple[bytes, dict[bytes, bytes], bytes]:
        """One request on a connection of its own, and its answer."""
        peer = await self.client()
        peer.write(request)
        return await peer.whole()

    async def close(self) -> None:
        self.plane.close()
        for peer in self._peers:
            peer.writer.transport.abort()
        for server in self._servers:
            server.close()


def get(path: str = "/x", id: str = "id-1", more: str = "", method: str = "GET", body: bytes = b"") -> bytes:
    """A request's bytes."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nHallhitch-Request-Id: {id}\r\n{length}{more}\r\n"
    ).encode() + body


def rigged(**given: Any) -> Callable[[Callable[..., Coroutine[Any, Any, None]]], Callable[..., None]]:
    """Run a test on a loop of its own, with a rig that has a word of one idempotent route."""

    def wrap(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
        async def whole(**arguments: Any) -> None:
            rig = Rig(**given)
            rig.plane.set_config(word(route()))
            await rig.plane.start()
            try:
                async with asyncio.timeout(20):
                    await test(rig, **arguments)
            finally:
                await rig.close()
            assert not rig.failures, rig.failures

        @wraps(test)
        def plain(**arguments: Any) -> None:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                runner.run(whole(**arguments))

        _, *others = signature(test).parameters.values()
        plain.__signature__ = Signature(others)  # type: ignore[attr-defined]
        return plain

    return wrap
