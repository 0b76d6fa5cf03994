"""Encoding of the head of a request to a server."""

from __future__ import annotations

from typing import Final

from hallhitch.net.http import Message, origin_of

FORWARDED_HEADERS: Final = (b"req-id", b"idempotency-key", b"content-type")


def encode_head(request: Message, remaining_ms: float) -> bytes:
    """Return the head of a request whose deadline is `remaining_ms` from now, with FORWARDED_HEADERS only."""
    lines = [b"%s %s HTTP/1.1\r\nHost: service.internal" % (request.method, origin_of(request.target))]
    for name in FORWARDED_HEADERS:
        if name in request.headers:
            lines.append(name.title() + b": " + request.headers[name])
    lines.append(b"Req-Deadline-Ms: %d" % remaining_ms)
    if request.flow is not None:
        lines.append(
            b"Transfer-Encoding: chunked" if request.length is None else b"Content-Length: %d" % request.length
        )
    elif request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"
