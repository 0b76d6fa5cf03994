"""An in-memory data directory of a coordinator.

Implements `planes.control.storage.Storage`. Invariant: after a power loss the directory holds exactly the files
whose content and name were both synced. For a disk that tears unsynced writes at random see `simulated_disk`.
"""

from __future__ import annotations

from collections.abc import Mapping


class InMemoryStorage:
    """The files of one machine, and those that survive a power loss."""

    def __init__(self) -> None:
        self.files: dict[str, Mapping[bytes, bytes]] = {}
        self.durable_files: dict[str, Mapping[bytes, bytes]] = {}
        self.is_full = False
        self._synced: dict[str, Mapping[bytes, bytes]] = {}

    def file_names(self) -> list[str]:
        """Return the names of all files in sorted order."""
        return sorted(self.files)

    def write_database(self, base: str, records: Mapping[bytes, bytes]) -> None:
        """Create a database without syncing it.

        Raises:
            OSError: The disk is full.
        """
        self._require_space()
        self.files[f"{base}.dat"] = self.files[f"{base}.dir"] = dict(records)

    def read_database(self, base: str) -> dict[bytes, bytes]:
        """Return all records of a database."""
        return dict(self.files[f"{base}.dir"])

    def sync_file(self, name: str) -> None:
        """Sync the content of one file.

        Raises:
            OSError: The disk is full.
        """
        self._require_space()
        self._synced[name] = self.files[name]

    def sync_directory(self) -> None:
        """Sync the names of created and removed files.

        Raises:
            OSError: The disk is full.
        """
        self._require_space()
        self.durable_files = {name: self._synced[name] for name in self.files if name in self._synced}

    def remove_file(self, name: str) -> None:
        """Remove one file, if it exists."""
        self.files.pop(name, None)

    def lose_power(self) -> None:
        """Drop everything that was not synced."""
        self.files = dict(self.durable_files)

    def _require_space(self) -> None:
        if self.is_full:
            raise OSError("the simulated disk is full")
