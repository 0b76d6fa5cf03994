"""The catalogue on its way to gateways: what they are told, in which pieces, and how they follow. No I/O, no clock.

A gateway asks with the epoch and version that it holds and gets what leads on from there: a diff, or the whole where
none does. The whole goes in pieces of so many rows, so that neither side ever holds it as one text. Each piece is one
line of JSON:

    {"diff": {...}}                                        from a version to a later one, as history.encode_diff has it
    {"whole": {"epoch": 1, "version": 7}}                  what follows is everything
    {"rows": [[tenant, kind, name, version, value], ...]}  a piece of it: a tenant's own row before what it has
    {"end": {"rows": 9, "parts": {...}, "seal": "..."}}    how many rows there were, born and version of each tenant,
                                                           and the checksum of all

Only what a gateway needs is told: of credentials those that name a client, with verifiers and no secrets; of the
operators nothing.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec
from msgspec import Raw, Struct
from xxhash import xxh3_128_hexdigest

from hallhitch.catalog.draft import CatalogDraft, with_part_versions
from hallhitch.catalog.history import Diff, History, apply_diff, decode_diff, decode_rows, encode_diff, encode_rows
from hallhitch.catalog.model import Catalog, Credential, Scope, Versioned
from hallhitch.catalog.names import OPERATORS
from hallhitch.catalog.rows import CHECKSUM_MODULUS, Row, catalog_rows, entry_hash

SNAPSHOT_CHUNK_ROWS = 200  # rows of a piece of the whole: about a millisecond's work to take in
MAX_DIFF_ROWS = 2_000  # rows of a diff; where more have changed the whole is sent, in pieces
MAX_LINE_BYTES = 4 * 1024 * 1024  # bytes of one line; more is no piece of a feed
BASE_RETRY_DELAY_MS = 200.0  # before the first retry; doubled by each further failure
MAX_RETRY_DELAY_MS = 20_000.0


class FeedError(Exception):
    """What came leads on from nothing that is held here; what is held stays."""


class _Line(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    diff: Raw = Raw()
    whole: _Begin | None = None
    rows: Raw = Raw()
    end: _End | None = None


class _Begin(Struct, frozen=True, forbid_unknown_fields=True):
    epoch: int
    version: int


class _End(Struct, frozen=True, forbid_unknown_fields=True):
    rows: int
    parts: dict[str, tuple[int, int]]
    seal: str


_decode = msgspec.json.Decoder(_Line).decode
_encode = msgspec.json.Encoder(order="deterministic").encode


def snapshot_checksum(epoch: int, version: int, parts: dict[str, tuple[int, int]], total: int) -> str:
    """The checksum of a whole: rows, versions and parts. It finds damage; that nobody else wrote it is TLS's to say."""
    return xxh3_128_hexdigest(_encode([epoch, version, parts, str(total % CHECKSUM_MODULUS)]))


def is_for_gateways(row: Row) -> bool:
    """Whether gateways are told of a row as it stands."""
    if row.tenant == OPERATORS:
        return False
    return not isinstance(row.value, Credential) or row.value.scope is Scope.CLIENT


def gateway_diff(diff: Diff) -> Diff:
    """What gateways are told of a diff. A credential that names no client any more is gone to them."""
    rows = [
        row if is_for_gateways(row) else Row(row.tenant, row.kind, row.name, row.version, None)
        for row in diff.rows
        if row.tenant != OPERATORS
    ]
    # What goes stands before what is put, as in every diff.
    rows.sort(key=lambda row: row.value is not None)
    return Diff(diff.epoch, diff.since, diff.version, diff.reset, tuple(rows), diff.parts)


def diff_line(diff: Diff) -> bytes:
    """A diff as it is sent."""
    return b'{"diff":' + encode_diff(gateway_diff(diff)) + b"}\n"


def snapshot_lines(catalog: Catalog, piece: int = SNAPSHOT_CHUNK_ROWS) -> Iterator[bytes]:
    """Everything that gateways are told, in pieces made as they are asked for; the catalogue may move on meanwhile."""
    count, total = 0, 0
    yield _encode({"whole": {"epoch": catalog.epoch, "version": catalog.version}}) + b"\n"
    held: list[Row] = []
    for row in catalog_rows(catalog):
        if not is_for_gateways(row):
            continue
        total += entry_hash(row.tenant, row.kind, row.name, Versioned(row.value, row.version))
        held.append(row)
        count += 1
        if len(held) == piece:
            yield b'{"rows":' + encode_rows(held) + b"}\n"
            held = []
    if held:
        yield b'{"rows":' + encode_rows(held) + b"}\n"
    parts = {name: (part.created_in_version, part.version) for name, part in catalog.tenants.items()}
    found = snapshot_checksum(catalog.epoch, catalog.version, parts, total)
    yield _encode({"end": {"rows": count, "parts": parts, "seal": found}}) + b"\n"


def update_lines(newest: Catalog, history: History, epoch: int, version: int) -> Iterator[bytes] | None:
    """What leads a gateway from what it holds to the newest; None where it holds that already.

    FeedError where the gateway is ahead: this control plane came back from an older state without a new epoch.
    """
    if (epoch, version) == (newest.epoch, newest.version):
        return None
    if epoch > newest.epoch or epoch == newest.epoch and version > newest.version:
        raise FeedError(f"the gateway holds {epoch}.{version}, this is {newest.epoch}.{newest.version}")
    diff = history.diff(newest, epoch, version)
    if diff is not None and len(diff.rows) <= MAX_DIFF_ROWS:
        return iter([diff_line(diff)])
    return snapshot_lines(newest)


