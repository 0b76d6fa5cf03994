"""Who reaches whom, how late, and by which address: each process of the system sees an image of the world.

Real addresses are 127.REGION.ZONE.MACHINE. To the process with number k (1 to 24) everybody else is shown at the image
127.(10 k + REGION).ZONE.MACHINE, so whoever accepts a connection knows who opened it, and each link between two can be
late, stand still or be cut by itself. Region 0 of an image is the platform. This module owns the numbering and the
state of links; it moves no bytes.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Mapping, Sequence

from hallhitch.lab.fleet.links import Links
from hallhitch.lab.fleet.timeline import Trouble
from hallhitch.lab.streams import Streams
from hallhitch.node.clock import now

ADDRESS = re.compile(r"127\.(\d+)\.(\d+)\.(\d+)(:\d+)?")
STEP = 10  # images of one caller lie between two multiples of it
CALLERS = 24
PLATFORM, BACKENDS = "discovery", "nodes"  # what links call them


def party(number: int) -> str:
    """What links call a process, by its number."""
    return f"g{number}"


def image(address: str, caller: int) -> str:
    """How a real address, with or without a port, is shown to a caller; what is no real address stays.

    >>> image("127.2.0.3:80", 4)
    '127.42.0.3:80'
    """
    match = ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match[1]) < STEP:
        return address
    return f"127.{STEP * caller + int(match[1])}.{match[2]}.{match[3]}{match[4] or ''}"


def real(address: str) -> str:
    """What an image shows; anything else stays.

    >>> real("127.42.0.3:80"), real("127.2.0.3")
    ('127.2.0.3:80', '127.2.0.3')
    """
    match = ADDRESS.fullmatch(address)
    if match is None or int(match[1]) < STEP:
        return address
    return f"127.{int(match[1]) % STEP}.{match[2]}.{match[3]}{match[4] or ''}"


def caller_of(host: str) -> int:
    """Whose image a host is; 0 = it is a real one."""
    return int(host.split(".")[1]) // STEP


def region_of(host: str) -> int:
    """The number of the region of a host, real or an image."""
    return int(host.split(".")[1]) % STEP


class Paths:
    """How late what is sent between regions arrives, and which links are cut. Regions by number, delays one way."""

    def __init__(self, between: float, within: float, gateways: int = CALLERS + 1,
                 late: Mapping[tuple[int, int], float] | None = None, seed: int = 1) -> None:
        self._between, self._within, self._late = between, within, dict(late or {})
        self.links = Links(gateways, Streams(seed).of("links"))
        self._moved = asyncio.Event()

    def delay(self, one: int, other: int) -> float:
        """One way between two regions (ms); region 0 is the platform's, near everybody."""
        if not one or not other or one == other:
            return self._within
        return self._late.get((min(one, other), max(one, other)), self._between)

    def begin(self, kind: str, whom: Sequence[str], to: Sequence[str] = (), one_way: bool = False) -> int:
        """A link's trouble begins (cut or stall); the number to end it by."""
        number = self.links.begin(Trouble(kind, 0.0, whom=tuple(whom), to=tuple(to),  # type: ignore[arg-type]
                                          one_way=one_way))
        self._change()
        return number

    def over(self, number: int) -> None:
        """It is over."""
        self.links.end(number)
        self._change()

    def _change(self) -> None:
        moved, self._moved = self._moved, asyncio.Event()
        moved.set()

    def stands(self, sender: str, receiver: str) -> bool:
        """Whether nothing passes this way now."""
        return self.links.cut(sender, receiver) or self.links.stalled(sender, receiver)

    async def open(self, sender: str, receiver: str) -> None:
        """Wait until what is sent this way passes."""
        while self.stands(sender, receiver):
            await self._moved.wait()

    async def pass_on(self, sender: str, receiver: str, due: float) -> None:
        """Wait until `due` (steady ms), and for as long as the link stands."""
        wait = due - now()
        if wait > 0:
            await asyncio.sleep(wait / 1000)
        if self.stands(sender, receiver):
            await self.open(sender, receiver)
