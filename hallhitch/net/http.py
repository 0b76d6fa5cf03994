"""The HTTP/1.1 codec: bounded parsing with httptools, and the writing of heads."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from hallhitch.net.flow import Flow

BODY_MOST = 64 * 1024  # bytes of a body that is read whole
LONG_MOST = 34 * 1024 * 1024  # and of one that passes in pieces
HEAD_MOST = 16 * 1024


class Malformed(Exception):
    """What came is not acceptable; `status` says how to answer it."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(slots=True)
class Message:
    """One request or answer, whole."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)  # names in lower case; the last of each
    twice: list[bytes] = field(default_factory=list)  # names that came more than once
    fields: list[tuple[bytes, bytes]] | None = None  # all of them as they came, where a reader keeps them
    body: bytes = b""
    flow: Flow | None = None  # the body, where it is long and passes in pieces
    length: int | None = None  # of the body as its head says; None where it does not
    version: str = "1.1"
    keep: bool = True


def refused(size: int) -> bool:
    """No room for any bytes."""
    return False


class _Reader:
    """What reading requests and answers have in common; `feed` returns the messages completed."""

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser
    # Whether what is declared long passes from its first byte on, as that is what its receiver waits for.
    _passes_early = False

    def __init__(
        self,
        long: bool = False,
        hold: Callable[[int], bool] = refused,
        *,
        head_most: int = HEAD_MOST,
        body_most: int = BODY_MOST,
        long_most: int = LONG_MOST,
    ) -> None:
        """Bodies past `body_most` are refused; if `long`, they pass in pieces once `hold` gives no more room for them.

        A message that passes is given out where it begins to, and its flow then tells of the rest.
        """
        self._head_most, self._body_most = head_most, body_most
        self._long_most, self._hold = long_most if long else body_most, hold
        self._message = Message()
        self._parts: list[bytes] = []
        self._size = 0
        self._head = self._fields = 0  # bytes read while in the head; bytes of the fields that came whole
        self._raw = 0  # bytes read since the last whole message
        self._in_head = True
        self._early = False  # whether this body passes from its first byte on
        self._done: list[Message] = []
        self._refused = 0  # the status of what was refused in the middle of a read
        self.partial = False  # whether a message has begun and not ended

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Take what was read; what cannot be accepted raises Malformed, and breaks a body that passes."""
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
            # Chunk extensions or trailers without end are in no field and no body; chunks of one byte are six.
            elif self._raw > self._head_most + 8 * max(self._body_most, self._size):
                status = 413
        if status:
            self.fail()
            raise Malformed(status)
        return self.completed()

    def fail(self) -> None:
        """Nothing more comes: a body that passes breaks off."""
        if self._message.flow is not None:
            self._message.flow.fail()

    def close(self) -> None:
        """Nothing more is read. Parser and reader hold each other, and what was read, until one lets go."""
        self.fail()
        del self.parser
        self._message, self._parts, self._done, self._hold = Message(), [], [], refused

    def completed(self) -> list[Message]:
        """The messages completed and not yet taken: before an error too, some may be."""
        done, self._done = self._done, []
        return done

    @property
    def begun(self) -> Message | None:
        """The message whose body is coming, if one is."""
        return self._message if self.partial and not self._in_head else None

    @property
    def size(self) -> int:
        """Bytes of that body so far."""
        return self._size

    def pass_on(self) -> None:
        """Let the body that is coming pass in pieces from here on."""
        message = self._message
        if message.flow is None:
            message.flow = Flow()
            for part in self._parts:
                message.flow.put(part)
            self._parts = []
            message.keep = self.parser.should_keep_alive()
            self._finish(message)
            self._done.append(message)

    # Called by the parser.

    def on_message_begin(self) -> None:
        self._message, self._parts, self._size = Message(), [], 0
        self.partial = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields += len(name) + len(value) + 4
        if self._fields > self._head_most:
            self._refuse(431)
        if not self._in_head:
            return  # a trailer: nothing here rests on one, and none may change what the head said
        name, value = name.lower(), value.strip(b" \t")
        if name in self._message.headers:
            self._message.twice.append(name)
        self._message.headers[name] = value

    def on_headers_complete(self) -> None:
        self._in_head = False
        length = self._message.headers.get(b"content-length")
        if length is not None and length.isdigit():
            self._message.length = int(length) if len(length) <= 18 else self._long_most + 1
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

    def _passes(self, more: int) -> bool:
        """Whether a body that has grown by so much passes in pieces from here on."""
        return not self._hold(more)

    def on_message_complete(self) -> None:
        m = self._message
        m.keep = self.parser.should_keep_alive()
        if m.flow is not None:
            m.flow.end()
        else:
            m.body = b"".join(self._parts)
            self._finish(m)
            self._done.append(m)
        self._parts, self._early = [], False
        self.partial, self._in_head, self._head, self._fields, self._raw = False, True, 0, 0, 0

    def _finish(self, message: Message) -> None:
        """Fill in the first line."""
        raise NotImplementedError

    def _refuse(self, status: int) -> None:
        self._refused = status
        raise Malformed(status)


