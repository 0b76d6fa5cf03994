"""News to be passed on: each record a bounded number of times, the least told first. One record a member at most."""

from __future__ import annotations

import heapq
import itertools
import math

from hallhitch.membership.messages import ROOM, size
from hallhitch.membership.model import Key, Record

TELL = 4.0  # times log10 of the members: how often a record is passed on


class News:
    """Records on their way through the cluster."""

    def __init__(self) -> None:
        self._told: dict[Key, tuple[int, int, Record, int]] = {}  # times told, its number, record, bytes
        self._heap: list[tuple[int, int, Key]] = []  # least told first, newest first among those
        self._number = itertools.count(0, -1)

    def __len__(self) -> int:
        return len(self._told)

    def add(self, record: Record) -> None:
        """Tell this from now on, in place of what was told of its member."""
        self._put(record.key, 0, record, size(record))

    def drop(self, key: Key) -> None:
        """Tell nothing of this member any more."""
        self._told.pop(key, None)

    def take(self, members: int, room: int = ROOM) -> list[Record]:
        """What to put into one message."""
        most = math.ceil(TELL * math.log10(members + 1))
        chosen: list[Record] = []
        again: list[tuple[Key, int, Record, int]] = []
        while self._heap and room > 0:
            times, number, key = self._heap[0]
            held = self._told.get(key)
            if held is None or held[:2] != (times, number):
                heapq.heappop(self._heap)  # dropped, or told anew
                continue
            if held[3] > room:
                break
            heapq.heappop(self._heap)
            del self._told[key]
            chosen.append(held[2])
            room -= held[3]
            if times + 1 < most:
                again.append((key, times + 1, held[2], held[3]))
        for one in again:
            self._put(*one)
        return chosen

    def _put(self, key: Key, times: int, record: Record, bytes: int) -> None:
        number = next(self._number)
        self._told[key] = times, number, record, bytes
        heapq.heappush(self._heap, (times, number, key))
        if len(self._heap) > 2 * len(self._told) + 64:
            self._heap = [(t, n, k) for k, (t, n, *_) in self._told.items()]
            heapq.heapify(self._heap)
