"""A body in passing from a connection that is read to one that is written, piece by piece.

Owns the pieces that were received and not taken yet; it reads and writes nothing itself. The reader waits until the
pieces were taken before it reads on, so that a body in passing holds no more than one read brought.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable


class Broken(Exception):  # noqa: N818  named for the event, as callers read it
    """The body broke off before it was complete."""


class Flow:
    """One body; `put`, `end` and `fail` belong to its reader, `take` and `abandon` to its writer."""

    def __init__(self) -> None:
        self._pieces: deque[bytes] = deque()
        self.ended = False  # it is complete
        self.broken = False  # it broke off, and is never complete
        self.abandoned = False  # nobody takes it any more
        self._changed: asyncio.Future[None] | None = None
        self.taken: Callable[[], None] = lambda: None  # called when pieces were taken, or never will be

    @property
    def waits(self) -> bool:
        """Whether pieces wait to be taken."""
        return bool(self._pieces) and not self.abandoned

    def put(self, piece: bytes) -> None:
        """Append the next piece."""
        if not self.abandoned:
            self._pieces.append(piece)
            self._wake()

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self._wake()

    def fail(self) -> None:
        """Break the body off, unless it is complete."""
        if not self.ended:
            self.broken = True
            self._pieces.clear()
            self._wake()

    def abandon(self) -> None:
        """Drop the rest: nobody takes it."""
        self.abandoned = True
        self._pieces.clear()
        self._wake()
        self.taken()

    async def take(self) -> bytes:
        """Wait for the next pieces and return them, b"" at the end of the body.

        Raises:
            Broken: the body broke off, or was abandoned.
        """
        while not self._pieces and not self.ended:
            if self.broken or self.abandoned:
                raise Broken
            self._changed = asyncio.get_running_loop().create_future()
            await self._changed
        pieces, self._pieces = self._pieces, deque()
        if pieces:
            self.taken()
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    async def written(self, head: bytes, chunked: bool) -> AsyncIterator[bytes]:
        """Yield the message as it is written: its head with the first piece, the others, and the last chunk.

        Raises:
            Broken: the body broke off, or was abandoned.
        """
        while piece := await self.take():
            yield head + (chunk(piece) if chunked else piece)
            head = b""
        if chunked:
            yield chunk(b"")

    def _wake(self) -> None:
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)


def chunk(piece: bytes) -> bytes:
    """Return a piece as a chunk of a body without a length; an empty piece is the last chunk."""
    return b"%x\r\n%s\r\n" % (len(piece), piece)
