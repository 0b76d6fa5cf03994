"""The modelled counter on the wire: over HTTP, and as a RESP server. Calls may be written one behind another; answers
keep their order."""

from __future__ import annotations

from collections import deque
from typing import Any

from hallhitch.lab.http_messages import Reader, Writer, encode_response, read_message
from hallhitch.lab.services import Counter
from hallhitch.resp.codec import CommandReader, encode_array, encode_bulk_string, encode_error, encode_simple_string


class OrderedReplies:
    """Answers of one connection, written in the order of their calls."""

    def __init__(self, writer: Writer) -> None:
        self._writer = writer
        self._waiting: deque[list[bytes | None]] = deque()

    def place(self) -> list[bytes | None]:
        """The place of a call's answer."""
        slot: list[bytes | None] = [None]
        self._waiting.append(slot)
        return slot

    def give(self, slot: list[bytes | None], text: bytes) -> None:
        """An answer, and all behind it that waited for it alone."""
        slot[0] = text
        while self._waiting and (ready := self._waiting[0][0]) is not None:
            self._waiting.popleft()
            if not self._writer.transport.is_closing():
                self._writer.write(ready)

    def abort(self) -> None:
        """Break the connection."""
        self._writer.transport.abort()


class HttpCounterServer:
    """`POST /NAME?n=UNITS&keep_ms=LIFETIME`, answered with the total."""

    def __init__(self, counter: Counter) -> None:
        self._counter = counter

    async def serve(self, reader: Reader, writer: Writer) -> None:
        """Answer calls."""
        answers = OrderedReplies(writer)
        while True:
            first, *_ = await read_message(reader)
            path, _, query = first.split()[1].partition("?")
            told = dict(part.partition("=")[::2] for part in query.split("&"))
            if self._counter.is_down:
                return
            slot = answers.place()

            def reply(outcome: str, total: float, slot: list[bytes | None] = slot) -> None:
                if outcome == "unreachable":
                    return answers.abort()
                answers.give(slot, encode_response(200, b"%.7g" % total) if outcome == "ok" else encode_response(503))

            self._counter.call(int(path.rpartition("/")[2]), float(told["n"]), float(told["keep_ms"]), reply)


class RespCounterServer:
    """A RESP2 server with the commands that a counter needs: SET name 0 PX life NX and INCRBYFLOAT inside MULTI and
    EXEC, as the protocol has them. What else comes is an error, and spoils its transaction."""

    def __init__(self, counter: Counter) -> None:
        self._counter = counter

    async def serve(self, reader: Reader, writer: Writer) -> None:
        """Answer commands."""
        answers, commands = OrderedReplies(writer), CommandReader()
        queued: list[list[bytes]] | None = None  # inside MULTI
        spoilt = False
        while data := await reader.read(65_536):
            for command in commands.feed(memoryview(data)):
                words = command if isinstance(command, list) else []
                name = bytes(words[0]).upper() if words else b""
                if self._counter.is_down:
                    return
                slot = answers.place()
                if name == b"MULTI" and queued is None:
                    queued, spoilt = [], False
                    answers.give(slot, encode_simple_string("OK"))
                elif name == b"EXEC" and queued is not None:
                    calls, queued = queued, None
                    if spoilt:
                        answers.give(slot, encode_error("EXECABORT Transaction discarded because of previous errors."))
                    else:
                        self._run(calls, answers, slot)
                elif queued is not None and _known(words):
                    queued.append(words)
                    answers.give(slot, encode_simple_string("QUEUED"))
                else:
                    spoilt = queued is not None
                    answers.give(slot, encode_error(f"ERR unknown command '{name.decode(errors='replace')}' here"))
            if commands.framing_error:
                return

    def _run(self, calls: list[list[bytes]], answers: OrderedReplies, slot: list[bytes | None]) -> None:
        lives = {words[1]: float(words[4]) for words in calls if words[0].upper() == b"SET"}
        adds = [words for words in calls if words[0].upper() == b"INCRBYFLOAT"]
        if len(adds) != 1 or adds[0][1] not in lives:
            return answers.give(slot, encode_error("ERR a call is one name's SET and INCRBYFLOAT"))

        def reply(outcome: str, total: float) -> None:
            if outcome == "unreachable":
                return answers.abort()
            if outcome != "ok":
                return answers.give(slot, encode_error("BUSY the queue is full"))
            made = (
                encode_simple_string("OK") if total == float(adds[0][2]) else encode_bulk_string(None)
            )  # NX: nil where the name was there
            answers.give(
                slot,
                encode_array(
                    [made if words[0].upper() == b"SET" else encode_bulk_string(b"%.7g" % total) for words in calls]
                ),
            )

        self._counter.call(int(adds[0][1]), float(adds[0][2]), lives[adds[0][1]], reply)


def _known(words: list[Any]) -> bool:
    name = bytes(words[0]).upper()
    if name == b"SET":
        return len(words) == 6 and bytes(words[3]).upper() == b"PX" and bytes(words[5]).upper() == b"NX"
    return name == b"INCRBYFLOAT" and len(words) == 3


COUNTER_SERVERS: dict[str, type[HttpCounterServer] | type[RespCounterServer]] = {
    "http": HttpCounterServer,
    "resp": RespCounterServer,
}
