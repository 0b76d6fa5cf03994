"""TCP between simulated machines: bytes in order, held back by a cut and delivered after it, resets, silence.

Each machine's kernel acknowledges what reaches it, whether its process runs or stands still. Bytes that are not
acknowledged for `UNHEARD` end the connection at the sender, although they may have arrived (a one-way cut). The ways'
times are drawn for each way by itself, so that one message more elsewhere changes nothing here.
"""

from __future__ import annotations

import asyncio
import heapq
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from hallhitch.lab.simulation.process_loop import ProcessLoop

UNHEARD = 2.5  # s without an acknowledgement after which a kernel gives a connection up (messages.connection)
SYN_AGAIN = 1.0  # s between tries of a kernel to connect
Blocks = Callable[[str, str], bool]  # whether nothing gets from this host to that one


@dataclass(order=True, slots=True)
class _Event:
    at: float
    number: int
    act: Callable[[], None] = field(compare=False)


class _Segment:
    """Bytes under way, or the end of a connection (None)."""

    __slots__ = ("data", "written", "acknowledged")

    def __init__(self, data: bytes | None, written: float) -> None:
        self.data, self.written, self.acknowledged = data, written, False


class Endpoint(asyncio.Transport):
    """One end of a connection, as its process sees it."""

    def __init__(self, network: Network, loop: ProcessLoop, address: str) -> None:
        super().__init__()
        self.network, self.loop, self.address = network, loop, address
        self.protocol: Any = None
        self.other: Endpoint | None = None
        self.closing = self.lost = self.told_end = False
        self.arrives = 0.0  # s, when the newest segment towards the other end arrives
        self.held: list[_Segment] = []  # reached a cut on the way to the other end
        network.endpoints.add(self)

    # --- asyncio's side.

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Only the peer's name is known."""
        return self.address if name == "peername" else default

    def is_closing(self) -> bool:
        """Whether nothing may be written any more."""
        return self.closing

    def get_write_buffer_size(self) -> int:
        """All is handed to the kernel at once."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """There is no bound."""

    def write(self, data: Any) -> None:
        """Hand bytes to the kernel."""
        if not self.closing and not self.loop.ended:
            self.network.send(self, bytes(data))

    def close(self) -> None:
        """The other side reads what was written, then the end."""
        self.abort()

    def abort(self) -> None:
        """End it; what was written is on its way."""
        if not self.closing and not self.loop.ended:
            self.network.send(self, None)
            self.lose(None)

    # --- The kernel's side.

    def lose(self, error: Exception | None) -> None:
        """The connection has ended at this end."""
        if self.lost:
            return
        self.closing = self.lost = True
        self.network.endpoints.discard(self)
        if not self.loop.ended:
            self.loop.call_soon(self._tell_end, error)

    def _tell_end(self, error: Exception | None) -> None:
        self.told_end = True
        self.protocol.connection_lost(error)

    def receive(self, segment: _Segment) -> None:
        """Something has reached this machine."""
        if segment.data is None:
            self.lose(None)
        elif not self.loop.ended:
            self.loop.call_soon(self._read, segment.data)

    def _read(self, data: bytes) -> None:
        if not self.told_end:  # what came before the end is read before it
            self.protocol.data_received(data)


class _Listener:
    """What create_server gives back."""

    def __init__(self, network: Network, loop: ProcessLoop, port: int, factory: Callable[[], Any]) -> None:
        self.network, self.loop, self.port, self.factory = network, loop, port, factory

    def close(self) -> None:
        """Take no more connections."""
        if self.network.listeners.get((self.loop.host, self.port)) is self:
            del self.network.listeners[self.loop.host, self.port]


class Network:
    """All ways, connections and the events of kernels. `delay` is the usual time of a way in ms."""

    def __init__(self, seed: int, delay: float) -> None:
        self.now, self._seed, self._delay = 0.0, seed, delay
        self._events: list[_Event] = []
        self._number = 0
        self.endpoints: set[Endpoint] = set()
        self.listeners: dict[tuple[str, int], _Listener] = {}
        self.down: set[str] = set()  # hosts without power
        self.cuts: list[Blocks] = []
        self.moved: dict[tuple[str, str], str] = {}  # (from, to) -> who is reached there now in place of it
        self.slow: dict[str, float] = {}  # host -> s more on each of its ways
        self._times: dict[tuple[str, str], random.Random] = {}

    # --- Events.

    def at(self, seconds: float, act: Callable[[], None]) -> None:
        """Do something at a virtual second."""
        self._number += 1
        heapq.heappush(self._events, _Event(max(seconds, self.now), self._number, act))

    def due(self) -> float:
        """When the next event is."""
        return self._events[0].at if self._events else float("inf")

    def step(self) -> None:
        """The next event."""
        heapq.heappop(self._events).act()

    # --- Ways.

    def way(self, source: str, target: str) -> float:
        """The seconds that bytes take."""
        times = self._times.get((source, target))
        if times is None:
            times = self._times[source, target] = random.Random(f"{self._seed} {source} {target}")
        return times.uniform(0.5, 1.5) * self._delay / 1000 + self.slow.get(source, 0.0) + self.slow.get(target, 0.0)

    def blocked(self, source: str, target: str) -> bool:
        """Whether a cut lies on the way."""
        return any(cut(source, target) for cut in self.cuts)

    def cut(self, blocks: Blocks) -> None:
        """Begin a cut."""
        self.cuts.append(blocks)

    def join(self, blocks: Blocks) -> None:
        """End a cut: what it held back goes on."""
        self.cuts.remove(blocks)
        for end in self._ordered():
            if end.held and end.other is not None and not self.blocked(end.loop.host, end.other.loop.host):
                held, end.held = end.held, []
                for segment in held:
                    self._dispatch(end, segment)

    def _ordered(self) -> Iterator[Endpoint]:
        return iter(sorted(self.endpoints, key=lambda end: (end.loop.host, end.address)))

    # --- Connections.

    def listen(self, loop: ProcessLoop, port: int, factory: Callable[[], Any]) -> _Listener:
        """Take connections on a port of the process's machine."""
        listener = self.listeners[loop.host, port] = _Listener(self, loop, port, factory)
        return listener

    async def connect(self, loop: ProcessLoop, host: str, port: int, factory: Callable[[], Any]) -> tuple[Any, Any]:
        """A new connection, as a kernel makes it."""
        named, host = host, self.moved.get((loop.host, host), host)
        while True:
            await asyncio.sleep(self.way(loop.host, host))
            if host not in self.down and not self.blocked(loop.host, host) and not self.blocked(host, loop.host):
                listener = self.listeners.get((host, port))
                await asyncio.sleep(self.way(host, loop.host))
                if listener is None:
                    raise ConnectionRefusedError(f"nobody listens at {host}:{port}")
                break
            await asyncio.sleep(SYN_AGAIN)
        near, far = Endpoint(self, loop, f"{named}:{port}"), Endpoint(self, listener.loop, loop.host)
        near.other, far.other = far, near
        near.protocol = factory()
        if listener.loop.ended:
            near.lose(None)
            raise ConnectionResetError(f"{host}:{port} has just ended")

        def accept() -> None:
            far.protocol = listener.factory()
            far.protocol.connection_made(far)

        listener.loop.call_soon(accept)
        near.protocol.connection_made(near)
        return near, near.protocol

    def send(self, end: Endpoint, data: bytes | None) -> None:
        """Bytes, or the end of the connection, towards the other side."""
        self._dispatch(end, _Segment(data, self.now))

    def _dispatch(self, end: Endpoint, segment: _Segment) -> None:
        assert end.other is not None
        end.arrives = max(end.arrives, self.now + self.way(end.loop.host, end.other.loop.host))
        self.at(end.arrives, lambda: self._arrive(end, segment))

    def _arrive(self, end: Endpoint, segment: _Segment) -> None:
        other = end.other
        assert other is not None
        source, target = end.loop.host, other.loop.host
        if end.held or self.blocked(source, target):
            end.held.append(segment)
            self._watch(end, segment)
        elif target in self.down:
            self._watch(end, segment)
        elif other.loop.ended:
            self.at(
                self.now + self.way(target, source), lambda: end.lose(ConnectionResetError("the other end is gone"))
            )
        else:
            other.receive(segment)
            segment.acknowledged = not self.blocked(target, source)
            if not segment.acknowledged:
                self._watch(end, segment)

    def _watch(self, end: Endpoint, segment: _Segment) -> None:
        """Give the connection up where this is not acknowledged in time."""

        def look() -> None:
            assert end.other is not None
            arrived = segment not in end.held and end.other.loop.host not in self.down
            if segment.acknowledged or (arrived and not self.blocked(end.other.loop.host, end.loop.host)):
                return
            end.held.clear()
            end.lose(TimeoutError("no acknowledgement"))

        self.at(segment.written + UNHEARD, look)

    def process_ended(self, loop: ProcessLoop, power: bool) -> None:
        """A process is gone: its machine says so to the others, unless it has gone as well."""
        for key in [key for key, listener in self.listeners.items() if listener.loop is loop]:
            del self.listeners[key]
        for end in [end for end in self._ordered() if end.loop is loop]:
            if not power and not end.closing:
                self.send(end, None)
            end.closing = end.lost = True
            self.endpoints.discard(end)
