"""One TCP connection between two of the system's processes: frames in, frames out, and what ends it.

Owns the sockets' options and the queue before the transport. Whoever inherits says what an envelope is for.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from google.protobuf.message import DecodeError

from hallhitch.messages.addressing import Identity
from hallhitch.messages.frames import PIECE_MOST, FrameError, FrameQueue, FrameReader, Outgoing, Rejection
from hallhitch.messages.system_pb2 import Envelope
from hallhitch.node.logs import ComponentLogger, RateLimitedLog

UNHEARD = 2500  # ms without an acknowledgement by the peer's machine after which a connection is given up


@dataclass(slots=True)
class Traffic:
    """What went over all connections of a process, and what was not served of it."""

    sent: int = 0  # bytes
    received: int = 0
    frames_sent: int = 0  # envelopes
    frames_received: int = 0
    rejected: Counter[Rejection] = field(default_factory=Counter)


class Shared:
    """What all connections of one process have in common."""

    def __init__(self, cluster: int, own: Identity, clock: Callable[[], float]) -> None:
        self.cluster, self.own, self.clock = cluster, own, clock
        self.traffic = Traffic()
        self._rejections = RateLimitedLog(ComponentLogger("link"))

    def reject(self, reason: Rejection, peer: object) -> None:
        """Count what is not served, and log it at most once a second; late answers are ordinary, and not logged."""
        self.traffic.rejected[reason] += 1
        if reason is not Rejection.NOBODY_WAITS:
            self._rejections.warning(self.clock(), f"dropped {reason.value} from {peer}")


class Connection(asyncio.Protocol):
    """One connection; envelopes of another cluster and bytes that are none end it."""

    def __init__(self, shared: Shared) -> None:
        self.shared = shared
        self.transport: asyncio.Transport | None = None
        self.heard = shared.clock()
        self._reader, self._queue = FrameReader(), FrameQueue()
        self._paused = False

    # Called by the loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own are none by name
        self.transport.set_write_buffer_limits(high=PIECE_MOST)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNHEARD)
            # What the kernel holds cannot be overtaken by a short frame any more.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, PIECE_MOST)

    def data_received(self, data: bytes) -> None:
        self.heard = self.shared.clock()
        self.shared.traffic.received += len(data)
        try:
            complete = self._reader.feed(data)
        except FrameError as error:
            return self.end(error.reason)
        for received in complete:
            if not self.usable():
                return
            self._read(received.data, received.in_pieces)

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        self._flush()

    # For whoever inherits.

    def take(self, envelope: Envelope, in_pieces: bool) -> None:
        """An envelope of this cluster has come."""
        raise NotImplementedError

    def usable(self) -> bool:
        """Whether it is open, as far as this side knows."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, envelope: Envelope) -> Outgoing:
        """Write one envelope, or let it wait for room; what waits when the connection ends was not handed over."""
        envelope.cluster = self.shared.cluster
        outgoing = Outgoing(envelope.SerializeToString())
        if self.usable():
            self._queue.put(outgoing)
            self._flush()
        return outgoing

    def take_back(self, outgoing: Outgoing) -> None:
        """What nobody waits for any more is not sent, unless a part of it is out."""
        self._queue.discard(outgoing)

    def reject(self, reason: Rejection) -> None:
        """Drop one envelope."""
        self.shared.reject(reason, self.transport.get_extra_info("peername") if self.transport else "")

    def end(self, reason: Rejection) -> None:
        """What came is not ours, or the other side is not who we mean: the connection ends."""
        self.reject(reason)
        self.abort()

    def abort(self) -> None:
        """End it at once; what waits is not sent."""
        if self.transport is not None:
            self.transport.abort()

    def _read(self, data: bytes, in_pieces: bool) -> None:
        try:
            envelope = Envelope.FromString(data)
        except DecodeError:
            return self.end(Rejection.UNREADABLE)
        self.shared.traffic.frames_received += 1
        if envelope.cluster != self.shared.cluster:
            return self.end(Rejection.OTHER_CLUSTER)
        self.take(envelope, in_pieces)

    def _flush(self) -> None:
        assert self.transport is not None
        traffic = self.shared.traffic
        while not self._paused and self.usable():
            frame = self._queue.next()
            if frame is None:
                return
            self.transport.write(frame.data)
            traffic.sent += len(frame.data)
            traffic.frames_sent += frame.last
