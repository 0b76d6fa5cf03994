"""The requests of one service that wait for capacity, counted by priority and allowed regions."""

from __future__ import annotations

from hallhitch.planes.data.interfaces import RequestInfo


class QueuedRequests:
    """Counts of queued requests; the requests themselves wait at their handlers."""

    def __init__(self) -> None:
        self._counts: dict[tuple[int, frozenset[str]], int] = {}  # by priority and allowed regions; none is 0

    def enter(self, request: RequestInfo) -> None:
        """Count a request that waits for capacity."""
        key = request.priority, request.allowed_regions
        self._counts[key] = self._counts.get(key, 0) + 1

    def leave(self, request: RequestInfo) -> None:
        """Count a request no longer that waited."""
        key = request.priority, request.allowed_regions
        self._counts[key] -= 1
        if not self._counts[key]:
            del self._counts[key]

    def has_higher_priority(self, priority: int, region: str) -> bool:
        """Return whether a request of a higher priority waits that may be served in the region."""
        return any(
            queued_priority < priority and (not regions or region in regions)
            for queued_priority, regions in self._counts
        )
