"""Network conditions between parties: delays between regions, and links that are stalled or cut.

Addresses are 127.REGION.ZONE.MACHINE, with regions numbered from 1. This module owns the state of the links and uses
the party names of `hallhitch.lab.fleet.links` (`g0`, `g1` are processes, `nodes` the backends, `discovery` the
platform). It transfers no bytes; links between two processes of the system go through `link_relays`.
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
MAX_PROCESSES: Final = 256  # that the link table has room for


def region_of(host: str) -> int:
    """Return the region number in a host address.

    >>> region_of("127.2.0.3")
    2
    """
    return int(host.split(".")[1])


class NetworkPaths:
    """Delays between regions and the state of links between parties.

    `process_numbers` maps the names of processes to their numbers; any other name belongs to another party.
    `region_pair_delays_ms` overrides the delay between pairs of regions, with the lower number first.
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
        """Return the name of a party in the link table."""
        if party in self._process_numbers:
            return f"g{self._process_numbers[party]}"
        return party or "nobody"

    def delay_ms(self, region: int, other_region: int) -> float:
        """Return the one-way delay between two regions; region 0 is local to every region."""
        if not region or not other_region or region == other_region:
            return self._local_delay_ms
        pair = (min(region, other_region), max(region, other_region))
        return self._region_pair_delays_ms.get(pair, self._region_delay_ms)

    def begin_fault(
        self, kind: Literal["cut", "stall"], targets: Sequence[str], peers: Sequence[str] = (), one_way: bool = False
    ) -> int:
        """Begin a fault on the links between targets and peers (all, if there are none) and return its number."""
        target_names = tuple(map(self.link_name, targets))
        peer_names = tuple(map(self.link_name, peers))
        number = self._links.begin(FleetFault(kind, 0.0, whom=target_names, to=peer_names, one_way=one_way))
        self._notify_waiters()
        return number

    def end_fault(self, number: int) -> None:
        """End the fault with this number."""
        self._links.end(number)
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def is_blocked(self, sender: str, receiver: str) -> bool:
        """Return whether the link is stalled or cut in this direction."""
        source, target = self.link_name(sender), self.link_name(receiver)
        return self._links.is_cut(source, target) or self._links.is_stalled(source, target)

    async def wait_for_link(self, sender: str, receiver: str, until_ms: float = 0.0) -> None:
        """Wait until a moment, and then until the link is not blocked, so that a cut delays data and loses none."""
        delay_ms = until_ms - now()
        if delay_ms > 0:
            await asyncio.sleep(delay_ms / 1000)
        while self.is_blocked(sender, receiver):
            await self._changed.wait()
