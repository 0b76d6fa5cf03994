"""A message body that is streamed, piece by piece, from the connection that receives it to the one that sends it.

A flow buffers the pieces that were received and not taken yet; it does no input or output itself. The reader waits
until the pieces were taken before it reads more, so that a flow never holds more than the bytes of one read.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable


class Broken(Exception):  # noqa: N818  named for the event, as callers read it
    """Raised where a body ended before it was complete, or was abandoned."""


class Flow:
    """One streamed body; its reader calls `put`, `end` and `fail`, its writer calls `take` and `abandon`."""

    def __init__(self) -> None:
        self._pieces: deque[bytes] = deque()
        self.ended = False  # the body was received completely
        self.broken = False  # the body ended early and will never be complete
        self.abandoned = False  # the writer takes no more pieces
        self._changed_future: asyncio.Future[None] | None = None
        # Called after pieces were taken, and when the flow is abandoned.
        self.on_taken: Callable[[], None] = lambda: None

    @property
    def has_pieces(self) -> bool:
        """Whether there are pieces that the writer has not taken yet."""
        return bool(self._pieces) and not self.abandoned

    def put(self, piece: bytes) -> None:
        """Append the next piece; an abandoned flow drops it."""
        if not self.abandoned:
            self._pieces.append(piece)
            self._wake()

    def end(self) -> None:
        """Mark the body as completely received."""
        self.ended = True
        self._wake()

    def fail(self) -> None:
        """Mark the body as broken and drop its pieces, unless it is complete."""
        if not self.ended:
            self.broken = True
            self._pieces.clear()
            self._wake()

    def abandon(self) -> None:
        """Drop the rest of the body, as nobody will take it."""
        self.abandoned = True
        self._pieces.clear()
        self._wake()
        self.on_taken()

    async def take(self) -> bytes:
        """Wait for the next pieces and return them joined, or b"" at the end of the body.

        Raises:
            Broken: the body ended early, or the flow was abandoned.
        """
        while not self._pieces and not self.ended:
            if self.broken or self.abandoned:
                raise Broken
            self._changed_future = asyncio.get_running_loop().create_future()
            await self._changed_future
        pieces, self._pieces = self._pieces, deque()
        if pieces:
            self.on_taken()
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    async def encode_message(self, head: bytes, chunked: bool) -> AsyncIterator[bytes]:
        """Yield the encoded message: the head with the first piece, the other pieces, and the last chunk if `chunked`.

        Raises:
            Broken: the body ended early, or the flow was abandoned.
        """
        while piece := await self.take():
            yield head + (chunk(piece) if chunked else piece)
            head = b""
        if chunked:
            yield chunk(b"")

    def _wake(self) -> None:
        if self._changed_future is not None and not self._changed_future.done():
            self._changed_future.set_result(None)


def chunk(piece: bytes) -> bytes:
    """Encode a piece for chunked transfer coding; an empty piece gives the last chunk."""
    return b"%x\r\n%s\r\n" % (len(piece), piece)
