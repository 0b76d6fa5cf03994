"""Publisher of the catalog to gateways: waiting requests, snapshot transfers, gateways' leases.

A snapshot costs in proportion to the whole catalog, so at most MAX_SNAPSHOT_TRANSFERS are under way; further gateways
get a time to retry. A fleet that returns at once is served a few at a time, and administrators meanwhile as ever.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator, Iterator
from itertools import chain
from typing import Final

from hallhitch.administration.errors import SnapshotTransfersFull
from hallhitch.administration.writer import Writer
from hallhitch.catalog.feed import update_lines
from hallhitch.catalog.gateway_leases import GatewayLeases
from hallhitch.core.invariants import COUNTS

MAX_SNAPSHOT_TRANSFERS: Final = 4
MIN_RETRY_AFTER_S: Final = 1.0  # drawn between these two, so that rejected gateways come back apart
MAX_RETRY_AFTER_S: Final = 5.0


class FeedPublisher:
    """Answers gateways' requests for updates from the writer's newest catalog; holds none of its own."""

    def __init__(self, writer: Writer) -> None:
        self.leases = GatewayLeases()
        self._writer = writer
        self._transfers = 0
        self._closing = asyncio.Event()
        self._random = random.Random()

    @staticmethod
    def now_ms() -> float:
        """Return the time of a monotonic clock, for leases."""
        return time.monotonic() * 1000

    async def next_update(self, epoch: int, version: int, hold_s: float) -> AsyncIterator[bytes] | None:
        """Wait for a catalog later than a version and return its lines; None after `hold_s` without one.

        Raises:
            FeedError: The gateway is ahead of this catalog.
            SnapshotTransfersFull: A snapshot is due, and as many as may be are under way.
        """
        deadline = time.monotonic() + hold_s
        while True:
            catalog_changed = self._writer.catalog_changed
            lines = update_lines(self._writer.catalog, self._writer.history, epoch, version)
            if lines is not None:
                break
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0 or self._closing.is_set():
                return None
            await self._wait_for_change(catalog_changed, remaining_s)
        first = next(lines)
        if not first.startswith(b'{"whole"'):
            return _single_line(first)
        if self._transfers >= MAX_SNAPSHOT_TRANSFERS:
            COUNTS["feed_crowded"] += 1
            raise SnapshotTransfersFull(self._random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S))
        return _SnapshotTransfer(self, first, lines)

    def count_transfer(self, change: int) -> None:
        """Count a snapshot transfer that starts (1) or ends (-1)."""
        self._transfers += change

    def close(self) -> None:
        """Answer all requests that wait."""
        self._closing.set()

    async def _wait_for_change(self, catalog_changed: asyncio.Event, timeout_s: float) -> None:
        """Wait until the catalog changes, the publisher closes or the time-out passes."""
        waits = [asyncio.ensure_future(event.wait()) for event in (catalog_changed, self._closing)]
        try:
            await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()


async def _single_line(line: bytes) -> AsyncIterator[bytes]:
    yield line


class _SnapshotTransfer:
    """Snapshot on its way to a gateway; counted from its start until it ends, fails or is no longer read."""

    def __init__(self, publisher: FeedPublisher, first: bytes, rest: Iterator[bytes]) -> None:
        self._publisher = publisher
        self._lines = chain([first], rest)
        self._is_counted = True
        publisher.count_transfer(1)

    def __aiter__(self) -> _SnapshotTransfer:
        return self

    async def __anext__(self) -> bytes:
        await asyncio.sleep(0)  # other tasks have their turn between two chunks
        try:
            return next(self._lines)
        except StopIteration:
            self._release()
            raise StopAsyncIteration from None

    def _release(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._publisher.count_transfer(-1)

    def __del__(self) -> None:
        self._release()
