"""The RESP2 codec: commands read with hiredis within bounds, replies encoded as bytes."""

from __future__ import annotations

import re
from typing import Final

import hiredis

MAX_COMMAND_BYTES: Final = 64 * 1024  # bounds the memory that one connection's unfinished command takes
MAX_ARGUMENTS: Final = 64
# hiredis allocates as many elements as an aggregate's header announces, so a header may announce few.
AGGREGATE_HEADER: Final = re.compile(rb"[*%~>|](\d{3,})")
MAX_COUNT_DIGITS: Final = 3  # a longer count is beyond MAX_ARGUMENTS, and is not converted
HEADER_OVERLAP_BYTES: Final = 20  # kept of earlier data, so that a header split between reads is found


class CommandReader:
    """Reads the commands of one connection; after `framing_error` is set the connection cannot go on."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        self._pending_bytes = 0  # since the last complete command
        self._tail = b""
        self.framing_error = ""

    @property
    def has_partial_command(self) -> bool:
        """Whether a command has begun and not ended."""
        return self._pending_bytes > 0

    def feed(self, data: memoryview) -> list[object]:
        """Return the commands that this data completes, up to where framing is lost, if it is."""
        data = self._before_oversized_header(data)
        self._pending_bytes += len(data)
        self._reader.feed(bytes(data))
        commands = []
        try:
            while (command := self._reader.gets()) is not False:
                commands.append(command)
        except hiredis.ProtocolError:
            self.framing_error = "unreadable framing"
        if commands:
            self._pending_bytes = len(data) if self._reader.has_data() else 0
        if self._pending_bytes > MAX_COMMAND_BYTES:
            self.framing_error = "the command is too long"
        return commands

    def _before_oversized_header(self, data: memoryview) -> memoryview:
        """Cut the data before a header that announces too many elements.

        The raw bytes are searched: an argument that looks like such a header is no name that a command takes.
        """
        searched = self._tail + data
        self._tail = searched[-HEADER_OVERLAP_BYTES:]
        for header in AGGREGATE_HEADER.finditer(searched):
            if len(header[1]) > MAX_COUNT_DIGITS or int(header[1]) > MAX_ARGUMENTS:
                self.framing_error = "too many arguments"
                tail_bytes = len(searched) - len(data)
                return data[: max(0, header.start() - tail_bytes)]
        return data


def encode_simple_string(text: str) -> bytes:
    """Encode a simple string."""
    return b"+%s\r\n" % text.encode()


def encode_error(text: str) -> bytes:
    """Encode an error; its first word is its kind."""
    return b"-%s\r\n" % re.sub(r"[\r\n]+", " ", text).encode(errors="replace")


def encode_bulk_string(data: bytes | None) -> bytes:
    """Encode a bulk string, or nil."""
    return b"$-1\r\n" if data is None else b"$%d\r\n%s\r\n" % (len(data), data)


def encode_integer(value: int) -> bytes:
    """Encode an integer."""
    return b":%d\r\n" % value


def encode_array(items: list[bytes]) -> bytes:
    """Encode an array of encoded replies."""
    return b"*%d\r\n%s" % (len(items), b"".join(items))
