"""The HTTP/1.1 codec: bounded parsing with httptools, and the encoding of answers' heads.

Invariants:
- No more of a message than its bounds allow is buffered, whatever the peer sends.
- A trailer changes nothing of what the head said.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import httptools

from hallhitch.net.flow import Flow

MAX_BODY_BYTES: Final = 64 * 1024  # of a body that is buffered
MAX_LONG_BODY_BYTES: Final = 34 * 1024 * 1024  # of a body that is passed on in pieces
MAX_HEAD_BYTES: Final = 16 * 1024
MAX_LENGTH_DIGITS: Final = 18  # of Content-Length; more are taken for too long
FIELD_OVERHEAD_BYTES: Final = 4  # of a header field beside name and value: colon, space, line end
MAX_CHUNK_OVERHEAD_RATIO: Final = 8  # bytes read for each of the body: chunks of one byte are six


class Malformed(Exception):  # noqa: N818  named for the event, as callers read it
    """Bytes that are not acceptable; `status` is the answer to a client that sent them."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(slots=True)
class Message:
    """One request or answer."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by name in lower case; the last one of each
    twice: list[bytes] = field(default_factory=list)  # names that came more than once
    fields: list[tuple[bytes, bytes]] | None = None  # all as they came, where a reader keeps them
    body: bytes = b""
    flow: Flow | None = None  # the body, where it is passed on in pieces
    length: int | None = None  # of the body by its head; None if it gives none
    version: str = "1.1"
    keep: bool = True


def refused(size: int) -> bool:
    """Return False: there is no room to buffer a long body."""
    return False


class _Reader:
    """What readers of requests and of answers have in common."""

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser
    # Whether a body that is declared long is passed on from its first byte, as its receiver waits for that.
    _passes_early = False

    def __init__(
        self,
        long: bool = False,
        hold: Callable[[int], bool] = refused,
        *,
        head_most: int = MAX_HEAD_BYTES,
        body_most: int = MAX_BODY_BYTES,
        long_most: int = MAX_LONG_BODY_BYTES,
    ) -> None:
        """Refuse bodies above `body_most`; if `long`, pass them on in pieces once `hold` reserves no more room.

        A message that is passed on is returned when that begins; its flow has the rest.
        """
        self._head_most, self._body_most = head_most, body_most
        self._long_most, self._hold = long_most if long else body_most, hold
        self._message = Message()
        self._parts: list[bytes] = []
        self._size = 0
        self._head = self._fields = 0  # bytes read within the head; bytes of its complete fields
        self._raw = 0  # bytes read since the last complete message
        self._in_head = True
        self._early = False  # whether this body is passed on from its first byte
        self._done: list[Message] = []
        self._refused = 0  # the status of what was refused within a read
        self.partial = False  # whether a message is partly received

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Parse received bytes and return the messages that are complete, or begin to be passed on.

        Raises:
            Malformed: the bytes are not acceptable; a body in passing is broken off.
        """
        self._head += len(data) if self._in_head else 0
        self._raw += len(data)
        status = 0
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            status = 400
        except httptools.HttpParserError:
            status = self._refused or (431 if self._head > self._head_most else 400)
        if self._raw > self._head_most and not status:
            if self._in_head and self._head > self._head_most:
                status = 431
            # Endless chunk extensions or trailers belong to no field and no body.
            elif self._raw > self._head_most + MAX_CHUNK_OVERHEAD_RATIO * max(self._body_most, self._size):
                status = 413
        if status:
            self.fail()
            raise Malformed(status)
        return self.completed()

    def fail(self) -> None:
        """Break off a body in passing: nothing more comes."""
        if self._message.flow is not None:
            self._message.flow.fail()

    def close(self) -> None:
        """Release the parser and what was read: parser and reader hold each other."""
        self.fail()
        del self.parser
        self._message, self._parts, self._done, self._hold = Message(), [], [], refused

    def completed(self) -> list[Message]:
        """Return the messages that are complete and were not returned yet, also those before an error."""
        done, self._done = self._done, []
        return done

    @property
    def begun(self) -> Message | None:
        """The message whose body is being received, if any."""
        return self._message if self.partial and not self._in_head else None

    @property
    def size(self) -> int:
        """The bytes of that body so far."""
        return self._size

    def pass_on(self) -> None:
        """Pass the body that is being received on in pieces from here on."""
        message = self._message
        if message.flow is None:
            message.flow = Flow()
            for part in self._parts:
                message.flow.put(part)
            self._parts = []
            message.keep = self.parser.should_keep_alive()
            self._finish(message)
            self._done.append(message)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._message, self._parts, self._size = Message(), [], 0
        self.partial = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self._fields > self._head_most:
            self._refuse(431)
        if not self._in_head:
            return  # a trailer
        name, value = name.lower(), value.strip(b" \t")
        if name in self._message.headers:
            self._message.twice.append(name)
        self._message.headers[name] = value

    def on_headers_complete(self) -> None:
        self._in_head = False
        length = self._message.headers.get(b"content-length")
        if length is not None and length.isdigit():
            self._message.length = int(length) if len(length) <= MAX_LENGTH_DIGITS else self._long_most + 1
            if self._message.length > self._body_most:
                if self._message.length > self._long_most:
                    self._refuse(413)
                self._early = self._passes_early

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > self._long_most:
            self._refuse(413)
        if self._message.flow is not None:
            return self._message.flow.put(body)
        self._parts.append(body)
        if (self._size > self._body_most or self._early) and self._passes(len(body)):
            self.pass_on()
            return None
        return None

    def _passes(self, more: int) -> bool:
        """Return whether a body that has grown by so much is passed on from here on."""
        return not self._hold(more)

    def on_message_complete(self) -> None:
        message = self._message
        message.keep = self.parser.should_keep_alive()
        if message.flow is not None:
            message.flow.end()
        else:
            message.body = b"".join(self._parts)
            self._finish(message)
            self._done.append(message)
        self._parts, self._early = [], False
        self.partial, self._in_head = False, True
        self._head = self._fields = self._raw = 0

    def _finish(self, message: Message) -> None:
        """Set the fields of the first line."""
        raise NotImplementedError

    def _refuse(self, status: int) -> None:
        self._refused = status
        raise Malformed(status)


