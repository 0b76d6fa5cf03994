"""An in-memory disk that may lose unsynced data on a power loss, and the thread that runs blocking calls on it.

Implements `planes.control.storage.Storage`. Invariants:

- After a power loss each file whose latest content is synced keeps it. Unsynced content is kept or replaced by an
  empty file.
- The creation or removal of a name that was not synced is kept or undone, independently for each name.
- If its process ends during a job, the job has completed a random number of its operations.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Final

Records = Mapping[bytes, bytes]
JOB_DURATION_MS: Final = 2.0  # on a disk with a slowdown of 1
MAX_OPERATIONS_BEFORE_INTERRUPT: Final = 12  # high enough to interrupt a save at any of its operations


class ProcessInterrupted(BaseException):
    """The process ended between two disk operations."""


class SimulatedDisk:
    """The data directory of one machine.

    All writes fail while `is_full` is set. `slowdown` multiplies the duration of a job.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.files: dict[str, Records] = {}  # as the running process sees them, synced or not
        self.is_full = False
        self.slowdown = 1.0
        self._durable_files: dict[str, Records] = {}  # at the last sync of the directory
        self._synced_contents: dict[str, Records] = {}
        self._operations_before_interrupt: int | None = None  # None: no interrupt is pending

    def file_names(self) -> list[str]:
        """Return the names of all files in sorted order."""
        return sorted(self.files)

    def write_database(self, base: str, records: Records) -> None:
        """Create a database without syncing it.

        Raises:
            OSError: The disk is full.
        """
        for name in (f"{base}.dat", f"{base}.dir"):
            self._begin_operation()
            self.files[name] = dict(records)

    def read_database(self, base: str) -> dict[bytes, bytes]:
        """Return all records of a database.

        Raises:
            ValueError: The database is torn: its files differ.
        """
        if self.files[f"{base}.dat"] != self.files[f"{base}.dir"]:
            raise ValueError(f"{base} is a torn database: its files differ")
        return dict(self.files[f"{base}.dir"])

    def sync_file(self, name: str) -> None:
        """Sync the content of one file.

        Raises:
            OSError: The disk is full.
        """
        self._begin_operation()
        self._synced_contents[name] = self.files[name]

    def sync_directory(self) -> None:
        """Sync the names of created and removed files.

        Raises:
            OSError: The disk is full.
        """
        self._begin_operation()
        self._durable_files = dict(self.files)

    def remove_file(self, name: str) -> None:
        """Remove one file.

        Raises:
            FileNotFoundError: There is no such file.
        """
        if self._operations_before_interrupt == 0:
            raise ProcessInterrupted
        if name not in self.files:
            raise FileNotFoundError(name)
        del self.files[name]

    def interrupt(self, job: Callable[[], None]) -> None:
        """Run a job up to a random operation, as if its process had ended there."""
        self._operations_before_interrupt = self._rng.randrange(MAX_OPERATIONS_BEFORE_INTERRUPT)
        with suppress(ProcessInterrupted, OSError):
            job()
        self._operations_before_interrupt = None

    def lose_power(self) -> None:
        """Keep or lose unsynced data at random, independently for each file."""
        remaining: dict[str, Records] = {}
        for name in sorted(self._durable_files.keys() | self.files.keys()):
            is_unsynced_name = (name in self._durable_files) is not (name in self.files)
            is_change_lost = is_unsynced_name and self._rng.random() < 0.5
            if name not in (self._durable_files if is_change_lost else self.files):
                continue
            content = self.files.get(name, self._durable_files.get(name, {}))
            if self._synced_contents.get(name) != content:
                content = self._rng.choice((content, {}))
            remaining[name] = content
        self.files = remaining
        self._durable_files = dict(remaining)
        self._synced_contents = dict(remaining)

    def _begin_operation(self) -> None:
        if self._operations_before_interrupt is not None:
            if self._operations_before_interrupt == 0:
                raise ProcessInterrupted
            self._operations_before_interrupt -= 1
        if self.is_full:
            raise OSError("the simulated disk is full")


class DiskThread:
    """The thread of one process that runs blocking disk jobs.

    It runs one job at a time, including jobs whose caller was cancelled.
    """

    def __init__(self, disk: SimulatedDisk) -> None:
        self._disk = disk
        self._jobs: asyncio.Queue[tuple[Callable[[], None], asyncio.Future[None]]] = asyncio.Queue()
        self._worker: asyncio.Task[None] | None = None  # runs until the loop of its process is closed
        self._current_job: Callable[[], None] | None = None

    async def run(self, job: Callable[[], None]) -> None:
        """Run a blocking job and wait for it; implements `planes.control.storage_thread.BlockingRunner`."""
        if self._worker is None:
            self._worker = asyncio.ensure_future(self._work())
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._jobs.put_nowait((job, done))
        await done

    async def _work(self) -> None:
        while True:
            job, done = await self._jobs.get()
            self._current_job = job
            await asyncio.sleep(JOB_DURATION_MS * self._disk.slowdown / 1000)
            self._current_job = None
            try:
                job()
            except Exception as error:  # noqa: BLE001  all errors of a job are passed to its caller
                if not done.done():
                    done.set_exception(error)
            else:
                if not done.done():
                    done.set_result(None)

    def interrupt(self) -> None:
        """Interrupt the current job at a random operation, because the process ends."""
        if self._current_job is not None:
            self._disk.interrupt(self._current_job)
