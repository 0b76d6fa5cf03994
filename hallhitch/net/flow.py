"""A body on its way from a connection that is read to one that is written, one piece at a time.

It owns the pieces that have come and were not taken yet. It never reads or writes: the reader asks for room before it
reads on, so that a body in passing holds no more than what one read brought.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable


class Broken(Exception):
    """The body ended before it was whole."""


class Flow:
    """One body; `put`, `end` and `fail` belong to its reader, `take` and `abandon` to its writer."""

    def __init__(self) -> None:
        self._pieces: deque[bytes] = deque()
        self.ended = False  # whether it came whole
        self.broken = False  # whether it never will
        self.abandoned = False  # whether nobody takes it any more
        self._came: asyncio.Future[None] | None = None
        self.taken: Callable[[], None] = lambda: None  # told when pieces were taken, or never will be

    @property
    def waits(self) -> bool:
        """Whether pieces wait to be taken."""
        return bool(self._pieces) and not self.abandoned

    def put(self, piece: bytes) -> None:
        """The next piece has come."""
        if not self.abandoned:
            self._pieces.append(piece)
            self._wake()

    def end(self) -> None:
        """It came whole."""
        self.ended = True
        self._wake()

    def fail(self) -> None:
        """It breaks off here, unless it came whole."""
        if not self.ended:
            self.broken = True
            self._pieces.clear()
            self._wake()

    def abandon(self) -> None:
        """Nobody takes the rest."""
        self.abandoned = True
        self._pieces.clear()
        self._wake()
        self.taken()

    async def take(self) -> bytes:
        """What has come, at least one byte of it; nothing at its end. Raises Broken."""
        while not self._pieces and not self.ended:
            if self.broken or self.abandoned:
                raise Broken
            self._came = asyncio.get_running_loop().create_future()
            await self._came
        pieces, self._pieces = self._pieces, deque()
        if pieces:
            self.taken()
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    async def written(self, head: bytes, chunked: bool) -> AsyncIterator[bytes]:
        """The message as it goes out: its head with the first piece, the others, the end if it is chunked.

        Raises Broken.
        """
        while piece := await self.take():
            yield head + (chunk(piece) if chunked else piece)
            head = b""
        if chunked:
            yield chunk(b"")

    def _wake(self) -> None:
        if self._came is not None and not self._came.done():
            self._came.set_result(None)


def chunk(piece: bytes) -> bytes:
    """A piece as a chunk of a body without a length; nothing is the body's end."""
    return b"%x\r\n%s\r\n" % (len(piece), piece)
