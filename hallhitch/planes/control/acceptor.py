"""The acceptor of a coordinator: decisions of `acceptor_state`, one after another, each on disk before its reply.

Invariants.
- *Durable before visible*: `DurableAcceptor.state` is what the disk holds, and no reply reveals more than that.
- *No blocking*: the event loop never waits for the disk (see `storage_thread`), and no queue grows behind a disk that
  hangs: a request that has waited for `QUEUE_TIMEOUT_MS` is given up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

from hallhitch.messages.system_pb2 import Accept, Accepted, BallotMessage, ClusterState, Envelope, Promise
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.contention import RivalBallots
from hallhitch.planes.control.errors import StorageMissingError
from hallhitch.planes.control.state_store import LoadResult, StateStore
from hallhitch.planes.control.storage_thread import BlockingRunner

# Above operator_api.ORDER_TIMEOUT_MS (850), so that whoever sent an operator's change has given up by then.
QUEUE_TIMEOUT_MS: Final = 1500.0

STORAGE_STEP: Final = "keep"  # the step that errors name; part of the error replies that peers get


class DurableAcceptor:
    """One replica with its storage; without storage it never votes."""

    def __init__(self, address: str, store: StateStore | None, run: BlockingRunner, clock: Callable[[], float]) -> None:
        self.state = AcceptorState(address, is_recovering=True)
        self.rivals = RivalBallots(address)
        self.rival_ended = asyncio.Event()  # set by the accept of a rival ballot; the waiting proposer clears it
        self._store, self._run, self._clock = store, run, clock
        self._lock = asyncio.Lock()  # held while a request is decided and written
        self._tasks: set[asyncio.Future[Any]] = set()
        self._log = ComponentLogger("acceptor")

    @property
    def is_busy(self) -> bool:
        """Whether a write is under way, or hangs."""
        return self._lock.locked()

    @property
    def has_storage(self) -> bool:
        """Whether the settings name a data directory."""
        return self._store is not None

    async def load(self) -> LoadResult | None:
        """Read what the disk holds and continue from it; None without storage.

        Raises:
            OSError: the disk refuses; the call may be repeated.
        """
        store = self._store
        if store is None:
            return None
        results = list[LoadResult]()
        await self._run(lambda: results.append(store.load()))
        result = results[0]
        if result.problems:
            self._log.warning("data directory has unusable files", problems="; ".join(result.problems))
        if result.state is not None:
            self.state = result.state
        return result

    async def install(self, state: AcceptorState) -> None:
        """Write a state and continue from it: a founding one, or one that was recovered from others.

        Raises:
            OSError: the disk refuses.
        """
        async with self._lock:
            await self._save(state)

    def discard_state(self) -> None:
        """Continue as a recovering replica: the disk does not hold what this replica voted last."""
        self.state = AcceptorState(self.state.address, is_recovering=True)

    async def handle(self, request: Envelope) -> Envelope:
        """Answer a prepare, an accept or a query.

        Raises:
            PeerCallError: the disk refuses or is too slow, so there is no reply.
        """
        if request.HasField("acceptor_query"):
            after, report = self.state.report(request.acceptor_query)
            if after is self.state:  # nothing to write, so readers need not wait for a disk that hangs
                return Envelope(acceptor_report=report)
        self._record_contention(request)
        # Shielded: the write completes though the caller leaves, and no other request is decided before that.
        return await asyncio.shield(self._start_task(self._handle_in_turn(request)))

    async def accept_from_peer(self, ballot: BallotMessage, state: ClusterState) -> None:
        """Accept the state that another replica holds, like an accept that was delayed."""
        await self.handle(Envelope(accept=Accept(ballot=ballot, state=state)))

    def _record_contention(self, request: Envelope) -> None:
        """Record the ballots of other proposers as they arrive, before they are on the disk."""
        if request.HasField("prepare") and not request.prepare.is_read:
            self.rivals.record_prepare(Ballot.from_message(request.prepare.ballot), self._clock())
        elif request.HasField("accept") and self.rivals.record_accept(Ballot.from_message(request.accept.ballot)):
            self.rival_ended.set()

    async def _handle_in_turn(self, request: Envelope) -> Envelope:
        """Answer a request once those before it are answered, unless that takes too long."""
        arrived_ms = self._clock()
        try:
            async with asyncio.timeout(QUEUE_TIMEOUT_MS / 1000):
                await self._lock.acquire()
        except TimeoutError:
            raise self._too_slow() from None
        try:
            if self._clock() - arrived_ms > QUEUE_TIMEOUT_MS:
                raise self._too_slow()
            return await self._answer(request)
        finally:
            self._lock.release()

    def _too_slow(self) -> PeerCallError:
        return PeerCallError(STORAGE_STEP, self.state.address, "the disk was too slow")

    async def _answer(self, request: Envelope) -> Envelope:
        """Decide a request and write the state after it."""
        refusal = None if self.state.is_recovering else self._refuse_overtaken(request)
        if refusal is not None:
            return refusal
        answer = Envelope()
        if request.HasField("prepare"):
            after, promise = self.state.prepare(request.prepare)
            answer.promise.CopyFrom(promise)
        elif request.HasField("accept"):
            after, accepted = self.state.accept(request.accept)
            answer.accepted.CopyFrom(accepted)
        else:
            after, report = self.state.report(request.acceptor_query)
            answer.acceptor_report.CopyFrom(report)
        if after is not self.state:
            try:
                await self._save(after)
            except OSError as error:
                raise PeerCallError(STORAGE_STEP, self.state.address, f"the disk refused: {error}") from None
        return answer

    def _refuse_overtaken(self, request: Envelope) -> Envelope | None:
        """Return a refusal for a ballot that waited while the accept of a higher one arrived; it needs no write."""
        newest = self.rivals.accepted
        if request.HasField("prepare") and Ballot.from_message(request.prepare.ballot) < newest:
            return Envelope(promise=Promise(promised=newest.to_message(), accepted=newest.to_message()))
        if request.HasField("accept") and Ballot.from_message(request.accept.ballot) < newest:
            return Envelope(accepted=Accepted(promised=newest.to_message()))
        return None

    async def _save(self, state: AcceptorState) -> None:
        """Write a state, continue from it, and remove what it replaced in the background."""
        store = self._store
        if store is None:
            raise StorageMissingError
        await self._run(lambda: store.save(state))
        self.state = state
        self._start_task(self._run(store.remove_obsolete))

    def _start_task(self, work: Awaitable[Any]) -> asyncio.Future[Any]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Future[Any]) -> None:
        self._tasks.discard(task)
        consume_exception(task)


def consume_exception(done: asyncio.Future[Any]) -> None:
    """Retrieve the exception of a task, which its waiters got if there were any; asyncio logs it otherwise."""
    if not done.cancelled():
        done.exception()
