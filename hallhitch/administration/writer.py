"""The one writer: calls that change something, in order, many to a transaction.

While a batch is being made durable the next one gathers, so the disk's sync is shared by all who wait. Each call is
decided on the catalogue that the calls before it leave, in a thread of its own; the event loop publishes the result
once it is on disk, and only then answers. A call with a key that was used before gets the first answer again.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
import structlog
from msgspec import Struct

from hallhitch.administration.clock import WallClock
from hallhitch.administration.secrets import ServiceKeys
from hallhitch.administration.store import (
    SNAPSHOT_CHUNK_ROWS,
    AuditEntry,
    Batch,
    BatchNotWrittenError,
    SqliteStore,
    StoredResponse,
    StoreError,
)
from hallhitch.catalog.access import Principal, valid_credential
from hallhitch.catalog.changes import Change, ChangeRefused, apply_change
from hallhitch.catalog.history import Diff, History
from hallhitch.catalog.model import Catalog
from hallhitch.catalog.rows import Row, catalog_rows
from hallhitch.core.invariants import COUNTS, invariant

MAX_BATCH_CALLS = 256  # calls in a transaction
MAX_QUEUED_CALLS = 4_096  # calls that may wait; more are turned away
RESPONSE_RETENTION_MS = 24 * 3_600_000  # ms that answers are kept for repeats
SNAPSHOT_INTERVAL_CHANGES = 10_000  # changes from one snapshot to the next
RETAINED_LOG_CHANGES = 2_000  # changes kept before a snapshot, so that followers that are a little behind get diffs
log = structlog.get_logger()


class Reply(Struct, frozen=True):
    """An answer to a call, as it goes out and as it is kept."""

    status: int
    headers: dict[str, str]
    body: bytes


class _StoredReply(Struct, frozen=True):
    """A reply as the store has it; one with a secret in it is sealed."""

    status: int
    headers: dict[str, str]
    body: bytes
    sealed: bool


class PlannedChange(Struct, frozen=True):
    """What a call asks for once it has seen the catalogue, and how its answer reads when that is made."""

    change: Change
    reply: Callable[[Catalog], Reply]
    has_secret: bool = False  # the answer holds a secret: kept sealed


class Call(Struct, frozen=True):
    """A call that changes something. `asked` tells it from another with the same key; `plan` may raise Refused."""

    caller: Principal
    key: str
    fingerprint: bytes
    tenant: str  # whose part, for the audit
    action: str
    plan: Callable[[Catalog, int], PlannedChange]
    refusal_reply: Callable[[ChangeRefused], Reply]


class WriteQueueFull(Exception):
    """Too many calls wait."""


class IdempotencyKeyReused(Exception):
    """The key was used for another call."""


class CredentialNoLongerValid(Exception):
    """The caller's credential has stopped to count since the call came in."""


class WriterHalted(Exception):
    """The store failed in a way that leaves its state in doubt; nothing is changed before a restart."""


_pack, _unpack = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(_StoredReply).decode
Outcome = Reply | Exception
_BatchResult = tuple[Catalog, list[Outcome], list[Diff]]


