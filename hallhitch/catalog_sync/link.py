"""A gateway's way to the control plane: it asks what leads on from what it holds, takes it in, and keeps it on disk.

Serving never waits for any of this. Pieces are taken in one at a time with the loop free between them; the disk is
written in a thread, the newest only. Whatever fails is tried again later, and what is held goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import ssl
import time
import uuid
from collections.abc import AsyncIterator, Callable
from typing import Any

import httpx
import structlog

from hallhitch.catalog.feed import LINE_MOST, FeedError, Follower
from hallhitch.catalog.model import Catalogue
from hallhitch.catalog_sync.saved import Saved
from hallhitch.core.invariants import COUNTS

HOLD = 5_000  # ms that a question waits for news: a third of a lease
SILENT = 5.0  # s past that without a byte, and the connection is given up
LEAVING = 1.0  # s for the word that this gateway ends
STALE_EACH = 60.0  # s between two words that the catalogue is stale
log = structlog.get_logger()


def trusting(ca: str, certificate: str, key: str) -> ssl.SSLContext:
    """TLS to a control plane: it is checked against `ca`, this gateway shows `certificate`. OSError names no file."""
    context = ssl.create_default_context(cafile=ca)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    return context


class Link:
    """Follows the feed for as long as it runs. `applied` is called in the loop with each newer catalogue."""

    def __init__(
        self,
        url: str,
        context: ssl.SSLContext,
        name: str,
        saved: Saved,
        applied: Callable[[Catalogue], None],
        draw: random.Random | None = None,
    ) -> None:
        self._name, self._saved, self._applied = name, saved, applied
        self._client = httpx.AsyncClient(
            base_url=url, verify=context, trust_env=False, timeout=httpx.Timeout(SILENT, read=HOLD / 1000 + SILENT)
        )
        self._instance = secrets.token_hex(16)
        self._draw = draw or random.Random()
        self._follower = Follower(saved.load() or Catalogue(), self._draw)
        self._heard = time.monotonic()  # when the control plane last answered
        self._said = self._heard
        self._keeping: asyncio.Task[None] | None = None
        self._unkept: Catalogue | None = None

    @property
    def held(self) -> Catalogue:
        """What this gateway serves by."""
        return self._follower.held

    @property
    def stale(self) -> float:
        """s since the control plane last answered."""
        return time.monotonic() - self._heard

    async def run(self) -> None:
        """Follow until cancelled; then say that this gateway ends, and have the newest on disk."""
        if self.held.version:
            log.info("catalogue from disk", epoch=self.held.epoch, version=self.held.version)
            self._applied(self.held)
        try:
            while True:
                try:
                    wait = await self._ask()
                except (httpx.HTTPError, FeedError, ssl.SSLError, OSError) as error:
                    wait = self._failed(error)
                await asyncio.sleep(wait)
        finally:
            await self._end()

    async def _ask(self) -> float:
        """One question, to the end of its answer; s to wait before the next."""
        epoch, version = self._follower.holds
        query: dict[str, Any] = {
            "gateway": self._name,
            "instance": self._instance,
            "epoch": epoch,
            "version": version,
            "hold_ms": HOLD,
        }
        async with self._client.stream("GET", "/v1/feed", params=query) as answer:
            if answer.status_code == 204:
                self._well()
                return 0.0
            if answer.status_code != 200:
                problem = (await answer.aread())[:300].decode(errors="replace")
                later = answer.headers.get("retry-after", "")
                if answer.status_code == 503 and later.replace(".", "", 1).isdigit():
                    self._follower.cut()
                    return min(60.0, float(later)) * self._draw.uniform(1.0, 1.5)
                raise FeedError(f"{answer.status_code}: {problem}")
            async for line in lines_of(answer):
                if (made := self._follower.take(line)) is not None:
                    self._took(made)
                await asyncio.sleep(0)
        if self._follower.holds == (epoch, version):
            raise FeedError("the answer ended before its end")
        self._well()
        return 0.0

    def _took(self, made: Catalogue) -> None:
        log.info("catalogue applied", epoch=made.epoch, version=made.version, tenants=len(made.tenants))
        self._applied(made)
        self._unkept = made
        if self._keeping is None or self._keeping.done():
            self._keeping = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        """The newest to disk, and again if a newer has come meanwhile."""
        while self._unkept is not None:
            newest, self._unkept = self._unkept, None
            await asyncio.to_thread(self._saved.keep, newest)

    def _well(self) -> None:
        if self.stale > STALE_EACH:
            log.info("control plane answers again", after_s=round(self.stale))
        self._heard = self._said = time.monotonic()

    def _failed(self, error: Exception) -> float:
        COUNTS["feed_failed"] += 1
        now = time.monotonic()
        if self._said <= self._heard or now - self._said > STALE_EACH:
            self._said = now
            log.warning(
                "catalogue may be stale",
                error=f"{type(error).__name__}: {error}"[:300],
                since_s=round(self.stale, 1),
                epoch=self.held.epoch,
                version=self.held.version,
            )
        return self._follower.failed() / 1000

    async def _end(self) -> None:
        with contextlib.suppress(httpx.HTTPError, OSError, TimeoutError):
            async with asyncio.timeout(LEAVING):
                await self._client.delete(
                    "/v1/feed",
                    params={"gateway": self._name, "instance": self._instance},
                    headers={"Idempotency-Key": str(uuid.uuid4())},
                )
        if self._keeping is not None:
            await self._keeping
        await self._client.aclose()


async def lines_of(answer: httpx.Response) -> AsyncIterator[bytes]:
    """The lines of an answer as they come whole; FeedError for one without end."""
    held = bytearray()
    async for data in answer.aiter_bytes():
        held += data
        *whole, rest = held.split(b"\n")
        for line in whole:
            yield bytes(line)
        held = bytearray(rest)
        if len(held) > LINE_MOST:
            raise FeedError(f"a line of more than {LINE_MOST} bytes")
    if held:
        raise FeedError("the last line has no end")
