"""One replica at work: the decisions of `acceptor_state`, one after the other, each on the disk before its answer.

Owns the thread that waits for the disk. Must never answer what is not kept, and never wait for the disk on the loop.
"""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Awaitable, Callable
from typing import Any

from hallhitch.messages.system_pb2 import Accept, Accepted, BallotMessage, ClusterState, Envelope, Promise
from hallhitch.node.errors import PeerCallError
from hallhitch.node.logs import ComponentLogger
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import Ballot
from hallhitch.planes.control.contention import RivalBallots
from hallhitch.planes.control.state_store import LoadResult, StateStore

LATE = 1500.0  # ms after which nobody waits for an answer any more
Run = Callable[[Callable[[], None]], Awaitable[None]]


class Worker:
    """A thread for calls that block. It is no reason to stay when the process ends: a disk may hang for long."""

    def __init__(self) -> None:
        self._jobs: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    def _work(self) -> None:
        while (job := self._jobs.get()) is not None:
            job()

    async def run(self, call: Callable[[], None]) -> None:
        """Do it there; raises what it raised."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._work, name="disk", daemon=True)
            self._thread.start()
        loop = asyncio.get_running_loop()
        done: asyncio.Future[None] = loop.create_future()

        def tell(error: Exception | None) -> None:
            if done.cancelled():
                return
            if error is None:
                done.set_result(None)
            else:
                done.set_exception(error)

        def job() -> None:
            failed: Exception | None = None
            try:
                call()
            except Exception as error:
                failed = error
            try:
                loop.call_soon_threadsafe(tell, failed)
            except RuntimeError:
                self._jobs.put(None)  # the loop has ended

        self._jobs.put(job)
        await done

    def stop(self) -> None:
        """No more calls."""
        self._jobs.put(None)


class DurableAcceptor:
    """One replica with its disk; `state` is what is kept, never ahead of it."""

    def __init__(self, address: str, store: StateStore | None, run: Run, clock: Callable[[], float]) -> None:
        self.state = AcceptorState(address, is_recovering=True)
        self._store, self._run, self._clock = store, run, clock
        self._lock = asyncio.Lock()
        self.rivals = RivalBallots(address)
        self.rival_ended = asyncio.Event()  # set when what other proposers wait for has come; cleared by who waits
        self._log = ComponentLogger("replica")

    @property
    def busy(self) -> bool:
        """Whether the disk is at work, or hangs."""
        return self._lock.locked()

    @property
    def diskless(self) -> bool:
        """Whether there is nothing to keep anything on: such a one never votes."""
        return self._store is None

    async def load(self) -> LoadResult | None:
        """Read what the disk holds; None without a disk. Raises OSError where it refuses."""
        store, found = self._store, list[LoadResult]()
        if store is None:
            return None
        await self._run(lambda: found.append(store.load()))
        if found[0].notes:
            self._log.warning("; ".join(found[0].notes))
        held = found[0].replica
        if held is not None:
            self.state = held
        return found[0]

    async def become(self, replica: AcceptorState) -> None:
        """Go on as this one: a founder's, or what was read from others. Raises OSError."""
        async with self._lock:
            await self._keep(replica)

    def forget(self) -> None:
        """Use nothing of the folder: it is not what this replica voted last. It recovers by the others."""
        self.state = AcceptorState(self.state.address, is_recovering=True)

    async def handle(self, envelope: Envelope) -> Envelope:
        """The answer to a prepare, an accept or a recover; raises StepError where nothing may be said."""
        if envelope.HasField("acceptor_query"):
            same, read = self.state.report(envelope.acceptor_query)
            if same is self.state:  # nothing to write: readers do not wait for a disk that hangs
                return Envelope(acceptor_report=read)
        self._note(envelope)
        # Shielded: a caller that leaves must not make us go on before what is being written is known.
        turn = asyncio.ensure_future(self._in_turn(envelope))
        turn.add_done_callback(consume_exception)
        return await asyncio.shield(turn)

    def _note(self, envelope: Envelope) -> None:
        """What arrives counts for whose turn it is, before the disk has it."""
        if envelope.HasField("prepare") and not envelope.prepare.is_read:
            self.rivals.saw_prepare(Ballot.from_message(envelope.prepare.ballot), self._clock())
        elif envelope.HasField("accept") and self.rivals.saw_accept(Ballot.from_message(envelope.accept.ballot)):
            self.rival_ended.set()

    def _overtaken(self, envelope: Envelope) -> Envelope | None:
        """A refusal for a ballot that waited here while the accept of a higher one came: nothing is written for it."""
        newest = self.rivals.accepted
        answer = Envelope()
        if envelope.HasField("prepare") and Ballot.from_message(envelope.prepare.ballot) < newest:
            answer.promise.CopyFrom(Promise(promised=newest.to_message(), accepted=newest.to_message()))
        elif envelope.HasField("accept") and Ballot.from_message(envelope.accept.ballot) < newest:
            answer.accepted.CopyFrom(Accepted(promised=newest.to_message()))
        else:
            return None
        return answer

    async def _in_turn(self, envelope: Envelope) -> Envelope:
        """One decision after the other. What waited too long is let go: behind a disk that hangs no queue grows."""
        came = self._clock()
        try:
            async with asyncio.timeout(LATE / 1000):
                await self._lock.acquire()
        except TimeoutError:
            raise PeerCallError("keep", self.state.address, "the disk was too slow") from None
        try:
            if self._clock() - came > LATE:
                raise PeerCallError("keep", self.state.address, "the disk was too slow")
            return await self._decide(envelope)
        finally:
            self._lock.release()

    async def _decide(self, envelope: Envelope) -> Envelope:
        overtaken = None if self.state.is_recovering else self._overtaken(envelope)
        if overtaken is not None:
            return overtaken
        answer = Envelope()
        if envelope.HasField("prepare"):
            after, promise = self.state.prepare(envelope.prepare)
            answer.promise.CopyFrom(promise)
        elif envelope.HasField("accept"):
            after, accepted = self.state.accept(envelope.accept)
            answer.accepted.CopyFrom(accepted)
        else:
            after, recovered = self.state.report(envelope.acceptor_query)
            answer.acceptor_report.CopyFrom(recovered)
        if after is not self.state:
            try:
                await self._keep(after)
            except OSError as error:
                raise PeerCallError("keep", self.state.address, f"the disk refused: {error}") from None
        return answer

    async def take(self, ballot: BallotMessage, value: ClusterState) -> None:
        """Accept what others hold, as if the accept had come late."""
        await self.handle(Envelope(accept=Accept(ballot=ballot, state=value)))

    async def _keep(self, replica: AcceptorState) -> None:
        store = self._store
        if store is None:
            raise OSError("there is no data folder")
        await self._run(lambda: store.save(replica))
        self.state = replica
        asyncio.ensure_future(self._run(store.tidy)).add_done_callback(consume_exception)


def consume_exception(done: asyncio.Future[Any]) -> None:
    """Its error, if any, was told to whoever still waited, or matters to nobody."""
    if not done.cancelled():
        done.exception()
