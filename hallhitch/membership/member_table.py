"""Table of the members that one process knows, with the indexes that the protocol needs.

Invariants:
- `digest` is the sum of `record_digest` over all present members, including the local process, modulo 2^63.
- The table contains at most `max_members` other members, and at most MAX_RECORDS_PER_NAME of one name.
- `cursors` lists the present members and the local process in ascending order.
"""

from __future__ import annotations

import bisect
import math
from dataclasses import dataclass
from typing import Final

from hallhitch.membership.records import MemberKey, MemberRecord, MemberState, gateway_ids, record_digest

DIGEST_MODULUS: Final = 1 << 63
MAX_RECORDS_PER_NAME: Final = 8  # allows for a few restarts within `forget_after_ms`


@dataclass(slots=True)
class Member:
    """What this process knows of a member."""

    record: MemberRecord
    digest: int
    state_since: float  # when its present state began, in ms
    last_heard_at: float = -math.inf  # ms; when a message or a relayed ack from it was last received


def cursor_of(record: MemberRecord) -> str:
    """Return the sort key of a member in view exchanges."""
    return f"{record.name} {record.instance:019d}"


class MemberTable:
    """All known members by key; the record of the local process is kept separately as `local`."""

    def __init__(self, local: MemberRecord, max_members: int) -> None:
        self.local = local
        self.by_key: dict[MemberKey, Member] = {}
        self.digest = record_digest(local)
        self.conflicts: dict[str, tuple[int, ...]] = {}  # instances of each name that several gateways use
        self.cursors: list[str] = []
        self._max_members = max_members
        self._key_by_cursor: dict[str, MemberKey] = {}
        self._keys_by_name: dict[str, set[MemberKey]] = {}
        self._add_cursor(local)

    def set_local(self, record: MemberRecord) -> None:
        """Replace the local process's record."""
        before = record_digest(self.local) * self.local.state.is_present
        after = record_digest(record) * record.state.is_present
        self.digest = (self.digest - before + after) % DIGEST_MODULUS
        self.local = record

    def records(self) -> list[MemberRecord]:
        """Return all records, that of the local process first."""
        return [self.local, *(member.record for member in self.by_key.values())]

    def record_at(self, cursor: str) -> MemberRecord:
        """Return the record of a present member by its cursor."""
        key = self._key_by_cursor[cursor]
        return self.local if key == self.local.key else self.by_key[key].record

    def find_record(self, key: MemberKey) -> MemberRecord | None:
        """Return the record of a member or of the local process."""
        if key == self.local.key:
            return self.local
        member = self.by_key.get(key)
        return None if member is None else member.record

    def keys_of(self, name: str) -> list[MemberKey]:
        """Return the keys of all members with this name."""
        return list(self._keys_by_name.get(name, ()))

    def can_add(self, name: str) -> bool:
        """Return whether another member with this name can be added."""
        is_name_full = len(self._keys_by_name.get(name, ())) >= MAX_RECORDS_PER_NAME
        return not is_name_full and len(self.by_key) < self._max_members

    def oldest_absent(self, name: str) -> MemberKey | None:
        """Return the member to evict in favour of a new one with this name: the first that failed or left, if any."""
        same_name = self._keys_by_name.get(name, set())
        candidates = same_name if len(same_name) >= MAX_RECORDS_PER_NAME else self.by_key
        absent = [key for key in candidates if not self.by_key[key].record.state.is_present]
        return min(absent, key=lambda key: self.by_key[key].state_since, default=None)

    def add(self, record: MemberRecord, now: float) -> Member:
        """Add an unknown member; the caller must then call `store` with the same record."""
        member = self.by_key[record.key] = Member(record, 0, now)
        self._keys_by_name.setdefault(record.name, set()).add(record.key)
        return member

    def remove(self, key: MemberKey) -> None:
        """Remove a member that failed or left."""
        del self.by_key[key]
        keys = self._keys_by_name[key.name]
        keys.discard(key)
        if not keys:
            del self._keys_by_name[key.name]

    def store(self, member: Member, record: MemberRecord, was_present: bool) -> None:
        """Replace a member's record and update the digest and the cursors."""
        if was_present:
            self.digest = (self.digest - member.digest) % DIGEST_MODULUS
        member.record, member.digest = record, record_digest(record)
        is_present = record.state.is_present
        if is_present:
            self.digest = (self.digest + member.digest) % DIGEST_MODULUS
        if is_present and not was_present:
            self._add_cursor(record)
        elif was_present and not is_present:
            cursor = cursor_of(record)
            self.cursors.remove(cursor)
            del self._key_by_cursor[cursor]

    def update_conflict(self, name: str) -> bool:
        """Update whether several gateways use this name; return whether the conflict is new."""
        present = [
            record for key in self._keys_by_name.get(name, ()) if (record := self.by_key[key].record).state.is_present
        ]
        if name == self.local.name and self.local.state.is_present:
            present.append(self.local)
        if len(set(gateway_ids(present).values())) <= 1:
            self.conflicts.pop(name, None)
            return False
        is_new = name not in self.conflicts
        self.conflicts[name] = tuple(sorted(record.instance for record in present))
        return is_new

    def alive_keys(self, keys: list[MemberKey]) -> list[MemberKey]:
        """Return those of the given keys whose members are in state ALIVE."""
        return [key for key in keys if self.by_key[key].record.state is MemberState.ALIVE]

    def _add_cursor(self, record: MemberRecord) -> None:
        cursor = cursor_of(record)
        bisect.insort(self.cursors, cursor)
        self._key_by_cursor[cursor] = record.key
