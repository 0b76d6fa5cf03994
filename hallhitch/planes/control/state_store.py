"""What a replica keeps on its disk: whole generations in `dbm.dumb` databases under new names.

Owns the order of writes, syncs and removals. Must never report a state as kept before its files and their folder are
synced, and never take one generation for another. `dbm.dumb` neither syncs nor survives a torn write, hence:

- `state-N.dat/.dir` hold one generation: promised and accepted ballots, lives of replicas, the value without content,
  the digest of the content. `word-DIGEST.dat/.dir` hold a content, written once: a promise rewrites nothing big.
- Every record carries a digest over its key, its database's name, the names of cluster and machine, and its bytes.
- A generation is written under a new number, files synced, folder synced: now it counts. Only then the older ones go,
  and the folder is synced again.

So at a start an older generation is there only if the newest was never reported as kept: falling back is right. A
generation that was kept and is damaged has none before it: the replica has lost its memory and says so. Number 1 is
the founding one and holds no vote: where nothing else ever was, a torn one is as good as an empty folder.

What is read at a start may never have been synced (a killed process leaves its files as they are): it is synced before
anybody is told of it.
"""

from __future__ import annotations

import hashlib
import os
import re
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, replace
from dbm import dumb
from pathlib import Path
from typing import Protocol

from google.protobuf.message import DecodeError

from hallhitch.messages.system_pb2 import ClusterState, Promise
from hallhitch.planes.control.acceptor_state import AcceptorState
from hallhitch.planes.control.ballot import INITIAL_BALLOT, Ballot
from hallhitch.planes.control.state_delta import copy_state

GENERATION = re.compile(r"state-(\d{12})\.(dat|dir|bak)")
CONTENT = re.compile(r"word-([0-9a-f]{32})\.(dat|dir|bak)")
MODE = "0644"  # unused, see _Plain
DIGEST = 16  # bytes before each record


class CorruptDatabaseError(Exception):
    """A database cannot be used; the text says which and why."""


class Storage(Protocol):
    """The data folder, as far as it is used. All calls block; OSError where the disk refuses."""

    def names(self) -> list[str]:
        """All files."""

    def write(self, base: str, records: Mapping[bytes, bytes]) -> None:
        """A new database; nothing of it is synced."""

    def read(self, base: str) -> dict[bytes, bytes]:
        """All records of a database; any error where it is torn."""

    def sync(self, name: str) -> None:
        """One file, onto the disk."""

    def sync_folder(self) -> None:
        """Names and removals, onto the disk."""

    def remove(self, name: str) -> None:
        """One file less; lasts once the folder is synced."""


class AppendOnlyDatabase(dumb._Database):
    """A database that is written once. Its files keep the mode they were created with, as not every disk can set one.

    The index is not written anew at the end, by way of a rename: each record's line is appended with the record.
    """

    def _chmod(self, file: object) -> None:
        pass

    def _commit(self) -> None:
        pass


class DirectoryStorage:
    """A real folder as `Disk`."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def names(self) -> list[str]:
        """All files."""
        try:
            return sorted(os.listdir(self.path))
        except FileNotFoundError:
            os.makedirs(self.path, exist_ok=True)
            return []

    def write(self, base: str, records: Mapping[bytes, bytes]) -> None:
        """A new database; nothing of it is synced."""
        database = AppendOnlyDatabase(str(self.path / base), MODE, flag="n")
        try:
            for key, value in records.items():
                database[key] = value
        finally:
            database.close()

    def read(self, base: str) -> dict[bytes, bytes]:
        """All records of a database; any error where it is torn."""
        database = AppendOnlyDatabase(str(self.path / base), MODE, flag="r")
        try:
            return {bytes(key): database[key] for key in database.keys()}  # type: ignore[arg-type]  # noqa: SIM118
        finally:
            database.close()

    def sync(self, name: str) -> None:
        """One file, onto the disk."""
        self._sync(self.path / name, os.O_RDWR)

    def sync_folder(self) -> None:
        """Names and removals, onto the disk."""
        self._sync(self.path, os.O_RDONLY)

    def remove(self, name: str) -> None:
        """One file less; lasts once the folder is synced."""
        os.remove(self.path / name)

    @staticmethod
    def _sync(path: Path, flags: int) -> None:
        handle = os.open(path, flags)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What a start found: a replica to go on from, or None; `empty` where there was nothing at all."""

    replica: AcceptorState | None
    empty: bool
    notes: tuple[str, ...] = ()  # what was torn, foreign or left over, a sentence each


