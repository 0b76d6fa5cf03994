"""HTTP/1.1 messages as the emulated parties read and write them: the part of the protocol that the platform uses."""

from __future__ import annotations

import asyncio

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


async def read_message(reader: Reader) -> tuple[str, dict[str, str], bytes]:
    """Read a message: first line, headers in lower case, and body, by length or in chunks.

    Raises:
        asyncio.IncompleteReadError: the connection ended within it.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in head[1:] if line)}
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
        parts.append((await reader.readexactly(size + 2))[:-2])
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass  # trailers
    return head[0], headers, b"".join(parts)


def encode_response(status: int, body: bytes = b"", extra: str = "") -> bytes:
    """Encode a response."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body
