"""Calls of the quota counter over HTTP, and what every form of the counter has in common."""

from __future__ import annotations

import math
import re
from collections.abc import Iterator
from typing import Final, Protocol

from hallhitch.net.http import AnswerReader, Malformed, Message

_NUMBER: Final = re.compile(rb"\s*[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d{1,3})?\s*")
_NOT_ADDED_STATUSES: Final = (503, 400, 404)


class CounterCodec(Protocol):
    """Encodes calls and decodes their replies on one connection."""

    @property
    def partial(self) -> bool:
        """Whether a reply has begun and is not complete."""

    def call(self, name: int, units: float, lifetime: float) -> bytes:
        """Return a call as bytes."""

    def feed(self, data: memoryview) -> Iterator[tuple[str, float]]:
        """Yield outcome and total of each reply that is complete."""


def parse_total(text: bytes) -> float:
    """Return a total.

    Raises:
        Malformed: it is no number; what only Python takes for one (nan, inf, 1_0) is none.
    """
    if not _NUMBER.fullmatch(text) or not math.isfinite(total := float(text)):
        raise Malformed(400)
    return total


class HttpCounterCodec:
    """The HTTP form of the platform's counter."""

    def __init__(self, host: str) -> None:
        self._host = host.encode()
        self._reader = AnswerReader()

    @property
    def partial(self) -> bool:
        """Whether a reply has begun and is not complete."""
        return self._reader.partial

    def call(self, name: int, units: float, lifetime: float) -> bytes:
        """Return a call as bytes."""
        return b"POST /tally/%d?n=%s&keep_ms=%d HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n" % (
            name,
            f"{units:.7g}".encode(),
            max(1, round(lifetime)),
            self._host,
        )

    def feed(self, data: memoryview) -> Iterator[tuple[str, float]]:
        """Yield outcome and total of each reply that is complete, up to the first that cannot be read.

        Raises:
            Malformed: a reply cannot be read.
        """
        malformed = None
        try:
            replies = self._reader.feed(data)
        except Malformed as error:
            replies, malformed = self._reader.completed(), error
        yield from map(_outcome_and_total, replies)
        if malformed is not None:
            raise malformed


def _outcome_and_total(reply: Message) -> tuple[str, float]:
    if reply.status in _NOT_ADDED_STATUSES:
        return "full", 0.0
    if reply.status != 200:
        raise Malformed(400)
    return "ok", parse_total(reply.body)
