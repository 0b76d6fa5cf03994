"""Timelines of faults between gateways, in TOML; runs in virtual time and with real processes read the same files.

Gateways are written `g0`, `g1` and so on, `g4-g9` for a range, `gateways` for all; other parties are `nodes`,
`node-3`, `counter` and `discovery`. In the parts of a split, a ratio such as `0.5` stands for that fraction of the
gateways, taken in order after those of the parts before.
"""

from __future__ import annotations

import re
from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta, Struct

from hallhitch.settings_file import check_field

Ratio = Annotated[float, Meta(gt=0, le=1)]
Parties = tuple[str, ...]
PROCESS_FAULTS: Final = ("kill", "stop", "term", "restart")
GATEWAY_RANGE: Final = re.compile(r"g(\d+)(?:-g(\d+))?")
PARTY_NAME: Final = re.compile(r"gateways|nodes|node-\d+|counter|discovery|g\d+(-g\d+)?")


class FleetFault(Struct, frozen=True, forbid_unknown_fields=True):
    """One fault: it begins at `at_s` and lasts `for_s`; it may be repeated `every_s` until `until_s`."""

    kind: Literal["cut", "split", "drop", "duplicate", "delay", "stall", "kill", "stop", "term", "restart"]
    at_s: Annotated[float, Meta(ge=0)]
    for_s: Annotated[float, Meta(ge=0)] = 0.0
    whom: Parties = ()  # the senders of a link fault, or the gateways of a process fault
    to: Parties = ()  # the receivers of a link fault; empty means all
    one_way: bool = False
    parts: tuple[Ratio | Parties, ...] = ()  # of a split: the groups; parties within one still reach each other
    share: Ratio = 1.0  # ratio of the datagrams that are dropped, duplicated or delayed
    delay_ms: tuple[float, float] = (0.0, 0.0)  # range, drawn for each datagram, so that datagrams are reordered
    every_s: Annotated[float, Meta(ge=0)] = 0.0
    until_s: Annotated[float, Meta(ge=0)] = 0.0

    def __post_init__(self) -> None:
        if self.kind == "split" and len(self.parts) < 2:
            raise ValueError("field 'parts': a split needs at least two parts")
        if self.kind in PROCESS_FAULTS and not self.whom:
            raise ValueError("field 'whom': a process fault must name at least one gateway")
        is_period_invalid = self.every_s <= self.for_s or self.until_s <= self.at_s
        if self.every_s and is_period_invalid:
            raise ValueError("field 'every_s': must be longer than 'for_s', and 'until_s' must be after 'at_s'")
        parties_of_parts = tuple(name for part in self.parts if isinstance(part, tuple) for name in part)
        for field, names in (("whom", self.whom), ("to", self.to), ("parts", parties_of_parts)):
            for name in names:
                check_field(field, lambda name=name: check_party(name))  # type: ignore[misc]

    def times(self) -> list[tuple[float, float]]:
        """The begin and the end of each occurrence, in ms."""
        if not self.every_s:
            return [(self.at_s * 1000, (self.at_s + self.for_s) * 1000)]
        count = int((self.until_s - self.at_s) / self.every_s - 1e-9) + 1  # `until_s` is exclusive
        return [
            ((self.at_s + n * self.every_s) * 1000, (self.at_s + n * self.every_s + self.for_s) * 1000)
            for n in range(count)
        ]


class FaultTimeline(Struct, frozen=True, forbid_unknown_fields=True):
    """All faults of a run."""

    seconds: Annotated[float, Meta(gt=0)] = 30.0
    faults: tuple[FleetFault, ...] = msgspec.field(default=(), name="troubles")  # the key in users' files


def check_party(name: str) -> str:
    """Return the name if it is that of a party or of a range of gateways.

    Raises:
        ValueError: the name is none of these.
    """
    if not PARTY_NAME.fullmatch(name):
        raise ValueError(
            f"unknown party '{name}': expected a name such as g0, g2-g5, gateways, nodes, node-3, counter or discovery"
        )
    return name


def gateway_numbers(parties: Parties, gateways: int) -> list[int]:
    """The numbers of the gateways among the parties, up to the number of gateways in the run."""
    numbers: list[int] = []
    for name in parties:
        match = GATEWAY_RANGE.fullmatch(name)
        if name == "gateways":
            numbers += range(gateways)
        elif match is not None:
            first = int(match[1])
            numbers += range(first, int(match[2] or first) + 1)
    return [number for number in numbers if number < gateways]


def partition_groups(parts: tuple[Ratio | Parties, ...], gateways: int) -> list[frozenset[str]]:
    """The names of the parties in each group of a split."""
    groups: list[frozenset[str]] = []
    next_gateway = 0
    for part in parts:
        if isinstance(part, tuple):
            other_parties = {name for name in part if not GATEWAY_RANGE.fullmatch(name)}
            groups.append(frozenset(f"g{number}" for number in gateway_numbers(part, gateways)) | other_parties)
        else:
            end = min(gateways, next_gateway + max(1, round(part * gateways)))
            groups.append(frozenset(f"g{number}" for number in range(next_gateway, end)))
            next_gateway = end
    return groups
