"""The requests that a backend refused last on one connection.

A backend that refuses a request promises that it will not run it. A response to such a request that is no refusal shows
that the promise was attributed to the wrong attempt, or was broken.
"""

from __future__ import annotations

from typing import Final

# Copies of a response follow it closely: only the latest ids are worth remembering.
MAX_REMEMBERED_IDS: Final = 8


class RefusedRequests:
    """The ids of the last requests that were refused, at most MAX_REMEMBERED_IDS."""

    __slots__ = ("_ids",)

    def __init__(self) -> None:
        self._ids: tuple[bytes, ...] = ()

    def add(self, request_id: bytes) -> None:
        """Remember a refused request, in place of the oldest one if there is no room."""
        self._ids = (*self._ids, request_id)[-MAX_REMEMBERED_IDS:]

    def __contains__(self, request_id: bytes) -> bool:
        return request_id in self._ids
