"""Who reaches whom, and how late: delays between regions, links that stand still or are cut.

Real addresses are 127.REGION.ZONE.MACHINE, regions from 1 on. This module owns the state of links, in the words of the
lab's fleet (`g0`, `g1` are processes, `nodes` the backends, `discovery` the platform); it moves no bytes. Links between
two processes of the system are not among them: those talk to each other's addresses without anybody between.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import Literal

from hallhitch.lab.fleet.links import Links
from hallhitch.lab.fleet.timeline import Trouble
from hallhitch.lab.streams import Streams
from hallhitch.node.clock import now

PLATFORM, BACKENDS, CLIENTS = "discovery", "nodes", "counter"  # what links call the others
MOST = 256  # processes that links know


def region_of(host: str) -> int:
    """The number of a host's region.

    >>> region_of("127.2.0.3")
    2
    """
    return int(host.split(".")[1])


class Paths:
    """Delays and links. `number_of`: the number of each process by its name; a name that is not there is a stranger."""

    def __init__(
        self,
        between: float,
        within: float,
        number_of: Mapping[str, int],
        late: Mapping[tuple[int, int], float] | None = None,
        seed: int = 1,
    ) -> None:
        self._between, self._within, self._late = between, within, dict(late or {})
        self._number_of = number_of
        self._links = Links(MOST, Streams(seed).of("links"))
        self._moved = asyncio.Event()

    def party(self, name: str) -> str:
        """What links call a process; the other parties are called what they are."""
        return f"g{self._number_of[name]}" if name in self._number_of else name or "nobody"

    def delay(self, one: int, other: int) -> float:
        """One way between two regions (ms); region 0 is near everybody."""
        if not one or not other or one == other:
            return self._within
        return self._late.get((min(one, other), max(one, other)), self._between)

    def begin(
        self, kind: Literal["cut", "stall"], whom: Sequence[str], to: Sequence[str] = (), one_way: bool = False
    ) -> int:
        """A link's trouble begins, between processes and others, by name; the number to end it by."""
        number = self._links.begin(
            Trouble(kind, 0.0, whom=tuple(map(self.party, whom)), to=tuple(map(self.party, to)), one_way=one_way)
        )
        self._change()
        return number

    def over(self, number: int) -> None:
        """It is over."""
        self._links.end(number)
        self._change()

    def heal(self) -> None:
        """All are over."""
        self._links.heal()
        self._change()

    def _change(self) -> None:
        moved, self._moved = self._moved, asyncio.Event()
        moved.set()

    def stands(self, sender: str, receiver: str) -> bool:
        """Whether nothing passes this way now."""
        one, other = self.party(sender), self.party(receiver)
        return self._links.cut(one, other) or self._links.stalled(one, other)

    async def pass_on(self, sender: str, receiver: str, due: float = 0.0) -> None:
        """Wait until `due` (steady ms), and for as long as the link stands: what a cut holds up arrives later."""
        wait = due - now()
        if wait > 0:
            await asyncio.sleep(wait / 1000)
        while self.stands(sender, receiver):
            await self._moved.wait()
