"""Last good catalog on a gateway's disk, so that it starts and serves while the administration is unreachable.

One file holds a snapshot in the feed's own lines. It is replaced as a whole: written beside, synchronised, renamed,
the directory synchronised; an interruption leaves the earlier file. A damaged file is renamed and logged. Versions
never go back. A full disk costs a log line, never a request.
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
    """File of one gateway. Not for two processes at once: the second would undo the first's newer versions."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._temporary_path = path.with_name(path.name + ".new")
        self._saved_version = (0, 0)  # epoch and version

    def load(self) -> Catalog | None:
        """Return the catalog that was saved last; None if there is none, or it is damaged."""
        self._temporary_path.unlink(missing_ok=True)
        try:
            with open(self._path, "rb") as file:
                catalog = read_snapshot(iter(file))
        except FileNotFoundError:
            return None
        except FeedError as error:
            self._set_aside(error)
            return None
        self._saved_version = catalog.epoch, catalog.version
        return catalog

    def save(self, catalog: Catalog) -> bool:
        """Save a catalog; False where it is no newer than the saved one, or could not be written.

        Blocks for as long as the disk needs: call it in a thread. The catalog is immutable, so nothing tears.
        """
        if (catalog.epoch, catalog.version) <= self._saved_version:
            return False
        try:
            self._write(catalog)
        except OSError as error:
            COUNTS["saved_catalogue_unwritten"] += 1
            log.error("catalogue not saved", file=str(self._path), error=str(error.strerror))  # noqa: TRY400
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
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _set_aside(self, error: FeedError) -> None:
        """Rename the damaged file, so that it can be looked at and is not read again."""
        damaged = self._path.with_name(f"{self._path.name}.damaged-{time.time_ns() // 1_000_000}")
        os.replace(self._path, damaged)
        COUNTS["saved_catalogue_damaged"] += 1
        log.error("saved catalogue damaged", file=str(self._path), put_aside=damaged.name, error=str(error))
