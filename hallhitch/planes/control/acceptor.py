"""The acceptor of a coordinator: handles requests one at a time and writes each new state before it replies.

The decisions themselves are in `acceptor_state`.

Invariants.
- *Durable before visible*: `DurableAcceptor.state` is what the disk holds, and no reply reveals more than that.
- *No blocking*: the event loop never waits for the disk (see `storage_thread`), and no queue grows while the disk
  hangs: a request fails after it has waited for `QUEUE_TIMEOUT_MS`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, Final

from hallhitch.messages.system_pb2 import Accept, Accepted, BallotMessage, ClusterState, Envelope, Promise
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.contention import CompetingBallots
from hallhitch.planes.control.errors import StorageMissingError
from hallhitch.planes.control.state_store import LoadResult, StateStore
from hallhitch.planes.control.storage_thread import BlockingRunner

# Above operator_api.COMMAND_TIMEOUT_MS (850), so that the caller of an operator's change has given up by then.
QUEUE_TIMEOUT_MS: Final = 1500.0

STORAGE_STEP: Final = "keep"  # the step in a PeerCallError; peers receive it in error replies


class DurableAcceptor:
    """The acceptor of one replica and its storage. Without storage it never votes."""

    def __init__(self, address: str, store: StateStore | None, run: BlockingRunner, clock: Callable[[], float]) -> None:
        self.state = AcceptorState(address, is_recovering=True)
        self.competing_ballots = CompetingBallots(address)
        # Set by the accept of the competing ballot that is in progress; the proposer clears it before it waits.
        self.competing_ballot_ended = asyncio.Event()
        self._store, self._run, self._clock = store, run, clock
        self._lock = asyncio.Lock()  # held while a request is decided and written
        self._tasks: set[asyncio.Future[Any]] = set()
        self._log = ComponentLogger("acceptor")

    @property
    def is_busy(self) -> bool:
        """Whether a write is in progress or hangs."""
        return self._lock.locked()

    @property
    def has_storage(self) -> bool:
        """Whether the settings name a data directory."""
        return self._store is not None

    async def load(self) -> LoadResult | None:
        """Load the state from the disk and continue from it; return None without storage.

        Raises:
            OSError: the disk cannot be read; the call may be repeated.
        """
        store = self._store
        if store is None:
            return None
        results = list[LoadResult]()
        await self._run(lambda: results.append(store.load()))
        result = results[0]
        if result.problems:
            self._log.warning("data directory has unusable files", problems="; ".join(result.problems))
        self.state = result.state or replace(self.state, is_disk_empty=result.is_empty)
        return result

    async def install(self, state: AcceptorState) -> None:
        """Write a state and continue from it: a bootstrap state, or one that was recovered from other replicas.

        Raises:
            OSError: the write failed.
        """
        async with self._lock:
            await self._save(state)

    def record_use(self) -> None:
        """Record that the cluster has committed a state, so that it must not be bootstrapped again."""
        self.state = replace(self.state, is_cluster_in_use=True)

    def discard_state(self) -> None:
        """Continue as a recovering replica, because the disk does not hold this replica's latest votes."""
        self.state = AcceptorState(self.state.address, is_recovering=True)

    async def handle(self, request: Envelope) -> Envelope:
        """Answer a prepare, an accept or a query.

        Raises:
            PeerCallError: the write failed or the disk is too slow, so there is no reply.
        """
        if request.HasField("acceptor_query"):
            after, report = self.state.report(request.acceptor_query)
            if after is self.state:  # nothing to write, so queries are answered even while the disk hangs
                return Envelope(acceptor_report=report)
        self._record_contention(request)
        # Shielded: the write completes even if the caller is cancelled, and no other request is decided before that.
        return await asyncio.shield(self._start_task(self._handle_in_turn(request)))

    async def accept_from_peer(self, ballot: BallotMessage, state: ClusterState) -> None:
        """Accept a state that another replica holds, as if the original accept had been delayed."""
        await self.handle(Envelope(accept=Accept(ballot=ballot, state=state)))

    def _record_contention(self, request: Envelope) -> None:
        """Record the ballots of other proposers on arrival, before they are written to the disk."""
        if request.HasField("prepare") and not request.prepare.is_read:
            self.competing_ballots.record_prepare(Ballot.from_message(request.prepare.ballot), self._clock())
        elif request.HasField("accept") and self.competing_ballots.record_accept(
            Ballot.from_message(request.accept.ballot)
        ):
            self.competing_ballot_ended.set()

    async def _handle_in_turn(self, request: Envelope) -> Envelope:
        """Answer a request after all earlier ones, or fail after QUEUE_TIMEOUT_MS."""
        arrived_ms = self._clock()
        try:
            async with asyncio.timeout(QUEUE_TIMEOUT_MS / 1000):
                await self._lock.acquire()
        except TimeoutError:
            raise self._disk_timeout_error() from None
        try:
            if self._clock() - arrived_ms > QUEUE_TIMEOUT_MS:
                raise self._disk_timeout_error()
            return await self._answer(request)
        finally:
            self._lock.release()

    def _disk_timeout_error(self) -> PeerCallError:
        return PeerCallError(STORAGE_STEP, self.state.address, "the disk was too slow")

    async def _answer(self, request: Envelope) -> Envelope:
        """Apply a request to the state, write the resulting state and return the answer."""
        refusal = None if self.state.is_recovering else self._refuse_preempted(request)
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

    def _refuse_preempted(self, request: Envelope) -> Envelope | None:
        """Return a refusal if the accept of a higher ballot arrived while this ballot was queued; it needs no write."""
        newest = self.competing_ballots.accepted
        if request.HasField("prepare") and Ballot.from_message(request.prepare.ballot) < newest:
            return Envelope(promise=Promise(promised=newest.to_message(), accepted=newest.to_message()))
        if request.HasField("accept") and Ballot.from_message(request.accept.ballot) < newest:
            return Envelope(accepted=Accepted(promised=newest.to_message()))
        return None

    async def _save(self, state: AcceptorState) -> None:
        """Write a state, continue from it, and remove the files that it replaces in the background."""
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
    """Retrieve the exception of a finished task, because asyncio logs an exception that nobody has retrieved."""
    if not done.cancelled():
        done.exception()
