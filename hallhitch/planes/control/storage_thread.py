"""A thread for blocking disk calls, so that the event loop never waits for the disk."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Awaitable, Callable

BlockingRunner = Callable[[Callable[[], None]], Awaitable[None]]  # runs a blocking call and raises whatever it raised


class StorageThread:
    """Runs blocking calls one after another in a thread, which the first call starts.

    It is a daemon thread, so that a hanging disk does not prevent the process from exiting.
    """

    def __init__(self) -> None:
        self._jobs: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()  # None ends the thread
        self._thread: threading.Thread | None = None

    async def run(self, call: Callable[[], None]) -> None:
        """Run a call in the thread and wait for it.

        Raises:
            Exception: whatever the call raised.
        """
        if self._thread is None:
            self._thread = threading.Thread(target=self._run_jobs, name="disk", daemon=True)
            self._thread.start()
        loop = asyncio.get_running_loop()
        done: asyncio.Future[None] = loop.create_future()

        def job() -> None:
            failure: Exception | None = None
            try:
                call()
            except Exception as error:  # noqa: BLE001  # `run` raises it in its caller, whatever it is
                failure = error
            try:
                loop.call_soon_threadsafe(_complete, done, failure)
            except RuntimeError:  # the loop was closed
                self._jobs.put(None)

        self._jobs.put(job)
        await done

    def stop(self) -> None:
        """End the thread after the queued calls."""
        self._jobs.put(None)

    def _run_jobs(self) -> None:
        while (job := self._jobs.get()) is not None:
            job()


def _complete(done: asyncio.Future[None], failure: Exception | None) -> None:
    if done.cancelled():
        return
    if failure is None:
        done.set_result(None)
    else:
        done.set_exception(failure)