class StateStore:
    """One replica's generations on a disk. All calls block; one at a time."""

    def __init__(self, disk: Storage, address: str, cluster: str = "") -> None:
        self._disk, self._number = disk, 0
        self._address, self._cluster = address, cluster
        self._synced: set[str] = set()  # contents that are surely on the disk, by digest
        self._kept: tuple[str, str] | None = None  # the generation that counts, and its content

    def load(self) -> LoadResult:
        """Read the newest generation that is whole; raises OSError where the disk refuses (ask again)."""
        names = self._disk.names()
        numbers = sorted({int(match[1]) for name in names if (match := GENERATION.fullmatch(name))}, reverse=True)
        notes = [f"{name} is no file of ours" for name in names if not _ours(name)]
        self._number = max(numbers, default=0)
        for number in numbers:
            try:
                replica = self._read(number)
            except CorruptDatabaseError as error:
                notes.append(str(error))
                continue
            self._kept = _base(number), _config(replica.state.config)
            for base in reversed(self._kept):
                self._disk.sync(f"{base}.dat")
                self._disk.sync(f"{base}.dir")
            self._disk.sync_folder()
            self._synced = {self._kept[1]}
            return LoadResult(replica, False, tuple(notes))
        empty = set(numbers) <= {1}
        self._number = 0 if empty else self._number
        return LoadResult(None, empty, tuple(notes))

    def save(self, replica: AcceptorState) -> None:
        """Keep a new generation; on return it lasts. Raises OSError, and then the one before counts on."""
        founding = replica.promised == INITIAL_BALLOT and not replica.incarnations
        self._number = max(self._number + 1, 1 if founding else 2)
        base, word = _base(self._number), _config(replica.state.config)
        light = copy_state(replica.state)
        light.config = b""
        votes = Promise(
            promised=replica.promised.to_message(),
            accepted=replica.accepted.to_message(),
            incarnations=replica.incarnations,
        )
        try:
            if word not in self._synced:
                self._write(word, {b"content": replica.state.config})
                self._synced.add(word)
            self._write(
                base,
                {
                    b"votes": votes.SerializeToString(),
                    b"value": light.SerializeToString(),
                    b"content": word.encode(),
                },
            )
            self._disk.sync_folder()
        except OSError:
            for name in (f"{base}.dir", f"{base}.dat"):  # a full disk has no room for leavings
                with suppress(OSError):
                    self._disk.remove(name)
            raise
        self._kept = base, word

    def tidy(self) -> None:
        """Remove what the kept generation has replaced. Raises OSError; nothing is lost by that."""
        if self._kept is None:
            return
        old = [name for name in self._disk.names() if _ours(name) and name.rpartition(".")[0] not in self._kept]
        for name in old:
            self._disk.remove(name)
        if old:
            self._disk.sync_folder()
        self._synced = {self._kept[1]}

    def _write(self, base: str, records: Mapping[bytes, bytes]) -> None:
        self._disk.write(base, {key: self._digest(base, key, value) + value for key, value in records.items()})
        self._disk.sync(f"{base}.dat")
        self._disk.sync(f"{base}.dir")

    def _read(self, number: int) -> AcceptorState:
        base = _base(number)
        records = self._records(base)
        try:
            value = ClusterState.FromString(records[b"value"])
            word = records[b"content"].decode()
            votes = Promise.FromString(records[b"votes"])
            replica = AcceptorState(
                self._address,
                Ballot.from_message(votes.promised),
                Ballot.from_message(votes.accepted),
                value,
                dict(votes.incarnations),
            )
        except (KeyError, ValueError, DecodeError) as error:
            raise CorruptDatabaseError(f"{base} lacks a record: {error}") from None
        value.config = self._records(word).get(b"content", b"")
        if _config(value.config) != word:
            raise CorruptDatabaseError(f"{word} holds something else")
        return replace(replica, state=value)

    def _records(self, base: str) -> dict[bytes, bytes]:
        try:
            return self._checked(base, self._disk.read(base))
        except CorruptDatabaseError:
            raise
        except Exception as error:  # its reader raises whatever a torn index makes of it
            raise CorruptDatabaseError(f"{base} cannot be read: {type(error).__name__}: {error}") from None

    def _checked(self, base: str, records: Mapping[bytes, bytes]) -> dict[bytes, bytes]:
        """The records without their digests; raises Damaged."""
        plain = {}
        for key, value in records.items():
            if value[:DIGEST] != self._digest(base, key, value[DIGEST:]):
                raise CorruptDatabaseError(f"{base} is torn at {key!r}, or not of this machine and cluster")
            plain[key] = value[DIGEST:]
        return plain

    def _digest(self, base: str, key: bytes, value: bytes) -> bytes:
        place = f"{self._cluster}{' ' if self._cluster else ''}{self._address} {base} ".encode()
        return hashlib.sha256(b"%s%s %d " % (place, key, len(value)) + value).digest()[:DIGEST]


def _ours(name: str) -> bool:
    return bool(GENERATION.fullmatch(name) or CONTENT.fullmatch(name))


def _base(number: int) -> str:
    return f"state-{number:012}"


def _config(content: bytes) -> str:
    return f"word-{hashlib.sha256(content).hexdigest()[:32]}"
