"""The data directory of a replica: `dbm.dumb` databases that are written once, and explicit syncs.

`dbm.dumb` is part of the standard library; it neither syncs its files nor survives a torn write. `state_store` handles
both: it decides what is synced when, and detects torn records.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dbm import dumb
from pathlib import Path
from typing import Final, Protocol

UNUSED_FILE_MODE: Final = "0644"  # dbm.dumb wants one; AppendOnlyDatabase does not set it
DATABASE_SUFFIXES: Final = (".dat", ".dir")  # the files of a database: its records, and their index


class Storage(Protocol):
    """A data directory as the state store uses it. All calls block and raise OSError where the disk refuses."""

    def file_names(self) -> list[str]:
        """Return the names of all files."""

    def write_database(self, base: str, records: Mapping[bytes, bytes]) -> None:
        """Write a new database under a base name; nothing of it is synced."""

    def read_database(self, base: str) -> dict[bytes, bytes]:
        """Return all records of a database.

        Raises:
            Exception: of any type, where the database is torn.
        """

    def sync_file(self, name: str) -> None:
        """Sync the content of one file to the disk."""

    def sync_directory(self) -> None:
        """Sync the names of new files, and removals, to the disk."""

    def remove_file(self, name: str) -> None:
        """Remove a file; the removal is durable once the directory is synced."""


class AppendOnlyDatabase(dumb._Database):
    """A database that is written once.

    Its files keep the mode they were created with, as not every file system can set one. The index is not rewritten at
    the end by way of a rename: each record's index line is appended with the record.
    """

    def _chmod(self, file: object) -> None:
        pass

    def _commit(self) -> None:
        pass


class DirectoryStorage:
    """A directory of the file system; implements `Storage`."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def file_names(self) -> list[str]:
        """Return the names of all files; the directory is created where it is missing."""
        try:
            return sorted(os.listdir(self.path))
        except FileNotFoundError:
            os.makedirs(self.path, exist_ok=True)
            return []

    def write_database(self, base: str, records: Mapping[bytes, bytes]) -> None:
        """Write a new database; nothing of it is synced."""
        database = AppendOnlyDatabase(str(self.path / base), UNUSED_FILE_MODE, flag="n")
        try:
            for key, record in records.items():
                database[key] = record
        finally:
            database.close()

    def read_database(self, base: str) -> dict[bytes, bytes]:
        """Return all records of a database; raises any exception where it is torn."""
        database = AppendOnlyDatabase(str(self.path / base), UNUSED_FILE_MODE, flag="r")
        try:
            return {bytes(key): database[key] for key in database.keys()}  # type: ignore[arg-type]  # noqa: SIM118
        finally:
            database.close()

    def sync_file(self, name: str) -> None:
        """Sync the content of one file to the disk."""
        self._sync(self.path / name, os.O_RDWR)

    def sync_directory(self) -> None:
        """Sync the names of new files, and removals, to the disk."""
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
