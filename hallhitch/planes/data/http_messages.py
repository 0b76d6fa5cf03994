"""What goes over the sockets of the data plane: readers that keep all fields, heads, and what an answer stands for.

Pure functions over bytes and messages; no socket, no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hallhitch.net.flow import Flow
from hallhitch.net.http import AnswerReader, Message, RequestReader, origin_of
from hallhitch.planes.data.interfaces import Outcome
from hallhitch.planes.values import RequestLimits

HELD = 1024 * 1024  # bytes of an answer that is held whole before any of it goes on, if there is room
KEPT = 64 * 1024  # bytes of a body that nobody has to make room for
ANSWER_HEAD = 64 * 1024
ANSWER_MOST = 1 << 40  # an answer may be as long as it likes: past HELD it passes in pieces

REQUEST_ID, SEAL = b"hallhitch-request-id", b"hallhitch-response-seal"
NOT_EXECUTED = b"hallhitch-not-executed"
DEADLINE = b"hallhitch-deadline-remaining"

HOP = frozenset(
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
# Besides these, what the length of the body is, is said anew; and what only this system may say or know.
NOT_SENT = HOP | {
    b"content-length",
    b"authorization",
    b"hallhitch-tenant-name",
    b"hallhitch-expected-instance",
    DEADLINE,
}
NOT_ANSWERED = HOP | {b"content-length"}
# What may come once only: who reads the first and who reads the last must not see two requests.
ONCE = frozenset((b"host", b"content-length", b"transfer-encoding", b"authorization", REQUEST_ID))

REASONS = {
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


class Room:
    """The bytes of long bodies that this process holds."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0

    def take(self, more: int) -> bool:
        """Make room for so many more; whether there is."""
        if self.held + more > self.most:
            return False
        self.held += more
        return True


class ClientReader(RequestReader):
    """Reads requests off a client's connection, with all their fields."""

    def __init__(self, limits: RequestLimits, hold: Callable[[int], bool]) -> None:
        """Bodies past KEPT are whole as long as `hold` makes room; then they pass in pieces."""
        super().__init__(
            True,
            hold,
            head_most=limits.max_head_bytes,
            body_most=min(KEPT, limits.max_body_bytes),
            long_most=limits.max_body_bytes,
        )

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._message.fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        super().on_header(name, value)
        if self._in_head and self._message.fields is not None:
            self._message.fields.append((name, value))


class BackendReader(AnswerReader):
    """Reads answers off a backend's connection, with all their fields.

    Those longer than HELD pass in pieces, and so does what is longer than KEPT where there is no room for it.
    """

    def __init__(self, room: Room) -> None:
        super().__init__(True, head_most=ANSWER_HEAD, body_most=KEPT, long_most=ANSWER_MOST)
        self._room, self._taken = room, 0
        self.bodiless = False  # whether the request was HEAD: a length without a body

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._message.fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        super().on_header(name, value)
        if self._in_head and self._message.fields is not None:
            self._message.fields.append((name, value))

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        self._early = self._message.length is not None and self._message.length > HELD
        if self.bodiless and self.parser.get_status_code() >= 200:
            # The parser knows of no HEAD and would wait for a body: the connection is not used again.
            self.on_message_complete()
            self._done[-1].keep = False

    def _passes(self, more: int) -> bool:
        if self._early or self._size > HELD or not self._room.take(more):
            return True
        self._taken += more
        return False

    def release(self) -> None:
        """What was read is somebody else's."""
        self._room.held -= self._taken
        self._taken = 0


@dataclass(slots=True)
class Reply:
    """What a client gets: `fields` are whole header lines, `length` that of a body that passes or is left out."""

    status: int
    fields: bytes = b""
    body: bytes = b""
    flow: Flow | None = None
    length: int | None = None
    close: bool = False


def named_by_connection(message: Message) -> frozenset[bytes]:
    """The fields that this message's Connection names as its own."""
    if b"connection" not in message.headers:
        return frozenset()
    values = [value for name, value in message.fields or () if name.lower() == b"connection"]
    return frozenset(part.strip().lower() for value in values for part in value.split(b","))


def end_to_end(message: Message, dropped: frozenset[bytes]) -> list[bytes]:
    """The header lines that go on, in order, as they came."""
    dropped |= named_by_connection(message)
    return [name + b": " + value for name, value in message.fields or () if name.lower() not in dropped]


def malformed(request: Message) -> bool:
    """Whether two readers could see different requests in it, or it names no host."""
    headers = request.headers
    return (
        any(name in ONCE for name in request.twice)
        or b"transfer-encoding" in headers
        and (b"content-length" in headers or headers[b"transfer-encoding"].lower() != b"chunked")
        or b"host" not in headers
        and request.version == "1.1"
        or request.version not in ("1.0", "1.1")
    )


