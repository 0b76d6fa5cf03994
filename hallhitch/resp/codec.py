"""The RESP2 codec: commands are parsed by hiredis within size limits, and replies are encoded as bytes."""

from __future__ import annotations

import re
from typing import Final

import hiredis

MAX_COMMAND_BYTES: Final = 64 * 1024  # limits the memory for the incomplete command of one connection
MAX_ARGUMENTS: Final = 64
# hiredis allocates as many elements as the header of an aggregate announces, so large counts must not reach it.
AGGREGATE_HEADER: Final = re.compile(rb"[*%~>|](\d{3,})")
MAX_COUNT_DIGITS: Final = 3  # a longer count exceeds MAX_ARGUMENTS and is not converted to an integer
HEADER_OVERLAP_BYTES: Final = 20  # of earlier data, kept to find a header that is split between reads


class CommandReader:
    """Parses the commands of one connection; once `framing_error` is set, no further data can be parsed."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        self._pending_bytes = 0  # received since the last complete command
        self._search_tail = b""
        self.framing_error = ""

    @property
    def has_partial_command(self) -> bool:
        """Whether a command has been received in part."""
        return self._pending_bytes > 0

    def feed(self, data: memoryview) -> list[object]:
        """Return the commands that this data completes, up to a framing error, if there is one."""
        data = self._truncate_at_oversized_header(data)
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

    def _truncate_at_oversized_header(self, data: memoryview) -> memoryview:
        """Return the data up to the first header that announces too many elements.

        The raw bytes are searched, so an argument that looks like such a header is rejected too. No name that a
        command accepts looks like one.
        """
        searched = self._search_tail + data
        self._search_tail = searched[-HEADER_OVERLAP_BYTES:]
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
    """Encode an error; the first word of the text is the error code."""
    return b"-%s\r\n" % re.sub(r"[\r\n]+", " ", text).encode(errors="replace")


def encode_bulk_string(data: bytes | None) -> bytes:
    """Encode a bulk string, or a null bulk string for None."""
    return b"$-1\r\n" if data is None else b"$%d\r\n%s\r\n" % (len(data), data)


def encode_integer(value: int) -> bytes:
    """Encode an integer."""
    return b":%d\r\n" % value


def encode_array(items: list[bytes]) -> bytes:
    """Encode an array of items that are encoded already."""
    return b"*%d\r\n%s" % (len(items), b"".join(items))
