"""A member as everybody tells it, and who may overrule whom: one table. No I/O, no clock.

| heard \\ held | alive | suspect | failed | left |
| --- | --- | --- | --- | --- |
| alive | newer | newer | newer | newer |
| suspect | same or newer | newer | newer | newer |
| failed | same or newer: suspected first | same or newer | newer | newer |
| left | same or newer | same or newer | same or newer | newer |

"newer": by a greater incarnation, which only the member itself raises. So a state once heard is undone by nobody but
the member, and all who heard the same hold the same: the order is total in (incarnation, state). The one exception is
a failure told of a member held alive: it is suspected here first, so that it can always refute.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Annotated

import xxhash
from msgspec import Meta, Struct

NAME_MOST, WORD_MOST, ADDRESS_MOST = 40, 24, 48  # characters of a name; of a zone or version; of an address
INCARNATION_MOST = 1 << 48
SUM_MASK = (1 << 63) - 1

Name = Annotated[str, Meta(min_length=1, max_length=NAME_MOST, pattern=r"^[A-Za-z0-9._:/@-]+$")]
Word = Annotated[str, Meta(max_length=WORD_MOST, pattern=r"^[A-Za-z0-9._:/@+-]*$")]
Address = Annotated[str, Meta(min_length=3, max_length=ADDRESS_MOST, pattern=r"^[0-9A-Fa-f.:\[\]]+$")]
Drawn = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]  # 63 random bits


class State(IntEnum):
    """How a member stands; of one incarnation the greater goes before the smaller."""

    ALIVE = 0
    SUSPECT = 1  # does not answer; counted as there until its time to refute is over
    FAILED = 2
    LEFT = 3  # said itself that it goes

    @property
    def there(self) -> bool:
        """Whether it counts as there."""
        return self <= State.SUSPECT


Key = tuple[str, int]  # name and instance: two processes of one name are two members


class Record(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What is told of one member."""

    name: Name
    instance: Drawn  # drawn at each start
    incarnation: Annotated[int, Meta(ge=0, le=INCARNATION_MOST)]
    state: State
    address: Address  # where its datagrams are sent
    kin: Drawn  # alike for processes that are one gateway by design: an old one and its replacement
    zone: Word = ""
    version: Word = ""
    by: Drawn = 0  # whose accusation a suspicion or a failure is

    @property
    def key(self) -> Key:
        """Who it is."""
        return self.name, self.instance

    @property
    def order(self) -> tuple[int, int]:
        """What decides between two records of one member."""
        return self.incarnation, self.state


def mark(record: Record) -> int:
    """63 bits of one that is there, to be added up over a view: two with the same sum are the same, but for chance.

    Suspicions do not count: they are over soon, one way or the other.
    """
    return SUM_MASK & xxhash.xxh3_64_intdigest(
        f"{record.name}\0{record.instance}\0{record.incarnation}\0{record.address}".encode()
    )


def kins(records: Iterable[Record]) -> dict[Key, int]:
    """Of those that are there, which gateway each process is: alike for all that are one by design.

    Processes of one name at one address are one as well: only the last of them can live.
    """
    listed = [record for record in records if record.state.there]
    at: dict[tuple[str, str], int] = {}
    for record in listed:
        place = record.name, record.address
        at[place] = min(record.kin, at.get(place, record.kin))
    return {record.key: at[record.name, record.address] for record in listed}
