"""A map that numbers its changes, and replicas that follow it by snapshots and deltas. Uses no I/O and no clock.

Invariants:
- A version consists of an epoch and a number. The epoch is the incarnation of the process that owns the map, so numbers
  of different incarnations are never compared.
- Each change of the map increments the number.
- A replica that has another epoch, or a number older than the removals that the map remembers, gets a snapshot.
- A replica with `is_complete` set equals the map as it was at the replica's version.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

ValueT = TypeVar("ValueT")
CHUNK_ENTRIES: Final = 500  # in one reply; about 35 kB, which take an eighth of a second on a link of 2 Mbit/s
MAX_REMOVED_KEYS: Final = 2048  # remembered for replicas that follow by deltas


@dataclass(frozen=True, slots=True)
class Version:
    """A version of a map; the default is older than any other."""

    epoch: int = 0
    number: int = 0


@dataclass(frozen=True, slots=True)
class Delta(Generic[ValueT]):
    """The data that a replica lacks: the full map (`is_snapshot`), or the changes since the replica's version.

    With `has_more_chunks` it is only the first part of that and leads to `version`, which is not the newest one yet.
    """

    version: Version
    is_snapshot: bool
    entries: Mapping[str, ValueT]
    removed: tuple[str, ...]
    has_more_chunks: bool = False


class VersionedMap(Generic[ValueT]):
    """A map that can return the changes since an earlier version."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.number = 0
        self._items: dict[str, tuple[int, ValueT]] = {}  # with the number of the latest change
        self._removed: dict[str, int] = {}  # with the number of the removal, oldest first
        self._oldest_base = 0  # replicas below this number need a snapshot

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, key: str) -> bool:
        return key in self._items

    @property
    def version(self) -> Version:
        """The newest version."""
        return Version(self.epoch, self.number)

    def get(self, key: str) -> ValueT | None:
        """Return the value of a key, if there is one."""
        item = self._items.get(key)
        return item[1] if item is not None else None

    def values(self) -> list[ValueT]:
        """Return all values."""
        return [value for _, value in self._items.values()]

    def keys(self) -> list[str]:
        """Return all keys."""
        return list(self._items)

    def put(self, key: str, value: ValueT) -> bool:
        """Set a value; return whether that changed the map."""
        item = self._items.get(key)
        if item is not None and item[1] == value:
            return False
        self.number += 1
        self._items[key] = self.number, value
        self._removed.pop(key, None)
        return True

    def remove(self, key: str) -> bool:
        """Remove a key; return whether it was there."""
        if self._items.pop(key, None) is None:
            return False
        self.number += 1
        self._removed[key] = self.number
        if len(self._removed) > MAX_REMOVED_KEYS:
            oldest = next(iter(self._removed))
            self._oldest_base = max(self._oldest_base, self._removed.pop(oldest))
        return True

    def replace(self, items: Mapping[str, ValueT]) -> bool:
        """Replace the full content of the map; return whether that changed it."""
        changed = False
        for key in [key for key in self._items if key not in items]:
            changed |= self.remove(key)
        for key, value in items.items():
            changed |= self.put(key, value)
        return changed

    def delta_since(self, version: Version, chunk_entries: int = CHUNK_ENTRIES) -> Delta[ValueT] | None:
        """Return the data that a replica of this version lacks, at most one chunk; None if it is up to date."""
        if version.epoch == self.epoch and version.number >= self.number:
            return None
        is_snapshot = version.epoch != self.epoch or version.number < self._oldest_base
        chunk_size = chunk_entries
        if is_snapshot:
            changes = sorted((number, key) for key, (number, _) in self._items.items())
            # The first chunk of a snapshot must reach the oldest base: below that base no delta can follow.
            chunk_size = max(chunk_size, bisect_left(changes, (self._oldest_base, "")))
        else:
            changes = self._changes_since(version.number)
        has_more_chunks = len(changes) > chunk_size
        changes = changes[:chunk_size]
        return Delta(
            version=Version(self.epoch, changes[-1][0] if has_more_chunks else self.number),
            is_snapshot=is_snapshot,
            entries={key: self._items[key][1] for _, key in changes if key in self._items},
            removed=tuple(key for _, key in changes if key not in self._items),
            has_more_chunks=has_more_chunks,
        )

    def _changes_since(self, base: int) -> list[tuple[int, str]]:
        """Return (number, key) of each entry that was set or removed after the number `base`, in that order."""
        changes = [(number, key) for key, (number, _) in self._items.items() if number > base]
        changes += [(number, key) for key, number in self._removed.items() if number > base]
        changes.sort()
        return changes


class VersionedReplica(Generic[ValueT]):
    """A copy of another process's map, as of the last received delta."""

    def __init__(self) -> None:
        self.version = Version()
        self.items: dict[str, ValueT] = {}
        self.is_complete = False  # whether `items` is the full map at `version`, and no chunk is missing

    def apply(self, delta: Delta[ValueT]) -> bool:
        """Apply a delta; return False if it does not follow `version`, so that a snapshot must be requested."""
        is_same_epoch = delta.version.epoch == self.version.epoch
        is_outdated = is_same_epoch and delta.version.number <= self.version.number
        if is_outdated and not delta.is_snapshot:
            return True
        if delta.is_snapshot:
            self.items = dict(delta.entries)
        elif not is_same_epoch:
            self.reset()
            return False
        else:
            self.items.update(delta.entries)
            for key in delta.removed:
                self.items.pop(key, None)
        self.version = delta.version
        self.is_complete = not delta.has_more_chunks
        return True

    def reset(self) -> None:
        """Reset the version, so that the next request asks for a snapshot."""
        self.version = Version()
        self.is_complete = False