class RequestReader(_Reader):
    """Reads requests off one connection."""

    def __init__(
        self,
        long: bool = False,
        hold: Callable[[int], bool] = refused,
        *,
        head_most: int = HEAD_MOST,
        body_most: int = BODY_MOST,
        long_most: int = LONG_MOST,
    ) -> None:
        super().__init__(long, hold, head_most=head_most, body_most=body_most, long_most=long_most)
        self.expects = False  # whether a client waits to be told to send its body
        self.parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self._message.target += url

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        head = self._message.headers
        if b"expect" in head:
            self.expects = head[b"expect"].lower() == b"100-continue" and (
                bool(self._message.length) or b"transfer-encoding" in head
            )

    def on_body(self, body: bytes) -> None:
        self.expects = False
        super().on_body(body)

    def _finish(self, message: Message) -> None:
        message.method = self.parser.get_method()
        if not message.keep or b"connection" in message.headers:  # else it is 1.1, without asking
            message.version = self.parser.get_http_version()


class AnswerReader(_Reader):
    """Reads answers off one connection."""

    _passes_early = True

    def __init__(
        self,
        long: bool = False,
        *,
        head_most: int = HEAD_MOST,
        body_most: int = BODY_MOST,
        long_most: int = LONG_MOST,
    ) -> None:
        super().__init__(long, head_most=head_most, body_most=body_most, long_most=long_most)
        self.parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)

    def end(self) -> list[Message]:
        """The connection has ended in order: so has a body that said neither its length nor chunks."""
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
    """The origin form of a request's target: what the absolute one names beside its host."""
    if not target.startswith(b"/"):
        scheme, mark, rest = target.partition(b"://")
        if mark and scheme.lower() in (b"http", b"https"):
            rest = rest[len(rest.partition(b"/")[0].partition(b"?")[0]) :]
            return rest if rest.startswith(b"/") else b"/" + rest
    return target


def path_of(target: bytes) -> bytes:
    """The path that a request's target names, in the origin form or the absolute one."""
    return origin_of(target).partition(b"?")[0]


REASONS = {
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
    """An answer's head; without a length, its body comes in chunks, or to the end of a connection of HTTP/1.0."""
    ending = b"Connection: close\r\n" if close else b"Connection: keep-alive\r\n" if version == "1.0" else b""
    size = (
        b"Content-Length: %d\r\n" % length
        if length is not None
        else (b"" if version == "1.0" else b"Transfer-Encoding: chunked\r\n")
    )
    return b"HTTP/1.1 %d %s\r\n%s%s%s\r\n" % (status, REASONS[status], size, headers, ending)


def answer(status: int, body: bytes = b"", *, headers: bytes = b"", close: bool = False, version: str = "1.1") -> bytes:
    """One whole answer."""
    return head(status, len(body), headers=headers, close=close, version=version) + body
