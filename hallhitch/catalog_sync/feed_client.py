"""Client of the catalog's feed on a gateway: it requests updates, applies them and saves them to disk.

Serving never waits for any of this. Lines are processed one at a time with the event loop free between them; the disk
is written in a thread, the newest catalog only. A failed request is retried later, and the catalog held goes on.
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
from http import HTTPStatus
from typing import Any, Final

import httpx
import structlog

from hallhitch.catalog.errors import FeedError
from hallhitch.catalog.feed import MAX_LINE_BYTES
from hallhitch.catalog.feed_follower import FeedFollower
from hallhitch.catalog.model import Catalog
from hallhitch.catalog_sync.catalog_cache import CatalogCache
from hallhitch.core.invariants import COUNTS

HOLD_MS: Final = 5_000  # a request waits so long for an update: a third of a gateway's lease
RESPONSE_TIMEOUT_S: Final = 5.0  # past HOLD_MS without a byte, after which the connection is closed
LEAVE_TIMEOUT_S: Final = 1.0  # to release the lease at the end
STALE_LOG_INTERVAL_S: Final = 60.0  # between two log lines that the catalog is stale
MAX_RETRY_AFTER_S: Final = 60.0  # however long the server's Retry-After is
MAX_LOGGED_CHARS: Final = 300  # of an error or a problem document
log = structlog.get_logger()


def client_tls_context(ca: str, certificate: str, key: str) -> ssl.SSLContext:
    """Return the TLS context to the administration: it is verified against `ca`, the gateway presents `certificate`.

    Raises:
        OSError: A file cannot be read; the error names none.
    """
    context = ssl.create_default_context(cafile=ca)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    return context


class FeedClient:
    """Follows the feed for as long as it runs; `on_catalog` is called in the event loop with each newer catalog."""

    def __init__(
        self,
        url: str,
        context: ssl.SSLContext,
        name: str,
        cache: CatalogCache,
        on_catalog: Callable[[Catalog], None],
        random_source: random.Random | None = None,
    ) -> None:
        self._name = name
        self._cache = cache
        self._on_catalog = on_catalog
        self._client = httpx.AsyncClient(
            base_url=url,
            verify=context,
            trust_env=False,
            timeout=httpx.Timeout(RESPONSE_TIMEOUT_S, read=HOLD_MS / 1000 + RESPONSE_TIMEOUT_S),
        )
        self._instance = secrets.token_hex(16)
        self._random = random_source or random.Random()
        self._follower = FeedFollower(cache.load() or Catalog(), self._random)
        self._last_response_at_s = time.monotonic()
        self._stale_logged_at_s = self._last_response_at_s
        self._save_task: asyncio.Task[None] | None = None
        self._unsaved: Catalog | None = None

    @property
    def catalog(self) -> Catalog:
        """Return the catalog that this gateway serves by."""
        return self._follower.catalog

    @property
    def staleness_s(self) -> float:
        """Return the seconds since the administration last responded."""
        return time.monotonic() - self._last_response_at_s

    async def run(self) -> None:
        """Follow until cancelled; then release the lease, and finish saving the newest catalog."""
        if self.catalog.version:
            log.info("catalogue from disk", epoch=self.catalog.epoch, version=self.catalog.version)
            self._on_catalog(self.catalog)
        try:
            while True:
                try:
                    delay_s = await self._request_update()
                except (httpx.HTTPError, FeedError, ssl.SSLError, OSError) as error:
                    delay_s = self._record_failure(error)
                await asyncio.sleep(delay_s)
        finally:
            await self._leave()

    async def _request_update(self) -> float:
        """Make one request, process its response to the end, and return the seconds to wait before the next.

        Raises:
            FeedError: The response is an error, or leads to no newer catalog.
        """
        epoch, version = self._follower.version
        query: dict[str, Any] = {
            "gateway": self._name,
            "instance": self._instance,
            "epoch": epoch,
            "version": version,
            "hold_ms": HOLD_MS,
        }
        async with self._client.stream("GET", "/v1/feed", params=query) as response:
            if response.status_code == HTTPStatus.NO_CONTENT:
                self._record_response()
                return 0.0
            if response.status_code != HTTPStatus.OK:
                return await self._delay_after_problem(response)
            async for line in lines_of(response):
                if (catalog := self._follower.receive_line(line)) is not None:
                    self._apply(catalog)
                await asyncio.sleep(0)
        if self._follower.version == (epoch, version):
            raise FeedError("the answer ended before its end")
        self._record_response()
        return 0.0

    async def _delay_after_problem(self, response: httpx.Response) -> float:
        """Return the seconds to wait where a busy server says when to retry; FeedError for other problems."""
        problem = (await response.aread())[:MAX_LOGGED_CHARS].decode(errors="replace")
        retry_after = response.headers.get("retry-after", "")
        is_busy = response.status_code == HTTPStatus.SERVICE_UNAVAILABLE
        if is_busy and retry_after.replace(".", "", 1).isdigit():
            self._follower.discard_partial()
            return min(MAX_RETRY_AFTER_S, float(retry_after)) * self._random.uniform(1.0, 1.5)
        raise FeedError(f"{response.status_code}: {problem}")

    def _apply(self, catalog: Catalog) -> None:
        log.info("catalogue applied", epoch=catalog.epoch, version=catalog.version, tenants=len(catalog.tenants))
        self._on_catalog(catalog)
        self._unsaved = catalog
        if self._save_task is None or self._save_task.done():
            self._save_task = asyncio.create_task(self._save_unsaved())

    async def _save_unsaved(self) -> None:
        """Save the newest catalog, and again if a newer one has come meanwhile."""
        while self._unsaved is not None:
            catalog = self._unsaved
            self._unsaved = None
            await asyncio.to_thread(self._cache.save, catalog)

    def _record_response(self) -> None:
        if self.staleness_s > STALE_LOG_INTERVAL_S:
            log.info("control plane answers again", after_s=round(self.staleness_s))
        self._last_response_at_s = time.monotonic()
        self._stale_logged_at_s = self._last_response_at_s

    def _record_failure(self, error: Exception) -> float:
        COUNTS["feed_failed"] += 1
        now = time.monotonic()
        if self._stale_logged_at_s <= self._last_response_at_s or now - self._stale_logged_at_s > STALE_LOG_INTERVAL_S:
            self._stale_logged_at_s = now
            log.warning(
                "catalogue may be stale",
                error=f"{type(error).__name__}: {error}"[:MAX_LOGGED_CHARS],
                since_s=round(self.staleness_s, 1),
                epoch=self.catalog.epoch,
                version=self.catalog.version,
            )
        return self._follower.record_failure() / 1000

    async def _leave(self) -> None:
        """Release the lease if the administration can be reached, finish saving, close the connection."""
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


async def lines_of(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield the lines of a response as they are complete.

    Raises:
        FeedError: A line is too long, or the last one has no end.
    """
    held = bytearray()
    async for data in response.aiter_bytes():
        held += data
        *lines, rest = held.split(b"\n")
        for line in lines:
            yield bytes(line)
        held = bytearray(rest)
        if len(held) > MAX_LINE_BYTES:
            raise FeedError(f"a line of more than {MAX_LINE_BYTES} bytes")
    if held:
        raise FeedError("the last line has no end")
