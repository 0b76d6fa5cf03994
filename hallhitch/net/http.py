"""The HTTP/1.1 codec: bounded parsing with httptools, and the encoding of response heads.

Invariants:
- A reader never buffers more of a message than its limits allow, whatever the peer sends.
- Trailer fields never override header fields.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import httptools

from hallhitch.net.flow import Flow

MAX_BODY_BYTES: Final = 64 * 1024  # limit for a body that is buffered whole
MAX_LONG_BODY_BYTES: Final = 34 * 1024 * 1024  # limit for a body that is streamed
MAX_HEAD_BYTES: Final = 16 * 1024
MAX_LENGTH_DIGITS: Final = 18  # of Content-Length; a longer number counts as too large a body
FIELD_OVERHEAD_BYTES: Final = 4  # colon, space and line end of a header field, beside its name and value
MAX_CHUNK_OVERHEAD_RATIO: Final = 8  # bytes read per byte of body; a chunk of one byte takes six


class Malformed(Exception):  # noqa: N818  named for the event, as callers read it
    """Raised for bytes that are not valid or exceed a limit; `status` is the response to a client that sent them."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


@dataclass(slots=True)
class Message:
    """One HTTP request or response."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name; the last value of each
    repeated_names: list[bytes] = field(default_factory=list)  # names of header fields that occurred more than once
    fields: list[tuple[bytes, bytes]] | None = None  # all fields as received, if the reader records them
    body: bytes = b""
    flow: Flow | None = None  # the body, if it is streamed
    length: int | None = None  # of the body as declared in the head; None if undeclared
    version: str = "1.1"
    keep_alive: bool = True


def never_reserve(size: int) -> bool:
    """Return False: no buffer is available for a long body."""
    return False


class _Reader:
    """The common part of the request reader and the response reader: httptools callbacks and limits."""

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser
    # Whether a body whose declared length is above the buffer limit is streamed from its first byte, because its
    # receiver waits for that byte.
    _streams_early = False

    def __init__(
        self,
        can_stream: bool = False,
        reserve_buffer: Callable[[int], bool] = never_reserve,
        *,
        max_head_bytes: int = MAX_HEAD_BYTES,
        max_buffered_body_bytes: int = MAX_BODY_BYTES,
        max_body_bytes: int = MAX_LONG_BODY_BYTES,
    ) -> None:
        """Limit what is buffered: a body above `max_buffered_body_bytes` is rejected unless `can_stream`.

        If `can_stream`, such a body is streamed as soon as `reserve_buffer` returns False, up to `max_body_bytes`. A
        streamed message is returned when streaming begins, and its flow delivers the body.
        """
        self._max_head_bytes, self._max_buffered_bytes = max_head_bytes, max_buffered_body_bytes
        self._max_body_bytes, self._reserve_buffer = (
            max_body_bytes if can_stream else max_buffered_body_bytes,
            reserve_buffer,
        )
        self._message = Message()
        self._body_parts: list[bytes] = []
        self._body_size = 0
        self._head_bytes = self._field_bytes = 0  # bytes read while in the head; bytes of complete header fields
        self._bytes_since_message = 0  # bytes read since the last complete message, framing included
        self._in_head = True
        self._is_streamed_early = False  # whether the current body is streamed from its first byte
        self._completed: list[Message] = []
        self._refusal_status = 0  # the status for a message that exceeded a limit within a parser callback
        self.partial = False  # whether a message has begun and is not complete

    def feed(self, data: bytes | memoryview) -> list[Message]:
        """Parse received bytes and return the messages that have become complete, or whose streaming has begun.

        Raises:
            Malformed: the bytes are not valid or exceed a limit; a body that is being streamed is marked as broken.
        """
        self._head_bytes += len(data) if self._in_head else 0
        self._bytes_since_message += len(data)
        status = 0
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            status = 400
        except httptools.HttpParserError:
            status = self._refusal_status or (431 if self._head_bytes > self._max_head_bytes else 400)
        if self._bytes_since_message > self._max_head_bytes and not status:
            if self._in_head and self._head_bytes > self._max_head_bytes:
                status = 431
            # Endless chunk extensions or trailers count neither as header fields nor as body.
            elif self._bytes_since_message > self._max_head_bytes + MAX_CHUNK_OVERHEAD_RATIO * max(
                self._max_buffered_bytes, self._body_size
            ):
                status = 413
        if status:
            self.fail()
            raise Malformed(status)
        return self.take_completed()

    def fail(self) -> None:
        """Mark a body that is being streamed as broken: no more of it will be received."""
        if self._message.flow is not None:
            self._message.flow.fail()

    def close(self) -> None:
        """Release the parser and what was read.

        Parser and reader reference each other; without this call they would stay until a garbage collection.
        """
        self.fail()
        del self.parser
        self._message, self._body_parts, self._completed, self._reserve_buffer = Message(), [], [], never_reserve

    def take_completed(self) -> list[Message]:
        """Return the complete messages that were not returned yet, including those before an error."""
        messages, self._completed = self._completed, []
        return messages

    @property
    def message_in_progress(self) -> Message | None:
        """The message whose body is being received, None if there is none."""
        return self._message if self.partial and not self._in_head else None

    @property
    def received_body_bytes(self) -> int:
        """The bytes of the current body that were received so far."""
        return self._body_size

    def start_streaming(self) -> None:
        """Stream the body that is being received from here on."""
        message = self._message
        if message.flow is None:
            message.flow = Flow()
            for part in self._body_parts:
                message.flow.put(part)
            self._body_parts = []
            message.keep_alive = self.parser.should_keep_alive()
            self._set_start_line(message)
            self._completed.append(message)

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        self._message, self._body_parts, self._body_size = Message(), [], 0
        self.partial = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._field_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self._field_bytes > self._max_head_bytes:
            self._reject(431)
        if not self._in_head:
            return  # a trailer field
        name, value = name.lower(), value.strip(b" \t")
        if name in self._message.headers:
            self._message.repeated_names.append(name)
        self._message.headers[name] = value

    def on_headers_complete(self) -> None:
        self._in_head = False
        length = self._message.headers.get(b"content-length")
        if length is not None and length.isdigit():
            self._message.length = int(length) if len(length) <= MAX_LENGTH_DIGITS else self._max_body_bytes + 1
            if self._message.length > self._max_buffered_bytes:
                if self._message.length > self._max_body_bytes:
                    self._reject(413)
                self._is_streamed_early = self._streams_early

    def on_body(self, body: bytes) -> None:
        self._body_size += len(body)
        if self._body_size > self._max_body_bytes:
            self._reject(413)
        if self._message.flow is not None:
            return self._message.flow.put(body)
        self._body_parts.append(body)
        if (self._body_size > self._max_buffered_bytes or self._is_streamed_early) and self._should_stream(len(body)):
            self.start_streaming()
            return None
        return None

    def _should_stream(self, more: int) -> bool:
        """Return whether a body that has grown by `more` bytes is streamed from here on."""
        return not self._reserve_buffer(more)

    def on_message_complete(self) -> None:
        message = self._message
        message.keep_alive = self.parser.should_keep_alive()
        if message.flow is not None:
            message.flow.end()
        else:
            message.body = b"".join(self._body_parts)
            self._set_start_line(message)
            self._completed.append(message)
        self._body_parts, self._is_streamed_early = [], False
        self.partial, self._in_head = False, True
        self._head_bytes = self._field_bytes = self._bytes_since_message = 0

    def _set_start_line(self, message: Message) -> None:
        """Set the fields of the message that come from its start line."""
        raise NotImplementedError

    def _reject(self, status: int) -> None:
        self._refusal_status = status
        raise Malformed(status)


class RequestReader(_Reader):
    """Reads the requests of one client connection."""

    def __init__(
        self,
        can_stream: bool = False,
        reserve_buffer: Callable[[int], bool] = never_reserve,
        *,
        max_head_bytes: int = MAX_HEAD_BYTES,
        max_buffered_body_bytes: int = MAX_BODY_BYTES,
        max_body_bytes: int = MAX_LONG_BODY_BYTES,
    ) -> None:
        super().__init__(
            can_stream,
            reserve_buffer,
            max_head_bytes=max_head_bytes,
            max_buffered_body_bytes=max_buffered_body_bytes,
            max_body_bytes=max_body_bytes,
        )
        self.expects_continue = False  # whether the client waits for 100 Continue before it sends the body
        self.parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target (httptools)."""
        self._message.target += url

    def on_headers_complete(self) -> None:
        """Finish the head, and note an Expect header (httptools)."""
        super().on_headers_complete()
        head = self._message.headers
        if b"expect" in head:
            self.expects_continue = head[b"expect"].lower() == b"100-continue" and (
                bool(self._message.length) or b"transfer-encoding" in head
            )

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (httptools)."""
        self.expects_continue = False
        super().on_body(body)

    def _set_start_line(self, message: Message) -> None:
        message.method = self.parser.get_method()
        if not message.keep_alive or b"connection" in message.headers:  # otherwise the version can only be 1.1
            message.version = self.parser.get_http_version()


class ResponseReader(_Reader):
    """Reads the responses of one server connection."""

    _streams_early = True

    def __init__(
        self,
        can_stream: bool = False,
        *,
        max_head_bytes: int = MAX_HEAD_BYTES,
        max_buffered_body_bytes: int = MAX_BODY_BYTES,
        max_body_bytes: int = MAX_LONG_BODY_BYTES,
    ) -> None:
        super().__init__(
            can_stream,
            max_head_bytes=max_head_bytes,
            max_buffered_body_bytes=max_buffered_body_bytes,
            max_body_bytes=max_body_bytes,
        )
        self.parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)

    def end(self) -> list[Message]:
        """Return the message that the end of the connection completes: one with neither a length nor chunks."""
        message = self.message_in_progress
        if message is None or message.length is not None or b"transfer-encoding" in message.headers:
            return []
        self.on_message_complete()
        message.keep_alive = False
        return self.take_completed()

    def _should_stream(self, more: int) -> bool:
        return True

    def _set_start_line(self, message: Message) -> None:
        message.status = self.parser.get_status_code()


def origin_of(target: bytes) -> bytes:
    """Return the origin form of a request target; from an absolute form it removes scheme and host."""
    if not target.startswith(b"/"):
        scheme, separator, rest = target.partition(b"://")
        if separator and scheme.lower() in (b"http", b"https"):
            rest = rest[len(rest.partition(b"/")[0].partition(b"?")[0]) :]
            return rest if rest.startswith(b"/") else b"/" + rest
    return target


def path_of(target: bytes) -> bytes:
    """Return the path of a request target in origin form or absolute form."""
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


def encode_response_head(
    status: int, length: int | None, *, headers: bytes = b"", close: bool = False, version: str = "1.1"
) -> bytes:
    """Return the head of a response.

    With no `length` the body has to be chunked, or for HTTP/1.0 has to end with the connection.
    """
    connection = b"Connection: close\r\n" if close else b"Connection: keep-alive\r\n" if version == "1.0" else b""
    framing = (
        b"Content-Length: %d\r\n" % length
        if length is not None
        else (b"" if version == "1.0" else b"Transfer-Encoding: chunked\r\n")
    )
    return b"HTTP/1.1 %d %s\r\n%s%s%s\r\n" % (status, REASON_PHRASES[status], framing, headers, connection)


def encode_response(
    status: int, body: bytes = b"", *, headers: bytes = b"", close: bool = False, version: str = "1.1"
) -> bytes:
    """Return a complete response with its body."""
    return encode_response_head(status, len(body), headers=headers, close=close, version=version) + body
