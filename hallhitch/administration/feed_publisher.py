"""The feed's publisher: who waits for news, who is sent the whole, and the table of gateways.

A whole costs the control plane as much as there is, so few are under way at a time and the others are told when to come
back: a fleet that returns at once is served one after another, and administrators meanwhile as ever.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator, Iterator
from itertools import chain

from hallhitch.administration.writer import Writer
from hallhitch.catalog.feed import update_lines
from hallhitch.catalog.gateway_leases import GatewayLeases
from hallhitch.core.invariants import COUNTS

MAX_SNAPSHOT_TRANSFERS = 4  # transfers of everything at a time
RETRY_AFTER_RANGE_S = 1.0, 5.0  # s, drawn, after which a gateway turned away may come back


class SnapshotTransfersFull(Exception):
    """Too many wholes are under way; `wait` is when to come back, in s."""

    def __init__(self, wait: float) -> None:
        super().__init__(f"come back in {wait:.1f} s")
        self.retry_after_s = wait


class FeedPublisher:
    """Answers gateways' questions; holds no catalogue but the writer's newest."""

    def __init__(self, writer: Writer) -> None:
        self._writer, self.leases = writer, GatewayLeases()
        self._transfers = 0
        self._closing = asyncio.Event()
        self._random = random.Random()

    @staticmethod
    def now_ms() -> float:
        """ms of a clock that does not step, for leases."""
        return time.monotonic() * 1000

    async def next_update(self, epoch: int, version: int, hold: float) -> AsyncIterator[bytes] | None:
        """What leads on from a version, once there is anything; None after `hold` s without.

        FeedError where the gateway is ahead; Crowded where the whole is due and too many are under way.
        """
        until = time.monotonic() + hold
        while True:
            news = self._writer.catalog_changed
            lines = update_lines(self._writer.catalog, self._writer.history, epoch, version)
            if lines is not None:
                break
            left = until - time.monotonic()
            if left <= 0 or self._closing.is_set():
                return None
            await self._wait_for_change(news, left)
        first = next(lines)
        if not first.startswith(b'{"whole"'):
            return _single_line(first)
        if self._transfers >= MAX_SNAPSHOT_TRANSFERS:
            COUNTS["feed_crowded"] += 1
            raise SnapshotTransfersFull(self._random.uniform(*RETRY_AFTER_RANGE_S))
        return _SnapshotTransfer(self, first, lines)

    def count_transfer(self, by: int) -> None:
        """A whole begins or ends."""
        self._transfers += by

    def close(self) -> None:
        """Answer all who wait."""
        self._closing.set()

    async def _wait_for_change(self, news: asyncio.Event, left: float) -> None:
        waits = [asyncio.ensure_future(event.wait()) for event in (news, self._closing)]
        try:
            await asyncio.wait(waits, timeout=left, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for one in waits:
                one.cancel()


async def _single_line(line: bytes) -> AsyncIterator[bytes]:
    yield line


class _SnapshotTransfer:
    """A whole under way: it has its place from when it was granted until it ends, fails, or nobody reads it."""

    def __init__(self, publisher: FeedPublisher, first: bytes, rest: Iterator[bytes]) -> None:
        self._publisher, self._lines = publisher, chain([first], rest)
        self._is_counted = True
        publisher.count_transfer(1)

    def __aiter__(self) -> _SnapshotTransfer:
        return self

    async def __anext__(self) -> bytes:
        await asyncio.sleep(0)  # others have their turn between two pieces
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
