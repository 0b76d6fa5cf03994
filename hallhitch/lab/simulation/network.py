"""Simulated TCP between machines: ordered delivery, partitions, resets and time-outs.

A partition holds bytes back, and they are delivered once it heals. The kernel of each machine acknowledges the bytes
that reach it, whether its process is running or paused. If bytes are not acknowledged in time, the sender's end of the
connection fails, although the bytes may have arrived (after a one-way partition). Each link draws its delays from a
generator of its own, so that an additional message on one link does not change the delays of others. Times are virtual
seconds.
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

ACKNOWLEDGEMENT_TIMEOUT_S: Final = ACKNOWLEDGEMENT_TIMEOUT_MS / 1000  # `messages.connection` sets it as a socket option
SYN_RETRY_S: Final = 1.0  # the first retry interval of Linux; unlike Linux, all later retries use it too
Partition = Callable[[str, str], bool]  # (source, target) -> whether packets on this link are blocked
ProtocolFactory = Callable[[], Any]


@dataclass(order=True, slots=True)
class _Event:
    at_s: float
    sequence_number: int
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
    """All links, connections and scheduled events. `link_delay_ms` is the mean one-way delay of a link."""

    def __init__(self, seed: int, link_delay_ms: float) -> None:
        self.now_s = 0.0
        self.transports: set[SimulatedTransport] = set()
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.unpowered_hosts: set[str] = set()
        self.redirects: dict[tuple[str, str], str] = {}  # (source, target) -> the host that is connected instead
        self.extra_delay_s: dict[str, float] = {}  # by host; added on each of its links
        self._partitions: list[Partition] = []
        self._seed = seed
        self._link_delay_ms = link_delay_ms
        self._link_rngs: dict[tuple[str, str], random.Random] = {}
        self._events: list[_Event] = []
        self._event_count = 0

    # --- Events.

    def call_at(self, at_s: float, action: Callable[[], None]) -> None:
        """Run an action at a virtual time. Actions of the same time run in the order in which they were added."""
        self._event_count += 1
        heapq.heappush(self._events, _Event(max(at_s, self.now_s), self._event_count, action))

    def next_event_at_s(self) -> float:
        """Return the time of the next event, or infinity if there is none."""
        return self._events[0].at_s if self._events else float("inf")

    def run_next_event(self) -> None:
        """Run the next event."""
        heapq.heappop(self._events).action()

    # --- Links.

    def draw_delay_s(self, source: str, target: str) -> float:
        """Draw the delay of the next packet from one host to another, in seconds."""
        rng = self._link_rngs.get((source, target))
        if rng is None:
            rng = self._link_rngs[source, target] = random.Random(f"{self._seed} {source} {target}")
        delay_s = rng.uniform(0.5, 1.5) * self._link_delay_ms / 1000
        return delay_s + self.extra_delay_s.get(source, 0.0) + self.extra_delay_s.get(target, 0.0)

    def is_blocked(self, source: str, target: str) -> bool:
        """Whether a partition blocks packets from one host to another."""
        return any(blocks(source, target) for blocks in self._partitions)

    def add_partition(self, partition: Partition) -> None:
        """Start a partition."""
        self._partitions.append(partition)

    def heal_partition(self, partition: Partition) -> None:
        """End a partition and send the segments that it held back, unless another partition still blocks them."""
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
        """Establish a connection as a kernel does, but retry the SYN without limit.

        Raises:
            ConnectionRefusedError: No process listens on that port.
            ConnectionResetError: The listening process ended during the handshake.
        """
        requested_host, host = host, self.redirects.get((loop.host, host), host)
        listener = await self._handshake(loop, host, port)
        client_end = SimulatedTransport(self, loop, f"{requested_host}:{port}")
        server_end = SimulatedTransport(self, listener.loop, loop.host)
        client_end.peer, server_end.peer = server_end, client_end
        client_end.protocol = factory()
        if listener.loop.has_ended:
            client_end.lose_connection(None)
            raise ConnectionResetError(f"{host}:{port} closed the connection during the handshake: its process ended")

        def accept() -> None:
            server_end.protocol = listener.factory()
            server_end.protocol.connection_made(server_end)

        listener.loop.call_soon(accept)
        client_end.protocol.connection_made(client_end)
        return client_end, client_end.protocol

    async def _handshake(self, loop: ProcessLoop, host: str, port: int) -> Listener:
        """Wait until packets pass in both directions, and return the listener on the port."""
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
                    raise ConnectionRefusedError(f"no process listens at {host}:{port}")
                return listener
            await asyncio.sleep(SYN_RETRY_S)

    def send(self, transport: SimulatedTransport, data: bytes | None) -> None:
        """Send bytes to the peer, or the close of the connection if `data` is None."""
        self._dispatch(transport, Segment(data, self.now_s))

    def _dispatch(self, transport: SimulatedTransport, segment: Segment) -> None:
        """Schedule the arrival of a segment, not before the segments that were sent earlier."""
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
        """End the connection if the segment is not acknowledged in time."""
        peer = transport.peer
        assert peer is not None

        def check() -> None:
            has_arrived = segment not in transport.held_segments and peer.loop.host not in self.unpowered_hosts
            is_acknowledgeable = has_arrived and not self.is_blocked(peer.loop.host, transport.loop.host)
            if segment.is_acknowledged or is_acknowledgeable:
                return
            transport.held_segments.clear()
            transport.lose_connection(TimeoutError("the peer did not acknowledge the data in time"))

        self.call_at(segment.written_at_s + ACKNOWLEDGEMENT_TIMEOUT_S, check)

    def close_process(self, loop: ProcessLoop, has_power: bool) -> None:
        """Close all sockets of a process that ended. The kernel notifies the peers if the machine still has power."""
        for key in [key for key, listener in self.listeners.items() if listener.loop is loop]:
            del self.listeners[key]
        for transport in [transport for transport in self._ordered_transports() if transport.loop is loop]:
            if has_power and not transport.is_closed:
                self.send(transport, None)
            transport.is_closed = transport.is_lost = True
            self.transports.discard(transport)
