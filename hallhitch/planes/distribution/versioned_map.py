"""Keyed values with a version that grows by each change, for those who have an older one. No I/O, no clock.

A version is (epoch, number): the epoch is the incarnation of the process that numbers, so that numbers of a former
incarnation are
never taken for its own. Whoever has another epoch, or a number too old to be followed from, is given the whole.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

V = TypeVar("V")
PIECE = 500  # entries in one answer: some 35 kB, which a thin link of 2 Mbit/s carries in an eighth of a second
GONE_KEPT = 2048  # keys that went, remembered for those who follow by changes


@dataclass(frozen=True, slots=True)
class Delta(Generic[V]):
    """What somebody lacks: all there is (`whole`), or what changed since the version it has."""

    epoch: int
    number: int
    whole: bool
    entries: Mapping[str, V]
    gone: tuple[str, ...]
    more: bool = False  # a piece: `number` is as far as it reaches


class VersionedMap(Generic[V]):
    """One source of news."""

    def __init__(self, epoch: int) -> None:
        self.epoch, self.number = epoch, 0
        self._items: dict[str, tuple[int, V]] = {}
        self._gone: dict[str, int] = {}
        self._floor = 0  # numbers below this cannot be followed from

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, key: str) -> bool:
        return key in self._items

    def get(self, key: str) -> V | None:
        """The value of a key, if there is one."""
        item = self._items.get(key)
        return item[1] if item is not None else None

    def values(self) -> list[V]:
        """All values there are."""
        return [value for _, value in self._items.values()]

    def keys(self) -> list[str]:
        """All keys there are."""
        return list(self._items)

    def put(self, key: str, value: V) -> bool:
        """Set a value; whether that changed anything."""
        item = self._items.get(key)
        if item is not None and item[1] == value:
            return False
        self.number += 1
        self._items[key] = self.number, value
        self._gone.pop(key, None)
        return True

    def drop(self, key: str) -> bool:
        """Take a key away; whether it was there."""
        if self._items.pop(key, None) is None:
            return False
        self.number += 1
        self._gone[key] = self.number
        if len(self._gone) > GONE_KEPT:
            oldest = next(iter(self._gone))
            self._floor = max(self._floor, self._gone.pop(oldest))
        return True

    def replace(self, items: Mapping[str, V]) -> bool:
        """Set all values at once; whether that changed anything."""
        changed = False
        for key in [key for key in self._items if key not in items]:
            changed |= self.drop(key)
        for key, value in items.items():
            changed |= self.put(key, value)
        return changed

    def since(self, epoch: int, number: int) -> Delta[V] | None:
        """What one that has this version lacks; None if nothing."""
        if epoch == self.epoch and number >= self.number:
            return None
        whole = epoch != self.epoch or number < self._floor
        after = -1 if whole else number
        changed = sorted((n, key) for key, (n, _) in self._items.items() if n > after)
        if not whole:
            changed = sorted([*changed, *((n, key) for key, n in self._gone.items() if n > after)])
        # A piece of the whole reaches the floor at least: from below it nobody can go on by changes.
        most = max(PIECE, bisect_left(changed, (self._floor, ""))) if whole else PIECE
        more = len(changed) > most
        changed = changed[:most]
        return Delta(
            self.epoch,
            changed[-1][0] if more else self.number,
            whole,
            {key: self._items[key][1] for _, key in changed if key in self._items},
            tuple(key for _, key in changed if key not in self._items),
            more,
        )


class VersionedReplica(Generic[V]):
    """Another process's feed, as far as it was told."""

    def __init__(self) -> None:
        self.epoch = self.number = 0
        self.items: dict[str, V] = {}
        self.complete = False  # whether `items` is all that there was at `number`, and not a piece

    def take(
        self,
        epoch: int,
        number: int,
        whole: bool,
        entries: Iterable[tuple[str, V]],
        gone: Iterable[str],
        more: bool = False,
    ) -> bool:
        """Take changes in; False if they do not follow from what is known (ask for the whole then)."""
        if epoch == self.epoch and number <= self.number and not whole:
            return True  # an answer that was overtaken
        if whole:
            self.items = dict(entries)
        elif epoch != self.epoch:
            self.forget()
            return False
        else:
            self.items.update(entries)
            for key in gone:
                self.items.pop(key, None)
        self.epoch, self.number, self.complete = epoch, number, not more
        return True

    def forget(self) -> None:
        """Ask for the whole next time."""
        self.epoch = self.number = 0
        self.complete = False
