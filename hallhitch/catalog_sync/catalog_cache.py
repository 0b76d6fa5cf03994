"""The last good catalogue on a gateway's disk, so that it starts and serves with the control plane away.

One file in the feed's own form, replaced whole: written beside, synced, renamed, the folder synced. Whatever is cut off
on the way leaves the file before. A file that is damaged is put aside under another name and said so; versions never
go back. That the disk is full costs a log line, never a request.
"""

from __future__ import annotations

import os
import time
from pathlib import Path

import structlog

from hallhitch.catalog.errors import FeedError
from hallhitch.catalog.feed import snapshot_lines
from hallhitch.catalog.feed_follower import read_snapshot
from hallhitch.catalog.model import Catalog
from hallhitch.core.invariants import COUNTS

log = structlog.get_logger()


class CatalogCache:
    """The file of one gateway. Not for two processes at once: the second would only undo the first's newer versions."""

    def __init__(self, path: Path) -> None:
        self._path, self._temporary_path = path, path.with_name(path.name + ".new")
        self._saved_version = (0, 0)

    def load(self) -> Catalog | None:
        """What was saved last; None if there is none, or none that can be used."""
        self._temporary_path.unlink(missing_ok=True)
        try:
            with open(self._path, "rb") as file:
                found = read_snapshot(iter(file))
        except FileNotFoundError:
            return None
        except FeedError as error:
            aside = self._path.with_name(f"{self._path.name}.damaged-{time.time_ns() // 1_000_000}")
            os.replace(self._path, aside)
            COUNTS["saved_catalogue_damaged"] += 1
            log.error("saved catalogue damaged", file=str(self._path), put_aside=aside.name, error=str(error))
            return None
        self._saved_version = found.epoch, found.version
        return found

    def save(self, catalog: Catalog) -> bool:
        """Save a catalogue; False where it is older than what is saved, or could not be written.

        Blocks for as long as the disk needs: call it in a thread. The catalogue is immutable, so nothing tears.
        """
        if (catalog.epoch, catalog.version) <= self._saved_version:
            return False
        try:
            with open(self._temporary_path, "wb") as file:
                for line in snapshot_lines(catalog):
                    file.write(line)
                file.flush()
                os.fsync(file.fileno())
            os.replace(self._temporary_path, self._path)
            folder = os.open(self._path.parent, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as error:
            COUNTS["saved_catalogue_unwritten"] += 1
            log.error("catalogue not saved", file=str(self._path), error=str(error.strerror))
            self._temporary_path.unlink(missing_ok=True)
            return False
        self._saved_version = catalog.epoch, catalog.version
        return True
