"""A gateway's side of the feed: it assembles snapshots, applies diffs and spaces its retries. No I/O, no clock.

Invariants: the version held never goes back; the catalog held is replaced as a whole, by a diff from it or by a
complete snapshot whose checksum fits; a failed line or connection leaves it as it was.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

from hallhitch.catalog.draft import CatalogDraft, with_part_versions
from hallhitch.catalog.errors import FeedError
from hallhitch.catalog.feed import (
    MAX_LINE_BYTES,
    FeedLine,
    SnapshotBegin,
    SnapshotEnd,
    decode_line,
    is_for_gateways,
    snapshot_checksum,
)
from hallhitch.catalog.history import apply_diff, decode_diff, decode_rows
from hallhitch.catalog.model import Catalog
from hallhitch.catalog.rows import Row

BASE_RETRY_DELAY_MS: Final = 200.0  # before the first retry; doubled by each further failure
MAX_RETRY_DELAY_MS: Final = 20_000.0


class SnapshotAssembly:
    """Catalog that arrives in chunks: each is taken in as it comes, so that the end costs no more than a chunk."""

    def __init__(self, epoch: int, version: int) -> None:
        self.epoch = epoch
        self.version = version
        self._draft = CatalogDraft(Catalog(epoch, 0))
        self._received_rows = 0

    def add_rows(self, rows: tuple[Row, ...]) -> None:
        """Take in a chunk.

        Raises:
            FeedError: A row is no gateway's, or comes before its tenant's own.
        """
        self._received_rows += len(rows)
        for row in rows:
            if row.value is None or not is_for_gateways(row):
                raise FeedError(f"{row.tenant}/{row.kind}/{row.name}: no row of a gateway's snapshot")
            try:
                self._draft.put(row)
            except KeyError:
                raise FeedError(f"{row.tenant}/{row.kind}/{row.name}: before its tenant's own row") from None
        # A snapshot needs no list of touched names, only the parts of tenants.
        self._draft.touched = {}
        if rows:  # rows come tenant by tenant: those before the last are complete
            self._draft.close_parts(rows[-1].tenant, self.version)

    def finish(self, end: SnapshotEnd) -> Catalog:
        """Return the catalog.

        Raises:
            FeedError: Rows are missing or damaged.
        """
        if self._received_rows != end.rows:
            raise FeedError(f"{self._received_rows} rows of {end.rows} came")
        self._draft.close_parts("", self.version)
        catalog = self._draft.finish(self.epoch, self.version)
        if snapshot_checksum(self.epoch, self.version, end.parts, catalog.checksum) != end.seal:
            raise FeedError("the snapshot's checksum does not fit")
        if set(end.parts) != set(catalog.tenants):
            raise FeedError("the parts are of other tenants than the rows")
        return with_part_versions(catalog, end.parts)


class FeedFollower:
    """One gateway's replica of the catalog.

    Only a later epoch starts anew: an operator restored a backup. Whatever else does not lead on from the catalog
    that is held is refused, and that catalog goes on serving.
    """

    def __init__(self, catalog: Catalog, random_source: random.Random) -> None:
        self.catalog = catalog
        self._random = random_source
        self._failures = 0
        self._assembly: SnapshotAssembly | None = None

    @property
    def version(self) -> tuple[int, int]:
        """Return the epoch and version that are held."""
        return self.catalog.epoch, self.catalog.version

    def receive_line(self, line: bytes) -> Catalog | None:
        """Process one line of the feed and return the catalog held from now on, where the line completes one.

        Raises:
            FeedError: The line does not lead on; ask again after `record_failure` says.
        """
        try:
            catalog = self._process_line(line)
        except (ValueError, KeyError) as error:  # KeyError: a diff that names what is not there
            self._assembly = None
            raise FeedError(f"no line of a feed: {error}") from error
        except FeedError:
            self._assembly = None
            raise
        if catalog is not None:
            self.catalog = catalog
            self._failures = 0
        return catalog

    def discard_partial(self) -> None:
        """Discard what came of a snapshot: the connection ended before it was complete."""
        self._assembly = None

    def record_failure(self) -> float:
        """Record a failed request and return the ms to wait, drawn so that gateways that failed together spread."""
        self.discard_partial()
        longest_ms = min(MAX_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * 2.0 ** min(self._failures, 30))
        self._failures += 1
        return longest_ms * (0.25 + 0.75 * self._random.random())

    def _process_line(self, text: bytes) -> Catalog | None:
        if len(text) > MAX_LINE_BYTES:
            raise FeedError(f"a line of more than {MAX_LINE_BYTES} bytes")
        line = decode_line(text)
        if bytes(line.diff):
            return self._apply_diff(line)
        if line.whole is not None:
            self._begin_snapshot(line.whole)
            return None
        if self._assembly is None:
            raise FeedError("a chunk or an end outside a snapshot")
        if bytes(line.rows):
            self._assembly.add_rows(decode_rows(bytes(line.rows)))
            return None
        if line.end is None:
            raise FeedError("an empty line")
        assembly = self._assembly
        self._assembly = None
        return assembly.finish(line.end)

    def _apply_diff(self, line: FeedLine) -> Catalog:
        diff = decode_diff(bytes(line.diff))
        if self._assembly is not None:
            raise FeedError("a diff inside a snapshot")
        if diff.version <= self.catalog.version:
            raise FeedError(f"{diff.epoch}.{diff.version} is not later than what is held")
        if not all(row.value is None or is_for_gateways(row) for row in diff.rows):
            raise FeedError("a row that is not a gateway's to know")
        return apply_diff(self.catalog, diff)

    def _begin_snapshot(self, begin: SnapshotBegin) -> None:
        if self._assembly is not None:
            raise FeedError("a snapshot inside a snapshot")
        if (begin.epoch, begin.version) < self.version:
            held = f"{self.catalog.epoch}.{self.catalog.version}"
            raise FeedError(f"{begin.epoch}.{begin.version} is older than {held}")
        self._assembly = SnapshotAssembly(begin.epoch, begin.version)


def read_snapshot(lines: Iterator[bytes]) -> Catalog:
    """Read a catalog from a snapshot's lines, as a gateway saves them.

    Raises:
        FeedError: A line does not fit, or the snapshot has no end or more after it.
    """
    follower = FeedFollower(Catalog(), random.Random(0))
    catalog: Catalog | None = None
    for line in lines:
        if catalog is not None:
            raise FeedError("lines after the snapshot's end")
        catalog = follower.receive_line(line)
    if catalog is None:
        raise FeedError("the snapshot has no end")
    return catalog
