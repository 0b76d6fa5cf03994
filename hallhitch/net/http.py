"""The HTTP/1.1 codec: bounded parsing with httptools, and the writing of heads."""

from __future__ import annotations

from dataclasses import dataclass, field

import httptools

BODY_MOST = 64 * 1024
HEAD_MOST = 16 * 1024
RAW_MOST = HEAD_MOST + 8 * BODY_MOST  # bytes of one message as sent: chunks of one byte are six


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
    body: bytes = b""
    keep: bool = True


class _Reader:
    """What reading requests and answers have in common; `feed` returns the messages completed."""

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def __init__(self) -> None:
        self._message = Message()
        self._parts: list[bytes] = []
        self._size = 0
        self._head = self._fields = 0  # bytes read while in the head; bytes of the fields that came whole
        self._raw = 0  # bytes read since the last whole message
        self._in_head = True
        self._done: list[Message] = []
        self._refused: Malformed | None = None
        self.partial = False  # whether a message has begun and not ended

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Take what was read; what cannot be accepted raises Malformed."""
        self._head += len(data) if self._in_head else 0
        self._raw += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise Malformed(400) from None
        except httptools.HttpParserError:
            raise self._refused or Malformed(431 if self._head > HEAD_MOST else 400) from None
        if self._in_head and self._head > HEAD_MOST:
            raise Malformed(431)
        if self._raw > RAW_MOST:  # chunk extensions or trailers without end, in no field and no body
            raise Malformed(413)
        return self.completed()

    def completed(self) -> list[Message]:
        """The messages completed and not yet taken: before an error too, some may be."""
        done, self._done = self._done, []
        return done

    # Called by the parser.

    def on_message_begin(self) -> None:
        self._message, self._parts, self._size = Message(), [], 0
        self.partial = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields += len(name) + len(value) + 4
        if self._fields > HEAD_MOST:
            self._refuse(431)
        name = name.lower()
        if name in self._message.headers:
            self._message.twice.append(name)
        self._message.headers[name] = value

    def on_headers_complete(self) -> None:
        self._in_head = False
        length = self._message.headers.get(b"content-length", b"0")
        if len(length) > 18 or length.isdigit() and int(length) > BODY_MOST:
            self._refuse(413)

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > BODY_MOST:
            self._refuse(413)
        self._parts.append(body)

    def on_message_complete(self) -> None:
        m = self._message
        m.body = b"".join(self._parts)
        m.keep = self.parser.should_keep_alive()
        self._finish(m)
        self._done.append(m)
        self.partial, self._in_head, self._head, self._fields, self._raw = False, True, 0, 0, 0

    def _finish(self, message: Message) -> None:
        """Fill in the first line."""
        raise NotImplementedError

    def _refuse(self, status: int) -> None:
        self._refused = Malformed(status)
        raise self._refused


class RequestReader(_Reader):
    """Reads requests off one connection."""

    def __init__(self) -> None:
        super().__init__()
        self.parser = self._requests = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self._message.target += url

    def _finish(self, message: Message) -> None:
        message.method = self._requests.get_method()


class AnswerReader(_Reader):
    """Reads answers off one connection."""

    def __init__(self) -> None:
        super().__init__()
        self.parser = self._answers = httptools.HttpResponseParser(self)

    def _finish(self, message: Message) -> None:
        message.status = self._answers.get_status_code()


def path_of(target: bytes) -> bytes:
    """The path that a request's target names, in the origin form or the absolute one."""
    if not target.startswith(b"/"):
        scheme, mark, rest = target.partition(b"://")
        if mark and scheme.lower() in (b"http", b"https"):
            target = b"/" + rest.partition(b"/")[2]
    return target.partition(b"?")[0]


REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 417: b"Expectation Failed", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 502: b"Bad Gateway",
    503: b"Service Unavailable",
}


def answer(status: int, body: bytes = b"", *, headers: bytes = b"", close: bool = False) -> bytes:
    """One whole answer."""
    ending = b"Connection: close\r\n" if close else b""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n%s" % (
        status, REASONS[status], len(body), headers, ending, body)