class Writer:
    """Owns the newest catalogue and the way to the next one."""

    def __init__(
        self,
        store: SqliteStore,
        catalog: Catalog,
        history: History,
        clock: WallClock,
        keys: ServiceKeys,
        snapshot_each: int = SNAPSHOT_INTERVAL_CHANGES,
        keep: int = RETAINED_LOG_CHANGES,
    ) -> None:
        self.catalog, self.history = catalog, history
        self._store, self._clock, self._keys = store, clock, keys
        self._snapshot_interval, self._retained_log_changes = snapshot_each, keep
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="writer")
        self._queue: deque[tuple[Call, asyncio.Future[Reply]]] = deque()
        self._in_flight: dict[tuple[str, str], tuple[bytes, asyncio.Future[Reply]]] = {}
        self._wake = asyncio.Event()
        self.catalog_changed = asyncio.Event()  # set, and another in its place, once there is a newer catalogue
        self._since_snapshot = 0
        self._halt_reason = ""
        self._closing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.batches = 0

    def start(self, replayed: int) -> None:
        """Begin to take calls; `replayed` changes came since the last snapshot."""
        self._since_snapshot = replayed
        self._main_task = asyncio.create_task(self._run())

    async def submit(self, call: Call) -> Reply:
        """Make a call and wait for its answer; it is made though the one who waits goes away."""
        name = (call.caller.name, call.key)
        running = self._in_flight.get(name)
        if running is not None:
            asked, future = running
            if asked != call.fingerprint:
                raise IdempotencyKeyReused
            return await asyncio.shield(future)
        if self._halt_reason or self._closing:
            raise WriterHalted(self._halt_reason or "the service is ending")
        if len(self._queue) >= MAX_QUEUED_CALLS:
            raise WriteQueueFull
        future = asyncio.get_running_loop().create_future()
        future.add_done_callback(lambda done: done.cancelled() or done.exception())  # nobody may be left to look
        self._in_flight[name] = (call.fingerprint, future)
        self._queue.append((call, future))
        self._wake.set()
        return await asyncio.shield(future)

    async def close(self) -> None:
        """Make what has been taken, then end."""
        self._closing = True
        self._wake.set()
        await self._main_task
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._thread.shutdown(wait=True)

    async def delete_expired_responses(self) -> None:
        """Drop answers that are a day old."""
        try:
            gone = await self._in_thread(self._store.delete_responses, self._clock.now_ms() - RESPONSE_RETENTION_MS)
            log.info("answers forgotten", count=gone)
        except BatchNotWrittenError as error:
            log.error("answers not forgotten", error=str(error))

    async def snapshot(self) -> None:
        """Write the catalogue as it stands, piece by piece between batches, then cut the log behind it.

        The catalogue is immutable: what changes meanwhile stays in the log and is replayed on top.
        """
        catalog = self.catalog
        self._since_snapshot = 0
        id = (catalog.epoch << 32 | catalog.version) & 0x7FFF_FFFF_FFFF_FFFF
        pieces, rows = 0, []
        try:
            for row in catalog_rows(catalog):
                rows.append(row)
                if len(rows) == SNAPSHOT_CHUNK_ROWS:
                    await self._write_chunk(id, pieces, rows)
                    pieces, rows = pieces + 1, []
            if rows:
                await self._write_chunk(id, pieces, rows)
                pieces += 1
            await self._in_thread(self._store.commit_snapshot, id, catalog, pieces, self._retained_log_changes)
            log.info("snapshot written", epoch=catalog.epoch, version=catalog.version, pieces=pieces)
        except BatchNotWrittenError as error:
            log.error("snapshot not written", error=str(error))

    async def _write_chunk(self, id: int, number: int, rows: list[Row]) -> None:
        await self._in_thread(self._store.write_snapshot_chunk, id, number, rows)

    async def _in_thread(self, call: Callable[..., Any], *values: Any) -> Any:
        return await asyncio.get_running_loop().run_in_executor(self._thread, call, *values)

    async def _run(self) -> None:
        """Batch after batch."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queue:
                batch = [self._queue.popleft() for _ in range(min(MAX_BATCH_CALLS, len(self._queue)))]
                await self._process_batch(batch)
            if self._closing:
                return

    async def _process_batch(self, batch: list[tuple[Call, asyncio.Future[Reply]]]) -> None:
        """Decide a batch, make it durable, publish it, answer."""
        outcomes: list[Outcome]
        try:
            if self._halt_reason:
                raise WriterHalted(self._halt_reason)
            catalog, outcomes, diffs = await self._in_thread(
                self._commit, [call for call, _ in batch], self.catalog, self._clock.now_ms()
            )
            for diff in diffs:
                self.history.add(diff)
            if catalog is not self.catalog:
                self.catalog = catalog
                self.catalog_changed.set()
                self.catalog_changed = asyncio.Event()
            self.batches += 1
            self._since_snapshot += len(diffs)
            if self._since_snapshot >= self._snapshot_interval:
                self._since_snapshot = 0
                task = asyncio.create_task(self.snapshot())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except Exception as error:
            COUNTS["batches_failed"] += 1
            log.error("batch not written", error=f"{type(error).__name__}: {error}", calls=len(batch))
            await self._verify_store_after_failure()
            outcomes = [error] * len(batch)
        for (call, future), outcome in zip(batch, outcomes, strict=True):
            del self._in_flight[call.caller.name, call.key]
            if isinstance(outcome, Exception):
                future.set_exception(outcome)
            else:
                future.set_result(outcome)

    async def _verify_store_after_failure(self) -> None:
        """After a failed batch the disk must hold what is held here; otherwise no more is changed."""
        if self._halt_reason:
            return
        try:
            newest = await self._in_thread(self._store.latest_version)
        except Exception as error:
            log.error("the store cannot be read", error=str(error))
            return  # each further batch tries again, and fails whole
        if newest not in ((self.catalog.epoch, self.catalog.version), (0, 0)):
            self._halt_reason = (
                f"the store is at {newest[0]}.{newest[1]}, this process at {self.catalog.epoch}.{self.catalog.version}"
            )
            log.critical("no changes until a restart", reason=self._halt_reason)

    def _commit(self, calls: list[Call], catalog: Catalog, now: int) -> _BatchResult:
        """In the thread: all calls of a batch in one transaction, or none."""
        outcomes: list[Outcome] = []
        diffs: list[Diff] = []
        with self._store.batch() as batch:
            for call in calls:
                catalog, outcome = self._decide(batch, call, catalog, now, diffs)
                outcomes.append(outcome)
        return catalog, outcomes, diffs

    def _decide(
        self,
        batch: Batch,
        call: Call,
        catalog: Catalog,
        now: int,
        diffs: list[Diff],
    ) -> tuple[Catalog, Outcome]:
        """One call: the catalogue it leaves and its answer."""
        # The credential was checked when the call came in; what counts is that it does when the change is made.
        credential = valid_credential(catalog, call.caller.tenant, call.caller.id, now)
        if credential is None or credential.scope is not call.caller.scope:
            return catalog, CredentialNoLongerValid()
        kept = batch.stored_response(call.caller.name, call.key)
        if kept is not None and now - kept.stored_at_ms < RESPONSE_RETENTION_MS:
            if kept.fingerprint != call.fingerprint:
                return catalog, IdempotencyKeyReused()
            return catalog, self._repeat_reply(call, kept)
        version = 0
        try:
            planned = call.plan(catalog, now)
            made = apply_change(catalog, planned.change)
            reply, sealed = planned.reply(made.catalog), planned.has_secret
            batch.append_change(made.catalog, made.diff, now, call.tenant, call.caller.name)
            invariant(made.catalog.version == catalog.version + 1, "versions are dense")
            catalog, version = made.catalog, made.catalog.version
            diffs.append(made.diff)
        except ChangeRefused as refusal:
            reply, sealed = call.refusal_reply(refusal), False
        body = self._keys.seal(reply.body, f"{call.caller.name} {call.key}") if sealed else reply.body
        packed = _pack(_StoredReply(reply.status, reply.headers, body, sealed))
        batch.store_response(call.caller.name, call.key, StoredResponse(now, call.fingerprint, packed))
        batch.audit(
            AuditEntry(0, now, call.tenant, call.caller.name, call.action, reply.status, catalog.epoch, version)
        )
        return catalog, reply

    def _repeat_reply(self, call: Call, kept: StoredResponse) -> Outcome:
        """The first answer, byte for byte."""
        told = _unpack(kept.body)
        try:
            body = self._keys.unseal(told.body, f"{call.caller.name} {call.key}") if told.sealed else told.body
        except StoreError as error:
            return error
        return Reply(told.status, told.headers, body)
