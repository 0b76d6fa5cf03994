"""TCP between simulated machines: bytes in order, held back by a partition and delivered after it, resets, time-outs.

Each machine's kernel acknowledges what reaches it, whether its process runs or is paused. Bytes that are not
acknowledged in time end the connection at the sender, although they may have arrived (a one-way partition). Delays are
drawn for each link by itself, so that one message more elsewhere changes nothing here. Times are virtual seconds.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from hallhitch.lab.simulation.process_loop import ProcessLoop
from hallhitch.lab.simulation.transport import Segment, SimulatedTransport
from hallhitch.messages.connection import ACKNOWLEDGEMENT_TIMEOUT_MS

ACKNOWLEDGEMENT_TIMEOUT_S: Final = ACKNOWLEDGEMENT_TIMEOUT_MS / 1000  # the connections set it as a socket option
SYN_RETRY_S: Final = 1.0  # the first retry of Linux; later ones are not spread out further here
Partition = Callable[[str, str], bool]  # whether nothing gets from this host to that one
ProtocolFactory = Callable[[], Any]


@dataclass(order=True, slots=True)
class _Event:
    at_s: float
    number: int
    action: Callable[[], None] = field(compare=False)


class Listener:
    """A listening socket, as `create_server` returns it."""

    def __init__(self, network: Network, loop: ProcessLoop, port: int, factory: ProtocolFactory) -> None:
        self.loop = loop
        self.factory = factory
        self._network = network
        self._port = port

    def close(self) -> None:
        """Accept no more connections."""
        if self._network.listeners.get((self.loop.host, self._port)) is self:
            del self._network.listeners[self.loop.host, self._port]


class Network:
    """All links, connections and events of kernels. `link_delay_ms` is the mean delay of a link, one way."""

    def __init__(self, seed: int, link_delay_ms: float) -> None:
        self.now_s = 0.0
        self.transports: set[SimulatedTransport] = set()
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.unpowered_hosts: set[str] = set()
        self.redirects: dict[tuple[str, str], str] = {}  # (source, target) -> the host that is reached instead
        self.extra_delay_s: dict[str, float] = {}  # by host, on each of its links
        self._partitions: list[Partition] = []
        self._seed = seed
        self._link_delay_ms = link_delay_ms
        self._link_rngs: dict[tuple[str, str], random.Random] = {}
        self._events: list[_Event] = []
        self._event_count = 0

    # --- Events.

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        """Run an action at a virtual second; those of one moment run in the order in which they were added."""
        self._event_count += 1
        heapq.heappush(self._events, _Event(max(at_s, self.now_s), self._event_count, action))

    def next_event_at_s(self) -> float:
        """Return when the next event is; infinite where there is none."""
        return self._events[0].at_s if self._events else float("inf")

    def run_next_event(self) -> None:
        """Run the next event."""
        heapq.heappop(self._events).action()

    # --- Links.

    def draw_delay_s(self, source: str, target: str) -> float:
        """Draw the delay of the next packet from one host to another."""
        rng = self._link_rngs.get((source, target))
        if rng is None:
            rng = self._link_rngs[source, target] = random.Random(f"{self._seed} {source} {target}")
        delay_s = rng.uniform(0.5, 1.5) * self._link_delay_ms / 1000
        return delay_s + self.extra_delay_s.get(source, 0.0) + self.extra_delay_s.get(target, 0.0)

    def is_blocked(self, source: str, target: str) -> bool:
        """Whether a partition keeps packets from getting from one host to another."""
        return any(blocks(source, target) for blocks in self._partitions)

    def add_partition(self, partition: Partition) -> None:
        """Begin a partition."""
        self._partitions.append(partition)

    def heal_partition(self, partition: Partition) -> None:
        """End a partition: what it held back is sent."""
        self._partitions.remove(partition)
        for transport in self._ordered_transports():
            if not transport.held_segments or transport.peer is None:
                continue
            if self.is_blocked(transport.loop.host, transport.peer.loop.host):
                continue
            segments, transport.held_segments = transport.held_segments, []
            for segment in segments:
                self._dispatch(transport, segment)

    def _ordered_transports(self) -> Iterator[SimulatedTransport]:
        return iter(sorted(self.transports, key=lambda transport: (transport.loop.host, transport.peer_name)))

    # --- Connections.

    def listen(self, loop: ProcessLoop, port: int, factory: ProtocolFactory) -> Listener:
        """Accept connections on a port of the process's machine."""
        listener = self.listeners[loop.host, port] = Listener(self, loop, port, factory)
        return listener

    async def connect(self, loop: ProcessLoop, host: str, port: int, factory: ProtocolFactory) -> tuple[Any, Any]:
        """Establish a connection as a kernel does, retrying the SYN for ever.

        Raises:
            ConnectionRefusedError: Nobody listens there.
            ConnectionResetError: The process ended while the connection was accepted.
        """
        requested_host, host = host, self.redirects.get((loop.host, host), host)
        listener = await self._handshake(loop, host, port)
        near = SimulatedTransport(self, loop, f"{requested_host}:{port}")
        far = SimulatedTransport(self, listener.loop, loop.host)
        near.peer, far.peer = far, near
        near.protocol = factory()
        if listener.loop.has_ended:
            near.lose_connection(None)
            raise ConnectionResetError(f"{host}:{port} has just ended")

        def accept() -> None:
            far.protocol = listener.factory()
            far.protocol.connection_made(far)

        listener.loop.call_soon(accept)
        near.protocol.connection_made(near)
        return near, near.protocol

    async def _handshake(self, loop: ProcessLoop, host: str, port: int) -> Listener:
        """Wait until packets get through both ways, and return who listens there."""
        while True:
            await asyncio.sleep(self.draw_delay_s(loop.host, host))
            is_reachable = (
                host not in self.unpowered_hosts
                and not self.is_blocked(loop.host, host)
                and not self.is_blocked(host, loop.host)
            )
            if is_reachable:
                listener = self.listeners.get((host, port))
                await asyncio.sleep(self.draw_delay_s(host, loop.host))
                if listener is None:
                    raise ConnectionRefusedError(f"nobody listens at {host}:{port}")
                return listener
            await asyncio.sleep(SYN_RETRY_S)

    def send(self, transport: SimulatedTransport, data: bytes | None) -> None:
        """Send bytes, or the end of the connection, to the peer."""
        self._dispatch(transport, Segment(data, self.now_s))

    def _dispatch(self, transport: SimulatedTransport, segment: Segment) -> None:
        """Put a segment on its way; it arrives after those that were sent before."""
        assert transport.peer is not None
        arrival_s = self.now_s + self.draw_delay_s(transport.loop.host, transport.peer.loop.host)
        transport.last_arrival_s = max(transport.last_arrival_s, arrival_s)
        self.call_at(transport.last_arrival_s, lambda: self._arrive(transport, segment))

    def _arrive(self, transport: SimulatedTransport, segment: Segment) -> None:
        peer = transport.peer
        assert peer is not None
        source, target = transport.loop.host, peer.loop.host
        if transport.held_segments or self.is_blocked(source, target):
            transport.held_segments.append(segment)
            self._watch_acknowledgement(transport, segment)
        elif target in self.unpowered_hosts:
            self._watch_acknowledgement(transport, segment)
        elif peer.loop.has_ended:
            reset = ConnectionResetError("the peer's process has ended")
            self.call_at(self.now_s + self.draw_delay_s(target, source), lambda: transport.lose_connection(reset))
        else:
            peer.receive(segment)
            segment.is_acknowledged = not self.is_blocked(target, source)
            if not segment.is_acknowledged:
                self._watch_acknowledgement(transport, segment)

    def _watch_acknowledgement(self, transport: SimulatedTransport, segment: Segment) -> None:
        """End the connection where the segment is not acknowledged in time."""
        peer = transport.peer
        assert peer is not None

        def check() -> None:
            has_arrived = segment not in transport.held_segments and peer.loop.host not in self.unpowered_hosts
            is_confirmed = has_arrived and not self.is_blocked(peer.loop.host, transport.loop.host)
            if segment.is_acknowledged or is_confirmed:
                return
            transport.held_segments.clear()
            transport.lose_connection(TimeoutError("no acknowledgement"))

        self.call_at(segment.written_at_s + ACKNOWLEDGEMENT_TIMEOUT_S, check)

    def close_process(self, loop: ProcessLoop, has_power: bool) -> None:
        """Close all sockets of a process that ended; its machine tells the peers, unless it lost power as well."""
        for key in [key for key, listener in self.listeners.items() if listener.loop is loop]:
            del self.listeners[key]
        for transport in [transport for transport in self._ordered_transports() if transport.loop is loop]:
            if has_power and not transport.is_closed:
                self.send(transport, None)
            transport.is_closed = transport.is_lost = True
            self.transports.discard(transport)
