"""The RESP2 codec: commands read with hiredis within bounds, replies written."""

from __future__ import annotations

import re

import hiredis

COMMAND_MOST = 64 * 1024  # bytes of one command
COUNT_MOST = 64  # arguments of one command
# hiredis makes room for as many elements as an array's head promises, so a head may promise few.
HEAD = re.compile(rb"[*%~>|](\d{3,})")


class CommandReader:
    """Reads the commands of one connection."""

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        self._held = 0  # bytes since the last whole command
        self._tail = b""
        self.broken = ""  # how framing was lost: the connection cannot go on

    @property
    def partial(self) -> bool:
        """Whether a command has begun and not ended."""
        return self._held > 0

    def feed(self, data: memoryview) -> list[object]:
        """The commands completed, up to where framing is lost if it is."""
        # Judged by the raw bytes: an argument that looks like such a head is no name that a command takes.
        looked_at = self._tail + data
        for head in HEAD.finditer(looked_at):
            if len(head[1]) > 3 or int(head[1]) > COUNT_MOST:
                self.broken = "too many arguments"
                data = data[: max(0, head.start() - len(self._tail))]
                break
        self._tail = looked_at[-20:]
        self._held += len(data)
        self._reader.feed(bytes(data))
        commands = []
        try:
            while (command := self._reader.gets()) is not False:
                commands.append(command)
        except hiredis.ProtocolError:
            self.broken = "unreadable framing"
        if commands:
            self._held = len(data) if self._reader.has_data() else 0
        if self._held > COMMAND_MOST:
            self.broken = "the command is too long"
        return commands


def simple(text: str) -> bytes:
    """A simple string."""
    return b"+%s\r\n" % text.encode()


def error(text: str) -> bytes:
    """An error; its first word is its kind."""
    return b"-%s\r\n" % re.sub(r"[\r\n]+", " ", text).encode(errors="replace")


def bulk(data: bytes | None) -> bytes:
    """A bulk string, or nil."""
    return b"$-1\r\n" if data is None else b"$%d\r\n%s\r\n" % (len(data), data)


def integer(value: int) -> bytes:
    """An integer."""
    return b":%d\r\n" % value


def array(items: list[bytes]) -> bytes:
    """An array of replies already written."""
    return b"*%d\r\n%s" % (len(items), b"".join(items))
