"""Detection of duplicate and reordered calls by their sequence numbers. No I/O.

Invariant (AT MOST ONCE): of the calls of one sender, each number is accepted at most once. A sender numbers its calls
in increasing order, and a number is accepted only if it is above all numbers accepted before from the same queue of the
sender's connection (short frames or long frames).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

# How long the numbers of a sender that makes no calls are kept. No kernel delivers a frame later than this after the
# connection was abandoned.
SEQUENCE_RETENTION_MS: Final = 60_000.0


class CallSequence:
    """The highest call numbers accepted from one sender."""

    __slots__ = ("_last_long", "_last_short", "last_used_ms")

    def __init__(self) -> None:
        self._last_short = 0
        self._last_long = 0
        self.last_used_ms = 0.0

    def accept(self, call_id: int, is_chunked: bool) -> bool:
        """Record the number of a call; return False if the call is a duplicate or arrives out of order."""
        if call_id <= (self._last_long if is_chunked else self._last_short):
            return False
        if is_chunked:
            self._last_long = call_id
        else:
            self._last_short = call_id
        return True


class SenderSequences:
    """The call sequence of each sender across its connections, which detects a replay on another connection.

    Bounded by the number of senders that called within SEQUENCE_RETENTION_MS; adding a sender drops older ones.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._sequences: dict[int, CallSequence] = {}

    def sequence_of(self, incarnation: int) -> CallSequence:
        """Return the sequence of a sender; a sender without an incarnation (0) gets a new one for each connection."""
        sequence = self._sequences.get(incarnation)
        if sequence is None:
            sequence = CallSequence()
            if incarnation:
                self._drop_expired()
                self._sequences[incarnation] = sequence
        sequence.last_used_ms = self._clock()
        return sequence

    def _drop_expired(self) -> None:
        oldest_ms = self._clock() - SEQUENCE_RETENTION_MS
        self._sequences = {
            incarnation: sequence
            for incarnation, sequence in self._sequences.items()
            if sequence.last_used_ms >= oldest_ms
        }
