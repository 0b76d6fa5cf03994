"""Heads of HTTP/1.1 messages that the gateway writes, and the checks of those that it forwards.

Pure functions over bytes and messages: no socket, no clock. Field names are compared in lower case, as
`net.http.Message.headers` holds them; forwarded lines keep the peer's spelling and order. Times are milliseconds.

Sources: RFC 9110 (fields, hop-by-hop fields) and RFC 9112 (framing; request smuggling in section 11.2).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from hallhitch.net.flow import Flow
from hallhitch.net.http import Message, origin_of

REQUEST_ID: Final = b"hallhitch-request-id"
RESPONSE_SEAL: Final = b"hallhitch-response-seal"
NOT_EXECUTED: Final = b"hallhitch-not-executed"
DEADLINE_REMAINING: Final = b"hallhitch-deadline-remaining"

HOP_BY_HOP_FIELDS: Final = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"proxy-authorization",
        b"proxy-authenticate",
        b"proxy-connection",
        b"proxy-authentication-info",
    )
)
# Written anew for each attempt (length, deadline, expected instance), or not for a backend to see from a client:
# credentials, and a tenant name that a client could forge.
REQUEST_FIELDS_NOT_FORWARDED: Final = HOP_BY_HOP_FIELDS | {
    b"content-length",
    b"authorization",
    b"hallhitch-tenant-name",
    b"hallhitch-expected-instance",
    DEADLINE_REMAINING,
}
RESPONSE_FIELDS_NOT_FORWARDED: Final = HOP_BY_HOP_FIELDS | {b"content-length"}
# Parties that read the first of several and parties that read the last would see two different requests.
SINGLETON_REQUEST_FIELDS: Final = frozenset(
    (b"host", b"content-length", b"transfer-encoding", b"authorization", REQUEST_ID)
)
CHUNKED_LINE: Final = b"Transfer-Encoding: chunked"
MIN_RETRY_AFTER_MS: Final = 1.0  # the resolution of the Retry-After that this gateway writes
MIN_DEADLINE_REMAINING_MS: Final = 1  # the field carries whole milliseconds; zero would be an expired request

REASON_PHRASES: Final[Mapping[int, bytes]] = {
    200: b"OK",
    201: b"Created",
    202: b"Accepted",
    204: b"No Content",
    206: b"Partial Content",
    301: b"Moved",
    302: b"Found",
    303: b"See Other",
    304: b"Not Modified",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    410: b"Gone",
    412: b"Precondition Failed",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclass(slots=True)
class Reply:
    """The response that a client gets, from a backend or from this gateway."""

    status: int
    field_lines: bytes = b""  # whole header lines, but for framing and connection management
    body: bytes = b""
    body_flow: Flow | None = None  # the body where it is streamed
    content_length: int | None = None  # of a body that is streamed, or left out for HEAD; None: not declared
    must_close: bool = False  # whether the client connection ends with this reply

    def has_no_body(self, method: bytes) -> bool:
        """Whether it goes out without a body, whatever its fields declare."""
        return method == b"HEAD" or self.status in (204, 304)


def is_malformed(request: Message) -> bool:
    """Whether two recipients could read different requests from it, or it names no host."""
    headers = request.headers
    if any(name in SINGLETON_REQUEST_FIELDS for name in request.twice):
        return True
    if b"transfer-encoding" in headers and (
        b"content-length" in headers or headers[b"transfer-encoding"].lower() != b"chunked"
    ):
        return True
    if request.version == "1.1":
        return b"host" not in headers
    return request.version != "1.0"


# Requests as backends get them.


def encode_head_prefix(request: Message, tenant_name: str | None) -> bytes:
    """Encode the part of a request's head that is the same for each attempt."""
    lines = [b"%s %s HTTP/1.1" % (request.method, origin_of(request.target))]
    lines += _end_to_end_lines(request, REQUEST_FIELDS_NOT_FORWARDED)
    if tenant_name is not None:
        lines.append(b"Hallhitch-Tenant-Name: " + tenant_name.encode())
    headers = request.headers
    if request.flow is not None:
        lines.append(CHUNKED_LINE if request.length is None else b"Content-Length: %d" % request.length)
    elif (
        request.body
        or b"content-length" in headers
        or b"transfer-encoding" in headers
        or request.method in (b"POST", b"PUT", b"PATCH")
    ):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n"


