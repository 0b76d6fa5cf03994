"""Framing of envelopes in a byte stream. No I/O and no clock.

A frame holds one serialized envelope. It is written as one chunk, or as several if it is long. A chunk consists of a
header of four bytes (big-endian) and its content. The two highest bits of the header distinguish a complete frame (00),
a chunk of a long frame (10) and its final chunk (11); the other bits hold the size of the content.

Invariants:
- The content of a chunk has at most MAX_CHUNK_BYTES; a frame has at most MAX_FRAME_BYTES.
- At most one long frame is in transit in each direction. Short frames are sent between its chunks, so that a long
  frame delays a short one by one chunk at most.
- Short frames keep their relative order, and so do long frames.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

from hallhitch.messages.errors import FrameError, Rejection

MAX_FRAME_BYTES: Final = 64 * 1024 * 1024  # twice the largest request body that the operator's API accepts
# A chunk takes about 60 ms on the slowest links (2 Mbit/s), which is how long a short frame behind it waits.
MAX_CHUNK_BYTES: Final = 16 * 1024
HEADER_BYTES: Final = 4
_CHUNKED_FLAG: Final = 1 << 31
_FINAL_CHUNK_FLAG: Final = 1 << 30
_SIZE_MASK: Final = _FINAL_CHUNK_FLAG - 1


@dataclass(slots=True)
class ReceivedFrame:
    """The bytes of one envelope; `is_chunked` if they arrived in several chunks."""

    data: bytes
    is_chunked: bool


class FrameReader:
    """Decodes a byte stream into frames; checks each size before it buffers any content."""

    def __init__(self) -> None:
        self._incomplete_chunk = b""
        self._long_frame = bytearray()

    def feed(self, data: bytes) -> list[ReceivedFrame]:
        """Append received bytes and return the frames that they complete.

        Raises:
            FrameError: a chunk or a frame is too large, or a header is invalid.
        """
        if self._incomplete_chunk:
            data = self._incomplete_chunk + data
        frames = []
        start, available = 0, len(data)
        while available - start >= HEADER_BYTES:
            header = int.from_bytes(data[start : start + HEADER_BYTES], "big")
            size = header & _SIZE_MASK
            if size > MAX_CHUNK_BYTES or header & (_CHUNKED_FLAG | _FINAL_CHUNK_FLAG) == _FINAL_CHUNK_FLAG:
                raise FrameError(Rejection.FRAME_TOO_LARGE)
            end = start + HEADER_BYTES + size
            if available < end:
                break
            frame = self._add_chunk(header, data[start + HEADER_BYTES : end])
            if frame is not None:
                frames.append(frame)
            start = end
        self._incomplete_chunk = data[start:]
        return frames

    def _add_chunk(self, header: int, content: bytes) -> ReceivedFrame | None:
        """Return the frame that this chunk completes, or None while chunks are missing."""
        if not header & _CHUNKED_FLAG:
            return ReceivedFrame(content, False)
        if len(self._long_frame) + len(content) > MAX_FRAME_BYTES:
            raise FrameError(Rejection.FRAME_TOO_LARGE)
        self._long_frame += content
        if not header & _FINAL_CHUNK_FLAG:
            return None
        data = bytes(self._long_frame)
        self._long_frame.clear()
        return ReceivedFrame(data, True)


class OutgoingFrame:
    """One envelope to be written; `is_handed_over` once any part of it was passed to the transport."""

    __slots__ = ("data", "is_handed_over")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.is_handed_over = False


@dataclass(slots=True)
class Chunk:
    """Header and content, written together; `is_final` marks the last chunk of a frame."""

    data: bytes
    is_final: bool


class FrameQueue:
    """Frames that wait to be written: one queue for short frames and one for long ones, which alternate by bytes."""

    def __init__(self) -> None:
        self._short_frames: deque[OutgoingFrame] = deque()
        self._long_frames: deque[OutgoingFrame] = deque()
        self._long_frame_offset = 0  # bytes of the first long frame already passed to the transport
        self._short_bytes_since_chunk = 0  # bytes of short frames since the last chunk of a long one

    def put(self, frame: OutgoingFrame) -> None:
        """Append a frame to the queue for short or for long frames."""
        if len(frame.data) > MAX_CHUNK_BYTES:
            self._long_frames.append(frame)
        else:
            self._short_frames.append(frame)

    def discard(self, frame: OutgoingFrame) -> bool:
        """Remove a frame of which no part was passed to the transport; return whether it was removed."""
        if frame.is_handed_over:
            return False
        queue = self._long_frames if len(frame.data) > MAX_CHUNK_BYTES else self._short_frames
        if frame not in queue:
            return False
        queue.remove(frame)
        return True

    def next(self) -> Chunk | None:
        """Return the next chunk to write, or None if the queue is empty."""
        if self._short_frames and (not self._long_frames or self._short_bytes_since_chunk < MAX_CHUNK_BYTES):
            return self._next_short(self._short_frames.popleft())
        if self._long_frames:
            return self._next_long(self._long_frames[0])
        return None

    def _next_short(self, frame: OutgoingFrame) -> Chunk:
        frame.is_handed_over = True
        self._short_bytes_since_chunk += HEADER_BYTES + len(frame.data)
        return Chunk(len(frame.data).to_bytes(HEADER_BYTES, "big") + frame.data, True)

    def _next_long(self, frame: OutgoingFrame) -> Chunk:
        frame.is_handed_over = True
        content = frame.data[self._long_frame_offset : self._long_frame_offset + MAX_CHUNK_BYTES]
        self._long_frame_offset += len(content)
        self._short_bytes_since_chunk = 0
        header = _CHUNKED_FLAG | len(content)
        is_final = self._long_frame_offset == len(frame.data)
        if is_final:
            header |= _FINAL_CHUNK_FLAG
            self._long_frames.popleft()
            self._long_frame_offset = 0
        return Chunk(header.to_bytes(HEADER_BYTES, "big") + content, is_final)
