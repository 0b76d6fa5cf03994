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
from hallhitch.administration.secrets import Keys
from hallhitch.administration.store import PIECE, Answer, Audited, Batch, SqliteStore, StoreError, Unavailable
from hallhitch.catalog.access import Principal, credential_of
from hallhitch.catalog.changes import Change, Refused, apply
from hallhitch.catalog.history import Diff, History
from hallhitch.catalog.model import Catalogue
from hallhitch.catalog.rows import Row, rows_of
from hallhitch.core.invariants import COUNTS, invariant

BATCH = 256  # calls in a transaction
WAITING = 4_096  # calls that may wait; more are turned away
DAY = 24 * 3_600_000  # ms that answers are kept for repeats
SNAPSHOT_EACH = 10_000  # changes from one snapshot to the next
KEEP = 2_000  # changes kept before a snapshot, so that followers that are a little behind get diffs
log = structlog.get_logger()


class Reply(Struct, frozen=True):
    """An answer to a call, as it goes out and as it is kept."""

    status: int
    headers: dict[str, str]
    body: bytes


class _Kept(Struct, frozen=True):
    """A reply as the store has it; one with a secret in it is sealed."""

    status: int
    headers: dict[str, str]
    body: bytes
    sealed: bool


class Planned(Struct, frozen=True):
    """What a call asks for once it has seen the catalogue, and how its answer reads when that is made."""

    change: Change
    reply: Callable[[Catalogue], Reply]
    secret: bool = False  # the answer holds a secret: kept sealed


class Call(Struct, frozen=True):
    """A call that changes something. `asked` tells it from another with the same key; `plan` may raise Refused."""

    caller: Principal
    key: str
    asked: bytes
    tenant: str  # whose part, for the audit
    action: str
    plan: Callable[[Catalogue, int], Planned]
    refused: Callable[[Refused], Reply]


class Overloaded(Exception):
    """Too many calls wait."""


class KeyReused(Exception):
    """The key was used for another call."""


class NoLonger(Exception):
    """The caller's credential has stopped to count since the call came in."""


class Halted(Exception):
    """The store failed in a way that leaves its state in doubt; nothing is changed before a restart."""


_pack, _unpack = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(_Kept).decode
Outcome = Reply | Exception
_Done = tuple[Catalogue, list[Outcome], list[Diff]]


