"""The one writer of the catalog: calls that change something, in order, many to a transaction.

While a batch is being made durable the next one gathers, so that all calls of it share one disk synchronisation. Each
call is decided on the catalog that the calls before it leave, in a thread of the writer's own; the event loop
publishes the result once it is on disk, and only then replies. A repeat of a call (same caller and idempotency key)
gets the first reply again, byte for byte.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any, Final

import structlog

from hallhitch.administration.call_decider import RESPONSE_RETENTION_MS, CallDecider, Outcome
from hallhitch.administration.clock import WallClock
from hallhitch.administration.errors import BatchNotWrittenError, IdempotencyKeyReused, WriteQueueFull, WriterHalted
from hallhitch.administration.secrets import ServiceKeys
from hallhitch.administration.store import SNAPSHOT_CHUNK_ROWS, SqliteStore
from hallhitch.administration.write_calls import Call, Reply
from hallhitch.catalog.history import Diff, History
from hallhitch.catalog.model import Catalog
from hallhitch.catalog.rows import Row, catalog_rows
from hallhitch.core.invariants import COUNTS

MAX_BATCH_CALLS: Final = 256  # in a transaction
MAX_QUEUED_CALLS: Final = 4_096  # more are rejected
SNAPSHOT_INTERVAL_CHANGES: Final = 10_000
RETAINED_LOG_CHANGES: Final = 2_000  # kept before a snapshot, so that followers a little behind get diffs
log = structlog.get_logger()


@dataclass(slots=True)
class _BatchResult:
    """Catalog after a batch, an outcome for each of its calls, and the diffs of those that changed something."""

    catalog: Catalog
    outcomes: list[Outcome] = field(default_factory=list)
    diffs: list[Diff] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _PendingCall:
    call: Call
    future: asyncio.Future[Reply]


class Writer:
    """Owner of the newest catalog and of the way to the next one."""

    def __init__(  # noqa: PLR0913  fields of one record
        self,
        store: SqliteStore,
        catalog: Catalog,
        history: History,
        clock: WallClock,
        keys: ServiceKeys,
        snapshot_interval: int = SNAPSHOT_INTERVAL_CHANGES,
        retained_log_changes: int = RETAINED_LOG_CHANGES,
    ) -> None:
        self.catalog = catalog
        self.history = history
        self.catalog_changed = asyncio.Event()  # set, and replaced by another, once there is a newer catalog
        self.batches = 0
        self._store = store
        self._clock = clock
        self._decider = CallDecider(keys)
        self._snapshot_interval = snapshot_interval
        self._retained_log_changes = retained_log_changes
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="writer")
        self._queue: deque[_PendingCall] = deque()
        self._in_flight: dict[tuple[str, str], _PendingCall] = {}  # by caller and idempotency key
        self._wake = asyncio.Event()
        self._changes_since_snapshot = 0
        self._halt_reason = ""
        self._closing = False
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, changes_since_snapshot: int) -> None:
        """Start taking calls; so many changes were replayed on the last snapshot."""
        self._changes_since_snapshot = changes_since_snapshot
        self._main_task = asyncio.create_task(self._run())

    async def submit(self, call: Call) -> Reply:
        """Make a call and wait for its reply; it is made although the waiting task is cancelled.

        Raises:
            IdempotencyKeyReused: The key was used for another call.
            CredentialNoLongerValid: The caller's credential stopped being valid after admission.
            WriterHalted: The service ends, or the store's state is in doubt.
            WriteQueueFull: Too many calls wait.
            StoreError: The batch of the call was not written.
        """
        id = (call.caller.name, call.key)
        running = self._in_flight.get(id)
        if running is not None:
            if running.call.fingerprint != call.fingerprint:
                raise IdempotencyKeyReused(call.caller.name, call.key)
            return await asyncio.shield(running.future)
        if self._halt_reason or self._closing:
            raise WriterHalted(self._halt_reason or "the service is ending")
        if len(self._queue) >= MAX_QUEUED_CALLS:
            raise WriteQueueFull(MAX_QUEUED_CALLS)
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        future.add_done_callback(lambda done: done.cancelled() or done.exception())  # nobody may be left to look
        pending = _PendingCall(call, future)
        self._in_flight[id] = pending
        self._queue.append(pending)
        self._wake.set()
        return await asyncio.shield(future)

    async def close(self) -> None:
        """Finish the calls that were taken, then end."""
        self._closing = True
        self._wake.set()
        await self._main_task
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._thread.shutdown(wait=True)

    async def delete_expired_responses(self) -> None:
        """Delete stored responses older than RESPONSE_RETENTION_MS."""
        try:
            count = await self._in_thread(self._store.delete_responses, self._clock.now_ms() - RESPONSE_RETENTION_MS)
            log.info("expired responses deleted", count=count)
        except BatchNotWrittenError as error:
            log.error("expired responses not deleted", error=str(error))  # noqa: TRY400  expected: no traceback

    async def snapshot(self) -> None:
        """Write the catalog as it is now, chunk by chunk between batches, then truncate the log behind it.

        The catalog is immutable: what changes meanwhile stays in the log and is replayed on top.
        """
        catalog = self.catalog
        self._changes_since_snapshot = 0
        id = (catalog.epoch << 32 | catalog.version) & 0x7FFF_FFFF_FFFF_FFFF
        try:
            chunks = await self._write_chunks(id, catalog)
            await self._in_thread(self._store.commit_snapshot, id, catalog, chunks, self._retained_log_changes)
            log.info("snapshot written", epoch=catalog.epoch, version=catalog.version, pieces=chunks)
        except BatchNotWrittenError as error:
            log.error("snapshot not written", error=str(error))  # noqa: TRY400  expected: no traceback

    async def _write_chunks(self, id: int, catalog: Catalog) -> int:
        """Write a snapshot's chunks and return how many."""
        chunks = 0
        rows: list[Row] = []
        for row in catalog_rows(catalog):
            rows.append(row)
            if len(rows) == SNAPSHOT_CHUNK_ROWS:
                await self._in_thread(self._store.write_snapshot_chunk, id, chunks, rows)
                chunks += 1
                rows = []
        if rows:
            await self._in_thread(self._store.write_snapshot_chunk, id, chunks, rows)
            chunks += 1
        return chunks

    async def _in_thread(self, call: Callable[..., Any], *values: Any) -> Any:
        return await asyncio.get_running_loop().run_in_executor(self._thread, call, *values)

    async def _run(self) -> None:
        """Process batch after batch until `close`."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                batch = [self._queue.popleft() for _ in range(min(MAX_BATCH_CALLS, len(self._queue)))]
                await self._process_batch(batch)
            if self._closing:
                return

    async def _process_batch(self, batch: list[_PendingCall]) -> None:
        """Decide a batch, make it durable, publish the catalog, reply."""
        outcomes: list[Outcome]
        try:
            if self._halt_reason:
                raise WriterHalted(self._halt_reason)
            calls = [pending.call for pending in batch]
            result = await self._in_thread(self._commit, calls, self.catalog, self._clock.now_ms())
            self._publish(result)
            outcomes = result.outcomes
        except Exception as error:  # noqa: BLE001  an outer edge: logged, and the process goes on
            COUNTS["batches_failed"] += 1
            log.error("batch not written", error=f"{type(error).__name__}: {error}", calls=len(batch))  # noqa: TRY400
            await self._verify_store_after_failure()
            outcomes = [error] * len(batch)
        for pending, outcome in zip(batch, outcomes, strict=True):
            del self._in_flight[pending.call.caller.name, pending.call.key]
            if isinstance(outcome, Exception):
                pending.future.set_exception(outcome)
            else:
                pending.future.set_result(outcome)

    def _publish(self, result: _BatchResult) -> None:
        """Publish a durable batch's catalog, and start a snapshot where one is due."""
        for diff in result.diffs:
            self.history.add(diff)
        if result.catalog is not self.catalog:
            self.catalog = result.catalog
            self.catalog_changed.set()
            self.catalog_changed = asyncio.Event()
        self.batches += 1
        self._changes_since_snapshot += len(result.diffs)
        if self._changes_since_snapshot >= self._snapshot_interval:
            self._changes_since_snapshot = 0
            task = asyncio.create_task(self.snapshot())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _verify_store_after_failure(self) -> None:
        """Halt the writer if the disk does not hold the version that this process holds."""
        if self._halt_reason:
            return
        try:
            on_disk = await self._in_thread(self._store.latest_version)
        except Exception as error:  # noqa: BLE001  an outer edge: logged, and the process goes on
            log.error("the store cannot be read", error=str(error))  # noqa: TRY400  expected: no traceback
            return  # each further batch tries again, and fails as a whole
        if on_disk not in ((self.catalog.epoch, self.catalog.version), (0, 0)):
            held = f"{self.catalog.epoch}.{self.catalog.version}"
            self._halt_reason = f"the store is at {on_disk[0]}.{on_disk[1]}, this process at {held}"
            log.critical("no changes until a restart", reason=self._halt_reason)

    def _commit(self, calls: list[Call], catalog: Catalog, now_ms: int) -> _BatchResult:
        """Decide and write all calls of a batch in one transaction, or none; runs in the writer's thread."""
        result = _BatchResult(catalog)
        with self._store.batch() as batch:
            for call in calls:
                decision = self._decider.decide(batch, call, result.catalog, now_ms)
                result.catalog = decision.catalog
                result.outcomes.append(decision.outcome)
                if decision.diff is not None:
                    result.diffs.append(decision.diff)
        return result
