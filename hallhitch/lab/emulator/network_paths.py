"""Network paths between parties: delays between regions, and links that stall or are cut.

Addresses are 127.REGION.ZONE.MACHINE, regions from 1 on. Owns the state of links, with the parties' names of
`hallhitch.lab.fleet.links` (`g0`, `g1` are processes, `nodes` the backends, `discovery` the platform); it moves no
bytes. Links between two processes of the system go over `link_relays`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from typing import Final, Literal

from hallhitch.lab.fleet.links import Links
from hallhitch.lab.fleet.timeline import FleetFault
from hallhitch.lab.streams import Streams
from hallhitch.node.clock import now

PLATFORM: Final = "discovery"
BACKENDS: Final = "nodes"
CLIENTS: Final = "counter"
MAX_PROCESSES: Final = 256  # that links know


def region_of(host: str) -> int:
    """Return the number of a host's region.

    >>> region_of("127.2.0.3")
    2
    """
    return int(host.split(".")[1])


class NetworkPaths:
    """Delays and links.

    `process_numbers` are those of processes by name; a name that is not there is a stranger's. `region_pair_delays_ms`
    replaces the delay between some pairs of regions, the lower number first.
    """

    def __init__(
        self,
        region_delay_ms: float,
        local_delay_ms: float,
        process_numbers: Mapping[str, int],
        region_pair_delays_ms: Mapping[tuple[int, int], float] | None = None,
        seed: int = 1,
    ) -> None:
        self._region_delay_ms = region_delay_ms
        self._local_delay_ms = local_delay_ms
        self._region_pair_delays_ms = dict(region_pair_delays_ms or {})
        self._process_numbers = process_numbers
        self._links = Links(MAX_PROCESSES, Streams(seed).of("links"))
        self._changed = asyncio.Event()

    def link_name(self, party: str) -> str:
        """Return what links call a party."""
        if party in self._process_numbers:
            return f"g{self._process_numbers[party]}"
        return party or "nobody"

    def delay_ms(self, region: int, other_region: int) -> float:
        """Return the delay one way between two regions; region 0 is near all."""
        if not region or not other_region or region == other_region:
            return self._local_delay_ms
        pair = (min(region, other_region), max(region, other_region))
        return self._region_pair_delays_ms.get(pair, self._region_delay_ms)

    def begin_fault(
        self, kind: Literal["cut", "stall"], targets: Sequence[str], peers: Sequence[str] = (), one_way: bool = False
    ) -> int:
        """Begin a fault of the links between processes and peers, by name (no peers: all); return its number."""
        target_names = tuple(map(self.link_name, targets))
        peer_names = tuple(map(self.link_name, peers))
        number = self._links.begin(FleetFault(kind, 0.0, whom=target_names, to=peer_names, one_way=one_way))
        self._notify()
        return number

    def end_fault(self, number: int) -> None:
        """End a fault."""
        self._links.end(number)
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Whether nothing passes this way now."""
        source, target = self.link_name(sender), self.link_name(receiver)
        return self._links.is_cut(source, target) or self._links.is_stalled(source, target)

    async def wait_for_link(self, sender: str, receiver: str, until_ms: float = 0.0) -> None:
        """Wait until a moment, and for as long as the link is blocked: what a cut holds back arrives later."""
        delay_ms = until_ms - now()
        if delay_ms > 0:
            await asyncio.sleep(delay_ms / 1000)
        while self.is_blocked(sender, receiver):
            await self._changed.wait()
