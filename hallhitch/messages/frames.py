"""How envelopes lie in a stream of bytes: whole, or in pieces where they are long. No I/O and no clock.

A frame is four bytes (big-endian) and its content. The two highest bits say what it is: a whole envelope, a piece of a
long one, or the last piece; the rest is the content's size, PIECE_MOST at most. One long envelope at a time is under
way in each direction, and whole ones go between its pieces: a long one never holds up short ones for more than a piece.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

FRAME_MOST = 64 * 1024 * 1024  # bytes of an envelope: twice the longest order an operator may send
PIECE_MOST = 16 * 1024  # bytes of a frame: some 60 ms of the thinnest links (2 Mbit/s), the wait of what comes behind
HEADER = 4  # bytes
_PIECE, _LAST = 1 << 31, 1 << 30
_SIZE = _LAST - 1


class Rejection(Enum):
    """Why bytes or an envelope are not served; the text goes into the log."""

    FRAME_TOO_LONG = "a frame too long"
    UNREADABLE = "bytes that are no message"
    OTHER_CLUSTER = "a message of another cluster"
    OTHER_ADDRESS = "a message for another address"
    OTHER_INCARNATION = "a message for another incarnation"
    OTHER_SENDER = "a message of another process than the connection's"
    REPEATED_CALL = "a call that came before"
    NOT_A_CALL = "an answer where none was asked for"
    NOT_AN_ANSWER = "a call where only answers come"
    NOBODY_WAITS = "an answer that nobody waits for"


class FrameError(Exception):
    """The stream cannot be read on."""

    def __init__(self, reason: Rejection) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(slots=True)
class Received:
    """The bytes of one envelope; `in_pieces`: it came among others."""

    data: bytes
    in_pieces: bool


class FrameReader:
    """Cuts a stream into envelopes. A size is checked before anything of its content is kept."""

    def __init__(self) -> None:
        self._rest = b""  # of a frame that is not complete: less than one piece
        self._pieces = bytearray()

    def feed(self, data: bytes) -> list[Received]:
        """The envelopes that are complete with this; raises FrameError."""
        if self._rest:
            data = self._rest + data
        at, there, complete = 0, len(data), []
        while there - at >= HEADER:
            header = int.from_bytes(data[at : at + HEADER], "big")
            size = header & _SIZE
            if size > PIECE_MOST or header & (_PIECE | _LAST) == _LAST:
                raise FrameError(Rejection.FRAME_TOO_LONG)
            end = at + HEADER + size
            if there < end:
                break
            received = self._took(header, data[at + HEADER : end])
            if received is not None:
                complete.append(received)
            at = end
        self._rest = data[at:]
        return complete

    def _took(self, header: int, content: bytes) -> Received | None:
        if not header & _PIECE:
            return Received(content, False)
        if len(self._pieces) + len(content) > FRAME_MOST:
            raise FrameError(Rejection.FRAME_TOO_LONG)
        self._pieces += content
        if not header & _LAST:
            return None
        whole = bytes(self._pieces)
        self._pieces.clear()
        return Received(whole, True)


class Outgoing:
    """One envelope on its way out. `handed_over`: at least a part of it was given to the connection."""

    __slots__ = ("data", "handed_over")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.handed_over = False


@dataclass(slots=True)
class Frame:
    """What is written at once; `last`: its envelope is complete with it."""

    data: bytes
    last: bool


class FrameQueue:
    """Envelopes that wait for room on a connection: short ones in order, long ones in order, in turn by bytes."""

    def __init__(self) -> None:
        self._short: deque[Outgoing] = deque()
        self._long: deque[Outgoing] = deque()
        self._at = 0  # bytes of the first long one that are out
        self._since_piece = 0  # bytes of short ones that went out since the last piece

    def put(self, outgoing: Outgoing) -> None:
        """Let it wait for its turn."""
        if len(outgoing.data) > PIECE_MOST:
            self._long.append(outgoing)
        else:
            self._short.append(outgoing)

    def discard(self, outgoing: Outgoing) -> bool:
        """Take one back of which nothing was handed over; whether so."""
        if outgoing.handed_over:
            return False
        lane = self._long if len(outgoing.data) > PIECE_MOST else self._short
        if outgoing not in lane:
            return False
        lane.remove(outgoing)
        return True

    def next(self) -> Frame | None:
        """The next frame to write; None: nothing waits."""
        if self._short and (not self._long or self._since_piece < PIECE_MOST):
            return self._whole(self._short.popleft())
        if self._long:
            return self._piece(self._long[0])
        return None

    def _whole(self, outgoing: Outgoing) -> Frame:
        outgoing.handed_over = True
        self._since_piece += HEADER + len(outgoing.data)
        return Frame(len(outgoing.data).to_bytes(HEADER, "big") + outgoing.data, True)

    def _piece(self, outgoing: Outgoing) -> Frame:
        outgoing.handed_over = True
        content = outgoing.data[self._at : self._at + PIECE_MOST]
        self._at += len(content)
        self._since_piece = 0
        header = _PIECE | len(content)
        last = self._at == len(outgoing.data)
        if last:
            header |= _LAST
            self._long.popleft()
            self._at = 0
        return Frame(header.to_bytes(HEADER, "big") + content, last)
