"""A counter that speaks RESP: the same calls as over HTTP, each one transaction."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, cast

import hiredis

from hallhitch.net.counter import total_of
from hallhitch.net.http import Malformed

REPLIES = 4  # MULTI, SET and INCRBYFLOAT queued, EXEC


class RespCounterCodec:
    """Writes calls and reads totals; the name's life is set by the call that creates it."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        self._replies: list[object] = []

    @property
    def partial(self) -> bool:
        """Whether an answer has begun and not ended."""
        return bool(self._replies) or self._reader.has_data()

    def call(self, name: int, units: float, lifetime: float) -> bytes:
        """One call as bytes."""
        life = min(60_000, max(1, round(lifetime)))
        # The stub of this function knows commands of one word only.
        pack: Callable[[tuple[object, ...]], bytes] = cast(Any, hiredis.pack_command)
        return b"".join(
            (
                pack(("MULTI",)),
                pack(("SET", name, 0, "PX", life, "NX")),
                pack(("INCRBYFLOAT", name, f"{units:.7g}")),
                pack(("EXEC",)),
            )
        )

    def feed(self, data: memoryview) -> Iterator[tuple[str, float]]:
        """The answers that have come whole; a transaction that did not run has added nothing."""
        self._reader.feed(bytes(data))
        try:
            while (reply := self._reader.gets()) is not False:
                self._replies.append(reply)
                if len(self._replies) == REPLIES:
                    self._replies.clear()
                    yield outcome_of(reply)
        except hiredis.ProtocolError:
            raise Malformed(400) from None


def outcome_of(executed: object) -> tuple[str, float]:
    """What the reply to EXEC says."""
    if executed is None or isinstance(executed, hiredis.ReplyError):
        return "full", 0.0
    if not isinstance(executed, list) or len(executed) != 2 or not isinstance(executed[1], bytes):
        raise Malformed(400)  # it may have been added
    return "ok", total_of(executed[1])
