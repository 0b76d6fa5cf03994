"""Queue of member updates that are piggybacked on messages.

Each record is sent a limited number of times. Records that were sent least often come first; among these, the newest.
The queue has at most one record per member. Source: SWIM, section 4.1 (infection-style dissemination).
"""

from __future__ import annotations

import heapq
import itertools
import math
from dataclasses import dataclass
from typing import Final

from hallhitch.membership.messages import UPDATE_BUDGET_BYTES, encoded_size
from hallhitch.membership.records import MemberKey, MemberRecord

TRANSMISSION_FACTOR: Final = 4.0  # transmissions of a record, as a multiple of log10 of the member count
STALE_ENTRY_ALLOWANCE: Final = 64  # the heap is rebuilt when it has this many more stale entries than valid ones


@dataclass(frozen=True, slots=True)
class QueuedUpdate:
    """A record with the number of times that it was sent."""

    record: MemberRecord
    size_bytes: int
    transmissions: int
    number: int  # decreases with every insertion, so that newer updates sort first

    @property
    def priority(self) -> tuple[int, int]:
        """Sort key; the update with the lowest is sent next."""
        return self.transmissions, self.number


class UpdateQueue:
    """The updates that still have to be sent to other members."""

    def __init__(self) -> None:
        self._updates: dict[MemberKey, QueuedUpdate] = {}
        self._heap: list[tuple[int, int, MemberKey]] = []  # priority and key; entries may be stale
        self._numbers = itertools.count(0, -1)

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, record: MemberRecord) -> None:
        """Queue a record, replacing any earlier one of the same member."""
        self._insert(record, encoded_size(record), 0)

    def discard(self, key: MemberKey) -> None:
        """Remove the record of a member, if there is one."""
        self._updates.pop(key, None)

    def take(self, member_count: int, budget_bytes: int = UPDATE_BUDGET_BYTES) -> list[MemberRecord]:
        """Select the records for one message and count them as sent."""
        max_transmissions = math.ceil(TRANSMISSION_FACTOR * math.log10(member_count + 1))
        chosen: list[QueuedUpdate] = []
        while self._heap and budget_bytes > 0:
            *priority, key = self._heap[0]
            update = self._updates.get(key)
            if update is None or update.priority != tuple(priority):
                heapq.heappop(self._heap)  # stale: discarded or replaced since
                continue
            if update.size_bytes > budget_bytes:
                break
            heapq.heappop(self._heap)
            del self._updates[key]
            chosen.append(update)
            budget_bytes -= update.size_bytes
        for update in chosen:
            if update.transmissions + 1 < max_transmissions:
                self._insert(update.record, update.size_bytes, update.transmissions + 1)
        return [update.record for update in chosen]

    def _insert(self, record: MemberRecord, size_bytes: int, transmissions: int) -> None:
        update = QueuedUpdate(record, size_bytes, transmissions, next(self._numbers))
        self._updates[record.key] = update
        heapq.heappush(self._heap, (*update.priority, record.key))
        if len(self._heap) > 2 * len(self._updates) + STALE_ENTRY_ALLOWANCE:
            self._heap = [(*queued.priority, key) for key, queued in self._updates.items()]
            heapq.heapify(self._heap)
