"""Timelines of faults between gateways, as TOML: the same files for virtual time and for real processes.

Gateways are written `g0`, `g1` and so on, `g4-g9` for several, `gateways` for all; other parties are `nodes`,
`node-3`, `counter` and `discovery`. A ratio such as `0.5` takes that part of the gateways, the next ones in order.
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
    """One fault: from `at_s` on, for `for_s`, or repeated `every_s` until `until_s`."""

    kind: Literal["cut", "split", "drop", "duplicate", "delay", "stall", "kill", "stop", "term", "restart"]
    at_s: Annotated[float, Meta(ge=0)]
    for_s: Annotated[float, Meta(ge=0)] = 0.0
    whom: Parties = ()  # of a link: the senders; of a process: the gateways
    to: Parties = ()  # the receivers; none means all
    one_way: bool = False
    parts: tuple[Ratio | Parties, ...] = ()  # of a split: the groups that still reach each other
    share: Ratio = 1.0  # of the datagrams that are dropped, duplicated or delayed
    delay_ms: tuple[float, float] = (0.0, 0.0)  # drawn for each datagram: so they overtake each other
    every_s: Annotated[float, Meta(ge=0)] = 0.0
    until_s: Annotated[float, Meta(ge=0)] = 0.0

    def __post_init__(self) -> None:
        if self.kind == "split" and len(self.parts) < 2:
            raise ValueError("field 'parts': a split has two or more")
        if self.kind in PROCESS_FAULTS and not self.whom:
            raise ValueError("field 'whom': nobody")
        is_repeated_wrongly = self.every_s <= self.for_s or self.until_s <= self.at_s
        if self.every_s and is_repeated_wrongly:
            raise ValueError("field 'every_s': shorter than 'for_s', or without an end")
        parties_of_parts = tuple(name for part in self.parts if isinstance(part, tuple) for name in part)
        for field, names in (("whom", self.whom), ("to", self.to), ("parts", parties_of_parts)):
            for name in names:
                check_field(field, lambda name=name: check_party(name))  # type: ignore[misc]

    def times(self) -> list[tuple[float, float]]:
        """When it begins and ends each time, in ms."""
        if not self.every_s:
            return [(self.at_s * 1000, (self.at_s + self.for_s) * 1000)]
        count = int((self.until_s - self.at_s) / self.every_s - 1e-9) + 1  # the end itself is exclusive
        return [
            ((self.at_s + n * self.every_s) * 1000, (self.at_s + n * self.every_s + self.for_s) * 1000)
            for n in range(count)
        ]


class FaultTimeline(Struct, frozen=True, forbid_unknown_fields=True):
    """All faults of a run."""

    seconds: Annotated[float, Meta(gt=0)] = 30.0
    faults: tuple[FleetFault, ...] = msgspec.field(default=(), name="troubles")  # the name that users' files have


def check_party(name: str) -> str:
    """Return a party's name.

    Raises:
        ValueError: there is no such party.
    """
    if not PARTY_NAME.fullmatch(name):
        raise ValueError(f"'{name}' is nobody: g0, g2-g5, gateways, nodes, node-3, counter or discovery")
    return name


def gateway_numbers(parties: Parties, gateways: int) -> list[int]:
    """The numbers of the gateways among some parties."""
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
    """The names in each group of a split."""
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
