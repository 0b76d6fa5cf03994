"""Client-side codec for a quota counter that speaks RESP2; each call is one MULTI/EXEC transaction."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final, cast

import hiredis

from hallhitch.net.counter_codec import parse_total
from hallhitch.net.http import Malformed

REPLIES_PER_CALL: Final = 4  # one each to MULTI, SET, INCRBYFLOAT (both "QUEUED") and EXEC
MAX_LIFETIME_MS: Final = 60_000  # limits how long the server keeps a counter that is no longer used


class RespCounterCodec:
    """Encodes calls and decodes totals; the call that creates a counter also sets its expiry."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        self._replies: list[object] = []

    @property
    def partial(self) -> bool:
        """Whether the replies to a call have been received in part."""
        return bool(self._replies) or self._reader.has_data()

    def call(self, name: int, units: float, lifetime: float) -> bytes:
        """Encode a call that adds units to a counter; a new counter expires after `lifetime` ms."""
        lifetime_ms = min(MAX_LIFETIME_MS, max(1, round(lifetime)))
        # The type stub of hiredis.pack_command accepts only commands with a single element.
        pack: Callable[[tuple[object, ...]], bytes] = cast(Any, hiredis.pack_command)
        return b"".join(
            (
                pack(("MULTI",)),
                pack(("SET", name, 0, "PX", lifetime_ms, "NX")),
                pack(("INCRBYFLOAT", name, f"{units:.7g}")),
                pack(("EXEC",)),
            )
        )

    def feed(self, data: memoryview) -> Iterator[tuple[str, float]]:
        """Yield the outcome and the total of each call whose replies this data completes.

        Raises:
            Malformed: The data is not a valid reply to a call.
        """
        self._reader.feed(bytes(data))
        try:
            while (reply := self._reader.gets()) is not False:
                self._replies.append(reply)
                if len(self._replies) == REPLIES_PER_CALL:
                    self._replies.clear()
                    yield parse_exec_reply(reply)
        except hiredis.ProtocolError:
            raise Malformed(400) from None


def parse_exec_reply(exec_reply: object) -> tuple[str, float]:
    """Return the outcome and the total from the reply to EXEC.

    A transaction that the server did not execute has added nothing; its outcome is "full".

    Raises:
        Malformed: The reply has another form, so the units may have been added.
    """
    if exec_reply is None or isinstance(exec_reply, hiredis.ReplyError):
        return "full", 0.0
    if not isinstance(exec_reply, list) or len(exec_reply) != 2 or not isinstance(exec_reply[1], bytes):
        raise Malformed(400)
    return "ok", parse_total(exec_reply[1])
