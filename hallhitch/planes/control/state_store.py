"""The durable state of a replica, stored as numbered generations, each in a database under a new name.

Owns the order of writes, syncs and removals. Invariants.
- *Durable on return*: `save` returns only after the files of a generation and their directory are synced.
- *New before old*: a generation is removed only after a newer one is durable.
- *Verified*: each record starts with a digest of the names of its cluster, machine, database and key, and of its bytes,
  so a torn record, or one of another machine, is never read as this replica's state.

Files. `state-N.dat/.dir` hold generation N: the promised and accepted ballots, the incarnations, the cluster state
without its configuration, and the name of the database with the configuration, which contains its digest.
`word-DIGEST.dat/.dir` hold a configuration and are written once, so that a promise rewrites nothing large.

Recovery. When a process starts, an older generation exists only if the newest one was never reported as durable, so it
is correct to fall back to the older one. If a durable generation is damaged, there is none before it: the replica has
lost its state and reports that. Generation 1 is the bootstrap generation, which contains no vote: if there never was
another one, a torn generation 1 is equivalent to an empty directory. Files that are read at the start may never have
been synced (a killed process leaves its files unsynced), so they are synced before their content is used.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Final

from google.protobuf.message import DecodeError

from hallhitch.messages.system_pb2 import ClusterState, Promise
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot
from hallhitch.planes.control.errors import CorruptDatabaseError
from hallhitch.planes.control.state_delta import copy_state
from hallhitch.planes.control.storage import DATABASE_SUFFIXES, Storage

# Names in stored data. They stay when names in the code change, because directories of earlier releases contain them.
GENERATION_FILE: Final = re.compile(r"state-(\d{12})\.(dat|dir|bak)")
CONTENT_FILE: Final = re.compile(r"word-([0-9a-f]{32})\.(dat|dir|bak)")
STORED_VOTES_KEY: Final = b"votes"  # in a generation: a Promise with the ballots and the incarnations
STORED_STATE_KEY: Final = b"value"  # in a generation: the ClusterState without its configuration
# In a generation: the name of its content database. In a content database: the configuration.
STORED_CONTENT_KEY: Final = b"content"

RECORD_DIGEST_BYTES: Final = 16  # prefix of each record; a torn record passes the check with probability 2**-128
BOOTSTRAP_GENERATION: Final = 1


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What `StateStore.load` read from the disk."""

    state: AcceptorState | None  # the state to continue from; None if no generation is usable
    is_empty: bool  # whether no vote was ever written to the directory
    problems: tuple[str, ...] = ()  # one sentence for each file that is torn or not this replica's


@dataclass(frozen=True, slots=True)
class _Generation:
    """The names of the two databases that form a generation."""

    database: str
    content_database: str

    def __contains__(self, database: str) -> bool:
        return database in (self.database, self.content_database)


