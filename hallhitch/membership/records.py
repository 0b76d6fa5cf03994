r"""Member records and their precedence: which of two records of the same member is valid. No I/O, no clock.

The table tells when a received record replaces the one in the view:

| received \\ in the view | alive | suspect | failed | left |
| --- | --- | --- | --- | --- |
| alive | newer | newer | newer | newer |
| suspect | same or newer | newer | newer | newer |
| failed | same or newer: suspected first | same or newer | newer | newer |
| left | same or newer | same or newer | same or newer | newer |

"newer" means a greater incarnation, which only the member itself can raise. Records of one member are totally ordered
by (incarnation, state), so processes that received the same records have the same view. The one exception is a failure
reported for a member that is present in the receiver's view: the receiver suspects it first, so that the member can
always refute the report.

Source: Das, Gupta, Motivala: SWIM (DSN 2002), section 4.2, with the state LEFT added.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Annotated, Final, NamedTuple

import xxhash
from msgspec import Meta, Struct

# Lengths in characters. Three records of these lengths and UPDATE_BUDGET_BYTES of updates fit into one datagram.
MAX_NAME_LENGTH: Final = 40
MAX_LABEL_LENGTH: Final = 24  # of a zone or a version
MAX_ADDRESS_LENGTH: Final = 48
MAX_INCARNATION: Final = 1 << 48
DIGEST_MASK: Final = (1 << 63) - 1  # a digest is a non-negative 64-bit integer on the wire

MemberName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=r"^[A-Za-z0-9._:/@-]+$")]
Label = Annotated[str, Meta(max_length=MAX_LABEL_LENGTH, pattern=r"^[A-Za-z0-9._:/@+-]*$")]
Address = Annotated[str, Meta(min_length=3, max_length=MAX_ADDRESS_LENGTH, pattern=r"^[0-9A-Fa-f.:\[\]]+$")]
RandomId = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]  # 63 random bits


class MemberState(IntEnum):
    """A member's state; within one incarnation, the greater value takes precedence."""

    ALIVE = 0
    SUSPECT = 1  # did not reply to a probe; counts as present until its suspicion expires
    FAILED = 2
    LEFT = 3  # the member itself announced its departure

    @property
    def is_present(self) -> bool:
        """Whether a member in this state counts as present."""
        return self <= MemberState.SUSPECT


class MemberKey(NamedTuple):
    """A member's identity: two processes with the same name are two members."""

    name: str
    instance: int


class MemberRecord(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The state of one member as sent between processes."""

    name: MemberName
    instance: RandomId  # random, new at each start of the process
    incarnation: Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
    state: MemberState
    address: Address  # of the member's UDP socket
    gateway_id: RandomId  # the same for all processes of one gateway, such as a process and its successor
    zone: Label = ""
    version: Label = ""
    accuser: RandomId = 0  # instance of the member that suspects it or declared it failed

    @property
    def key(self) -> MemberKey:
        """The member's identity."""
        return MemberKey(self.name, self.instance)

    @property
    def precedence(self) -> tuple[int, int]:
        """Sort key among the records of one member; the greatest is valid."""
        return self.incarnation, self.state


def record_digest(record: MemberRecord) -> int:
    """Return the 63-bit hash of a present member's record; a view's digest is the sum of these.

    Views with equal digests are equal except for hash collisions. The hash does not cover suspicions, because these end
    soon in either case.
    """
    return DIGEST_MASK & xxhash.xxh3_64_intdigest(
        f"{record.name}\0{record.instance}\0{record.incarnation}\0{record.address}".encode()
    )


def gateway_ids(records: Iterable[MemberRecord]) -> dict[MemberKey, int]:
    """Map each present process to the id of its gateway.

    Processes with the same name and address belong to one gateway as well, because only the last of them can still be
    running; their id is the lowest of their ids.
    """
    present = [record for record in records if record.state.is_present]
    id_by_location: dict[tuple[str, str], int] = {}
    for record in present:
        location = record.name, record.address
        id_by_location[location] = min(record.gateway_id, id_by_location.get(location, record.gateway_id))
    return {record.key: id_by_location[record.name, record.address] for record in present}
