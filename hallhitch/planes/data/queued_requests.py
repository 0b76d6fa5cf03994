"""Counts the requests of one service that wait for capacity, by priority and allowed regions."""

from __future__ import annotations

from hallhitch.planes.data.interfaces import RequestInfo


class QueuedRequests:
    """Counts queued requests; the requests themselves wait in their request handlers."""

    def __init__(self) -> None:
        self._counts: dict[tuple[int, frozenset[str]], int] = {}  # by priority and allowed regions; no count is 0

    def add(self, request: RequestInfo) -> None:
        """Count a request that waits for capacity."""
        key = request.priority, request.allowed_regions
        self._counts[key] = self._counts.get(key, 0) + 1

    def remove(self, request: RequestInfo) -> None:
        """Stop counting a request that was added."""
        key = request.priority, request.allowed_regions
        self._counts[key] -= 1
        if not self._counts[key]:
            del self._counts[key]

    def has_higher_priority(self, priority: int, region: str) -> bool:
        """Return whether a higher-priority request is queued that the region may serve."""
        return any(
            queued_priority < priority and (not regions or region in regions)
            for queued_priority, regions in self._counts
        )
