"""Cache of the last valid catalog on disk, so that a gateway starts while the administration service is unreachable.

One file holds a snapshot in the format of the feed. It is replaced atomically: a temporary file is written, synced and
renamed, then the directory is synced; an interruption leaves the earlier file. A damaged file is renamed and logged.
Versions never go back. A full disk causes a log line, and no request fails.
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
    """Cache file of one gateway. Two processes must not share it: one could overwrite newer versions of the other."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._temporary_path = path.with_name(path.name + ".new")
        self._saved_version = (0, 0)  # epoch and version

    def load(self) -> Catalog | None:
        """Return the catalog that was saved last, or None if there is none or it is damaged."""
        self._temporary_path.unlink(missing_ok=True)
        try:
            with open(self._path, "rb") as file:
                catalog = read_snapshot(iter(file))
        except FileNotFoundError:
            return None
        except FeedError as error:
            self._rename_damaged(error)
            return None
        self._saved_version = catalog.epoch, catalog.version
        return catalog

    def save(self, catalog: Catalog) -> bool:
        """Save a catalog; return False if it is not newer than the saved one or could not be written.

        Blocks on the disk, so call it in a thread. The catalog is immutable, so it cannot change while it is written.
        """
        if (catalog.epoch, catalog.version) <= self._saved_version:
            return False
        try:
            self._write(catalog)
        except OSError as error:
            COUNTS["saved_catalogue_unwritten"] += 1
            log.error("catalog not saved", file=str(self._path), error=str(error.strerror))  # noqa: TRY400
            self._temporary_path.unlink(missing_ok=True)
            return False
        self._saved_version = catalog.epoch, catalog.version
        return True

    def _write(self, catalog: Catalog) -> None:
        with open(self._temporary_path, "wb") as file:
            for line in snapshot_lines(catalog):
                file.write(line)
            file.flush()
            os.fsync(file.fileno())
        os.replace(self._temporary_path, self._path)
        directory = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def _rename_damaged(self, error: FeedError) -> None:
        """Rename the damaged file, so that it can be inspected and is not read again."""
        damaged_path = self._path.with_name(f"{self._path.name}.damaged-{time.time_ns() // 1_000_000}")
        os.replace(self._path, damaged_path)
        COUNTS["saved_catalogue_damaged"] += 1
        log.error("saved catalog damaged", file=str(self._path), renamed_to=damaged_path.name, error=str(error))