class SnapshotAssembly:
    """A whole catalogue that comes in pieces: each is taken in as it comes, and nothing is put off to the end."""

    def __init__(self, epoch: int, version: int) -> None:
        self.epoch, self.version = epoch, version
        self._draft = CatalogDraft(Catalog(epoch, 0))
        self._received_rows = 0

    def add_rows(self, rows: tuple[Row, ...]) -> None:
        """A piece."""
        self._received_rows += len(rows)
        for row in rows:
            if row.value is None or not is_for_gateways(row):
                raise FeedError(f"{row.tenant}/{row.kind}/{row.name}: no row of a whole catalogue")
            try:
                self._draft.put(row)
            except KeyError:
                raise FeedError(f"{row.tenant}/{row.kind}/{row.name}: before its tenant's own row") from None
        # Which names were touched is not asked of a whole; whose parts is.
        self._draft.touched = {}
        if rows:  # rows come tenant by tenant: those before the last are whole
            self._draft.close_parts(rows[-1].tenant, self.version)

    def finish(self, rows: int, parts: dict[str, tuple[int, int]], sealed: str) -> Catalog:
        """The catalogue; FeedError if rows are missing or damaged."""
        if self._received_rows != rows:
            raise FeedError(f"{self._received_rows} rows of {rows} came")
        self._draft.close_parts("", self.version)
        made = self._draft.finish(self.epoch, self.version)
        if snapshot_checksum(self.epoch, self.version, parts, made.checksum) != sealed:
            raise FeedError("the checksum is another")
        if set(parts) != set(made.tenants):
            raise FeedError("the parts are of other tenants than the rows")
        return with_part_versions(made, parts)


class FeedFollower:
    """One gateway's way along the feed: versions never go back, and what is held changes whole or not at all.

    Only a later epoch starts anew: an operator restored a backup, and said so. Whatever else comes that does not lead
    on is refused, and what is held goes on serving; staleness is for the caller to tell.
    """

    def __init__(self, held: Catalog, draw: random.Random) -> None:
        self.catalog, self._random = held, draw
        self._failures = 0
        self._assembly: SnapshotAssembly | None = None

    @property
    def version(self) -> tuple[int, int]:
        """Epoch and version to ask with."""
        return self.catalog.epoch, self.catalog.version

    def receive_line(self, line: bytes) -> Catalog | None:
        """One line of the feed; the catalogue held from now on, where this completes one.

        FeedError: ask again from what is held, after `failed` says.
        """
        try:
            made = self._process_line(line)
        except (ValueError, KeyError) as error:  # KeyError: a diff that names what is not there
            self._assembly = None
            raise FeedError(f"no line of a feed: {error}") from error
        except FeedError:
            self._assembly = None
            raise
        if made is not None:
            self.catalog, self._failures = made, 0
        return made

    def _process_line(self, line: bytes) -> Catalog | None:
        if len(line) > MAX_LINE_BYTES:
            raise FeedError(f"a line of more than {MAX_LINE_BYTES} bytes")
        found = _decode(line)
        assembly = self._assembly
        if bytes(found.diff):
            diff = decode_diff(bytes(found.diff))
            if assembly is not None:
                raise FeedError("a diff inside a whole")
            if diff.version <= self.catalog.version:
                raise FeedError(f"{diff.epoch}.{diff.version} is not later than what is held")
            if not all(row.value is None or is_for_gateways(row) for row in diff.rows):
                raise FeedError("a row that is not a gateway's to know")
            return apply_diff(self.catalog, diff)
        if found.whole is not None:
            begin = found.whole
            if assembly is not None:
                raise FeedError("a whole inside a whole")
            if (begin.epoch, begin.version) < self.version:
                raise FeedError(
                    f"{begin.epoch}.{begin.version} is older than {self.catalog.epoch}.{self.catalog.version}"
                )
            self._assembly = SnapshotAssembly(begin.epoch, begin.version)
            return None
        if assembly is None:
            raise FeedError("a piece of nothing")
        if bytes(found.rows):
            assembly.add_rows(decode_rows(bytes(found.rows)))
            return None
        if found.end is None:
            raise FeedError("an empty line")
        self._assembly = None
        return assembly.finish(found.end.rows, found.end.parts, found.end.seal)

    def discard_partial(self) -> None:
        """The connection ended: half of a whole is nothing."""
        self._assembly = None

    def record_failure(self) -> float:
        """A try has failed: ms before the next, so drawn that gateways that failed together come back apart."""
        self.discard_partial()
        most = min(MAX_RETRY_DELAY_MS, BASE_RETRY_DELAY_MS * 2.0 ** min(self._failures, 30))
        self._failures += 1
        return most * (0.25 + 0.75 * self._random.random())


def read_snapshot(lines: Iterator[bytes]) -> Catalog:
    """A whole catalogue from its lines, as a gateway saves it; FeedError says what is wrong."""
    follower = FeedFollower(Catalog(), random.Random(0))
    made: Catalog | None = None
    for line in lines:
        if made is not None:
            raise FeedError("more behind the end")
        made = follower.receive_line(line)
    if made is None:
        raise FeedError("no end")
    return made
