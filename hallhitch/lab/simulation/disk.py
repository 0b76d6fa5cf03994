"""A disk in memory that forgets what was not synced: file by file, name by name, when the power goes.

Implements `planes.control.files.Disk`. A write under way when its process ends is done up to some operation.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from contextlib import suppress

Records = Mapping[bytes, bytes]
WRITE = 2.0  # ms for a job of a disk in good health


class Interrupted(BaseException):
    """The process ended between two operations of the disk."""


class SimulatedDisk:
    """One machine's data folder. `refuses`: it is full; `slow`: times the usual time of a write."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.files: dict[str, Records] = {}  # as the running machine sees them
        self._kept: dict[str, Records] = {}  # the names that a sync of the folder made last
        self._synced: dict[str, Records] = {}  # contents that a sync of the file made last
        self.refuses, self.slow = False, 1.0
        self._left: int | None = None  # operations until the process ends

    def _operation(self) -> None:
        if self._left is not None:
            if self._left == 0:
                raise Interrupted
            self._left -= 1
        if self.refuses:
            raise OSError("no room")

    def file_names(self) -> list[str]:
        """All files."""
        return sorted(self.files)

    def write_database(self, base: str, records: Records) -> None:
        """A new database; nothing of it is synced."""
        for name in (f"{base}.dat", f"{base}.dir"):
            self._operation()
            self.files[name] = dict(records)

    def read_database(self, base: str) -> dict[bytes, bytes]:
        """All records; any error where it is torn."""
        if self.files[f"{base}.dat"] != self.files[f"{base}.dir"]:
            raise ValueError(f"{base} is torn")
        return dict(self.files[f"{base}.dir"])

    def sync_file(self, name: str) -> None:
        """One file."""
        self._operation()
        self._synced[name] = self.files[name]

    def sync_directory(self) -> None:
        """Names and removals."""
        self._operation()
        self._kept = dict(self.files)

    def remove_file(self, name: str) -> None:
        """One file less."""
        if self._left == 0:
            raise Interrupted
        if name not in self.files:
            raise FileNotFoundError(name)
        del self.files[name]

    def interrupt(self, call: Callable[[], None]) -> None:
        """The process ends while this is being done: it is done up to some operation."""
        self._left = self._rng.randrange(12)
        with suppress(Interrupted, OSError):
            call()
        self._left = None

    def lose_power(self) -> None:
        """What was not synced is kept or lost, each file by itself."""
        after: dict[str, Records] = {}
        for name in sorted(self._kept.keys() | self.files.keys()):
            changed = (name in self._kept) is not (name in self.files)
            change_lost = changed and self._rng.random() < 0.5
            if name not in (self._kept if change_lost else self.files):
                continue
            content = self.files.get(name, self._kept.get(name, {}))
            if self._synced.get(name) != content:
                content = self._rng.choice((content, {}))
            after[name] = content
        self.files, self._kept = after, dict(after)
        self._synced = dict(after)


class DiskThread:
    """The thread of one life that waits for the disk: one job after the other, also where nobody waits any more."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self._disk = disk
        self._jobs: asyncio.Queue[tuple[Callable[[], None], asyncio.Future[None]]] = asyncio.Queue()
        self._worker: asyncio.Task[None] | None = None
        self._doing: Callable[[], None] | None = None

    async def run(self, call: Callable[[], None]) -> None:
        """As planes.control.storage_thread.BlockingRunner."""
        if self._worker is None:
            self._worker = asyncio.ensure_future(self._work())
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._jobs.put_nowait((call, done))
        await done

    async def _work(self) -> None:
        while True:
            call, done = await self._jobs.get()
            self._doing = call
            await asyncio.sleep(WRITE * self._disk.slow / 1000)
            self._doing = None
            try:
                call()
            except Exception as error:
                if not done.done():
                    done.set_exception(error)
            else:
                if not done.done():
                    done.set_result(None)

    def interrupt(self) -> None:
        """The process ends: what is being done is done up to some operation."""
        if self._doing is not None:
            self._disk.interrupt(self._doing)