class StateStore:
    """The generations of one replica. All calls block, and only one may run at a time."""

    def __init__(self, storage: Storage, address: str, cluster: str = "") -> None:
        self._storage = storage
        self._address, self._cluster = address, cluster
        self._number = 0  # of the newest generation that was ever started, complete or not
        self._synced_contents: set[str] = set()  # content databases that are known to be durable
        self._durable: _Generation | None = None  # the newest durable generation

    def load(self) -> LoadResult:
        """Read the newest usable generation.

        Raises:
            OSError: the disk cannot be read or synced; the call may be repeated.
        """
        names = self._storage.file_names()
        matches = (GENERATION_FILE.fullmatch(name) for name in names)
        numbers = sorted({int(match[1]) for match in matches if match}, reverse=True)
        problems = [f"{name} is not a file of the state store" for name in names if not _is_own_file(name)]
        self._number = max(numbers, default=0)
        for number in numbers:
            try:
                state = self._read_generation(number)
            except CorruptDatabaseError as error:
                problems.append(str(error))
                continue
            self._sync_loaded(_Generation(_generation_name(number), _content_name(state.state.config)))
            return LoadResult(state, False, tuple(problems))
        is_empty = set(numbers) <= {BOOTSTRAP_GENERATION}
        self._number = 0 if is_empty else self._number
        return LoadResult(None, is_empty, tuple(problems))

    def save(self, state: AcceptorState) -> None:
        """Write a new generation, which is durable on return.

        Raises:
            OSError: the write failed; the previous generation is still the durable one.
        """
        is_bootstrap_state = state.promised == INITIAL_BALLOT and not state.incarnations
        first_number = BOOTSTRAP_GENERATION if is_bootstrap_state else BOOTSTRAP_GENERATION + 1
        self._number = max(self._number + 1, first_number)
        generation = _Generation(_generation_name(self._number), _content_name(state.state.config))
        try:
            if generation.content_database not in self._synced_contents:
                self._write_database(generation.content_database, {STORED_CONTENT_KEY: state.state.config})
                self._synced_contents.add(generation.content_database)
            self._write_database(generation.database, _generation_records(state, generation.content_database))
            self._storage.sync_directory()
        except OSError:
            self._discard_database(generation.database)
            raise
        self._durable = generation

    def remove_obsolete(self) -> None:
        """Remove the files that the durable generation has replaced.

        Raises:
            OSError: a file cannot be removed; a later call removes the remaining files.
        """
        durable = self._durable
        if durable is None:
            return
        obsolete = [
            name for name in self._storage.file_names() if _is_own_file(name) and name.rpartition(".")[0] not in durable
        ]
        for name in obsolete:
            self._storage.remove_file(name)
        if obsolete:
            self._storage.sync_directory()
        self._synced_contents = {durable.content_database}

    def _sync_loaded(self, generation: _Generation) -> None:
        """Make the files that were read durable before their content is used."""
        self._durable = generation
        for database in (generation.content_database, generation.database):
            self._sync_database(database)
        self._storage.sync_directory()
        self._synced_contents = {generation.content_database}

    def _write_database(self, database: str, records: Mapping[bytes, bytes]) -> None:
        """Write records, each prefixed with its digest, and sync the files."""
        stored = {key: self._digest(database, key, record) + record for key, record in records.items()}
        self._storage.write_database(database, stored)
        self._sync_database(database)

    def _sync_database(self, database: str) -> None:
        for suffix in DATABASE_SUFFIXES:
            self._storage.sync_file(f"{database}{suffix}")

    def _discard_database(self, database: str) -> None:
        """Remove an incomplete database, because a full disk has no space for it."""
        for suffix in reversed(DATABASE_SUFFIXES):
            with suppress(OSError):
                self._storage.remove_file(f"{database}{suffix}")

    def _read_generation(self, number: int) -> AcceptorState:
        """Read a generation and its content.

        Raises:
            CorruptDatabaseError: a database cannot be read, or its content does not match its name.
        """
        database = _generation_name(number)
        records = self._read_database(database)
        try:
            state = ClusterState.FromString(records[STORED_STATE_KEY])
            content_database = records[STORED_CONTENT_KEY].decode()
            votes = Promise.FromString(records[STORED_VOTES_KEY])
            acceptor_state = AcceptorState(
                self._address,
                Ballot.from_message(votes.promised),
                Ballot.from_message(votes.accepted),
                state,
                dict(votes.incarnations),
            )
        except (KeyError, ValueError, DecodeError) as error:
            raise CorruptDatabaseError(database, f"lacks a valid record: {error}") from None
        state.config = self._read_database(content_database).get(STORED_CONTENT_KEY, b"")
        if _content_name(state.config) != content_database:
            raise CorruptDatabaseError(content_database, "contains a configuration whose digest differs from the name")
        return replace(acceptor_state, state=state)

    def _read_database(self, database: str) -> dict[bytes, bytes]:
        """Read the verified records of a database.

        Raises:
            CorruptDatabaseError: the database cannot be read, or a record is torn or not this replica's.
        """
        try:
            stored = self._storage.read_database(database)
        except Exception as error:  # noqa: BLE001  # dbm.dumb evaluates the index, and a torn index raises any type
            raise CorruptDatabaseError(database, f"cannot be read: {type(error).__name__}: {error}") from None
        return self._verify_records(database, stored)

    def _verify_records(self, database: str, stored: Mapping[bytes, bytes]) -> dict[bytes, bytes]:
        """Return the records without their digests.

        Raises:
            CorruptDatabaseError: a record is torn or not this replica's.
        """
        records = {}
        for key, stored_record in stored.items():
            digest, record = stored_record[:RECORD_DIGEST_BYTES], stored_record[RECORD_DIGEST_BYTES:]
            if digest != self._digest(database, key, record):
                raise CorruptDatabaseError(database, f"is torn at {key!r}, or not of this machine and cluster")
            records[key] = record
        return records

    def _digest(self, database: str, key: bytes, record: bytes) -> bytes:
        """Return the digest of a record and its location. The layout is part of the stored format."""
        prefix = f"{self._cluster}{' ' if self._cluster else ''}{self._address} {database} ".encode()
        return hashlib.sha256(b"%s%s %d " % (prefix, key, len(record)) + record).digest()[:RECORD_DIGEST_BYTES]


def _generation_records(state: AcceptorState, content_database: str) -> dict[bytes, bytes]:
    """Return the records of a generation."""
    without_config = copy_state(state.state)
    without_config.config = b""
    votes = Promise(
        promised=state.promised.to_message(),
        accepted=state.accepted.to_message(),
        incarnations=state.incarnations,
    )
    return {
        STORED_VOTES_KEY: votes.SerializeToString(),
        STORED_STATE_KEY: without_config.SerializeToString(),
        STORED_CONTENT_KEY: content_database.encode(),
    }


def _is_own_file(name: str) -> bool:
    return bool(GENERATION_FILE.fullmatch(name) or CONTENT_FILE.fullmatch(name))


def _generation_name(number: int) -> str:
    return f"state-{number:012}"


def _content_name(content: bytes) -> str:
    return f"word-{hashlib.sha256(content).hexdigest()[:32]}"
