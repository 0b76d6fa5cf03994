"""One end of a simulated TCP connection: its asyncio transport and the state that the kernel of its machine keeps."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hallhitch.lab.simulation.network import Network
    from hallhitch.lab.simulation.process_loop import ProcessLoop


class Segment:
    """Bytes in flight, or the close of a connection (`data` is None)."""

    __slots__ = ("data", "is_acknowledged", "written_at_s")

    def __init__(self, data: bytes | None, written_at_s: float) -> None:
        self.data = data
        self.written_at_s = written_at_s
        self.is_acknowledged = False


class SimulatedTransport(asyncio.Transport):
    """One end of a connection of a process.

    Data that arrived before the close of the connection is delivered before `connection_lost` is called.
    """

    def __init__(self, network: Network, loop: ProcessLoop, peer_name: str) -> None:
        super().__init__()
        self.network = network
        self.loop = loop
        self.peer_name = peer_name
        self.protocol: Any = None
        self.peer: SimulatedTransport | None = None  # the opposite end
        self.is_closed = False  # nothing more can be written
        self.is_lost = False  # nothing more can be read either
        self.last_arrival_s = 0.0  # virtual time at which the newest segment reaches the peer
        self.held_segments: list[Segment] = []  # segments to the peer that a partition holds back
        self._is_loss_reported = False
        network.transports.add(self)

    # --- Called by asyncio.

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the peer's name, or `default` for all other information."""
        return self.peer_name if name == "peername" else default

    def is_closing(self) -> bool:
        """Whether the transport is closed for writing."""
        return self.is_closed

    def get_write_buffer_size(self) -> int:
        """Return 0: all bytes are passed to the kernel at once."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits: the transport buffers nothing."""

    def write(self, data: Any) -> None:
        """Pass bytes to the kernel."""
        if not self.is_closed and not self.loop.has_ended:
            self.network.send(self, bytes(data))

    def close(self) -> None:
        """Close the connection. The peer reads everything that was written, then the close."""
        self.abort()

    def abort(self) -> None:
        """Close the connection. Bytes that were written before remain in flight."""
        if not self.is_closed and not self.loop.has_ended:
            self.network.send(self, None)
            self.lose_connection(None)

    # --- Called by the network, in the place of the kernel.

    def lose_connection(self, error: Exception | None) -> None:
        """End the connection at this end and report the loss to the protocol."""
        if self.is_lost:
            return
        self.is_closed = self.is_lost = True
        self.network.transports.discard(self)
        if not self.loop.has_ended:
            self.loop.call_soon(self._report_loss, error)

    def receive(self, segment: Segment) -> None:
        """Handle a segment that has reached this machine."""
        if segment.data is None:
            self.lose_connection(None)
        elif not self.loop.has_ended:
            self.loop.call_soon(self._deliver, segment.data)

    def _report_loss(self, error: Exception | None) -> None:
        self._is_loss_reported = True
        self.protocol.connection_lost(error)

    def _deliver(self, data: bytes) -> None:
        if not self._is_loss_reported:
            self.protocol.data_received(data)
