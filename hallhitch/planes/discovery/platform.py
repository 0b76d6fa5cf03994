"""Calls to the platform's list: one connection, one call at a time, within its rate."""

from __future__ import annotations

import asyncio
import contextlib
from urllib.parse import quote

from hallhitch.net.http import AnswerReader, Malformed
from hallhitch.node.clock import now
from hallhitch.node.errors import RequestTimeout
from hallhitch.planes.discovery.endpoint_list import Listed, read_page

CALL_WAIT = 1.0  # s for one page: a platform that takes longer is asked again
PAGES_MOST = 2000


class Platform:
    """The platform's list at one address."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter, AnswerReader] | None = None
        self.calls = 0

    async def read(self) -> tuple[float, list[Listed]]:
        """The whole list and when its reading began (steady ms); raises Silent."""
        began, entries, token = now(), list[Listed](), ""
        for _ in range(PAGES_MOST):
            try:
                body = await self._get(f"/instances?pageToken={quote(token)}" if token else "/instances")
                page = read_page(body, now())
            except ValueError as error:
                raise RequestTimeout("list", "platform", str(error)) from None
            entries += page.entries
            if page.following is None:
                return began, entries
            token = page.following
        raise RequestTimeout("list", "platform", "a list without end")

    def close(self) -> None:
        """Let the connection go."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def _get(self, target: str) -> bytes:
        kept = self._streams is not None
        try:
            async with asyncio.timeout(CALL_WAIT):
                return await self._ask(target)
        except TimeoutError:
            self.close()
            raise RequestTimeout("list", "platform", "no answer") from None
        except (OSError, Malformed) as error:
            self.close()
            if not kept:
                raise RequestTimeout("list", "platform", str(error)) from None
        # A kept connection may have been closed by the other side meanwhile: once more on a new one.
        try:
            async with asyncio.timeout(CALL_WAIT):
                return await self._ask(target)
        except (OSError, Malformed, TimeoutError) as error:
            self.close()
            raise RequestTimeout("list", "platform", str(error)) from None

    async def _ask(self, target: str) -> bytes:
        if self._streams is None:
            reader, writer = await asyncio.open_connection(*self._address)
            self._streams = reader, writer, AnswerReader(long=True)
        reader, writer, parser = self._streams
        self.calls += 1
        host, port = self._address
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode("latin-1"))
        body = bytearray()
        while True:
            data = await reader.read(65536)
            answers = parser.feed(data) if data else parser.end()
            if not data and not answers:
                raise ConnectionResetError("the platform ended the connection")
            if not answers:
                continue
            answer = answers[0]
            if answer.flow is not None:
                while not answer.flow.ended:
                    while answer.flow.waits:
                        body += await answer.flow.take()
                    if not answer.flow.ended:
                        data = await reader.read(65536)
                        if not data:
                            raise ConnectionResetError("the list broke off")
                        parser.feed(data)
                while answer.flow.waits:
                    body += await answer.flow.take()
            else:
                body += answer.body
            if not answer.keep:
                with contextlib.suppress(OSError):
                    self.close()
            if answer.status != 200:
                raise OSError(f"status {answer.status}")
            return bytes(body)
