"""Client of the catalog feed on a gateway: requests updates, applies them and saves them to disk.

Serving requests never waits for the feed. Lines are processed one at a time, and the event loop runs between them. A
thread writes to disk, only the newest catalog. A failed request is retried later, and the current catalog stays in use.
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

LONG_POLL_MS: Final = 5_000  # longest wait of a request for an update: a third of a gateway's lease
RESPONSE_TIMEOUT_S: Final = 5.0  # without a byte, beyond LONG_POLL_MS: the connection is closed
RELEASE_TIMEOUT_S: Final = 1.0  # to release the lease on shutdown
STALE_LOG_INTERVAL_S: Final = 60.0  # between two warnings that the catalog may be stale
MAX_RETRY_AFTER_S: Final = 60.0  # upper bound of the Retry-After of the server
MAX_LOGGED_CHARS: Final = 300  # of an error or a problem document in a log line
log = structlog.get_logger()


def client_tls_context(ca: str, certificate: str, key: str) -> ssl.SSLContext:
    """Return the TLS context: the administration service is verified against `ca`, the gateway presents `certificate`.

    Raises:
        OSError: A file cannot be read; the error does not name the file.
    """
    context = ssl.create_default_context(cafile=ca)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    return context


class FeedClient:
    """Follows the feed while `run` runs; calls `on_catalog` in the event loop with each newer catalog."""

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
            timeout=httpx.Timeout(RESPONSE_TIMEOUT_S, read=LONG_POLL_MS / 1000 + RESPONSE_TIMEOUT_S),
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
        """Return the catalog that this gateway currently uses."""
        return self._follower.catalog

    @property
    def staleness_s(self) -> float:
        """Return the seconds since the administration service last responded."""
        return time.monotonic() - self._last_response_at_s

    async def run(self) -> None:
        """Follow the feed until cancelled, then release the lease and finish saving the newest catalog."""
        if self.catalog.version:
            log.info("catalog loaded from disk", epoch=self.catalog.epoch, version=self.catalog.version)
            self._on_catalog(self.catalog)
        try:
            while True:
                try:
                    delay_s = await self._request_update()
                except (httpx.HTTPError, FeedError, ssl.SSLError, OSError) as error:
                    delay_s = self._record_failure(error)
                await asyncio.sleep(delay_s)
        finally:
            await self._close()

    async def _request_update(self) -> float:
        """Make one request, process the whole response, and return the delay in seconds before the next request.

        Raises:
            FeedError: The response is an error, or does not contain a complete newer catalog.
        """
        epoch, version = self._follower.version
        query: dict[str, Any] = {
            "gateway": self._name,
            "instance": self._instance,
            "epoch": epoch,
            "version": version,
            "hold_ms": LONG_POLL_MS,
        }
        async with self._client.stream("GET", "/v1/feed", params=query) as response:
            if response.status_code == HTTPStatus.NO_CONTENT:
                self._record_response()
                return 0.0
            if response.status_code != HTTPStatus.OK:
                return await self._delay_after_problem(response)
            async for line in response_lines(response):
                if (catalog := self._follower.receive_line(line)) is not None:
                    self._apply(catalog)
                await asyncio.sleep(0)
        if self._follower.version == (epoch, version):
            raise FeedError("the response ended before the update was complete")
        self._record_response()
        return 0.0

    async def _delay_after_problem(self, response: httpx.Response) -> float:
        """Return the delay in seconds if a busy server sent Retry-After; raise FeedError for other problems."""
        problem = (await response.aread())[:MAX_LOGGED_CHARS].decode(errors="replace")
        retry_after = response.headers.get("retry-after", "")
        is_busy = response.status_code == HTTPStatus.SERVICE_UNAVAILABLE
        if is_busy and retry_after.replace(".", "", 1).isdigit():
            self._follower.discard_partial()
            return min(MAX_RETRY_AFTER_S, float(retry_after)) * self._random.uniform(1.0, 1.5)
        raise FeedError(f"the feed responded with status {response.status_code}: {problem}")

    def _apply(self, catalog: Catalog) -> None:
        log.info("catalog applied", epoch=catalog.epoch, version=catalog.version, tenants=len(catalog.tenants))
        self._on_catalog(catalog)
        self._unsaved = catalog
        if self._save_task is None or self._save_task.done():
            self._save_task = asyncio.create_task(self._save_unsaved())

    async def _save_unsaved(self) -> None:
        """Save the newest catalog, and repeat if a newer one arrived in the meantime."""
        while self._unsaved is not None:
            catalog = self._unsaved
            self._unsaved = None
            await asyncio.to_thread(self._cache.save, catalog)

    def _record_response(self) -> None:
        if self.staleness_s > STALE_LOG_INTERVAL_S:
            log.info("administration service reachable again", after_s=round(self.staleness_s))
        self._last_response_at_s = time.monotonic()
        self._stale_logged_at_s = self._last_response_at_s

    def _record_failure(self, error: Exception) -> float:
        COUNTS["feed_failed"] += 1
        now = time.monotonic()
        if self._stale_logged_at_s <= self._last_response_at_s or now - self._stale_logged_at_s > STALE_LOG_INTERVAL_S:
            self._stale_logged_at_s = now
            log.warning(
                "catalog may be stale",
                error=f"{type(error).__name__}: {error}"[:MAX_LOGGED_CHARS],
                since_s=round(self.staleness_s, 1),
                epoch=self.catalog.epoch,
                version=self.catalog.version,
            )
        return self._follower.record_failure() / 1000

    async def _close(self) -> None:
        """Release the lease if the administration service is reachable, finish saving and close the connections."""
        with contextlib.suppress(httpx.HTTPError, OSError, TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._client.delete(
                    "/v1/feed",
                    params={"gateway": self._name, "instance": self._instance},
                    headers={"Idempotency-Key": str(uuid.uuid4())},
                )
        if self._save_task is not None:
            await self._save_task
        await self._client.aclose()


async def response_lines(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yield each line of a response as soon as it is complete.

    Raises:
        FeedError: A line is too long, or the last line is not terminated.
    """
    buffer = bytearray()
    async for data in response.aiter_bytes():
        buffer += data
        *lines, incomplete_line = buffer.split(b"\n")
        for line in lines:
            yield bytes(line)
        buffer = bytearray(incomplete_line)
        if len(buffer) > MAX_LINE_BYTES:
            raise FeedError(f"a line of the feed is longer than {MAX_LINE_BYTES} bytes")
    if buffer:
        raise FeedError("the last line of the response is not terminated")
