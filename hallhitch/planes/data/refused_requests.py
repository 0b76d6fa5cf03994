"""The requests that a backend refused last on one connection, and what it sends about them afterwards.

A backend that refuses a request promises that it will not run it. A response to such a request that is no refusal shows
that the promise was attributed to the wrong attempt, or was broken.
"""

from __future__ import annotations

from typing import Final, Protocol

from hallhitch.net.http import Message
from hallhitch.planes.data.response_attribution import response_id_of
from hallhitch.planes.data.response_classification import is_refusal

# Copies of a response follow it closely: only the latest ids are worth remembering.
MAX_REMEMBERED_IDS: Final = 8


class RefusalObserver(Protocol):
    """Receives what is observed."""

    def count(self, event: str) -> None:
        """Increment the counter of an event."""

    def on_response_after_refusal(self, request_id: bytes, status: int) -> None:
        """Report that the backend responded to a request that it had refused, as if it had run it."""


class RefusedRequests:
    """The ids of the last requests that were refused, at most MAX_REMEMBERED_IDS."""

    __slots__ = ("_ids",)

    def __init__(self) -> None:
        self._ids: tuple[bytes, ...] = ()

    def add(self, request_id: bytes) -> None:
        """Remember a refused request, in place of the oldest one if there is no room."""
        self._ids = (*self._ids, request_id)[-MAX_REMEMBERED_IDS:]

    def observe(self, response: Message, observer: RefusalObserver) -> None:
        """Report a response that belongs to no attempt in flight, if its request was refused."""
        response_id = response_id_of(response)
        if response_id is None or response.status < 200 or response_id not in self._ids:
            return
        if is_refusal(response):
            observer.count("refusal_copy")
        else:
            observer.on_response_after_refusal(response_id, response.status)
