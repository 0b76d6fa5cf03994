"""The modelled counter on the wire: over HTTP and over RESP. Calls may be pipelined; replies keep their order."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any, Final

from hallhitch.lab.http_messages import Reader, Writer, encode_response, read_message
from hallhitch.lab.services import Counter
from hallhitch.resp.codec import CommandReader, encode_array, encode_bulk_string, encode_error, encode_simple_string

READ_BYTES: Final = 65_536


@dataclass(slots=True, eq=False)
class PendingReply:
    """A call's place in the order of replies."""

    data: bytes | None = None


class OrderedReplies:
    """The replies of one connection, written in the order of their calls."""

    def __init__(self, writer: Writer) -> None:
        self._writer = writer
        self._pending: deque[PendingReply] = deque()

    def expect(self) -> PendingReply:
        """Reserve the place of a call's reply."""
        pending = PendingReply()
        self._pending.append(pending)
        return pending

    def complete(self, pending: PendingReply, data: bytes) -> None:
        """Write a reply once all before it are written, and those that waited for it."""
        pending.data = data
        while self._pending and (ready := self._pending[0].data) is not None:
            self._pending.popleft()
            if not self._writer.transport.is_closing():
                self._writer.write(ready)

    def abort(self) -> None:
        """Abort the connection."""
        self._writer.transport.abort()


class HttpCounterServer:
    """`POST /NAME?n=UNITS&keep_ms=LIFETIME`, answered with the total."""

    def __init__(self, counter: Counter) -> None:
        self._counter = counter

    async def serve(self, reader: Reader, writer: Writer) -> None:
        """Serve the calls of a connection."""
        replies = OrderedReplies(writer)
        while True:
            request_line, *_ = await read_message(reader)
            path, _, query = request_line.split()[1].partition("?")
            parameters = dict(part.partition("=")[::2] for part in query.split("&"))
            if self._counter.is_down:
                return
            pending = replies.expect()

            def on_reply(outcome: str, total: float, pending: PendingReply = pending) -> None:
                if outcome == "unreachable":
                    replies.abort()
                elif outcome == "ok":
                    replies.complete(pending, encode_response(200, b"%.7g" % total))
                else:
                    replies.complete(pending, encode_response(503))

            name = int(path.rpartition("/")[2])
            self._counter.call(name, float(parameters["n"]), float(parameters["keep_ms"]), on_reply)


@dataclass(slots=True)
class _Transaction:
    """The commands queued since MULTI."""

    commands: list[list[bytes]]
    is_discarded: bool = False  # a command of it was wrong


class RespCounterServer:
    """A RESP2 server with the commands that a counter needs.

    These are SET name 0 PX lifetime NX and INCRBYFLOAT inside MULTI and EXEC. Any other command is an error, and has
    its transaction discarded.
    """

    def __init__(self, counter: Counter) -> None:
        self._counter = counter

    async def serve(self, reader: Reader, writer: Writer) -> None:
        """Serve the commands of a connection."""
        replies, parser = OrderedReplies(writer), CommandReader()
        transaction: _Transaction | None = None
        while data := await reader.read(READ_BYTES):
            for command in parser.feed(memoryview(data)):
                words = command if isinstance(command, list) else []
                if self._counter.is_down:
                    return
                transaction = self._on_command(words, transaction, replies)
            if parser.framing_error:
                return

    def _on_command(
        self, words: list[Any], transaction: _Transaction | None, replies: OrderedReplies
    ) -> _Transaction | None:
        """Carry out a command; the transaction that is open behind it."""
        name = bytes(words[0]).upper() if words else b""
        pending = replies.expect()
        if name == b"MULTI" and transaction is None:
            replies.complete(pending, encode_simple_string("OK"))
            return _Transaction([])
        if name == b"EXEC" and transaction is not None:
            if transaction.is_discarded:
                message = "EXECABORT Transaction discarded because of previous errors."
                replies.complete(pending, encode_error(message))
            else:
                self._execute(transaction.commands, replies, pending)
            return None
        if transaction is not None and _is_counter_command(words):
            transaction.commands.append(words)
            replies.complete(pending, encode_simple_string("QUEUED"))
            return transaction
        if transaction is not None:
            transaction.is_discarded = True
        replies.complete(pending, encode_error(f"ERR unknown command '{name.decode(errors='replace')}' here"))
        return transaction

    def _execute(self, commands: list[list[bytes]], replies: OrderedReplies, pending: PendingReply) -> None:
        """Call the counter for the commands of a transaction."""
        lifetimes = {words[1]: float(words[4]) for words in commands if words[0].upper() == b"SET"}
        increments = [words for words in commands if words[0].upper() == b"INCRBYFLOAT"]
        if len(increments) != 1 or increments[0][1] not in lifetimes:
            replies.complete(pending, encode_error("ERR a call is one name's SET and INCRBYFLOAT"))
            return
        name, units = increments[0][1], float(increments[0][2])

        def on_reply(outcome: str, total: float) -> None:
            if outcome == "unreachable":
                replies.abort()
            elif outcome != "ok":
                replies.complete(pending, encode_error("BUSY the queue is full"))
            else:
                # SET with NX replies OK for a new name, whose total is what was added, and nil otherwise.
                set_reply = encode_simple_string("OK") if total == units else encode_bulk_string(None)
                increment_reply = encode_bulk_string(b"%.7g" % total)
                parts = [set_reply if words[0].upper() == b"SET" else increment_reply for words in commands]
                replies.complete(pending, encode_array(parts))

        self._counter.call(int(name), units, lifetimes[name], on_reply)


def _is_counter_command(words: list[Any]) -> bool:
    name = bytes(words[0]).upper()
    if name == b"SET":
        return len(words) == 6 and bytes(words[3]).upper() == b"PX" and bytes(words[5]).upper() == b"NX"
    return name == b"INCRBYFLOAT" and len(words) == 3


COUNTER_SERVERS: Final[dict[str, type[HttpCounterServer] | type[RespCounterServer]]] = {
    "http": HttpCounterServer,
    "resp": RespCounterServer,
}
