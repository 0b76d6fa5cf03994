"""A gateway program that shuts down between scripted clients and a backend, on loopback sockets in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Final

from hallhitch.messages.inbound_link import CallHandler
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.errors import RequestNotSent
from hallhitch.node.settings import RuleBounds
from hallhitch.planes.values import Backend, RequestKind
from hallhitch.programs.gateway import GatewayProgram
from hallhitch.programs.runtime import Runtime
from tests.system.data.data_plane_harness import make_config, make_node_settings, make_route
from tests.system.data.scripted_peers import Peer, encode_request
from tests.system.data.stub_policies import EachBackendOncePolicy, NeverAvailablePolicy
from tests.system.data.virtual_time_loop import VirtualTimeLoop

ROUTE_TIMEOUT_MS: Final = 4000.0
# The operators' rule LOST excuses a cut only for a request that was sent no later than this after SIGTERM, and only
# while its backend is still at work in the last sixth of the grace period.
EXCUSED_IF_SENT_UNTIL_MS: Final = 3000.0
LAST_SIXTH_RATIO: Final = 5 / 6
LOSS_SLACK_MS: Final = 200.0


class UnreachablePeers:
    """Links of a gateway that reaches no other process."""

    def __init__(self, cluster: str, address: str, incarnation: int, handler: CallHandler) -> None:
        """Take the arguments of `runtime.Connect`."""

    async def serve(self, address: str) -> None:
        """Accept no calls."""

    async def call(self, address: str, envelope: Envelope, timeout_ms: float) -> Envelope:
        """Fail."""
        raise RequestNotSent("connect", address, "unreachable")

    def close(self) -> None:
        """Do nothing, as there are no connections."""


@dataclass
class SentRequest:
    """One request and what became of it; times are in ms after SIGTERM."""

    id: str
    sent_at_ms: float = 0.0  # its last byte
    ended_at_ms: float = 0.0
    status: int = 0  # 0: the connection ended without a complete reply
    reached_backend: bool = False
    is_backend_at_work: bool = False  # when the request ended

    def is_lost(self, grace_period_ms: float) -> bool:
        """Return whether the rule LOST counts the request."""
        if self.status or self.ended_at_ms - self.sent_at_ms >= ROUTE_TIMEOUT_MS:
            return False
        if not self.reached_backend:
            return self.ended_at_ms - self.sent_at_ms > LOSS_SLACK_MS
        is_excused = (
            self.sent_at_ms <= EXCUSED_IF_SENT_UNTIL_MS
            and self.is_backend_at_work
            and self.ended_at_ms >= LAST_SIXTH_RATIO * grace_period_ms
        )
        return not is_excused


class ShutdownScene:
    """A gateway program with one backend that works `work_ms` on each request."""

    def __init__(self, loop: VirtualTimeLoop, grace_period_ms: float, work_ms: float) -> None:
        self.grace_period_ms = grace_period_ms
        self.work_ms = work_ms
        self.requests: list[SentRequest] = []
        self.arrived: set[str] = set()
        self.at_work: set[str] = set()
        self.completed: set[str] = set()  # requests whose connection stayed open until the backend was done
        self._loop = loop
        self._terminated_at_ms = 0.0
        node = replace(make_node_settings(), bounds=RuleBounds(grace_period_ms=grace_period_ms))
        runtime = Runtime(clock=loop.clock, random=random.Random(1), connect=UnreachablePeers)
        self.program = GatewayProgram(node, runtime)
        self._data = self.program._data
        # Selects the backend however long it works.
        self._data.context.load_balancer = self._data._load_balancer = EachBackendOncePolicy()
        self._peers: list[Peer] = []
        self._servers: list[asyncio.Server] = []

    async def start(self) -> None:
        """Start the backend and the data plane of the program."""
        server = await asyncio.start_server(self._serve_backend, "127.0.0.1", 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        route = make_route(RequestKind.NON_IDEMPOTENT.value, timeout_ms=ROUTE_TIMEOUT_MS)
        self._data.set_config(make_config(route))
        self._data.set_backends([Backend("b-1", "shop", "127.0.0.1", port, "a-1", "a", 3)])
        await self._data.start()

    def offer_no_backend(self) -> None:
        """Make all further requests wait for capacity."""
        self._data.context.load_balancer = self._data._load_balancer = NeverAvailablePolicy()

    async def wait_until_handling(self) -> None:
        """Wait until the gateway handles a request."""
        while not self._data.listener.request_tasks:
            await asyncio.sleep(0)

    async def wait_until_at_work(self) -> None:
        """Wait until the backend works on a request."""
        while not self.at_work:
            await asyncio.sleep(0)

    async def terminate(self) -> asyncio.Task[None]:
        """Begin the shutdown, as SIGTERM does; the process exits when the returned task is done."""
        self._terminated_at_ms = self._loop.clock()
        return asyncio.create_task(self._shut_down_and_exit())

    async def _shut_down_and_exit(self) -> None:
        await self.program.shut_down()
        self.close_program()

    def close_program(self) -> None:
        """Close what the exit of a process closes."""
        self._data.close()
        for task in list(self._data.listener.request_tasks):
            task.cancel()

    async def close(self) -> None:
        """Close the program, the clients and the backend."""
        self.close_program()
        for peer in self._peers:
            peer.writer.transport.abort()
        for server in self._servers:
            server.close()

    async def _serve_backend(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        self._peers.append(peer)
        try:
            while True:
                message = await peer.read_message()
                request_id = message.fields[b"hallhitch-request-id"].decode()
                self.arrived.add(request_id)
                self.at_work.add(request_id)
                await asyncio.sleep(self.work_ms / 1000)
                self.at_work.discard(request_id)
                if not reader.at_eof():
                    self.completed.add(request_id)
                peer.respond(200, b"done")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    # Clients.

    def since_sigterm_ms(self) -> float:
        """Return the time since SIGTERM."""
        return self._loop.clock() - self._terminated_at_ms

    async def sleep_until(self, since_sigterm_ms: float) -> None:
        """Wait until some time after SIGTERM."""
        await asyncio.sleep(max(0.0, since_sigterm_ms - self.since_sigterm_ms()) / 1000)

    async def connect(self) -> Peer | None:
        """Open a client connection; None if it is refused."""
        try:
            peer = Peer(*await asyncio.open_connection("127.0.0.1", self._data.listener.port))
        except OSError:
            return None
        self._peers.append(peer)
        return peer

    async def connect_kept(self) -> Peer:
        """Open a client connection and have a request answered on it."""
        peer = await self.connect()
        assert peer is not None
        work_ms, self.work_ms = self.work_ms, 1.0
        peer.write(encode_request(request_id=f"first-{len(self._peers)}", method="POST", body=b"x"))
        assert (await peer.read_message()).status == 200
        self.work_ms = work_ms
        return peer

    def begin_request(self) -> SentRequest:
        """Return a new request."""
        request = SentRequest(f"id-{len(self.requests)}")
        self.requests.append(request)
        return request

    async def finish_request(self, request: SentRequest, read_reply: Callable[[], Awaitable[int]]) -> None:
        """Record how a request that was sent ends."""
        try:
            request.status = await read_reply()
        except (asyncio.IncompleteReadError, ConnectionError):
            request.status = 0
        request.ended_at_ms = self.since_sigterm_ms()
        request.reached_backend = request.id in self.arrived
        request.is_backend_at_work = request.id in self.at_work

    async def exchange(self, peer: Peer, at_ms: float, body_gap_ms: float = 0.0, field_lines: str = "") -> SentRequest:
        """Send a request some time after SIGTERM, the last byte of its body `body_gap_ms` later, and await its end."""
        await self.sleep_until(at_ms)
        request = self.begin_request()
        encoded = encode_request("/x", request.id, field_lines, "POST", b"x" * 300)
        peer.write(encoded[:-1])
        await asyncio.sleep(body_gap_ms / 1000)
        peer.write(encoded[-1:])
        request.sent_at_ms = self.since_sigterm_ms()
        await self.finish_request(request, lambda: _read_status(peer))
        return request


async def _read_status(peer: Peer) -> int:
    return (await peer.read_message()).status


def run_shutdown(
    scenario: Callable[[ShutdownScene], Awaitable[None]], grace_period_ms: float = 6000.0, work_ms: float = 3800.0
) -> None:
    """Run a scenario with a gateway program on its own loop in virtual time."""
    loop = VirtualTimeLoop()

    async def body() -> None:
        scene = ShutdownScene(loop, grace_period_ms, work_ms)
        await scene.start()
        try:
            await scenario(scene)
        finally:
            await scene.close()

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(body())
