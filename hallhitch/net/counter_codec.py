"""The codec interface of the quota counter, and its implementation over HTTP."""

from __future__ import annotations

import math
import re
from collections.abc import Iterator
from typing import Final, Protocol

from hallhitch.net.http import Malformed, Message, ResponseReader

_NUMBER: Final = re.compile(rb"\s*[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d{1,3})?\s*")
_NOT_ADDED_STATUSES: Final = (503, 400, 404)


class CounterCodec(Protocol):
    """Encodes the calls and decodes the replies of one connection."""

    @property
    def partial(self) -> bool:
        """Whether a reply has begun and is not complete."""

    def call(self, name: int, units: float, lifetime: float) -> bytes:
        """Encode a call that adds units to a name, which expires after `lifetime` ms."""

    def feed(self, data: memoryview) -> Iterator[tuple[str, float]]:
        """Yield the outcome and the total of each complete reply."""


def parse_total(text: bytes) -> float:
    """Parse a total.

    Raises:
        Malformed: the text is not a finite decimal number; forms that only Python accepts (nan, inf, 1_0) are rejected.
    """
    if not _NUMBER.fullmatch(text) or not math.isfinite(total := float(text)):
        raise Malformed(400)
    return total


class HttpCounterCodec:
    """Codec of the platform's counter over HTTP."""

    def __init__(self, host: str) -> None:
        self._host = host.encode()
        self._reader = ResponseReader()

    @property
    def partial(self) -> bool:
        """Whether a reply has begun and is not complete."""
        return self._reader.partial

    def call(self, name: int, units: float, lifetime: float) -> bytes:
        """Encode a call that adds units to a name, which expires after `lifetime` ms."""
        return b"POST /tally/%d?n=%s&keep_ms=%d HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n" % (
            name,
            f"{units:.7g}".encode(),
            max(1, round(lifetime)),
            self._host,
        )

    def feed(self, data: memoryview) -> Iterator[tuple[str, float]]:
        """Yield the outcome and the total of each complete reply, up to the first malformed one.

        Raises:
            Malformed: a reply cannot be parsed.
        """
        malformed = None
        try:
            replies = self._reader.feed(data)
        except Malformed as error:
            replies, malformed = self._reader.take_completed(), error
        yield from map(_outcome_and_total, replies)
        if malformed is not None:
            raise malformed


def _outcome_and_total(reply: Message) -> tuple[str, float]:
    if reply.status in _NOT_ADDED_STATUSES:
        return "full", 0.0
    if reply.status != 200:
        raise Malformed(400)
    return "ok", parse_total(reply.body)
