"""Order in which members are probed: each once per round, and every round in a new random order.

Source: SWIM, section 4.3 (round-robin probe target selection).
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from hallhitch.membership.records import MemberKey


class ProbeRing:
    """The present members without this process, in probing order."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._keys: list[MemberKey] = []
        self._position = 0

    def __len__(self) -> int:
        return len(self._keys)

    def __iter__(self) -> Iterator[MemberKey]:
        return iter(self._keys)

    def add(self, key: MemberKey) -> None:
        """Insert a member at a random position."""
        index = self._rng.randint(0, len(self._keys))
        self._keys.insert(index, key)
        self._position += index < self._position

    def remove(self, key: MemberKey) -> None:
        """Remove a member."""
        index = self._keys.index(key)
        del self._keys[index]
        self._position -= index < self._position

    def next(self) -> MemberKey:
        """Return the next member to probe. The ring must not be empty."""
        if self._position >= len(self._keys):
            self._rng.shuffle(self._keys)
            self._position = 0
        key = self._keys[self._position]
        self._position += 1
        return key
