"""A disk in memory that loses unsynced data on a power loss, and the thread that blocks on it.

Implements `planes.control.storage.Storage`. Invariants:

- After a power loss a file holds its last synced content, unless a later content happened to reach the disk.
- A created or removed name that was not synced is kept or lost, each name by itself.
- A job that is interrupted by the end of its process is done up to some operation.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Final

Records = Mapping[bytes, bytes]
JOB_DURATION_MS: Final = 2.0  # a job of a healthy disk
MAX_OPERATIONS_BEFORE_INTERRUPT: Final = 12  # so that any operation of a save may be the last


class ProcessInterrupted(BaseException):
    """The process ended between two operations of its disk."""


class SimulatedDisk:
    """The data directory of one machine.

    `is_full` makes all writes fail; `slowdown` multiplies the duration of a job.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.files: dict[str, Records] = {}  # as the running machine sees them
        self.is_full = False
        self.slowdown = 1.0
        self._durable_files: dict[str, Records] = {}  # as the last sync of the directory left it
        self._synced_contents: dict[str, Records] = {}
        self._operations_left: int | None = None  # until the process ends

    def file_names(self) -> list[str]:
        """Return the names of all files in order."""
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
            ValueError: The database is torn.
        """
        if self.files[f"{base}.dat"] != self.files[f"{base}.dir"]:
            raise ValueError(f"{base} is torn")
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
        if self._operations_left == 0:
            raise ProcessInterrupted
        if name not in self.files:
            raise FileNotFoundError(name)
        del self.files[name]

    def interrupt(self, job: Callable[[], None]) -> None:
        """Run a job up to some operation, as if its process ended there."""
        self._operations_left = self._rng.randrange(MAX_OPERATIONS_BEFORE_INTERRUPT)
        with suppress(ProcessInterrupted, OSError):
            job()
        self._operations_left = None

    def lose_power(self) -> None:
        """Keep or lose what was not synced, each file by itself."""
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
        if self._operations_left is not None:
            if self._operations_left == 0:
                raise ProcessInterrupted
            self._operations_left -= 1
        if self.is_full:
            raise OSError("no room")


class DiskThread:
    """The thread of one process that blocks on its disk.

    Runs one job after the other, also those whose caller was cancelled.
    """

    def __init__(self, disk: SimulatedDisk) -> None:
        self._disk = disk
        self._jobs: asyncio.Queue[tuple[Callable[[], None], asyncio.Future[None]]] = asyncio.Queue()
        self._worker: asyncio.Task[None] | None = None  # ends with the loop of its process
        self._current_job: Callable[[], None] | None = None

    async def run(self, job: Callable[[], None]) -> None:
        """Run a blocking job and wait for it, as `planes.control.storage_thread.BlockingRunner` asks for."""
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
            except Exception as error:  # noqa: BLE001  whatever a job raises is its caller's
                if not done.done():
                    done.set_exception(error)
            else:
                if not done.done():
                    done.set_result(None)

    def interrupt(self) -> None:
        """End the process: the current job is done up to some operation."""
        if self._current_job is not None:
            self._disk.interrupt(self._current_job)
