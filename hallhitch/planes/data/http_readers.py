"""Readers of HTTP messages on client and backend connections, and the memory limit for buffered bodies.

The readers keep every header field in order, because the gateway forwards fields that it does not know. A body is
buffered while memory is available and streamed through a `Flow` otherwise. Sizes are in bytes.

Invariant: `BodyMemory.used_bytes` is the sum of the bytes that all readers and client connections have reserved and not
yet released.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from hallhitch.net.http import RequestReader, ResponseReader
from hallhitch.planes.values import RequestLimits

# A response that is truncated while it is buffered can still be retried; one that is streamed to the client cannot.
BUFFERED_RESPONSE_MAX_BYTES: Final = 1024 * 1024
# Bodies up to this size are buffered without a reservation: the connection limit bounds their total size.
UNRESERVED_BODY_MAX_BYTES: Final = 64 * 1024
RESPONSE_HEAD_MAX_BYTES: Final = 64 * 1024
# Practically unlimited: a response longer than BUFFERED_RESPONSE_MAX_BYTES is streamed and not held in memory.
RESPONSE_BODY_MAX_BYTES: Final = 1 << 40


class BodyMemory:
    """Accounts for the memory of this process used by buffered bodies longer than UNRESERVED_BODY_MAX_BYTES."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes if the limit allows it; return whether they were reserved."""
        if self.used_bytes + size > self.limit_bytes:
            return False
        self.used_bytes += size
        return True

    def reserve_unconditionally(self, size: int) -> None:
        """Reserve `size` bytes that are already in memory, even beyond the limit."""
        self.used_bytes += size

    def release(self, size: int) -> None:
        """Release `size` reserved bytes."""
        self.used_bytes -= size


class ClientReader(RequestReader):
    """Reads requests, with all their header fields, from a client connection.

    Each request is held to the limits that are in force when it begins.
    """

    def __init__(self, get_limits: Callable[[], RequestLimits], reserve: Callable[[int], bool]) -> None:
        """Buffer a body beyond UNRESERVED_BODY_MAX_BYTES while `reserve` grants memory; otherwise stream it."""
        super().__init__(True, reserve)
        self._get_limits = get_limits
        self._apply_limits()

    def on_message_begin(self) -> None:
        """Handle the start of a message (httptools)."""
        super().on_message_begin()
        self._message.fields = []
        self._apply_limits()

    def _apply_limits(self) -> None:
        limits = self._get_limits()
        self._max_head_bytes = limits.max_head_bytes
        self._max_buffered_bytes = min(UNRESERVED_BODY_MAX_BYTES, limits.max_body_bytes)
        self._max_body_bytes = limits.max_body_bytes

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header field (httptools)."""
        super().on_header(name, value)
        if self._in_head and self._message.fields is not None:
            self._message.fields.append((name, value))


class BackendReader(ResponseReader):
    """Reads responses, with all their header fields, from a backend connection.

    A response longer than BUFFERED_RESPONSE_MAX_BYTES is streamed; so is one longer than UNRESERVED_BODY_MAX_BYTES if
    no memory is left.
    """

    def __init__(self, body_memory: BodyMemory) -> None:
        super().__init__(
            True,
            max_head_bytes=RESPONSE_HEAD_MAX_BYTES,
            max_buffered_body_bytes=UNRESERVED_BODY_MAX_BYTES,
            max_body_bytes=RESPONSE_BODY_MAX_BYTES,
        )
        # A response that belongs to no request may announce the close of the connection before the one that does.
        self.parser.set_dangerous_leniencies(lenient_keep_alive=True)
        self._body_memory = body_memory
        self._reserved_bytes = 0
        self.is_head_request = False  # a response to HEAD may declare a length but has no body

    def on_message_begin(self) -> None:
        """Handle the start of a message (httptools)."""
        super().on_message_begin()
        self._message.fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header field (httptools)."""
        super().on_header(name, value)
        if self._in_head and self._message.fields is not None:
            self._message.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Handle the end of the head (httptools)."""
        super().on_headers_complete()
        length = self._message.length
        self._is_streamed_early = length is not None and length > BUFFERED_RESPONSE_MAX_BYTES
        if self.is_head_request and self.parser.get_status_code() >= 200:
            # The parser does not know that the request was HEAD and would wait for a body. Completing the message here
            # leaves its state inconsistent, so the connection must not be reused.
            self.on_message_complete()
            self._completed[-1].keep_alive = False

    def _should_stream(self, more: int) -> bool:
        if (
            self._is_streamed_early
            or self._body_size > BUFFERED_RESPONSE_MAX_BYTES
            or not self._body_memory.reserve(more)
        ):
            return True
        self._reserved_bytes += more
        return False

    def release_memory(self) -> None:
        """Release the memory reserved for the last response, which has been handed over or dropped."""
        if self._reserved_bytes:
            self._body_memory.release(self._reserved_bytes)
            self._reserved_bytes = 0
