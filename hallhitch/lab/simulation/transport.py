"""One end of a simulated TCP connection, as asyncio and its machine's kernel see it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hallhitch.lab.simulation.network import Network
    from hallhitch.lab.simulation.process_loop import ProcessLoop


class Segment:
    """Bytes in flight, or the end of a connection (`data` is None)."""

    __slots__ = ("data", "is_acknowledged", "written_at_s")

    def __init__(self, data: bytes | None, written_at_s: float) -> None:
        self.data = data
        self.written_at_s = written_at_s
        self.is_acknowledged = False


class SimulatedTransport(asyncio.Transport):
    """One end of a connection of a process.

    What arrived before the end of the connection is read before the end is reported.
    """

    def __init__(self, network: Network, loop: ProcessLoop, peer_name: str) -> None:
        super().__init__()
        self.network = network
        self.loop = loop
        self.peer_name = peer_name
        self.protocol: Any = None
        self.peer: SimulatedTransport | None = None  # the opposite end
        self.is_closed = False  # for writing
        self.is_lost = False  # for reading, too
        self.last_arrival_s = 0.0  # of the newest segment towards the peer
        self.held_segments: list[Segment] = []  # stopped by a partition on the way to the peer
        self._is_end_reported = False
        network.transports.add(self)

    # --- asyncio's side.

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the peer's name; nothing else is known."""
        return self.peer_name if name == "peername" else default

    def is_closing(self) -> bool:
        """Whether nothing may be written any more."""
        return self.is_closed

    def get_write_buffer_size(self) -> int:
        """Return 0: everything is handed to the kernel at once."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits: nothing is buffered here."""

    def write(self, data: Any) -> None:
        """Hand bytes to the kernel."""
        if not self.is_closed and not self.loop.has_ended:
            self.network.send(self, bytes(data))

    def close(self) -> None:
        """Close; the peer reads what was written, then the end."""
        self.abort()

    def abort(self) -> None:
        """Close; what was written is on its way already."""
        if not self.is_closed and not self.loop.has_ended:
            self.network.send(self, None)
            self.lose_connection(None)

    # --- The kernel's side.

    def lose_connection(self, error: Exception | None) -> None:
        """End the connection at this end."""
        if self.is_lost:
            return
        self.is_closed = self.is_lost = True
        self.network.transports.discard(self)
        if not self.loop.has_ended:
            self.loop.call_soon(self._report_end, error)

    def receive(self, segment: Segment) -> None:
        """Take a segment that has reached this machine."""
        if segment.data is None:
            self.lose_connection(None)
        elif not self.loop.has_ended:
            self.loop.call_soon(self._deliver, segment.data)

    def _report_end(self, error: Exception | None) -> None:
        self._is_end_reported = True
        self.protocol.connection_lost(error)

    def _deliver(self, data: bytes) -> None:
        if not self._is_end_reported:
            self.protocol.data_received(data)
