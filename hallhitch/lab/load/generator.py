"""The load generator: worker processes that each send a part of the schedule."""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import time
from collections.abc import Awaitable, Callable
from multiprocessing.connection import Connection
from typing import Final, Literal

from msgspec import Struct

from hallhitch.lab.errors import LabError
from hallhitch.lab.load.protocols import HttpProtocol, LoadProtocol, RespProtocol, parse_loopback_address
from hallhitch.lab.load.tally import LoadTally, clamp_us
from hallhitch.lab.load.trace_format import TraceRequest

StreamPair = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Connect = Callable[[str, int], Awaitable[StreamPair]]
MAX_CONNECTIONS: Final = 2_000  # per worker; a request beyond them waits, and the wait counts in its latency
REPLY_TIMEOUT_S: Final = 30.0  # after the last request; requests still open then count as unanswered
START_S: Final = 0.8  # for the worker processes to start
START_S_PER_WORKER: Final = 0.05  # added to START_S for each worker process
POLL_S: Final = 0.2  # interval at which the workers are polled


class WorkerEndedError(LabError):
    """A worker process ended without sending its tally."""

    def __init__(self) -> None:
        super().__init__("a load worker process ended without sending its result")


class LoadPlan(Struct, frozen=True):
    """The requests of a run and the server that they are sent to."""

    address: str
    protocol: Literal["http", "resp"]
    requests: list[TraceRequest]
    workers: int = 1
    gateways: int = 2


class LoadWorker:
    """Sends a part of the schedule from one process; `begin_s` is a time of `clock`."""

    def __init__(
        self,
        plan: LoadPlan,
        begin_s: float,
        clock: Callable[[], float] = time.monotonic,
        connect: Connect = asyncio.open_connection,
    ) -> None:
        self._address = plan.address
        self._begin_s = begin_s
        self._clock = clock
        self._connect = connect
        self._protocol: LoadProtocol = HttpProtocol(plan.gateways) if plan.protocol == "http" else RespProtocol()
        self._idle: list[StreamPair] = []
        self._connection_limit = asyncio.Semaphore(MAX_CONNECTIONS)
        self.tally = LoadTally()

    async def run(self, requests: list[TraceRequest]) -> LoadTally:
        """Send each request when it is due, then wait for the replies."""
        tasks: set[asyncio.Task[None]] = set()
        for request in requests:
            due_s = self._begin_s + request.at_ms / 1000
            wait_s = due_s - self._clock()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            task = asyncio.create_task(self._send(request, due_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            _, unanswered = await asyncio.wait(tasks, timeout=REPLY_TIMEOUT_S)
            for task in unanswered:
                task.cancel()
            await asyncio.gather(*unanswered, return_exceptions=True)
        for _, writer in self._idle:
            writer.close()
        return self.tally

    async def _send(self, request: TraceRequest, due_s: float) -> None:
        """Send a request and tally its final status, which is `unanswered` if the task is cancelled."""
        self.tally.sent += 1
        # The generator's own delay is that of the event loop and the pacing; it does not include the time to connect.
        self.tally.send_delays.record_value(clamp_us(self._clock() - due_s))
        status = "unanswered"
        try:
            async with self._connection_limit:
                status = await self._exchange(request)
        except (OSError, EOFError):
            status = "failed connection"
        except asyncio.CancelledError:
            self._record_end(request, status, due_s)
            raise
        self._record_end(request, status, due_s)

    def _record_end(self, request: TraceRequest, status: str, due_s: float) -> None:
        self.tally.record_end(request, status, (self._clock() - due_s) * 1000)

    async def _exchange(self, request: TraceRequest) -> str:
        """Send a request on a pooled connection, or on a new one if the server has closed the pooled one."""
        for may_reuse in (True, False):
            is_reused = may_reuse and bool(self._idle)
            reader, writer = await self._open_connection(is_reused)
            try:
                writer.write(self._protocol.encode(request))
                reply = await self._protocol.read_reply(reader)
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                writer.close()
                if is_reused and not getattr(error, "partial", b""):
                    continue  # closed while idle: the server has not read the request
                raise
            if reply.is_connection_kept:
                self._idle.append((reader, writer))
            else:
                writer.close()
            return reply.status
        return "unanswered"

    async def _open_connection(self, is_reused: bool) -> StreamPair:
        if is_reused:
            return self._idle.pop()
        return await self._connect(*parse_loopback_address(self._address))


def _run_worker(plan: LoadPlan, number: int, begin_s: float, pipe: Connection) -> None:
    """Run a worker in this process and send its tally through the pipe."""
    import uvloop

    async def run() -> LoadTally:
        return await LoadWorker(plan, begin_s).run(plan.requests[number :: plan.workers])

    pipe.send(uvloop.run(run()).encode())


def run_load(plan: LoadPlan, on_progress: Callable[[float], None] = lambda ratio: None) -> LoadTally:
    """Run a plan in worker processes; `on_progress` gets the elapsed ratio of the schedule.

    Raises:
        WorkerEndedError: a worker process ended without a result.
        ValueError: the address is not a loopback address.
    """
    parse_loopback_address(plan.address)
    context = multiprocessing.get_context("spawn")
    # All processes of the machine share the monotonic clock, so the workers begin at the same time.
    begin_s = time.monotonic() + START_S + START_S_PER_WORKER * plan.workers
    workers = []
    for number in range(plan.workers):
        receiver, sender = context.Pipe()
        process = context.Process(target=_run_worker, args=(plan, number, begin_s, sender), daemon=True)
        process.start()
        workers.append((receiver, process))
    tally = LoadTally()
    duration_s = plan.requests[-1].at_ms / 1000 if plan.requests else 0.0
    for receiver, process in workers:
        while not receiver.poll(POLL_S):
            on_progress(min(1.0, max(0.0, (time.monotonic() - begin_s) / max(duration_s, 0.001))))
            if not process.is_alive() and not receiver.poll():
                raise WorkerEndedError
        with contextlib.suppress(EOFError):
            tally.add(receiver.recv())
        process.join()
    return tally
