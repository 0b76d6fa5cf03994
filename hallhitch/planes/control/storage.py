"""The data directory of a replica: `dbm.dumb` databases that are written once, and explicit syncs.

`dbm.dumb` is part of the standard library. It neither syncs its files nor survives a torn write, so `state_store`
decides when files are synced, and it detects torn records.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dbm import dumb
from pathlib import Path
from typing import Final, Protocol

UNUSED_FILE_MODE: Final = "0644"  # dbm.dumb requires an argument; AppendOnlyDatabase ignores it
DATABASE_SUFFIXES: Final = (".dat", ".dir")  # the files of a database: its records and their index


class Storage(Protocol):
    """The interface of a data directory for the state store. All calls block and raise OSError if the disk fails."""

    def file_names(self) -> list[str]:
        """Return the names of all files."""

    def write_database(self, base: str, records: Mapping[bytes, bytes]) -> None:
        """Write a new database under a base name, without syncing its files."""

    def read_database(self, base: str) -> dict[bytes, bytes]:
        """Return all records of a database.

        Raises:
            Exception: of any type, if the database is torn.
        """

    def sync_file(self, name: str) -> None:
        """Sync the content of one file to the disk."""

    def sync_directory(self) -> None:
        """Sync created and removed file names to the disk."""

    def remove_file(self, name: str) -> None:
        """Remove a file; the removal is durable once the directory is synced."""


class AppendOnlyDatabase(dumb._Database):
    """A database that is written once.

    The file mode is not set explicitly, because not every file system supports that. On close, the index is not
    rewritten through a rename, because the index line of each record is appended when the record is written.
    """

    def _chmod(self, file: object) -> None:
        pass

    def _commit(self) -> None:
        pass


class DirectoryStorage:
    """A directory in the file system; implements `Storage`."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def file_names(self) -> list[str]:
        """Return the names of all files; create the directory if it is missing."""
        try:
            return sorted(os.listdir(self.path))
        except FileNotFoundError:
            os.makedirs(self.path, exist_ok=True)
            return []

    def write_database(self, base: str, records: Mapping[bytes, bytes]) -> None:
        """Write a new database without syncing its files."""
        database = AppendOnlyDatabase(str(self.path / base), UNUSED_FILE_MODE, flag="n")
        try:
            for key, record in records.items():
                database[key] = record
        finally:
            database.close()

    def read_database(self, base: str) -> dict[bytes, bytes]:
        """Return all records of a database; raise any exception if it is torn."""
        database = AppendOnlyDatabase(str(self.path / base), UNUSED_FILE_MODE, flag="r")
        try:
            return {bytes(key): database[key] for key in database.keys()}  # type: ignore[arg-type]  # noqa: SIM118
        finally:
            database.close()

    def sync_file(self, name: str) -> None:
        """Sync the content of one file to the disk."""
        self._sync(self.path / name, os.O_RDWR)

    def sync_directory(self) -> None:
        """Sync created and removed file names to the disk."""
        self._sync(self.path, os.O_RDONLY)

    def remove_file(self, name: str) -> None:
        """Remove a file; the removal is durable once the directory is synced."""
        os.remove(self.path / name)

    @staticmethod
    def _sync(path: Path, flags: int) -> None:
        descriptor = os.open(path, flags)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
