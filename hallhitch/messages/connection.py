"""One TCP connection between two processes of the system: decodes and encodes envelopes, and closes on errors.

It sets the socket options and owns the send queue. Subclasses handle the envelopes.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, cast

from google.protobuf.message import DecodeError

from hallhitch.messages.addressing import Identity
from hallhitch.messages.errors import FrameError, Rejection
from hallhitch.messages.frames import MAX_CHUNK_BYTES, FrameQueue, FrameReader, OutgoingFrame
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.logs import ComponentLogger, RateLimitedLog

# Time without an acknowledgement from the peer's kernel after which a connection is closed (TCP_USER_TIMEOUT). It
# exceeds the 1.5 s and more that a segment takes each way over a congested link.
ACKNOWLEDGEMENT_TIMEOUT_MS: Final = 2500


@dataclass(slots=True)
class TrafficCounters:
    """Totals of what a process sent, received and rejected on all its connections."""

    bytes_sent: int = 0
    bytes_received: int = 0
    frames_sent: int = 0
    frames_received: int = 0
    rejected: Counter[Rejection] = field(default_factory=Counter)


class ConnectionContext:
    """Shared by all connections of one process: cluster, identity, clock (monotonic ms), counters and log."""

    def __init__(self, cluster: int, own: Identity, clock: Callable[[], float]) -> None:
        self.cluster = cluster
        self.own = own
        self.clock = clock
        self.traffic = TrafficCounters()
        self._rejection_log = RateLimitedLog(ComponentLogger("link"))

    def count_rejection(self, reason: Rejection, peer: object) -> None:
        """Count a rejection and log it at most once a second; late replies are expected and not logged."""
        self.traffic.rejected[reason] += 1
        if reason is not Rejection.UNMATCHED_REPLY:
            self._rejection_log.warning(self.clock(), "message dropped", reason=reason.value, peer=peer)


class Connection(asyncio.Protocol):
    """A connection that encodes and decodes envelopes.

    It closes when it receives an envelope of another cluster or bytes that cannot be decoded.
    """

    def __init__(self, context: ConnectionContext) -> None:
        self.context = context
        self.transport: asyncio.Transport | None = None
        self.last_received_ms = context.clock()
        self._reader = FrameReader()
        self._queue = FrameQueue()
        self._is_paused = False

    # Event loop callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports do not derive from asyncio's
        self.transport.set_write_buffer_limits(high=MAX_CHUNK_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS)
            # A short frame cannot overtake bytes in the kernel's send buffer, so the buffer is kept small.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_CHUNK_BYTES)

    def data_received(self, data: bytes) -> None:
        """Decode received bytes into envelopes."""
        self.last_received_ms = self.context.clock()
        self.context.traffic.bytes_received += len(data)
        try:
            frames = self._reader.feed(data)
        except FrameError as error:
            return self.close_rejecting(error.reason)
        for frame in frames:
            if not self.is_open():
                return None
            self._decode(frame.data, frame.is_chunked)
        return None

    def pause_writing(self) -> None:
        """Stop writing, because the transport's buffer is full."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Resume writing, because the transport's buffer has room again."""
        self._is_paused = False
        self._flush()

    # Methods for subclasses.

    def on_envelope(self, envelope: Envelope, is_chunked: bool) -> None:
        """Handle an envelope of this cluster."""
        raise NotImplementedError

    def is_open(self) -> bool:
        """Return whether the connection is open as far as this side knows."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, envelope: Envelope) -> OutgoingFrame:
        """Write an envelope, or queue it until the transport has room; closing drops what is still queued."""
        envelope.cluster = self.context.cluster
        frame = OutgoingFrame(envelope.SerializeToString())
        if self.is_open():
            self._queue.put(frame)
            self._flush()
        return frame

    def withdraw(self, frame: OutgoingFrame) -> None:
        """Remove a frame from the queue unless a part of it was passed to the transport."""
        self._queue.discard(frame)

    def reject(self, reason: Rejection) -> None:
        """Count and log a dropped envelope."""
        self.context.count_rejection(reason, self.transport.get_extra_info("peername") if self.transport else "")

    def close_rejecting(self, reason: Rejection) -> None:
        """Drop an envelope and close the connection: its peer is the wrong process or sends invalid data."""
        self.reject(reason)
        self.abort()

    def abort(self) -> None:
        """Close the connection immediately; queued frames are not sent."""
        if self.transport is not None:
            self.transport.abort()

    def _decode(self, data: bytes, is_chunked: bool) -> None:
        try:
            envelope = Envelope.FromString(data)
        except DecodeError:
            return self.close_rejecting(Rejection.MALFORMED_ENVELOPE)
        self.context.traffic.frames_received += 1
        if envelope.cluster != self.context.cluster:
            return self.close_rejecting(Rejection.WRONG_CLUSTER)
        self.on_envelope(envelope, is_chunked)
        return None

    def _flush(self) -> None:
        """Write queued chunks while the transport has room."""
        if self.transport is None:
            return
        traffic = self.context.traffic
        while not self._is_paused and self.is_open():
            chunk = self._queue.next()
            if chunk is None:
                return
            self.transport.write(chunk.data)
            traffic.bytes_sent += len(chunk.data)
            traffic.frames_sent += chunk.is_final