class Writer:
    """Owns the newest catalogue and the way to the next one."""

    def __init__(
        self,
        store: SqliteStore,
        catalogue: Catalogue,
        history: History,
        clock: WallClock,
        keys: Keys,
        snapshot_each: int = SNAPSHOT_EACH,
        keep: int = KEEP,
    ) -> None:
        self.catalogue, self.history = catalogue, history
        self._store, self._clock, self._keys = store, clock, keys
        self._each, self._keep = snapshot_each, keep
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="writer")
        self._calls: deque[tuple[Call, asyncio.Future[Reply]]] = deque()
        self._running: dict[tuple[str, str], tuple[bytes, asyncio.Future[Reply]]] = {}
        self._wake = asyncio.Event()
        self.news = asyncio.Event()  # set, and another in its place, once there is a newer catalogue
        self._since_snapshot = 0
        self._halted = ""
        self._closing = False
        self._tasks: set[asyncio.Task[None]] = set()
        self.batches = 0

    def start(self, replayed: int) -> None:
        """Begin to take calls; `replayed` changes came since the last snapshot."""
        self._since_snapshot = replayed
        self._main = asyncio.create_task(self._run())

    async def submit(self, call: Call) -> Reply:
        """Make a call and wait for its answer; it is made though the one who waits goes away."""
        name = (call.caller.name, call.key)
        running = self._running.get(name)
        if running is not None:
            asked, future = running
            if asked != call.asked:
                raise KeyReused
            return await asyncio.shield(future)
        if self._halted or self._closing:
            raise Halted(self._halted or "the service is ending")
        if len(self._calls) >= WAITING:
            raise Overloaded
        future = asyncio.get_running_loop().create_future()
        future.add_done_callback(lambda done: done.cancelled() or done.exception())  # nobody may be left to look
        self._running[name] = (call.asked, future)
        self._calls.append((call, future))
        self._wake.set()
        return await asyncio.shield(future)

    async def close(self) -> None:
        """Make what has been taken, then end."""
        self._closing = True
        self._wake.set()
        await self._main
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._thread.shutdown(wait=True)

    async def forget_answers(self) -> None:
        """Drop answers that are a day old."""
        try:
            gone = await self._in_thread(self._store.forget_answers, self._clock.now() - DAY)
            log.info("answers forgotten", count=gone)
        except Unavailable as error:
            log.error("answers not forgotten", error=str(error))

    async def snapshot(self) -> None:
        """Write the catalogue as it stands, piece by piece between batches, then cut the log behind it.

        The catalogue is immutable: what changes meanwhile stays in the log and is replayed on top.
        """
        catalogue = self.catalogue
        self._since_snapshot = 0
        id = (catalogue.epoch << 32 | catalogue.version) & 0x7FFF_FFFF_FFFF_FFFF
        pieces, rows = 0, []
        try:
            for row in rows_of(catalogue):
                rows.append(row)
                if len(rows) == PIECE:
                    await self._keep_piece(id, pieces, rows)
                    pieces, rows = pieces + 1, []
            if rows:
                await self._keep_piece(id, pieces, rows)
                pieces += 1
            await self._in_thread(self._store.keep_snapshot, id, catalogue, pieces, self._keep)
            log.info("snapshot written", epoch=catalogue.epoch, version=catalogue.version, pieces=pieces)
        except Unavailable as error:
            log.error("snapshot not written", error=str(error))

    async def _keep_piece(self, id: int, number: int, rows: list[Row]) -> None:
        await self._in_thread(self._store.keep_piece, id, number, rows)

    async def _in_thread(self, call: Callable[..., Any], *values: Any) -> Any:
        return await asyncio.get_running_loop().run_in_executor(self._thread, call, *values)

    async def _run(self) -> None:
        """Batch after batch."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._calls:
                batch = [self._calls.popleft() for _ in range(min(BATCH, len(self._calls)))]
                await self._one(batch)
            if self._closing:
                return

    async def _one(self, batch: list[tuple[Call, asyncio.Future[Reply]]]) -> None:
        """Decide a batch, make it durable, publish it, answer."""
        outcomes: list[Outcome]
        try:
            if self._halted:
                raise Halted(self._halted)
            catalogue, outcomes, diffs = await self._in_thread(
                self._commit, [call for call, _ in batch], self.catalogue, self._clock.now()
            )
            for diff in diffs:
                self.history.add(diff)
            if catalogue is not self.catalogue:
                self.catalogue = catalogue
                self.news.set()
                self.news = asyncio.Event()
            self.batches += 1
            self._since_snapshot += len(diffs)
            if self._since_snapshot >= self._each:
                self._since_snapshot = 0
                task = asyncio.create_task(self.snapshot())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except Exception as error:
            COUNTS["batches_failed"] += 1
            log.error("batch not written", error=f"{type(error).__name__}: {error}", calls=len(batch))
            await self._look_after_failure()
            outcomes = [error] * len(batch)
        for (call, future), outcome in zip(batch, outcomes, strict=True):
            del self._running[call.caller.name, call.key]
            if isinstance(outcome, Exception):
                future.set_exception(outcome)
            else:
                future.set_result(outcome)

    async def _look_after_failure(self) -> None:
        """After a failed batch the disk must hold what is held here; otherwise no more is changed."""
        if self._halted:
            return
        try:
            newest = await self._in_thread(self._store.newest)
        except Exception as error:
            log.error("the store cannot be read", error=str(error))
            return  # each further batch tries again, and fails whole
        if newest not in ((self.catalogue.epoch, self.catalogue.version), (0, 0)):
            self._halted = (
                f"the store is at {newest[0]}.{newest[1]}, this process at "
                f"{self.catalogue.epoch}.{self.catalogue.version}"
            )
            log.critical("no changes until a restart", reason=self._halted)

    def _commit(self, calls: list[Call], catalogue: Catalogue, now: int) -> _Done:
        """In the thread: all calls of a batch in one transaction, or none."""
        outcomes: list[Outcome] = []
        diffs: list[Diff] = []
        with self._store.batch() as batch:
            for call in calls:
                catalogue, outcome = self._decide(batch, call, catalogue, now, diffs)
                outcomes.append(outcome)
        return catalogue, outcomes, diffs

    def _decide(
        self,
        batch: Batch,
        call: Call,
        catalogue: Catalogue,
        now: int,
        diffs: list[Diff],
    ) -> tuple[Catalogue, Outcome]:
        """One call: the catalogue it leaves and its answer."""
        # The credential was checked when the call came in; what counts is that it does when the change is made.
        credential = credential_of(catalogue, call.caller.tenant, call.caller.id, now)
        if credential is None or credential.scope is not call.caller.scope:
            return catalogue, NoLonger()
        kept = batch.answer(call.caller.name, call.key)
        if kept is not None and now - kept.at < DAY:
            if kept.asked != call.asked:
                return catalogue, KeyReused()
            return catalogue, self._again(call, kept)
        version = 0
        try:
            planned = call.plan(catalogue, now)
            made = apply(catalogue, planned.change)
            reply, sealed = planned.reply(made.catalogue), planned.secret
            batch.keep_change(made.catalogue, made.diff, now, call.tenant, call.caller.name)
            invariant(made.catalogue.version == catalogue.version + 1, "versions are dense")
            catalogue, version = made.catalogue, made.catalogue.version
            diffs.append(made.diff)
        except Refused as refusal:
            reply, sealed = call.refused(refusal), False
        body = self._keys.seal(reply.body, f"{call.caller.name} {call.key}") if sealed else reply.body
        packed = _pack(_Kept(reply.status, reply.headers, body, sealed))
        batch.keep_answer(call.caller.name, call.key, Answer(now, call.asked, packed))
        batch.audit(Audited(0, now, call.tenant, call.caller.name, call.action, reply.status, catalogue.epoch, version))
        return catalogue, reply

    def _again(self, call: Call, kept: Answer) -> Outcome:
        """The first answer, byte for byte."""
        told = _unpack(kept.body)
        try:
            body = self._keys.open(told.body, f"{call.caller.name} {call.key}") if told.sealed else told.body
        except StoreError as error:
            return error
        return Reply(told.status, told.headers, body)
