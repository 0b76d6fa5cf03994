"""Membership datagrams on one UDP socket: read in bounded batches, rate-limited, validated and counted.

A datagram that the socket cannot send immediately is dropped and counted; the protocol tolerates lost datagrams.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

import structlog

from hallhitch.core.addresses import format_address, parse_address
from hallhitch.core.invariants import COUNTS
from hallhitch.membership.errors import DatagramError, RejectReason
from hallhitch.membership.messages import MAX_DATAGRAM_BYTES, Datagram, decode, encode

MAX_DATAGRAMS_PER_READ: Final = 64  # per batch; the event loop runs other work between batches
log = structlog.get_logger()


class DropReason(StrEnum):
    """Why a datagram was dropped; the value is the `reason` label of the metric."""

    NETWORK = "network"  # the source is in none of the allowed networks
    RATE = "flood"  # above the maximum rate
    SIZE = RejectReason.SIZE.value
    FORMAT = RejectReason.FORMAT.value
    CLUSTER = RejectReason.CLUSTER.value
    UNSENT = "unsent"  # too long, not accepted by the socket, or the socket is closed


@dataclass(frozen=True, slots=True)
class TransportSettings:
    """Which datagrams the transport accepts."""

    cluster: str
    is_allowed: Callable[[str], bool]  # whether an address is in the allowed networks
    max_datagrams_per_s: int


class UdpTransport:
    """Sends and receives messages. `on_message` is called with each message, and `on_batch_end` after each batch."""

    def __init__(
        self,
        settings: TransportSettings,
        clock: Callable[[], float],
        loop: asyncio.AbstractEventLoop,
        on_message: Callable[[Datagram], None],
        on_batch_end: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._loop = loop
        self._on_message = on_message
        self._on_batch_end = on_batch_end
        self._socket: socket.socket | None = None
        self._rate_tokens = float(settings.max_datagrams_per_s)
        self._refilled_at = clock()
        self._buffer = bytearray(MAX_DATAGRAM_BYTES + 1)
        self.datagrams_received = self.datagrams_sent = self.bytes_received = self.bytes_sent = 0
        self.dropped: Counter[DropReason] = Counter()

    def open(self, address: tuple[str, int]) -> str:
        """Listen on an address instead of any earlier one; return it as text with the actual port.

        Raises:
            OSError: The address cannot be bound.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        new_socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            new_socket.setblocking(False)
            new_socket.bind(address)
        except OSError:
            new_socket.close()
            raise
        self.close()
        self._socket = new_socket
        self._loop.add_reader(new_socket, self._on_readable)
        return format_address(new_socket.getsockname())

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, address: str, message: Datagram) -> None:
        """Send a message, or drop it if that fails."""
        data = encode(message)
        if self._socket is None or len(data) > MAX_DATAGRAM_BYTES:
            self.dropped[DropReason.UNSENT] += 1
            return
        with contextlib.suppress(OSError):
            self._socket.sendto(data, parse_address(address))
            self.datagrams_sent += 1
            self.bytes_sent += len(data)
            return
        self.dropped[DropReason.UNSENT] += 1

    def _on_readable(self) -> None:
        self._refill_rate_tokens()
        for _ in range(MAX_DATAGRAMS_PER_READ):
            if self._socket is None:
                return
            try:
                size, source = self._socket.recvfrom_into(self._buffer)
            except BlockingIOError:
                break
            except OSError:  # the destination port of an earlier datagram is closed
                continue
            self._receive(size, format_address(source))
        self._on_batch_end()

    def _refill_rate_tokens(self) -> None:
        now, rate = self._clock(), self._settings.max_datagrams_per_s
        self._rate_tokens = min(float(rate), self._rate_tokens + (now - self._refilled_at) / 1000 * rate)
        self._refilled_at = now

    def _receive(self, size: int, source: str) -> None:
        if not self._settings.is_allowed(source):
            self.dropped[DropReason.NETWORK] += 1
            return
        if self._rate_tokens < 1:
            self.dropped[DropReason.RATE] += 1
            return
        self._rate_tokens -= 1
        try:
            message = decode(bytes(memoryview(self._buffer)[:size]), self._settings.cluster)
        except DatagramError as error:
            self.dropped[DropReason(error.reason.value)] += 1
            return
        self.datagrams_received += 1
        self.bytes_received += size
        try:
            self._on_message(message)
        except Exception as error:  # noqa: BLE001  a datagram must never stop the gateway
            COUNTS["actor_failed"] += 1
            log.error("actor failed", actor="members", exc_info=error)  # noqa: TRY400  expected: no traceback