class RequestReader(_Reader):
    """Reads the requests of one connection."""

    def __init__(
        self,
        long: bool = False,
        hold: Callable[[int], bool] = refused,
        *,
        head_most: int = MAX_HEAD_BYTES,
        body_most: int = MAX_BODY_BYTES,
        long_most: int = MAX_LONG_BODY_BYTES,
    ) -> None:
        super().__init__(long, hold, head_most=head_most, body_most=body_most, long_most=long_most)
        self.expects = False  # whether the client waits for 100 Continue
        self.parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        """Take a part of the target (httptools)."""
        self._message.target += url

    def on_headers_complete(self) -> None:
        """End the head (httptools)."""
        super().on_headers_complete()
        head = self._message.headers
        if b"expect" in head:
            self.expects = head[b"expect"].lower() == b"100-continue" and (
                bool(self._message.length) or b"transfer-encoding" in head
            )

    def on_body(self, body: bytes) -> None:
        """Take a part of the body (httptools)."""
        self.expects = False
        super().on_body(body)

    def _finish(self, message: Message) -> None:
        message.method = self.parser.get_method()
        if not message.keep or b"connection" in message.headers:  # else it is 1.1, without asking
            message.version = self.parser.get_http_version()


class AnswerReader(_Reader):
    """Reads the answers of one connection."""

    _passes_early = True

    def __init__(
        self,
        long: bool = False,
        *,
        head_most: int = MAX_HEAD_BYTES,
        body_most: int = MAX_BODY_BYTES,
        long_most: int = MAX_LONG_BODY_BYTES,
    ) -> None:
        super().__init__(long, head_most=head_most, body_most=body_most, long_most=long_most)
        self.parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)

    def end(self) -> list[Message]:
        """Return what the end of the connection completes: a body with neither a length nor chunks."""
        message = self.begun
        if message is None or message.length is not None or b"transfer-encoding" in message.headers:
            return []
        self.on_message_complete()
        message.keep = False
        return self.completed()

    def _passes(self, more: int) -> bool:
        return True

    def _finish(self, message: Message) -> None:
        message.status = self.parser.get_status_code()


def origin_of(target: bytes) -> bytes:
    """Return the origin form of a request's target, which the absolute form has behind its host."""
    if not target.startswith(b"/"):
        scheme, mark, rest = target.partition(b"://")
        if mark and scheme.lower() in (b"http", b"https"):
            rest = rest[len(rest.partition(b"/")[0].partition(b"?")[0]) :]
            return rest if rest.startswith(b"/") else b"/" + rest
    return target


def path_of(target: bytes) -> bytes:
    """Return the path of a request's target, in the origin form or the absolute one."""
    return origin_of(target).partition(b"?")[0]


REASON_PHRASES: Final = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


def head(status: int, length: int | None, *, headers: bytes = b"", close: bool = False, version: str = "1.1") -> bytes:
    """Return an answer's head; a body without a length comes in chunks, to HTTP/1.0 until the connection ends."""
    ending = b"Connection: close\r\n" if close else b"Connection: keep-alive\r\n" if version == "1.0" else b""
    size = (
        b"Content-Length: %d\r\n" % length
        if length is not None
        else (b"" if version == "1.0" else b"Transfer-Encoding: chunked\r\n")
    )
    return b"HTTP/1.1 %d %s\r\n%s%s%s\r\n" % (status, REASON_PHRASES[status], size, headers, ending)


def answer(status: int, body: bytes = b"", *, headers: bytes = b"", close: bool = False, version: str = "1.1") -> bytes:
    """Return a complete answer."""
    return head(status, len(body), headers=headers, close=close, version=version) + body
