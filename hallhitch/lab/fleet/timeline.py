"""What goes wrong between gateways, as TOML: the same time lines for virtual time and for real processes.

Gateways are written `g0`, `g1` and so on, `g4-g9` for several, `gateways` for all; the others are `nodes`, `node-3`,
`counter` and `discovery`. A share such as `0.5` takes that part of the gateways, the next ones in order.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal

from msgspec import Meta, Struct

from hallhitch.settings_file import checked

Share = Annotated[float, Meta(gt=0, le=1)]
Whom = tuple[str, ...]
LINKS = ("cut", "split", "drop", "duplicate", "delay", "stall")
PROCESSES = ("kill", "stop", "term", "restart")
ONE = re.compile(r"g(\d+)(?:-g(\d+))?")
PARTY = re.compile(r"gateways|nodes|node-\d+|counter|discovery|g\d+(-g\d+)?")


class Trouble(Struct, frozen=True, forbid_unknown_fields=True):
    """One fault: from `at_s` on, for `for_s`, or again and again `every_s` until `until_s`."""

    kind: Literal["cut", "split", "drop", "duplicate", "delay", "stall", "kill", "stop", "term", "restart"]
    at_s: Annotated[float, Meta(ge=0)]
    for_s: Annotated[float, Meta(ge=0)] = 0.0
    whom: Whom = ()  # of a link: who sends; of a process: who it befalls
    to: Whom = ()  # who receives; none means everybody
    one_way: bool = False
    parts: tuple[Share | Whom, ...] = ()  # of a split: who still hears each other
    share: Share = 1.0  # of what is sent, that is dropped, doubled or delayed
    delay_ms: tuple[float, float] = (0.0, 0.0)  # between these, each datagram its own: so they overtake each other
    every_s: Annotated[float, Meta(ge=0)] = 0.0
    until_s: Annotated[float, Meta(ge=0)] = 0.0

    def __post_init__(self) -> None:
        if self.kind == "split" and len(self.parts) < 2:
            raise ValueError("field 'parts': a split has two or more")
        if self.kind in PROCESSES and not self.whom:
            raise ValueError("field 'whom': nobody")
        if self.every_s and (self.every_s <= self.for_s or self.until_s <= self.at_s):
            raise ValueError("field 'every_s': shorter than 'for_s', or without an end")
        for field, names in (
            ("whom", self.whom),
            ("to", self.to),
            ("parts", [n for part in self.parts if isinstance(part, tuple) for n in part]),
        ):
            for name in names:
                checked(field, lambda name=name: party(name))  # type: ignore[misc]

    def times(self) -> list[tuple[float, float]]:
        """When it begins and ends, in ms."""
        if not self.every_s:
            return [(self.at_s * 1000, (self.at_s + self.for_s) * 1000)]
        count = int((self.until_s - self.at_s) / self.every_s - 1e-9) + 1
        return [
            ((self.at_s + n * self.every_s) * 1000, (self.at_s + n * self.every_s + self.for_s) * 1000)
            for n in range(count)
        ]


def party(name: str) -> str:
    """A party's name, or ValueError."""
    if not PARTY.fullmatch(name):
        raise ValueError(f"'{name}' is nobody: g0, g2-g5, gateways, nodes, node-3, counter or discovery")
    return name


class TimeLine(Struct, frozen=True, forbid_unknown_fields=True):
    """All that goes wrong in a run."""

    seconds: Annotated[float, Meta(gt=0)] = 30.0
    troubles: tuple[Trouble, ...] = ()


def numbers(whom: Whom, gateways: int) -> list[int]:
    """The gateways that are meant, by number."""
    found: list[int] = []
    for name in whom:
        match = ONE.fullmatch(name)
        if name == "gateways":
            found += range(gateways)
        elif match is not None:
            first = int(match[1])
            found += range(first, int(match[2] or first) + 1)
    return [number for number in found if number < gateways]


def split(parts: tuple[Share | Whom, ...], gateways: int) -> list[frozenset[str]]:
    """Who is together in each part, by name."""
    found, begun = [], 0
    for part in parts:
        if isinstance(part, tuple):
            found.append(
                frozenset(f"g{n}" for n in numbers(part, gateways)) | {name for name in part if not ONE.fullmatch(name)}
            )
        else:
            ends = min(gateways, begun + max(1, round(part * gateways)))
            found.append(frozenset(f"g{n}" for n in range(begun, ends)))
            begun = ends
    return found