def request_head(request: Message, tenant: str | None) -> bytes:
    """The head of a request as it goes to any backend, but for what differs from one attempt to the next."""
    lines = [b"%s %s HTTP/1.1" % (request.method, origin_of(request.target))]
    lines += end_to_end(request, NOT_SENT)
    if tenant is not None:
        lines.append(b"Hallhitch-Tenant-Name: " + tenant.encode())
    headers = request.headers
    if request.flow is not None:
        lines.append(
            b"Transfer-Encoding: chunked" if request.length is None else b"Content-Length: %d" % request.length
        )
    elif (
        request.body
        or b"content-length" in headers
        or b"transfer-encoding" in headers
        or request.method in (b"POST", b"PUT", b"PATCH")
    ):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n"


def attempt_head(shared: bytes, left: float, instance: str) -> bytes:
    """The whole head of one attempt: with what is left of its time, and the one backend that may run it."""
    return b"%sHallhitch-Deadline-Remaining: %d\r\nHallhitch-Expected-Instance: %s\r\n\r\n" % (
        shared,
        max(1, int(left)),
        instance.encode(),
    )


def judge(answer: Message, request_id: bytes | None, fresh: bool) -> Outcome | None:
    """What an answer's head stands for; None: it belongs to another request.

    `fresh`: nothing else was ever asked on its connection, so that an answer without an id can only be ours.
    """
    headers, status = answer.headers, answer.status
    own = headers.get(REQUEST_ID) or None
    if own != request_id and own is not None:
        return None
    if (
        REQUEST_ID in answer.twice
        or own is None
        and request_id is not None
        and not fresh
        or headers.get(b"transfer-encoding", b"chunked").lower() != b"chunked"
    ):
        return Outcome.INVALID_RESPONSE
    if status == 421:
        return Outcome.MISDIRECTED
    if NOT_EXECUTED in headers and status >= 400:
        return Outcome.DECLINED
    if status >= 500 or status in (408, 429):  # the last two promise what this backend does not
        return Outcome.SERVER_ERROR
    if 200 <= status < 300:
        framed = answer.length is not None or b"transfer-encoding" in headers or status == 204
        if (
            SEAL not in headers
            or SEAL in answer.twice
            or b"content-encoding" in headers
            or NOT_EXECUTED in headers
            or own is None
            and request_id is not None
            or not framed
        ):
            return Outcome.INVALID_RESPONSE
    return Outcome.OK


def reply_of(answer: Message) -> Reply:
    """A backend's answer as its client gets it; a status that promises more than the backend did becomes 502."""
    status = answer.status
    if status in (408, 421, 429, 503) and NOT_EXECUTED not in answer.headers:
        status = 502
    lines = end_to_end(answer, NOT_ANSWERED)
    return Reply(status, b"".join([line + b"\r\n" for line in lines]), answer.body, answer.flow, answer.length)


def own_reply(status: int, request: Message | None, after: float | None = None, close: bool = False) -> Reply:
    """An answer of this gateway's own; `after` (ms) tells when to come back."""
    fields = b""
    if request is not None and REQUEST_ID in request.headers and REQUEST_ID not in request.twice:
        fields = b"Hallhitch-Request-Id: " + request.headers[REQUEST_ID] + b"\r\n"
    if after is not None:
        fields += b"Retry-After: %.3f\r\n" % (max(1.0, after) / 1000.0)
    if status == 401:
        fields += b"WWW-Authenticate: Token\r\n"
    return Reply(status, fields, close=close)


def reply_head(reply: Reply, method: bytes, version: str, close: bool, keep_alive: bytes = b"") -> bytes:
    """The head of a reply; `keep_alive` is the line that tells how long this connection may rest."""
    status = reply.status
    if status == 204 or status == 304 or status < 200:
        size = b""
    elif reply.flow is not None or method == b"HEAD":
        if reply.length is not None:
            size = b"Content-Length: %d\r\n" % reply.length
        else:
            size = b"Transfer-Encoding: chunked\r\n" if version == "1.1" and reply.flow is not None else b""
    else:
        size = b"Content-Length: %d\r\n" % len(reply.body)
    ending = (
        b"Connection: close\r\n"
        if close
        else (b"Connection: keep-alive\r\n" + keep_alive if version == "1.0" else keep_alive)
    )
    return b"HTTP/1.1 %d %s\r\n%s%s%s\r\n" % (status, REASONS.get(status, b"-"), reply.fields, size, ending)


def bodiless(reply: Reply, method: bytes) -> bool:
    """Whether this reply goes without its body."""
    return method == b"HEAD" or reply.status in (204, 304)
