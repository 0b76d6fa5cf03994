"""Codec of a counter that speaks RESP2: each call is one transaction, as the HTTP counter's is one request."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Final, cast

import hiredis

from hallhitch.net.counter_codec import parse_total
from hallhitch.net.http import Malformed

REPLIES_PER_CALL: Final = 4  # to MULTI; to SET and INCRBYFLOAT, as queued; to EXEC
MAX_LIFETIME_MS: Final = 60_000  # bounds how long a counter that nobody adds to any more is kept


class RespCounterCodec:
    """Encodes calls and decodes totals; the call that creates a counter sets when it expires."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        self._replies: list[object] = []

    @property
    def partial(self) -> bool:
        """Whether an answer has begun and not ended."""
        return bool(self._replies) or self._reader.has_data()

    def call(self, name: int, units: float, lifetime: float) -> bytes:
        """Encode one call; `lifetime` is in ms."""
        lifetime_ms = min(MAX_LIFETIME_MS, max(1, round(lifetime)))
        # The type stub of this function allows commands of one word only.
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
        """Yield outcome and total of the calls that this data completes.

        Raises:
            Malformed: The data is no answer to a call.
        """
        self._reader.feed(bytes(data))
        try:
            while (reply := self._reader.gets()) is not False:
                self._replies.append(reply)
                if len(self._replies) == REPLIES_PER_CALL:
                    self._replies.clear()
                    yield call_outcome(reply)
        except hiredis.ProtocolError:
            raise Malformed(400) from None


def call_outcome(exec_reply: object) -> tuple[str, float]:
    """Return the outcome and total that the reply to EXEC carries.

    A transaction that was not executed has added nothing: the counter is full.

    Raises:
        Malformed: The reply is of another form, and the units may have been added.
    """
    if exec_reply is None or isinstance(exec_reply, hiredis.ReplyError):
        return "full", 0.0
    if not isinstance(exec_reply, list) or len(exec_reply) != 2 or not isinstance(exec_reply[1], bytes):
        raise Malformed(400)
    return "ok", parse_total(exec_reply[1])
