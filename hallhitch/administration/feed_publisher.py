"""Publication of the catalog to gateways: long polling, limits on snapshot transfers, leases of gateways.

The cost of a snapshot is proportional to the size of the catalog, so at most MAX_SNAPSHOT_TRANSFERS run at the same
time; further gateways are told when to retry. When a whole fleet reconnects at once, it is served a few gateways at a
time, and calls of administrators are not delayed.
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
# The delay is drawn at random between these two, so that rejected gateways do not all retry at the same time.
MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 5.0


class FeedPublisher:
    """Serves gateways' requests for updates from the writer's newest catalog, and keeps no copy of it."""

    def __init__(self, writer: Writer) -> None:
        self.leases = GatewayLeases()
        self._writer = writer
        self._transfers = 0
        self._closing = asyncio.Event()
        self._random = random.Random()

    @staticmethod
    def now_ms() -> float:
        """Return the monotonic time in milliseconds, on which the leases are based."""
        return time.monotonic() * 1000

    async def next_update(self, epoch: int, version: int, hold_s: float) -> AsyncIterator[bytes] | None:
        """Wait for a catalog newer than the gateway's version, and return the lines of the update.

        Returns None if there is no newer catalog within `hold_s`, or when the publisher is closed.

        Raises:
            FeedError: The gateway holds a newer version than this catalog.
            SnapshotTransfersFull: The gateway needs a snapshot, and the limit of concurrent transfers is reached.
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
        first_line = next(lines)
        if not first_line.startswith(b'{"whole"'):
            return _single_line(first_line)
        if self._transfers >= MAX_SNAPSHOT_TRANSFERS:
            COUNTS["feed_crowded"] += 1
            raise SnapshotTransfersFull(self._random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S))
        return _SnapshotTransfer(self, first_line, lines)

    def count_transfer(self, delta: int) -> None:
        """Count a snapshot transfer that starts (`delta` 1) or ends (-1)."""
        self._transfers += delta

    def close(self) -> None:
        """End the wait of all pending requests, so that they are answered at once."""
        self._closing.set()

    async def _wait_for_change(self, catalog_changed: asyncio.Event, timeout_s: float) -> None:
        """Wait until the catalog changes, the publisher is closed or the time-out expires."""
        waiters = [asyncio.ensure_future(event.wait()) for event in (catalog_changed, self._closing)]
        try:
            await asyncio.wait(waiters, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for waiter in waiters:
                waiter.cancel()


async def _single_line(line: bytes) -> AsyncIterator[bytes]:
    yield line


class _SnapshotTransfer:
    """Transfer of a snapshot to a gateway.

    It counts against the limit from its creation until the last line is read or the iterator is discarded.
    """

    def __init__(self, publisher: FeedPublisher, first_line: bytes, other_lines: Iterator[bytes]) -> None:
        self._publisher = publisher
        self._lines = chain([first_line], other_lines)
        self._is_counted = True
        publisher.count_transfer(1)

    def __aiter__(self) -> _SnapshotTransfer:
        return self

    async def __anext__(self) -> bytes:
        await asyncio.sleep(0)  # lets other tasks run between two lines
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
