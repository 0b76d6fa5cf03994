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

from hallhitch.catalog.errors import FeedError
from hallhitch.catalog.feed import MAX_LINE_BYTES
from hallhitch.catalog.feed_follower import FeedFollower
from hallhitch.catalog.model import Catalog
from hallhitch.catalog_sync.catalog_cache import CatalogCache
from hallhitch.core.invariants import COUNTS

HOLD_MS = 5_000  # ms that a question waits for news: a third of a lease
RESPONSE_TIMEOUT_S = 5.0  # s past that without a byte, and the connection is given up
LEAVE_TIMEOUT_S = 1.0  # s for the word that this gateway ends
STALE_LOG_INTERVAL_S = 60.0  # s between two words that the catalogue is stale
log = structlog.get_logger()


def client_tls_context(ca: str, certificate: str, key: str) -> ssl.SSLContext:
    """TLS to a control plane: it is checked against `ca`, this gateway shows `certificate`. OSError names no file."""
    context = ssl.create_default_context(cafile=ca)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    return context


class FeedClient:
    """Follows the feed for as long as it runs. `applied` is called in the loop with each newer catalogue."""

    def __init__(
        self,
        url: str,
        context: ssl.SSLContext,
        name: str,
        saved: CatalogCache,
        applied: Callable[[Catalog], None],
        draw: random.Random | None = None,
    ) -> None:
        self._name, self._cache, self._on_catalog = name, saved, applied
        self._client = httpx.AsyncClient(
            base_url=url,
            verify=context,
            trust_env=False,
            timeout=httpx.Timeout(RESPONSE_TIMEOUT_S, read=HOLD_MS / 1000 + RESPONSE_TIMEOUT_S),
        )
        self._instance = secrets.token_hex(16)
        self._random = draw or random.Random()
        self._follower = FeedFollower(saved.load() or Catalog(), self._random)
        self._last_response_at_s = time.monotonic()  # when the control plane last answered
        self._stale_logged_at_s = self._last_response_at_s
        self._save_task: asyncio.Task[None] | None = None
        self._unsaved: Catalog | None = None

    @property
    def catalog(self) -> Catalog:
        """What this gateway serves by."""
        return self._follower.catalog

    @property
    def staleness_s(self) -> float:
        """s since the control plane last answered."""
        return time.monotonic() - self._last_response_at_s

    async def run(self) -> None:
        """Follow until cancelled; then say that this gateway ends, and have the newest on disk."""
        if self.catalog.version:
            log.info("catalogue from disk", epoch=self.catalog.epoch, version=self.catalog.version)
            self._on_catalog(self.catalog)
        try:
            while True:
                try:
                    wait = await self._request_update()
                except (httpx.HTTPError, FeedError, ssl.SSLError, OSError) as error:
                    wait = self._record_failure(error)
                await asyncio.sleep(wait)
        finally:
            await self._leave()

    async def _request_update(self) -> float:
        """One question, to the end of its answer; s to wait before the next."""
        epoch, version = self._follower.version
        query: dict[str, Any] = {
            "gateway": self._name,
            "instance": self._instance,
            "epoch": epoch,
            "version": version,
            "hold_ms": HOLD_MS,
        }
        async with self._client.stream("GET", "/v1/feed", params=query) as answer:
            if answer.status_code == 204:
                self._record_response()
                return 0.0
            if answer.status_code != 200:
                problem = (await answer.aread())[:300].decode(errors="replace")
                later = answer.headers.get("retry-after", "")
                if answer.status_code == 503 and later.replace(".", "", 1).isdigit():
                    self._follower.discard_partial()
                    return min(60.0, float(later)) * self._random.uniform(1.0, 1.5)
                raise FeedError(f"{answer.status_code}: {problem}")
            async for line in lines_of(answer):
                if (made := self._follower.receive_line(line)) is not None:
                    self._apply(made)
                await asyncio.sleep(0)
        if self._follower.version == (epoch, version):
            raise FeedError("the answer ended before its end")
        self._record_response()
        return 0.0

    def _apply(self, made: Catalog) -> None:
        log.info("catalogue applied", epoch=made.epoch, version=made.version, tenants=len(made.tenants))
        self._on_catalog(made)
        self._unsaved = made
        if self._save_task is None or self._save_task.done():
            self._save_task = asyncio.create_task(self._save_unsaved())

    async def _save_unsaved(self) -> None:
        """The newest to disk, and again if a newer has come meanwhile."""
        while self._unsaved is not None:
            newest, self._unsaved = self._unsaved, None
            await asyncio.to_thread(self._cache.save, newest)

    def _record_response(self) -> None:
        if self.staleness_s > STALE_LOG_INTERVAL_S:
            log.info("control plane answers again", after_s=round(self.staleness_s))
        self._last_response_at_s = self._stale_logged_at_s = time.monotonic()

    def _record_failure(self, error: Exception) -> float:
        COUNTS["feed_failed"] += 1
        now = time.monotonic()
        if self._stale_logged_at_s <= self._last_response_at_s or now - self._stale_logged_at_s > STALE_LOG_INTERVAL_S:
            self._stale_logged_at_s = now
            log.warning(
                "catalogue may be stale",
                error=f"{type(error).__name__}: {error}"[:300],
                since_s=round(self.staleness_s, 1),
                epoch=self.catalog.epoch,
                version=self.catalog.version,
            )
        return self._follower.record_failure() / 1000

    async def _leave(self) -> None:
        with contextlib.suppress(httpx.HTTPError, OSError, TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._client.delete(
                    "/v1/feed",
                    params={"gateway": self._name, "instance": self._instance},
                    headers={"Idempotency-Key": str(uuid.uuid4())},
                )
        if self._save_task is not None:
            await self._save_task
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
        if len(held) > MAX_LINE_BYTES:
            raise FeedError(f"a line of more than {MAX_LINE_BYTES} bytes")
    if held:
        raise FeedError("the last line has no end")