def encode_attempt_head(head_prefix: bytes, remaining_ms: float, instance: str) -> bytes:
    """Encode the head of one attempt: the remaining time, and the only instance that may run the request."""
    return b"%sHallhitch-Deadline-Remaining: %d\r\nHallhitch-Expected-Instance: %s\r\n\r\n" % (
        head_prefix,
        max(MIN_DEADLINE_REMAINING_MS, int(remaining_ms)),
        instance.encode(),
    )


# Replies as clients get them.


def forwarded_reply(response: Message) -> Reply:
    """Return the reply that forwards a backend's response.

    A status by which clients conclude that the request never ran becomes 502 where the backend did not state that.
    """
    status = response.status
    if status in (408, 421, 429, 503) and NOT_EXECUTED not in response.headers:
        status = 502
    lines = _end_to_end_lines(response, RESPONSE_FIELDS_NOT_FORWARDED)
    field_lines = b"".join([line + b"\r\n" for line in lines])
    return Reply(status, field_lines, response.body, response.flow, response.length)


def local_reply(
    status: int, request: Message | None, retry_after_ms: float | None = None, must_close: bool = False
) -> Reply:
    """Return a reply of this gateway's own; `request` is None where none could be read."""
    lines = b""
    if request is not None and REQUEST_ID in request.headers and REQUEST_ID not in request.twice:
        lines = b"Hallhitch-Request-Id: " + request.headers[REQUEST_ID] + b"\r\n"
    if retry_after_ms is not None:
        lines += b"Retry-After: %.3f\r\n" % (max(MIN_RETRY_AFTER_MS, retry_after_ms) / 1000.0)
    if status == 401:
        lines += b"WWW-Authenticate: Token\r\n"
    return Reply(status, lines, must_close=must_close)


def encode_reply_head(
    reply: Reply, method: bytes, version: str, closes_connection: bool, keep_alive_line: bytes = b""
) -> bytes:
    """Encode the head of a reply to a request of this method and HTTP version.

    `keep_alive_line` tells the client for how long its connection may stay idle.
    """
    if closes_connection:
        connection_lines = b"Connection: close\r\n"
    elif version == "1.0":
        connection_lines = b"Connection: keep-alive\r\n" + keep_alive_line
    else:
        connection_lines = keep_alive_line
    return b"HTTP/1.1 %d %s\r\n%s%s%s\r\n" % (
        reply.status,
        REASON_PHRASES.get(reply.status, b"-"),
        reply.field_lines,
        _framing_line(reply, method, version),
        connection_lines,
    )


def _framing_line(reply: Reply, method: bytes, version: str) -> bytes:
    """Return the line that says where a reply's body ends; none where the end of the connection does."""
    status = reply.status
    if status == 204 or status == 304 or status < 200:
        return b""
    if reply.body_flow is None and method != b"HEAD":
        return b"Content-Length: %d\r\n" % len(reply.body)
    if reply.content_length is not None:
        return b"Content-Length: %d\r\n" % reply.content_length
    is_chunked = version == "1.1" and reply.body_flow is not None
    return CHUNKED_LINE + b"\r\n" if is_chunked else b""


# Fields that are forwarded.


def _end_to_end_lines(message: Message, not_forwarded: frozenset[bytes]) -> list[bytes]:
    """Return the header lines to forward, in the order in which they came."""
    not_forwarded |= _connection_options(message)
    return [name + b": " + value for name, value in message.fields or () if name.lower() not in not_forwarded]


def _connection_options(message: Message) -> frozenset[bytes]:
    """Return the names of fields that a message's Connection field declares as hop-by-hop."""
    if b"connection" not in message.headers:
        return frozenset()
    values = [value for name, value in message.fields or () if name.lower() == b"connection"]
    return frozenset(part.strip().lower() for value in values for part in value.split(b","))
