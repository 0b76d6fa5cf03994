"""The single writer of the catalog, which processes changing calls in order and commits them in batches.

While one batch is written, the next calls queue up, so that all calls of a batch share one synchronisation of the
disk. Each call is decided on the catalog as the previous calls left it, in the writer's thread. The event loop
publishes the new catalog and replies only after the batch is on disk. A retry of a call, with the same caller and
idempotency key, gets the first reply again, byte for byte.
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

MAX_BATCH_CALLS: Final = 256  # calls per transaction
MAX_QUEUED_CALLS: Final = 4_096  # further calls are rejected
SNAPSHOT_INTERVAL_CHANGES: Final = 10_000
# Changes before a snapshot that stay in the log, so that followers that lag a little get diffs and no snapshot.
RETAINED_LOG_CHANGES: Final = 2_000
log = structlog.get_logger()


@dataclass(slots=True)
class _BatchResult:
    """Catalog after a batch, the outcome of each of its calls, and the diffs of the calls that changed the catalog."""

    catalog: Catalog
    outcomes: list[Outcome] = field(default_factory=list)
    diffs: list[Diff] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _PendingCall:
    """Call that is queued or in the current batch, with the future of its reply."""

    call: Call
    future: asyncio.Future[Reply]


class Writer:
    """Holds the newest catalog, and applies calls that change it."""

    def __init__(  # noqa: PLR0913  the components that one writer needs
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
        self.catalog_changed = asyncio.Event()  # set and replaced whenever a newer catalog is published
        self.batch_count = 0
        self._store = store
        self._clock = clock
        self._decider = CallDecider(keys)
        self._snapshot_interval = snapshot_interval
        self._retained_log_changes = retained_log_changes
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="writer")
        self._queue: deque[_PendingCall] = deque()
        self._in_flight: dict[tuple[str, str], _PendingCall] = {}  # by caller and idempotency key
        self._wake = asyncio.Event()
        self._changes_since_snapshot = 0
        self._halt_reason = ""
        self._closing = False
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, changes_since_snapshot: int) -> None:
        """Start to process calls; `changes_since_snapshot` is the number of changes replayed at the start."""
        self._changes_since_snapshot = changes_since_snapshot
        self._main_task = asyncio.create_task(self._run())

    async def submit(self, call: Call) -> Reply:
        """Queue a call and wait for its reply; cancellation of the waiting task does not cancel the call.

        Raises:
            IdempotencyKeyReused: The idempotency key was already used for a different call.
            CredentialNoLongerValid: The caller's credential expired or was revoked after the admission of the call.
            WriterHalted: The service is shutting down, or it is unclear what the store holds.
            WriteQueueFull: Too many calls are waiting.
            StoreError: The batch with this call was not written.
        """
        call_id = (call.caller.name, call.key)
        running = self._in_flight.get(call_id)
        if running is not None:
            if running.call.fingerprint != call.fingerprint:
                raise IdempotencyKeyReused(call.caller.name, call.key)
            return await asyncio.shield(running.future)
        if self._halt_reason or self._closing:
            raise WriterHalted(self._halt_reason or "the service is shutting down")
        if len(self._queue) >= MAX_QUEUED_CALLS:
            raise WriteQueueFull(MAX_QUEUED_CALLS)
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        # Marks an exception as retrieved: the caller may be gone, and asyncio would log an exception that nobody read.
        future.add_done_callback(lambda done: done.cancelled() or done.exception())
        pending = _PendingCall(call, future)
        self._in_flight[call_id] = pending
        self._queue.append(pending)
        self._wake.set()
        return await asyncio.shield(future)

    async def close(self) -> None:
        """Process the queued calls, then stop."""
        self._closing = True
        self._wake.set()
        await self._main_task
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._executor.shutdown(wait=True)

    async def delete_expired_responses(self) -> None:
        """Delete the stored responses that are older than RESPONSE_RETENTION_MS."""
        try:
            count = await self._run_in_thread(
                self._store.delete_responses, self._clock.now_ms() - RESPONSE_RETENTION_MS
            )
            log.info("expired responses deleted", count=count)
        except BatchNotWrittenError as error:
            log.error("could not delete expired responses", error=str(error))  # noqa: TRY400  expected: no traceback

    async def snapshot(self) -> None:
        """Write a snapshot of the current catalog, then truncate the change log.

        The chunks are written between batches. The catalog object is immutable: later changes are in the log, and a
        recovery replays them on top of the snapshot.
        """
        catalog = self.catalog
        self._changes_since_snapshot = 0
        snapshot_id = (catalog.epoch << 32 | catalog.version) & 0x7FFF_FFFF_FFFF_FFFF
        try:
            chunks = await self._write_chunks(snapshot_id, catalog)
            await self._run_in_thread(
                self._store.commit_snapshot, snapshot_id, catalog, chunks, self._retained_log_changes
            )
            log.info("snapshot written", epoch=catalog.epoch, version=catalog.version, pieces=chunks)
        except BatchNotWrittenError as error:
            log.error("could not write a snapshot", error=str(error))  # noqa: TRY400  expected: no traceback

    async def _write_chunks(self, snapshot_id: int, catalog: Catalog) -> int:
        """Write the chunks of a snapshot, and return their number."""
        chunks = 0
        rows: list[Row] = []
        for row in catalog_rows(catalog):
            rows.append(row)
            if len(rows) == SNAPSHOT_CHUNK_ROWS:
                await self._run_in_thread(self._store.write_snapshot_chunk, snapshot_id, chunks, rows)
                chunks += 1
                rows = []
        if rows:
            await self._run_in_thread(self._store.write_snapshot_chunk, snapshot_id, chunks, rows)
            chunks += 1
        return chunks

    async def _run_in_thread(self, function: Callable[..., Any], *arguments: Any) -> Any:
        return await asyncio.get_running_loop().run_in_executor(self._executor, function, *arguments)

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
        """Decide the calls of a batch, make it durable, publish the catalog and reply to the callers."""
        outcomes: list[Outcome]
        try:
            if self._halt_reason:
                raise WriterHalted(self._halt_reason)
            calls = [pending.call for pending in batch]
            result = await self._run_in_thread(self._commit, calls, self.catalog, self._clock.now_ms())
            self._publish(result)
            outcomes = result.outcomes
        except Exception as error:  # noqa: BLE001  any failure is logged, and the writer goes on
            COUNTS["batches_failed"] += 1
            log.error("could not write a batch", error=f"{type(error).__name__}: {error}", calls=len(batch))  # noqa: TRY400
            await self._verify_store_after_failure()
            outcomes = [error] * len(batch)
        for pending, outcome in zip(batch, outcomes, strict=True):
            del self._in_flight[pending.call.caller.name, pending.call.key]
            if isinstance(outcome, Exception):
                pending.future.set_exception(outcome)
            else:
                pending.future.set_result(outcome)

    def _publish(self, result: _BatchResult) -> None:
        """Publish the catalog of a durable batch, and start a snapshot if one is due."""
        for diff in result.diffs:
            self.history.add(diff)
        if result.catalog is not self.catalog:
            self.catalog = result.catalog
            self.catalog_changed.set()
            self.catalog_changed = asyncio.Event()
        self.batch_count += 1
        self._changes_since_snapshot += len(result.diffs)
        if self._changes_since_snapshot >= self._snapshot_interval:
            self._changes_since_snapshot = 0
            task = asyncio.create_task(self.snapshot())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _verify_store_after_failure(self) -> None:
        """Halt the writer if the store's version differs from the version in memory."""
        if self._halt_reason:
            return
        try:
            on_disk = await self._run_in_thread(self._store.latest_version)
        except Exception as error:  # noqa: BLE001  any failure is logged, and the writer goes on
            log.error("could not read the version of the store", error=str(error))  # noqa: TRY400  expected: no traceback
            return  # the next batch tries again, and fails as a whole if the store is still unreadable
        if on_disk not in ((self.catalog.epoch, self.catalog.version), (0, 0)):
            version_in_memory = f"{self.catalog.epoch}.{self.catalog.version}"
            self._halt_reason = f"the store holds version {on_disk[0]}.{on_disk[1]}, the process {version_in_memory}"
            log.critical("writer halted until a restart", reason=self._halt_reason)

    def _commit(self, calls: list[Call], catalog: Catalog, now_ms: int) -> _BatchResult:
        """Decide all calls of a batch and write them in one transaction; runs in the writer's thread."""
        result = _BatchResult(catalog)
        with self._store.batch() as batch:
            for call in calls:
                decision = self._decider.decide(batch, call, result.catalog, now_ms)
                result.catalog = decision.catalog
                result.outcomes.append(decision.outcome)
                if decision.diff is not None:
                    result.diffs.append(decision.diff)
        return result
