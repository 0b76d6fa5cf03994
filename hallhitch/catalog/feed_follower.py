"""The gateway's side of the feed: assembles snapshots, applies diffs and delays retries. No I/O, no clock.

Invariants: the current version never decreases; the current catalog is replaced as a whole, by a diff from its version
or by a complete snapshot with a matching checksum; a failed line or connection leaves it unchanged.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

from hallhitch.catalog.draft import CatalogDraft, with_tenant_versions
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

BASE_RETRY_DELAY_MS: Final = 200.0  # longest delay of the first retry; each further failure doubles it
MAX_RETRY_DELAY_MS: Final = 20_000.0


class SnapshotAssembly:
    """Catalog received in chunks; each is applied on arrival, so that the last line costs no more than a chunk."""

    def __init__(self, epoch: int, version: int) -> None:
        self.epoch = epoch
        self.version = version
        self._draft = CatalogDraft(Catalog(epoch, 0))
        self._received_rows = 0

    def add_rows(self, rows: tuple[Row, ...]) -> None:
        """Apply the rows of a chunk.

        Raises:
            FeedError: A row is not for gateways, or precedes the row of its tenant.
        """
        self._received_rows += len(rows)
        for row in rows:
            if row.value is None or not is_for_gateways(row):
                raise FeedError(
                    f"{row.tenant}/{row.kind}/{row.name}: a row that does not belong in a snapshot for gateways"
                )
            try:
                self._draft.put(row)
            except KeyError:
                raise FeedError(f"{row.tenant}/{row.kind}/{row.name}: the row precedes the row of its tenant") from None
        # A snapshot needs only the tenants, not the keys of the changed entries.
        self._draft.touched = {}
        if rows:  # rows are grouped by tenant: all tenants before the last one are complete
            self._draft.finish_tenants(rows[-1].tenant, self.version)

    def finish(self, end: SnapshotEnd) -> Catalog:
        """Return the complete catalog.

        Raises:
            FeedError: Rows are missing or damaged.
        """
        if self._received_rows != end.rows:
            raise FeedError(f"received {self._received_rows} of {end.rows} rows of the snapshot")
        self._draft.finish_tenants("", self.version)
        catalog = self._draft.finish(self.epoch, self.version)
        if snapshot_checksum(self.epoch, self.version, end.parts, catalog.checksum) != end.seal:
            raise FeedError("the checksum of the snapshot does not match")
        if set(end.parts) != set(catalog.tenants):
            raise FeedError("the tenant versions at the end of the snapshot name other tenants than its rows")
        return with_tenant_versions(catalog, end.parts)


class FeedFollower:
    """One gateway's replica of the catalog.

    A snapshot of a later epoch replaces the catalog even if its version is lower: an operator restored a backup. Any
    other line that does not apply to the current catalog is rejected, and that catalog stays in use.
    """

    def __init__(self, catalog: Catalog, random_source: random.Random) -> None:
        self.catalog = catalog
        self._random = random_source
        self._failures = 0
        self._assembly: SnapshotAssembly | None = None

    @property
    def version(self) -> tuple[int, int]:
        """Return the epoch and version of the current catalog."""
        return self.catalog.epoch, self.catalog.version

    def receive_line(self, line: bytes) -> Catalog | None:
        """Process one line of the feed; return the new catalog if the line completes one.

        Raises:
            FeedError: The line is invalid here; retry after the delay that `record_failure` returns.
        """
        try:
            catalog = self._process_line(line)
        except (ValueError, KeyError) as error:  # KeyError: a diff names an entry that does not exist
            self._assembly = None
            raise FeedError(f"invalid line of the feed: {error}") from error
        except FeedError:
            self._assembly = None
            raise
        if catalog is not None:
            self.catalog = catalog
            self._failures = 0
        return catalog

    def discard_partial(self) -> None:
        """Discard a partial snapshot after the connection ended early."""
        self._assembly = None

    def record_failure(self) -> float:
        """Record a failed request and return the delay in ms, random so that gateways do not retry together."""
        self.discard_partial()
        max_delay_ms = min(MAX_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * 2.0 ** min(self._failures, 30))
        self._failures += 1
        return max_delay_ms * (0.25 + 0.75 * self._random.random())

    def _process_line(self, text: bytes) -> Catalog | None:
        if len(text) > MAX_LINE_BYTES:
            raise FeedError(f"a line of the feed is longer than {MAX_LINE_BYTES} bytes")
        line = decode_line(text)
        if bytes(line.diff):
            return self._apply_diff(line)
        if line.whole is not None:
            self._begin_snapshot(line.whole)
            return None
        if self._assembly is None:
            raise FeedError("a chunk or end line outside a snapshot")
        if bytes(line.rows):
            self._assembly.add_rows(decode_rows(bytes(line.rows)))
            return None
        if line.end is None:
            raise FeedError("a line without content")
        assembly = self._assembly
        self._assembly = None
        return assembly.finish(line.end)

    def _apply_diff(self, line: FeedLine) -> Catalog:
        diff = decode_diff(bytes(line.diff))
        if self._assembly is not None:
            raise FeedError("a diff line inside a snapshot")
        if diff.version <= self.catalog.version:
            raise FeedError(f"the diff to {diff.epoch}.{diff.version} is not later than the current catalog")
        if not all(row.value is None or is_for_gateways(row) for row in diff.rows):
            raise FeedError("the diff has a row that is not for gateways")
        return apply_diff(self.catalog, diff)

    def _begin_snapshot(self, begin: SnapshotBegin) -> None:
        if self._assembly is not None:
            raise FeedError("a snapshot begins inside another snapshot")
        if (begin.epoch, begin.version) < self.version:
            current = f"{self.catalog.epoch}.{self.catalog.version}"
            raise FeedError(f"the snapshot {begin.epoch}.{begin.version} is older than the catalog {current}")
        self._assembly = SnapshotAssembly(begin.epoch, begin.version)


def read_snapshot(lines: Iterator[bytes]) -> Catalog:
    """Read a catalog from the lines of a snapshot, the format in which a gateway saves it.

    Raises:
        FeedError: A line is invalid, the end line is missing, or more lines follow it.
    """
    follower = FeedFollower(Catalog(), random.Random(0))
    catalog: Catalog | None = None
    for line in lines:
        if catalog is not None:
            raise FeedError("more lines follow the end of the snapshot")
        catalog = follower.receive_line(line)
    if catalog is None:
        raise FeedError("the snapshot has no end line")
    return catalog
